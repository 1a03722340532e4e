//! The state machine of one gossip node: its state, its timers and the handling of its inputs.

mod receive;
mod send;
mod types;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use cherryusher::ServerObservation;

use crate::Micros;
use crate::dissemination::{MAX_TRANSMISSIONS_WHEN_FULL, UpdateQueue, transmission_limit};
use crate::evidence::{self, Evidence, Witness};
use crate::keys::{KeyRing, MemberId, Secret};
use crate::limits::{SourceLimits, TokenBucket, UDP_HEADER_BYTES};
use crate::members::{Liveness, Member, Members};
use crate::packet::{
    Accusation, Body, CHECKSUMS_VERSION, Header, Lifecycle, MAX_ACCUSATIONS, MAX_CHECKSUMS_SENT,
    MAX_NAMED_MEMBERS, MAX_PACKET_BYTES, MIN_VERSION, Message, Packet, ParseError, RelayedStatement,
    SignedStatement, Statement, Suspicion, VERSION, millis, parse,
};
use crate::position::{FleetPosition, FleetSize};
use crate::probe::{Prober, Step};

pub use types::{Counters, Input, LogEvent, MAX_PAYLOAD_BYTES, MemberView, Output, Settings, SuspicionView};

/// The time between two rounds of updates.
const GOSSIP_INTERVAL: Micros = 100_000;
/// The number of members that receive updates in a round: normally, and while an accusation or its refutation
/// spreads.
const FAN_OUT: (usize, usize) = (2, 4);
/// The delay before an accusation or a refutation is sent.
const URGENT_DELAY: Micros = 5_000;
/// The expected number of members that probe a member out of turn when they learn that it is accused.
const EXTRA_PROBERS: f64 = 6.0;
/// The time between two synchronisations: when nothing was missing, and while something is.
const SYNC_INTERVAL: (Micros, Micros) = (5_000_000, 200_000);
/// The range of the delay before the next part is requested while responses contain new statements.
const NEXT_SYNC_DELAY: (Micros, Micros) = (20_000, 60_000);
/// Synchronisation requests are sent while at least this fraction of the update budget is left: requests of
/// other members come first.
const MIN_BUDGET_TO_SYNC: f64 = 0.6;
/// How many passes over the whole ring without new statements end eager synchronisation.
const EAGER_PASSES: u8 = 2;
/// The smallest number of members covered by a request's checksums, while many statements are missing.
const MIN_CHECKSUMS: usize = 32;
/// A complete response with fewer new statements than this doubles the number of checksums of the next
/// request.
const SMALL_RESPONSE: usize = 8;
/// A node that starts learns the members before it probes them; after this time it probes in any case.
const BOOTSTRAP_TIME: Micros = 30_000_000;
/// The largest size of updates that go along with probes and their responses during eager synchronisation.
const MAX_PIGGYBACK_BYTES: usize = 250;
/// The number of random members introduced to a joining node, which it synchronises with next.
const INTRODUCED_MEMBERS: usize = 3;
/// The number of seeds contacted at once to join.
const JOIN_SEEDS: usize = 3;
/// The longest wait between two attempts to join of a process that has just started and knows no member.
const MAX_JOIN_WAIT_AT_START: Micros = 500_000;
/// The longest wait between two attempts to join later: without present members, and with some.
const MAX_JOIN_WAIT: (Micros, Micros) = (3_000_000, 10_000_000);
/// The process was paused if it was not run for this many probe periods.
const PAUSE_PERIODS: Micros = 3;
/// The largest number of packets per second accepted from one address, and from one member.
const MAX_PACKETS_PER_SECOND: f64 = 200.0;
/// The fraction of the rate limit reserved for updates; the rest is for probes and their responses. Separate
/// budgets ensure that a member that is probed by many still spreads updates, and that one with many updates
/// still answers probes.
const UPDATE_BUDGET_FRACTION: f64 = 0.6;
/// The largest overhead of a packet that only contains updates, including UDP and IP headers.
const UPDATE_PACKET_OVERHEAD: usize = 200;
/// The largest number of payloads waiting to be sent, how long one may wait, and how often sending is tried.
const MAX_QUEUED_PAYLOADS: usize = 64;
const PAYLOAD_TTL: Micros = 500_000;
const PAYLOAD_RETRY_INTERVAL: Micros = 5_000;
/// The least time between two refutations of accusations.
const MIN_REFUTE_INTERVAL: Micros = 200_000;
/// The least time between two log events of one kind about one member.
const LOG_EVENT_INTERVAL: Micros = 60_000_000;

/// Gossip of one node.
pub struct Gossip {
    settings: Settings,
    ring: KeyRing,
    secret: Secret,
    me: MemberId,
    instance: u64,
    started_at: Micros,
    now: Micros,
    /// The number of the last packet sent.
    last_packet_number: u64,
    own_statement: SignedStatement,
    /// When this node last refuted an accusation; 0 if never.
    refuted_at: Micros,
    members: Members,
    updates: UpdateQueue,
    prober: Prober,
    evidence: Evidence,
    /// This node's own newest observations of servers.
    observations: Vec<ServerObservation>,
    fleet_size: FleetSize,
    /// The position last reported by an output.
    announced_position: Option<FleetPosition>,
    /// Bytes that may be sent for probes, their responses and payloads.
    probe_budget: TokenBucket,
    /// Bytes that may be sent for updates.
    update_budget: TokenBucket,
    source_limits: SourceLimits,
    /// Limits the packets accepted from each member.
    member_limits: BTreeMap<MemberId, TokenBucket>,
    /// When an event of each kind was last logged about each member.
    last_logged: BTreeMap<(u8, MemberId), Micros>,
    /// How often a statement or packet of another process under this name was received.
    duplicate_name_count: u32,
    /// When the next round of updates is due.
    gossip_at: Micros,
    /// When the next synchronisation is due.
    sync_at: Micros,
    /// The first member of the part to synchronise next.
    sync_from: MemberId,
    /// The first member of the part that was requested last.
    requested_from: MemberId,
    /// For the current pass over the ring: whether there were responses, and whether they contained new
    /// statements.
    sync_pass: (bool, bool),
    /// How many more passes without new statements eager synchronisation lasts.
    eager_passes: u8,
    /// The number of checksums in a request during eager synchronisation.
    checksum_count: usize,
    /// When the next attempt to join is due.
    join_at: Micros,
    /// The current wait between two attempts to join; it doubles up to its maximum.
    join_wait: Micros,
    random: fastrand::Rng,
    counters: Counters,
    out: Vec<Output>,
    /// Payloads to send, each with the time since which it waits and its receiver.
    payload_queue: VecDeque<(Micros, MemberId, Vec<u8>)>,
}

impl Gossip {
    /// A node that starts at `now`. `None` if the ring does not contain its name with its secret's key.
    pub fn new(settings: Settings, ring: KeyRing, secret: Secret, now: Micros) -> Option<Gossip> {
        let me = MemberId::of(&settings.name);
        if !ring.has_key(me, &secret) {
            return None;
        }
        let mut random = fastrand::Rng::with_seed(settings.seed);
        // 0 stands for an unknown process.
        let instance = random.u64(1..);
        let statement = Statement {
            author: me,
            key: secret.hint(),
            instance,
            number: settings.first_statement_number,
            address: settings.address,
            lifecycle: Lifecycle::Running,
            suspicions: Vec::new(),
        };
        let period = settings.probe_period.max(1);
        let random_start = random.u64(..);
        Some(Gossip {
            own_statement: SignedStatement::new(statement, &secret),
            prober: Prober::new(period, now + random.u64(..period)),
            fleet_size: FleetSize::new(settings.configured_nodes),
            probe_budget: TokenBucket::per_second(
                f64::from(settings.max_bytes_per_second) * (1.0 - UPDATE_BUDGET_FRACTION),
                now,
            ),
            update_budget: TokenBucket::per_second(
                f64::from(settings.max_bytes_per_second) * UPDATE_BUDGET_FRACTION,
                now,
            ),
            source_limits: SourceLimits::new(MAX_PACKETS_PER_SECOND, now),
            sync_at: now + random.u64(..SYNC_INTERVAL.1),
            join_at: now + random.u64(..GOSSIP_INTERVAL),
            settings,
            ring,
            secret,
            me,
            instance,
            started_at: now,
            now,
            random,
            last_packet_number: 0,
            refuted_at: 0,
            members: Members::default(),
            updates: UpdateQueue::default(),
            evidence: Evidence::default(),
            observations: Vec::new(),
            announced_position: None,
            member_limits: Default::default(),
            last_logged: Default::default(),
            duplicate_name_count: 0,
            gossip_at: now,
            // A random start, so that not all nodes synchronise the same part first.
            sync_from: MemberId(random_start),
            requested_from: MemberId(random_start),
            sync_pass: (false, false),
            eager_passes: EAGER_PASSES,
            checksum_count: MIN_CHECKSUMS,
            join_wait: GOSSIP_INTERVAL,
            counters: Counters::default(),
            out: Vec::new(),
            payload_queue: VecDeque::new(),
        })
    }

    /// Handles an event and appends the resulting outputs.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, out: &mut Vec<Output>) {
        let gap = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        if gap > PAUSE_PERIODS * self.settings.probe_period {
            // Nothing could be received during the pause: that is no sign that members are dead.
            self.members.extend_timeouts(gap);
            self.prober.extend_timeouts(gap);
            self.fleet_size.extend_delay(gap);
            self.log_event(4, self.me, LogEvent::ProcessPaused(gap));
        }
        match input {
            Input::Packet(from, bytes) => self.handle_packet(from, bytes),
            Input::Tick => {}
            Input::Observations(observations) => self.handle_observations(observations),
            Input::SendPayload(to, bytes) => {
                if bytes.len() <= MAX_PAYLOAD_BYTES && self.supports_checksums(to) {
                    if self.payload_queue.len() >= MAX_QUEUED_PAYLOADS {
                        self.payload_queue.pop_front();
                        self.counters.throttled += 1;
                    }
                    self.payload_queue.push_back((self.now, to, bytes));
                }
            }
            Input::Keys(ring, secret) => self.change_keys(ring, secret),
            Input::Leave { restarts } => self.leave(restarts),
        }
        self.run_due_tasks();
        out.append(&mut self.out);
    }

    /// When [`Self::handle`] should be called next, even if no event has happened.
    pub fn next_wakeup(&self) -> Micros {
        let gossip_at = if self.has_updates_to_send() { self.gossip_at } else { Micros::MAX };
        let earliest = self.now + 1000;
        let payloads_at =
            if self.payload_queue.is_empty() { Micros::MAX } else { self.now + PAYLOAD_RETRY_INTERVAL };
        let probe = if self.is_bootstrapping() { Micros::MAX } else { self.prober.next() };
        gossip_at
            .min(payloads_at)
            .min(self.sync_at)
            .min(self.join_at)
            .min(probe)
            .max(earliest)
            .min(self.now + GOSSIP_INTERVAL)
    }

    /// The counts since the start of the process.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The known members, except for this node.
    pub fn members(&self) -> Vec<MemberView> {
        let view = |(id, member): (&MemberId, &Member)| MemberView {
            name: self.name(*id),
            address: member.signed.statement.address,
            liveness: member.liveness,
            liveness_age: self.now.saturating_sub(member.since),
            rank: self.ring.rank(*id).unwrap_or_default(),
            credit: self.evidence.credit(*id),
        };
        self.members.all.iter().map(view).collect()
    }

    /// This process: the member's id and the process's instance.
    pub fn process(&self) -> (MemberId, u64) {
        (self.me, self.instance)
    }

    /// The other processes that are alive: member ids and instances.
    pub fn alive_processes(&self) -> Vec<(MemberId, u64)> {
        let alive = self.members.all.iter().filter(|(_, member)| member.liveness == Liveness::Alive);
        alive.map(|(id, member)| (*id, member.signed.statement.instance)).collect()
    }

    /// The servers that other nodes suspect.
    pub fn suspicions(&self) -> Vec<SuspicionView> {
        let needed = evidence::witnesses_needed(self.members.all.len() + 1);
        let reports = self.evidence.reports(self.now, &self.members);
        let view = |(server, reports): (u64, Vec<Witness>)| SuspicionView {
            server,
            level: (reports.iter().map(|w| w.weight).sum::<f64>() / needed).min(1.0),
            witnesses: reports.into_iter().map(|report| (self.name(report.witness), report)).collect(),
        };
        reports.into_iter().map(view).collect()
    }

    /// A member's name in the current ring; empty if it is not in the ring.
    pub fn name(&self, id: MemberId) -> String {
        self.ring.name(id).unwrap_or_default().to_owned()
    }

    fn log_event(&mut self, kind: u8, about: MemberId, log_event: LogEvent) {
        let last = self.last_logged.get(&(kind, about)).copied();
        if last.is_none_or(|at| self.now.saturating_sub(at) >= LOG_EVENT_INTERVAL) {
            self.last_logged.insert((kind, about), self.now);
            self.out.push(Output::LogEvent(log_event));
        }
    }

    fn log_member_up(&mut self, id: MemberId) {
        self.log_event(0, id, LogEvent::MemberUp(self.name(id)));
    }

    /// Sends queued payloads as far as the budgets allow. Several payloads for each of many members arrive at
    /// once, more than may be sent at once; dropping them would only make their senders repeat them, and
    /// overload the budget again.
    fn send_queued_payloads(&mut self) {
        while let Some((at, _, bytes)) = self.payload_queue.front() {
            let (size, late) =
                (bytes.len() + UPDATE_PACKET_OVERHEAD, self.now.saturating_sub(*at) > PAYLOAD_TTL);
            let now = self.now;
            let spare = self.probe_budget.left(now) - self.probe_budget.capacity() / 2.0;
            let room = self.update_budget.left(now).max(spare) >= size as f64;
            if !late && !room {
                return;
            }
            let Some((_, to, bytes)) = self.payload_queue.pop_front() else { return };
            if late {
                self.counters.throttled += 1;
            } else {
                self.send(to, Message::Payload(bytes), false, false);
            }
        }
    }

    fn run_due_tasks(&mut self) {
        self.send_queued_payloads();
        for id in self.members.expire(self.now, self.settings.probe_period) {
            self.updates.drop_accusations(id);
            self.log_event(1, id, LogEvent::MemberDown(self.name(id)));
        }
        while !self.is_bootstrapping()
            && let Some(step) = self.prober.step(self.now, &self.members, &mut self.random)
        {
            self.probe(step);
        }
        if self.gossip_at <= self.now && self.has_updates_to_send() {
            self.gossip_at = self.now + GOSSIP_INTERVAL;
            let fan_out = if self.updates.is_urgent() || self.is_refuting() { FAN_OUT.1 } else { FAN_OUT.0 };
            for to in self.random_members(fan_out) {
                self.send(to, Message::Updates, false, true);
            }
        }
        if self.join_at <= self.now {
            self.join();
        }
        if self.sync_at <= self.now {
            self.sync();
        }
        let nodes = self.fleet_size.update(self.now, self.members.sharing_members(self.now) as u32 + 1);
        let fleet = FleetPosition { nodes, rank: self.ring.rank(self.me).unwrap_or_default() };
        if self.announced_position != Some(fleet) {
            self.announced_position = Some(fleet);
            self.out.push(Output::FleetPosition(fleet));
        }
    }

    /// Whether this process has just started and may not know all members yet.
    fn is_bootstrapping(&self) -> bool {
        self.eager_passes > 0 && self.now.saturating_sub(self.started_at) < BOOTSTRAP_TIME
    }

    /// Whether updates should be sent now. While nodes are bootstrapping, updates are left to
    /// synchronisation: all nodes would push the same updates, and responses to requests would have to wait.
    fn has_updates_to_send(&self) -> bool {
        let quiet = self.eager_passes == 0 && !self.updates.is_full();
        self.updates.has_updates() && (quiet || self.updates.is_urgent() || self.is_refuting())
    }

    /// Whether this node has recently refuted an accusation.
    fn is_refuting(&self) -> bool {
        self.refuted_at > 0 && self.now.saturating_sub(self.refuted_at) < 2 * MIN_REFUTE_INTERVAL
    }

    fn random_members(&mut self, max_count: usize) -> Vec<MemberId> {
        let mut present: Vec<MemberId> = self.members.present().collect();
        let max_count = max_count.min(present.len());
        for at in 0..max_count {
            let with = self.random.usize(at..present.len());
            present.swap(at, with);
        }
        present.truncate(max_count);
        present
    }

    fn probe(&mut self, step: Step) {
        match step {
            Step::Ping(to, number) => drop(self.send(to, Message::Ping { number, bare: false }, false, true)),
            Step::PingThrough(target, number, helpers) => {
                for helper in helpers {
                    self.send(helper, Message::PingFor { target, number }, true, false);
                }
            }
            Step::Failed(accused) => {
                let number =
                    self.members.all.get(&accused).map_or(0, |member| member.signed.statement.number);
                self.accuse(Accusation { accused, number, accuser: self.me });
                // The accused member is the first to be informed (Lifeguard's buddy system).
                self.send(accused, Message::Updates, true, true);
            }
        }
    }

    fn accuse(&mut self, accusation: Accusation) {
        let Accusation { accused, number, accuser } = accusation;
        if self.members.accuse(self.now, accused, number, accuser) {
            self.updates.accuse(accusation);
            self.gossip_at = self.gossip_at.min(self.now + URGENT_DELAY);
            // Some members that learn of the accusation probe the accused themselves, so that it does not
            // rest on one node.
            let others = self.members.all.len().max(1) as f64;
            if accuser != self.me && self.random.f64() < EXTRA_PROBERS / others {
                let number = self.random.u64(..);
                let step = self.prober.probe_now(self.now, accused, number);
                step.into_iter().for_each(|step| self.probe(step));
            }
        }
    }

    /// Tries to join at the seeds while no member is present, and otherwise contacts absent members and a
    /// seed from time to time.
    fn join(&mut self) {
        let alone = self.members.present().next().is_none();
        // Nodes that started together may know only each other.
        let just_started = self.now.saturating_sub(self.started_at) < BOOTSTRAP_TIME;
        self.join_wait = match (alone, just_started) {
            (true, true) => (2 * self.join_wait).min(MAX_JOIN_WAIT_AT_START),
            (true, false) => (2 * self.join_wait).min(MAX_JOIN_WAIT.0),
            (false, true) => MAX_JOIN_WAIT.0,
            (false, false) => MAX_JOIN_WAIT.1,
        };
        self.join_at = self.now + self.join_wait / 2 + self.random.u64(..self.join_wait / 2);
        let absent = |m: &Member| !matches!(m.liveness, Liveness::Alive | Liveness::Suspect);
        let absent: Vec<MemberId> =
            self.members.all.iter().filter(|(_, m)| absent(m)).map(|(id, _)| *id).collect();
        if let Some(id) = absent.get(self.random.usize(..absent.len().max(1))) {
            let number = self.random.u64(..);
            self.send(*id, Message::Ping { number, bare: false }, true, true);
        }
        let mut seeds = self.settings.seeds.clone();
        self.random.shuffle(&mut seeds);
        seeds.truncate(if alone { JOIN_SEEDS } else { 1 });
        seeds.retain(|seed| *seed != self.settings.address);
        for address in seeds {
            self.send_to_address(address, None, 0, Message::Join, true, false);
        }
    }

    /// Synchronises one part of the ring with another member (anti-entropy).
    fn sync(&mut self) {
        let now = self.now;
        if self.eager_passes > 0
            && self.update_budget.left(now) < self.update_budget.capacity() * MIN_BUDGET_TO_SYNC
        {
            // Responses to requests of other members come first.
            self.sync_at = now + self.random.u64(NEXT_SYNC_DELAY.0..NEXT_SYNC_DELAY.1);
            return;
        }
        self.sync_at = match self.eager_passes {
            // Asking several members finds the last missing statements.
            0 if now.saturating_sub(self.started_at) < BOOTSTRAP_TIME => {
                now + SYNC_INTERVAL.0 / 10 + self.random.u64(..SYNC_INTERVAL.0 / 5)
            }
            0 => now + SYNC_INTERVAL.0 / 2 + self.random.u64(..SYNC_INTERVAL.0),
            _ => now + SYNC_INTERVAL.1 + self.random.u64(..SYNC_INTERVAL.1),
        };
        let Some(to) = self.random_members(1).pop() else { return };
        self.synchronize_with(to);
    }

    /// Whether a member supports checksums; a member that was never heard is assumed to, if all others do.
    pub(super) fn supports_checksums(&self, id: MemberId) -> bool {
        let was_heard = |member: &&Member| member.has_been_heard();
        match self.members.all.get(&id).filter(was_heard) {
            Some(member) => member.max_version >= CHECKSUMS_VERSION,
            None => self
                .members
                .all
                .values()
                .filter(was_heard)
                .all(|member| member.max_version >= CHECKSUMS_VERSION),
        }
    }

    fn synchronize_with(&mut self, to: MemberId) {
        let with_checksums = self.supports_checksums(to);
        // Members without checksum support do not send the responses that would end eager synchronisation.
        self.eager_passes =
            if with_checksums { self.eager_passes } else { self.eager_passes.saturating_sub(1) };
        let max_count = match (with_checksums, self.eager_passes) {
            (false, _) => MAX_NAMED_MEMBERS,
            (true, 1..) => self.checksum_count,
            (true, 0) => MAX_CHECKSUMS_SENT,
        };
        let from = self.sync_from;
        if from == MemberId(0) {
            // A full pass over the ring is complete: parts in which nothing was missing tell nothing about
            // the other parts.
            let (answered, any_new) = std::mem::take(&mut self.sync_pass);
            self.eager_passes =
                if any_new { EAGER_PASSES } else { self.eager_passes.saturating_sub(answered.into()) };
        }
        self.requested_from = from;
        let mut known: Vec<&SignedStatement> =
            self.members.all.range(from..).map(|(_, m)| &m.signed).take(max_count).collect();
        let reaches_end = known.len() < max_count;
        known.truncate(max_count - 1);
        let last = known.last().map(|last| last.statement.author);
        let end = last.filter(|_| !reaches_end).unwrap_or(MemberId(u64::MAX));
        self.sync_from = if reaches_end { MemberId(0) } else { MemberId(end.0.saturating_add(1)) };
        if (from..=end).contains(&self.me) {
            known.push(&self.own_statement);
        }
        let message = if with_checksums {
            let salt = self.random.u64(..);
            Message::Checksums {
                from,
                to: end,
                salt,
                known: known.iter().map(|signed| signed.checksum(salt)).collect(),
            }
        } else {
            let known =
                known.iter().map(|signed| (signed.statement.author, signed.statement.number)).collect();
            Message::Digest { from, to: end, known }
        };
        self.send(to, message, false, false);
    }

    fn handle_observations(&mut self, observations: Vec<ServerObservation>) {
        self.observations = observations;
        let peer_suspicions = self.evidence.assess(self.now, &self.members, &self.observations);
        if let Some(suspicions) = self.evidence.report(self.now, &self.members, &self.observations) {
            self.publish_statement(self.own_statement.statement.lifecycle, suspicions, 0);
        }
        self.out.push(Output::Suspicions(peer_suspicions));
    }

    fn change_keys(&mut self, ring: KeyRing, secret: Secret) {
        if !ring.has_key(self.me, &secret) {
            return;
        }
        let keep = |id: MemberId| ring.contains(id);
        self.members.retain(keep);
        self.evidence.retain(keep);
        self.member_limits.retain(|id, _| keep(*id));
        self.last_logged.retain(|(_, id), _| keep(*id));
        (self.ring, self.secret) = (ring, secret);
        let Statement { lifecycle, suspicions, .. } = self.own_statement.statement.clone();
        self.publish_statement(lifecycle, suspicions, 0);
    }

    fn leave(&mut self, restarts: bool) {
        let lifecycle = if restarts { Lifecycle::Restarting } else { Lifecycle::Leaving };
        self.publish_statement(lifecycle, Vec::new(), 0);
        for to in self.random_members(FAN_OUT.1) {
            self.send(to, Message::Updates, true, false);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::sim::Net;

    /// The largest request fits a packet, whatever its checksums are.
    #[test]
    fn largest_request_fits_a_packet() {
        let net = Net::new(2, 3, |_, _| {});
        let gossip = Gossip::new(
            Settings {
                name: "n0".into(),
                address: "[2001:db8::ffff:ffff:ffff:ffff]:65535".parse().unwrap(),
                seeds: Vec::new(),
                probe_period: 1,
                max_bytes_per_second: 16_384,
                configured_nodes: 2,
                seed: u64::MAX,
                first_statement_number: u64::MAX - 1,
            },
            net.ring(),
            net.secret(0),
            0,
        );
        let mut gossip = gossip.unwrap();
        let header = gossip.header(VERSION, u64::MAX);
        let max_id = MemberId(u64::MAX);
        let message = Message::Checksums {
            from: max_id,
            to: max_id,
            salt: u64::MAX,
            known: vec![u16::MAX; MAX_CHECKSUMS_SENT],
        };
        let updates = vec![RelayedStatement { relay_age_ms: u32::MAX, signed: gossip.own_statement.clone() }];
        let packet = Packet { header, body: Body { message, accusations: Vec::new(), updates } };
        assert!(packet.encode_signed(&net.secret(0)).is_some(), "{} bytes", packet.size());
    }

    /// Another member's response counts only if that member signed it, whoever relays it.
    #[test]
    fn only_the_targets_own_signature_confirms_a_relayed_ack() {
        let mut net = Net::new(3, 17, |_, _| {});
        net.start_all();
        net.run_until(10_000_000, &|_, _| Vec::new());
        net.kill(2);
        let current_ping =
            |net: &Net| net.nodes[0].gossip.as_ref().and_then(|gossip| gossip.prober.current_ping());
        while current_ping(&net).is_none_or(|(target, _)| target != MemberId::of("n2")) {
            net.run_until(net.now + 10_000, &|_, _| Vec::new());
        }
        let number = current_ping(&net).unwrap().1;
        let relayed_ack = |by: Secret| {
            let header = Header {
                version: VERSION,
                max_version: VERSION,
                from: MemberId::of("n2"),
                key: net.secret(2).hint(),
                instance: 1,
                to_instance: 2,
                number: 3,
            };
            let body = Body { message: Message::Ack(number), accusations: Vec::new(), updates: Vec::new() };
            Packet { header, body }.encode_signed(&by).unwrap()
        };
        let (forged, genuine) = (relayed_ack(net.secret(1)), relayed_ack(net.secret(2)));
        let gossip = net.nodes[0].gossip.as_mut().unwrap();
        gossip.handle_relayed_ack(&forged);
        assert!(gossip.prober.current_ping().is_some());
        gossip.handle_relayed_ack(&genuine);
        assert!(gossip.prober.current_ping().is_none());
    }
}
