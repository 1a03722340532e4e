//! The state machine of one node: what comes in, what goes out, and when it wants to be looked at.

mod receive;
mod send;
mod types;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use cherryusher::ServerObservation;

use crate::Micros;
use crate::dissemination::{CROWDED, News, tellings};
use crate::evidence::{self, Evidence, Witness};
use crate::keys::{KeyRing, MemberId, Secret};
use crate::limits::{Bucket, HEADERS, Sources};
use crate::members::{Liveness, Member, Members};
use crate::packet::{
    ACCUSATIONS_MOST, Accusation, Body, Carried, Header, MAX_PACKET_BYTES, Message, NAMED_MOST, Packet,
    ParseError, SUMS_FROM, SUMS_SENT, Signed, Stance, Statement, Suspicion, VERSION, VERSION_LEAST, millis,
    parse,
};
use crate::position::{FleetPosition, Places};
use crate::probe::{Prober, Step};

pub use types::{Counters, Input, LogEvent, MAX_PAYLOAD_BYTES, MemberView, Output, Settings, SuspicionView};

/// How often news are told while there are any.
const ROUND: Micros = 100_000;
/// Members that are told in a round, and while somebody is accused or has answered that.
const FAN_OUT: (usize, usize) = (2, 4);
/// How soon an accusation is passed on, and an answer to one.
const AT_ONCE: Micros = 5_000;
/// Nodes that ask a member out of turn once they hear that it is accused.
const CHECKERS: f64 = 6.0;
/// How often a digest is sent while it finds nothing, and while it does.
const SYNC: (Micros, Micros) = (5_000_000, 200_000);
/// How soon the next part is asked for while answers bring something new.
const EAGER: (Micros, Micros) = (20_000, 60_000);
/// It asks while so much of what is for news is left: others' questions come first.
const ASKS_FROM: f64 = 0.6;
/// How many times round all that is known with nothing new end that.
const EAGERLY: u8 = 2;
/// Members of which sums are sent at least, while much is missing.
const SUMS_LEAST: usize = 32;
/// An answer that holds all there was, and fewer, is worth more sums in the next question.
const FEW: usize = 8;
/// A node that starts learns who is there before it asks whether they are; after this time it does so in any
/// case.
const LEARNS: Micros = 30_000_000;
/// Bytes of news that go with probes and answers meanwhile.
const BESIDE: usize = 250;
/// Members that a node which is let in is told of, chosen at random: whom it asks on.
const INTRODUCED: usize = 3;
/// Seeds that are asked at once to be let in.
const KNOCKS: usize = 3;
/// The longest wait between two tries of a process that has just begun and knows nobody.
const JOIN_NEW: Micros = 500_000;
/// The longest wait between two tries to join, while alone and later.
const JOIN_MOST: (Micros, Micros) = (3_000_000, 10_000_000);
/// A gap between two looks, in periods, that means that this process stood still.
const STOOD_STILL: Micros = 3;
/// Packets a second that one address, and one member, are listened to.
const LISTEN: f64 = 200.0;
/// The part of the ceiling that is for news; the rest is for probes and answers. Neither can take the
/// other's: whom many ask at once still tells them of others, and who has much to tell still answers.
const FOR_NEWS: f64 = 0.6;
/// What a packet with nothing but news takes beside them, at most, with the headers of UDP and IP.
const FRAME: usize = 200;
/// Packets that wait to be carried at most, for how long, and how often they are looked at.
const CARRIED_KEPT: usize = 64;
const CARRIED_LATE: Micros = 500_000;
const CARRIED_AGAIN: Micros = 5_000;
/// The least time between two statements that answer an accusation.
const REFUTE: Micros = 200_000;
/// The least time between two notes of one kind.
const NOTE: Micros = 60_000_000;

/// Gossip of one node.
pub struct Gossip {
    settings: Settings,
    ring: KeyRing,
    secret: Secret,
    me: MemberId,
    instance: u64,
    began: Micros,
    now: Micros,
    packets: u64,
    own: Signed,
    refuted_at: Micros,
    members: Members,
    news: News,
    prober: Prober,
    evidence: Evidence,
    sightings: Vec<ServerObservation>,
    places: Places,
    told: Option<FleetPosition>,
    for_probes: Bucket,
    for_news: Bucket,
    sources: Sources,
    by_member: BTreeMap<MemberId, Bucket>,
    notes: BTreeMap<(u8, MemberId), Micros>,
    twins: u32,
    round_at: Micros,
    sync_at: Micros,
    sync_from: MemberId,
    asked_from: MemberId,
    /// Whether there were answers since it last began with the first part of the ring, and anything new in
    /// them.
    round: (bool, bool),
    /// How many more times round with nothing new it takes until it asks less often.
    eager: u8,
    /// Of how many members it then sends sums.
    sums: usize,
    join_at: Micros,
    join_wait: Micros,
    random: fastrand::Rng,
    figures: Counters,
    out: Vec<Output>,
    /// What is to be carried, and since when it waits.
    carried: VecDeque<(Micros, MemberId, Vec<u8>)>,
}

impl Gossip {
    /// A node that begins now. `None` if its name is not in the ring with its secret's key.
    pub fn new(settings: Settings, ring: KeyRing, secret: Secret, now: Micros) -> Option<Gossip> {
        let me = MemberId::of(&settings.name);
        if !ring.has_key(me, &secret) {
            return None;
        }
        let mut random = fastrand::Rng::with_seed(settings.seed);
        // 0 means that no process is known.
        let instance = random.u64(1..);
        let statement = Statement {
            author: me,
            key: secret.hint(),
            instance,
            number: settings.first_statement_number,
            address: settings.address,
            stance: Stance::Here,
            suspicions: Vec::new(),
        };
        let period = settings.probe_period.max(1);
        let random_start = random.u64(..);
        Some(Gossip {
            own: Signed::new(statement, &secret),
            prober: Prober::new(period, now + random.u64(..period)),
            places: Places::new(settings.configured_nodes),
            for_probes: Bucket::ceiling(f64::from(settings.max_bytes_per_second) * (1.0 - FOR_NEWS), now),
            for_news: Bucket::ceiling(f64::from(settings.max_bytes_per_second) * FOR_NEWS, now),
            sources: Sources::new(LISTEN, now),
            sync_at: now + random.u64(..SYNC.1),
            join_at: now + random.u64(..ROUND),
            settings,
            ring,
            secret,
            me,
            instance,
            began: now,
            now,
            random,
            packets: 0,
            refuted_at: 0,
            members: Members::default(),
            news: News::default(),
            evidence: Evidence::default(),
            sightings: Vec::new(),
            told: None,
            by_member: Default::default(),
            notes: Default::default(),
            twins: 0,
            round_at: now,
            // Not all compare the same part first.
            sync_from: MemberId(random_start),
            asked_from: MemberId(random_start),
            round: (false, false),
            eager: EAGERLY,
            sums: SUMS_LEAST,
            join_wait: ROUND,
            figures: Counters::default(),
            out: Vec::new(),
            carried: VecDeque::new(),
        })
    }

    /// Takes in what happened and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, out: &mut Vec<Output>) {
        let gap = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        if gap > STOOD_STILL * self.settings.probe_period {
            // Nobody could be heard meanwhile: that is no sign that they are gone.
            self.members.shift(gap);
            self.prober.shift(gap);
            self.places.shift(gap);
            self.note(4, self.me, LogEvent::ProcessPaused(gap));
        }
        match input {
            Input::Packet(from, bytes) => self.packet(from, bytes),
            Input::Tick => {}
            Input::Observations(seen) => self.saw(seen),
            Input::SendPayload(to, bytes) => {
                if bytes.len() <= MAX_PAYLOAD_BYTES && self.knows_sums(to) {
                    if self.carried.len() >= CARRIED_KEPT {
                        self.carried.pop_front();
                        self.figures.throttled += 1;
                    }
                    self.carried.push_back((self.now, to, bytes));
                }
            }
            Input::Keys(ring, secret) => self.change_keys(ring, secret),
            Input::Leave { restarts } => self.leave(restarts),
        }
        self.work();
        out.append(&mut self.out);
    }

    /// When it wants to be looked at next.
    pub fn next_wakeup(&self) -> Micros {
        let round = if self.has_news() { self.round_at } else { Micros::MAX };
        let least = self.now + 1000;
        let carried = if self.carried.is_empty() { Micros::MAX } else { self.now + CARRIED_AGAIN };
        let probe = if self.learns() { Micros::MAX } else { self.prober.next() };
        round.min(carried).min(self.sync_at).min(self.join_at).min(probe).max(least).min(self.now + ROUND)
    }

    /// What was counted.
    pub fn counters(&self) -> Counters {
        self.figures
    }

    /// The members that it knows, itself left out.
    pub fn members(&self) -> Vec<MemberView> {
        let view = |(id, member): (&MemberId, &Member)| MemberView {
            name: self.name(*id),
            address: member.signed.statement.address,
            liveness: member.standing,
            liveness_age: self.now.saturating_sub(member.since),
            rank: self.ring.rank(*id).unwrap_or_default(),
            credit: self.evidence.credit(*id),
        };
        self.members.all.iter().map(view).collect()
    }

    /// This process, by its name and its random number.
    pub fn process(&self) -> (MemberId, u64) {
        (self.me, self.instance)
    }

    /// The other processes that are there.
    pub fn alive_processes(&self) -> Vec<(MemberId, u64)> {
        let alive = self.members.all.iter().filter(|(_, member)| member.standing == Liveness::Alive);
        alive.map(|(id, member)| (*id, member.signed.statement.instance)).collect()
    }

    /// The servers that others suspect.
    pub fn suspicions(&self) -> Vec<SuspicionView> {
        let needed = evidence::witnesses_needed(self.members.all.len() + 1);
        let words = self.evidence.words(self.now, &self.members);
        let view = |(server, words): (u64, Vec<Witness>)| SuspicionView {
            server,
            level: (words.iter().map(|w| w.weight).sum::<f64>() / needed).min(1.0),
            witnesses: words.into_iter().map(|word| (self.name(word.witness), word)).collect(),
        };
        words.into_iter().map(view).collect()
    }

    /// A member's name, by the ring as it is now; empty for who is not in it.
    pub fn name(&self, id: MemberId) -> String {
        self.ring.name(id).unwrap_or_default().to_owned()
    }

    fn note(&mut self, kind: u8, about: MemberId, note: LogEvent) {
        let last = self.notes.get(&(kind, about)).copied();
        if last.is_none_or(|at| self.now.saturating_sub(at) >= NOTE) {
            self.notes.insert((kind, about), self.now);
            self.out.push(Output::LogEvent(note));
        }
    }

    fn note_up(&mut self, id: MemberId) {
        self.note(0, id, LogEvent::MemberUp(self.name(id)));
    }

    /// Hands on what is carried as the ceiling has room. Several packets for each of many members come at
    /// once, more than may go at once; what got lost for that would be asked for again, and lost again.
    fn carry(&mut self) {
        while let Some((at, _, bytes)) = self.carried.front() {
            let (size, late) = (bytes.len() + FRAME, self.now.saturating_sub(*at) > CARRIED_LATE);
            let now = self.now;
            let spare = self.for_probes.left(now) - self.for_probes.depth() / 2.0;
            let room = self.for_news.left(now).max(spare) >= size as f64;
            if !late && !room {
                return;
            }
            let Some((_, to, bytes)) = self.carried.pop_front() else { return };
            if late {
                self.figures.throttled += 1;
            } else {
                self.tell(to, Message::Carried(bytes), false, false);
            }
        }
    }

    fn work(&mut self) {
        self.carry();
        for id in self.members.expire(self.now, self.settings.probe_period) {
            self.news.settled(id);
            self.note(1, id, LogEvent::MemberDown(self.name(id)));
        }
        while !self.learns()
            && let Some(step) = self.prober.step(self.now, &self.members, &mut self.random)
        {
            self.probe(step);
        }
        if self.round_at <= self.now && self.has_news() {
            self.round_at = self.now + ROUND;
            let fan_out = if self.news.is_urgent() || self.refutes() { FAN_OUT.1 } else { FAN_OUT.0 };
            for to in self.some_present(fan_out) {
                self.tell(to, Message::News, false, true);
            }
        }
        if self.join_at <= self.now {
            self.join();
        }
        if self.sync_at <= self.now {
            self.sync();
        }
        let nodes = self.places.update(self.now, self.members.counted(self.now) as u32 + 1);
        let fleet = FleetPosition { nodes, rank: self.ring.rank(self.me).unwrap_or_default() };
        if self.told != Some(fleet) {
            self.told = Some(fleet);
            self.out.push(Output::FleetPosition(fleet));
        }
    }

    /// Whether this process has just begun and does not know yet who is there.
    fn learns(&self) -> bool {
        self.eager > 0 && self.now.saturating_sub(self.began) < LEARNS
    }

    /// Whether something is worth telling now. Who still learns who is there leaves that to those who ask:
    /// all push the same then, and what is asked for would have to wait.
    fn has_news(&self) -> bool {
        let quiet = self.eager == 0 && !self.news.is_crowded();
        self.news.is_hot() && (quiet || self.news.is_urgent() || self.refutes())
    }

    /// Whether this node has just answered an accusation.
    fn refutes(&self) -> bool {
        self.refuted_at > 0 && self.now.saturating_sub(self.refuted_at) < 2 * REFUTE
    }

    fn some_present(&mut self, most: usize) -> Vec<MemberId> {
        let mut there: Vec<MemberId> = self.members.present().collect();
        let most = most.min(there.len());
        for at in 0..most {
            let with = self.random.usize(at..there.len());
            there.swap(at, with);
        }
        there.truncate(most);
        there
    }

    fn probe(&mut self, step: Step) {
        match step {
            Step::Ping(to, number) => drop(self.tell(to, Message::Ping { number, bare: false }, false, true)),
            Step::Ask(target, number, helpers) => {
                for helper in helpers {
                    self.tell(helper, Message::PingFor { target, number }, true, false);
                }
            }
            Step::Failed(accused) => {
                let number =
                    self.members.all.get(&accused).map_or(0, |member| member.signed.statement.number);
                self.accuse(Accusation { accused, number, accuser: self.me });
                // It hears it first of all (Lifeguard's buddy system).
                self.tell(accused, Message::News, true, true);
            }
        }
    }

    fn accuse(&mut self, accusation: Accusation) {
        let Accusation { accused, number, accuser } = accusation;
        if self.members.accuse(self.now, accused, number, accuser) {
            self.news.accuse(accusation);
            self.round_at = self.round_at.min(self.now + AT_ONCE);
            // Some who hear it look for themselves: it is not left to one node's word for long.
            let others = self.members.all.len().max(1) as f64;
            if accuser != self.me && self.random.f64() < CHECKERS / others {
                let number = self.random.u64(..);
                let step = self.prober.check(self.now, accused, number);
                step.into_iter().for_each(|step| self.probe(step));
            }
        }
    }

    /// Knocks at the seeds while nobody is there, and now and then at those that were.
    fn join(&mut self) {
        let alone = self.members.present().next().is_none();
        // Some that started together may know each other and nobody else.
        let new = self.now.saturating_sub(self.began) < LEARNS;
        self.join_wait = match (alone, new) {
            (true, true) => (2 * self.join_wait).min(JOIN_NEW),
            (true, false) => (2 * self.join_wait).min(JOIN_MOST.0),
            (false, true) => JOIN_MOST.0,
            (false, false) => JOIN_MOST.1,
        };
        self.join_at = self.now + self.join_wait / 2 + self.random.u64(..self.join_wait / 2);
        let gone = |m: &Member| !matches!(m.standing, Liveness::Alive | Liveness::Suspect);
        let gone: Vec<MemberId> =
            self.members.all.iter().filter(|(_, m)| gone(m)).map(|(id, _)| *id).collect();
        if let Some(id) = gone.get(self.random.usize(..gone.len().max(1))) {
            let number = self.random.u64(..);
            self.tell(*id, Message::Ping { number, bare: false }, true, true);
        }
        let mut seeds = self.settings.seeds.clone();
        self.random.shuffle(&mut seeds);
        seeds.truncate(if alone { KNOCKS } else { 1 });
        seeds.retain(|seed| *seed != self.settings.address);
        for address in seeds {
            self.tell_at(address, None, 0, Message::Join, true, false);
        }
    }

    /// Compares what is known with another member, a part at a time (anti-entropy).
    fn sync(&mut self) {
        let now = self.now;
        if self.eager > 0 && self.for_news.left(now) < self.for_news.depth() * ASKS_FROM {
            // Others ask this node: their answers come first.
            self.sync_at = now + self.random.u64(EAGER.0..EAGER.1);
            return;
        }
        self.sync_at = match self.eager {
            // The last ones are found by asking several.
            0 if now.saturating_sub(self.began) < LEARNS => now + SYNC.0 / 10 + self.random.u64(..SYNC.0 / 5),
            0 => now + SYNC.0 / 2 + self.random.u64(..SYNC.0),
            _ => now + SYNC.1 + self.random.u64(..SYNC.1),
        };
        let Some(to) = self.some_present(1).pop() else { return };
        self.sync_with(to);
    }

    /// Whether a member knows sums; one that was never heard is taken to speak as those that were.
    pub(super) fn knows_sums(&self, id: MemberId) -> bool {
        let heard = |member: &&Member| member.was_heard();
        match self.members.all.get(&id).filter(heard) {
            Some(member) => member.speaks >= SUMS_FROM,
            None => self.members.all.values().filter(heard).all(|member| member.speaks >= SUMS_FROM),
        }
    }

    fn sync_with(&mut self, to: MemberId) {
        let sums = self.knows_sums(to);
        // One that does not know them gives no such answer.
        self.eager = if sums { self.eager } else { self.eager.saturating_sub(1) };
        let most = match (sums, self.eager) {
            (false, _) => NAMED_MOST,
            (true, 1..) => self.sums,
            (true, 0) => SUMS_SENT,
        };
        let from = self.sync_from;
        if from == MemberId(0) {
            // Once round: parts of the ring of which all is known say nothing of the others.
            let (answered, new) = std::mem::take(&mut self.round);
            self.eager = if new { EAGERLY } else { self.eager.saturating_sub(answered.into()) };
        }
        self.asked_from = from;
        let mut known: Vec<&Signed> =
            self.members.all.range(from..).map(|(_, m)| &m.signed).take(most).collect();
        let whole = known.len() < most;
        known.truncate(most - 1);
        let last = known.last().map(|last| last.statement.author);
        let end = last.filter(|_| !whole).unwrap_or(MemberId(u64::MAX));
        self.sync_from = if whole { MemberId(0) } else { MemberId(end.0.saturating_add(1)) };
        if (from..=end).contains(&self.me) {
            known.push(&self.own);
        }
        let message = if sums {
            let salt = self.random.u64(..);
            Message::Sums {
                from,
                to: end,
                salt,
                known: known.iter().map(|signed| signed.sum(salt)).collect(),
            }
        } else {
            let known =
                known.iter().map(|signed| (signed.statement.author, signed.statement.number)).collect();
            Message::Digest { from, to: end, known }
        };
        self.tell(to, message, false, false);
    }

    fn saw(&mut self, seen: Vec<ServerObservation>) {
        self.sightings = seen;
        let doubts = self.evidence.weigh(self.now, &self.members, &self.sightings);
        if let Some(say) = self.evidence.say(self.now, &self.members, &self.sightings) {
            self.restate(self.own.statement.stance, say, 0);
        }
        self.out.push(Output::Suspicions(doubts));
    }

    fn change_keys(&mut self, ring: KeyRing, secret: Secret) {
        if !ring.has_key(self.me, &secret) {
            return;
        }
        let keep = |id: MemberId| ring.contains(id);
        self.members.retain(keep);
        self.evidence.retain(keep);
        self.by_member.retain(|id, _| keep(*id));
        self.notes.retain(|(_, id), _| keep(*id));
        (self.ring, self.secret) = (ring, secret);
        let Statement { stance, suspicions, .. } = self.own.statement.clone();
        self.restate(stance, suspicions, 0);
    }

    fn leave(&mut self, restarts: bool) {
        let stance = if restarts { Stance::Restarting } else { Stance::Leaving };
        self.restate(stance, Vec::new(), 0);
        for to in self.some_present(FAN_OUT.1) {
            self.tell(to, Message::News, true, false);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::sim::Net;

    /// What is asked for most at once still fits a packet, whatever sums come to.
    #[test]
    fn the_longest_question_fits_a_packet() {
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
        let most = MemberId(u64::MAX);
        let message =
            Message::Sums { from: most, to: most, salt: u64::MAX, known: vec![u16::MAX; SUMS_SENT] };
        let news = vec![Carried { held_ms: u32::MAX, signed: gossip.own.clone() }];
        let packet = Packet { header, body: Body { message, accusations: Vec::new(), news } };
        assert!(packet.seal(&net.secret(0)).is_some(), "{} bytes", packet.size());
    }

    /// Another member's answer is believed only from that member, whoever hands it through.
    #[test]
    fn a_helper_can_not_praise_the_dead() {
        let mut net = Net::new(3, 17, |_, _| {});
        net.start_all();
        net.run_until(10_000_000, &|_, _| Vec::new());
        net.kill(2);
        let asked = |net: &Net| net.nodes[0].gossip.as_ref().and_then(|gossip| gossip.prober.asked());
        while asked(&net).is_none_or(|(target, _)| target != MemberId::of("n2")) {
            net.run_until(net.now + 10_000, &|_, _| Vec::new());
        }
        let number = asked(&net).unwrap().1;
        let proof = |by: Secret| {
            let header = Header {
                version: VERSION,
                speaks: VERSION,
                from: MemberId::of("n2"),
                key: net.secret(2).hint(),
                instance: 1,
                to_instance: 2,
                number: 3,
            };
            let body = Body { message: Message::Ack(number), accusations: Vec::new(), news: Vec::new() };
            Packet { header, body }.seal(&by).unwrap()
        };
        let (false_one, true_one) = (proof(net.secret(1)), proof(net.secret(2)));
        let gossip = net.nodes[0].gossip.as_mut().unwrap();
        gossip.proof(&false_one);
        assert!(gossip.prober.asked().is_some());
        gossip.proof(&true_one);
        assert!(gossip.prober.asked().is_none());
    }
}
