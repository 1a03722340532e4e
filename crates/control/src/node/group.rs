//! The replica group: inputs, outputs, members, and proof that the state here is current.

use std::net::{IpAddr, SocketAddr};

use dunelink_feed::Configuration;
use dunelink_protocol::ControlMember;
use dunelink_replication::{Input, Member, Membership, Message, Output, ReplicaId};
use slog::{error, info};

use super::{Effect, MILLISECOND, Node};
use crate::identity::internal_address;
use crate::message::{Envelope, KnownMembers, PeerMessage};
use crate::state::{ApplyOutcome, ConfigurationState};

/// Without a leader for this long, the machine asks everyone it knows, in microseconds.
const LEADERLESS: u64 = 3_000 * MILLISECOND;
/// A process that saw no event for longer had been stopped, in microseconds.
const STOPPED: u64 = 600 * MILLISECOND;
/// After a stop, messages may be as old as the stop; they confirm nothing for this long, in microseconds.
const DISTRUST: u64 = 300 * MILLISECOND;
/// Addresses of control machines that are remembered.
const KNOWN_ADDRESSES: usize = 256;
/// Names of zones that are remembered.
const KNOWN_ZONES: usize = 1_024;

/// When the state here was last known to be current.
#[derive(Debug, Default)]
pub(super) struct Proof {
    /// Such a message was received at this time, and all that was committed then is applied.
    pub(super) confirmed_at: Option<u64>,
    /// A message that tells of more than is applied: its committed index and when it was received.
    pending: Option<(u64, u64)>,
    /// Messages received before this time confirm nothing.
    distrust_until: u64,
    last_event: u64,
}

impl Proof {
    pub(super) fn begin(now: u64) -> Self {
        Self { last_event: now, ..Self::default() }
    }

    /// Notes that the process runs. After a stop, what waited in buffers may be old.
    fn event(&mut self, now: u64) {
        if now > self.last_event + STOPPED {
            self.distrust_until = now + DISTRUST;
        }
        self.last_event = now;
    }

    /// A leader that held its lease told at `now` that `commit` is committed; `applied` is what is applied here.
    fn told(&mut self, now: u64, commit: u64, applied: u64) {
        if now < self.distrust_until {
            return;
        }
        if applied >= commit {
            self.confirmed_at = Some(now);
            self.pending = None;
        } else if self.pending.is_none() {
            self.pending = Some((commit, now));
        }
    }

    fn applied(&mut self, applied: u64) {
        if let Some((_, at)) = self.pending.take_if(|(commit, _)| applied >= *commit) {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }
}

impl Node {
    /// Hands an input to the replica and carries out what it returns.
    pub(super) fn input(&mut self, now: u64, input: Input, effects: &mut Vec<Effect>) {
        self.proof.event(now);
        let led = self.leading.is_some();
        let mut outputs = Vec::new();
        let mut states = Vec::new();
        self.replica.handle(now, input, &mut outputs);
        for output in outputs {
            self.output(now, output, &mut states, effects);
        }
        for state in states {
            self.input(now, state, effects);
        }
        self.proof.applied(self.replica.commit_index());
        self.watch_lease(now, led, effects);
        self.decide_next(now, effects);
    }

    pub(super) fn replication(
        &mut self,
        now: u64,
        from: ReplicaId,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let told = match &message {
            Message::Heartbeat { term, commit_index, leader_holds_lease: true, .. } => {
                Some((*term, *commit_index))
            }
            _ => None,
        };
        self.input(now, Input::Received { from, message }, effects);
        if let Some((term, commit)) = told
            && term == self.replica.term()
            && self.is_leader(from)
        {
            self.proof.told(now, commit, self.replica.commit_index());
        }
    }

    /// Carries out an output. Snapshots are handed in after all outputs, so that writes stay in order.
    fn output(&mut self, now: u64, output: Output, states: &mut Vec<Input>, effects: &mut Vec<Effect>) {
        match output {
            Output::Send { to, message } => self.send(&to, PeerMessage::Replication(message), effects),
            Output::Write { sequence, records } => effects.push(Effect::Write { sequence, records }),
            Output::Apply { index, command } => self.apply(index, &command, effects),
            Output::Restore { index, state } => self.restore(index, &state, effects),
            Output::ProposalResult { proposal_id, result } => self.decided(now, proposal_id, result, effects),
            Output::TakeSnapshot { index } => {
                let state = self.state.snapshot();
                states.push(Input::SnapshotTaken { index, state });
            }
            Output::LeaderChanged { leader, term, is_self } => {
                let leader =
                    leader.map_or_else(|| "none".to_owned(), |leader| leader.control_address.to_string());
                info!(self.log, "leader changed"; "leader" => leader, "term" => term, "self" => is_self);
            }
            Output::MembershipChanged(membership) => self.membership_changed(&membership, effects),
            Output::RemovedFromGroup => {
                info!(self.log, "no longer a member"; "id" => %self.me.id);
                effects.push(Effect::Rejoin);
            }
        }
    }

    fn apply(&mut self, index: u64, command: &[u8], effects: &mut Vec<Effect>) {
        match self.state.apply(command) {
            Ok((digest, verdict)) => {
                if self.changes.is_proposed(&digest) {
                    self.verdicts.insert(digest, verdict);
                }
                if verdict == ApplyOutcome::Applied {
                    info!(self.log, "configuration in force"; "version" => self.state.version(), "index" => index);
                    self.feed_configuration(effects);
                }
            }
            Err(reason) => error!(self.log, "a command is skipped"; "index" => index, "reason" => %reason),
        }
    }

    fn restore(&mut self, index: u64, bytes: &[u8], effects: &mut Vec<Effect>) {
        match ConfigurationState::restore(bytes) {
            Ok(state) => self.state = state,
            Err(reason) => error!(self.log, "a snapshot is skipped"; "index" => index, "reason" => %reason),
        }
        info!(self.log, "state restored"; "version" => self.state.version(), "index" => index);
        self.feed_configuration(effects);
    }

    /// Feeds the configuration in force, unless a newer one was fed.
    fn feed_configuration(&mut self, effects: &mut Vec<Effect>) {
        if self.state.version() > self.feed.configuration_version() {
            let bytes = self.state.body().clone();
            self.feed.configuration = Some(Configuration { version: self.state.version(), bytes });
            effects.push(Effect::FeedChanged);
        }
    }

    fn membership_changed(&mut self, membership: &Membership, effects: &mut Vec<Effect>) {
        let names = |members: &mut dyn Iterator<Item = &Member>| -> String {
            members.map(|member| member.control_address.to_string()).collect::<Vec<_>>().join(",")
        };
        info!(self.log, "members changed";
            "voters" => names(&mut membership.voters.iter()),
            "incoming" => names(&mut membership.incoming_voters.iter().flatten()),
            "learners" => names(&mut membership.learners.iter()));
        let controls: Vec<SocketAddr> =
            membership.all_members().map(|member| member.control_address).collect();
        self.know(controls.into_iter());
        self.update_members(effects);
    }

    /// Brings the list of control machines that agents are told up to date.
    pub(super) fn update_members(&mut self, effects: &mut Vec<Effect>) {
        let zone_of = |member: &Member| -> String {
            let told = self.zones.get(&member.internal_address.ip()).cloned();
            told.unwrap_or_else(|| member.zone.clone())
        };
        let members: Vec<ControlMember> = self
            .replica
            .membership()
            .all_members()
            .map(|member| ControlMember {
                internal_address: member.internal_address.to_string(),
                zone: zone_of(member),
            })
            .collect();
        if members != self.feed.members {
            self.feed.members = members;
            effects.push(Effect::FeedChanged);
        }
    }

    /// The zone of a machine, as it tells.
    pub fn learn_zone(&mut self, ip: IpAddr, zone: &str, effects: &mut Vec<Effect>) {
        let known = self.zones.get(&ip).is_some_and(|known| known == zone);
        if zone.is_empty() || known || self.zones.len() >= KNOWN_ZONES {
            return;
        }
        self.zones.insert(ip, zone.to_owned());
        self.update_members(effects);
    }

    /// Remembers control addresses. Seeds come and go, so that there is a bound; members are added again as they
    /// change.
    pub(super) fn know(&mut self, controls: impl Iterator<Item = SocketAddr>) {
        for control in controls {
            if self.known.len() >= KNOWN_ADDRESSES {
                self.known = self.settings.seeds.iter().copied().collect();
            }
            self.known.insert(control);
        }
    }

    /// Asks to become a member: with no membership, or after some time without a leader.
    pub(super) fn ask_to_join(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let is_member = self.replica.membership().contains(self.me.id);
        let silent = self.replica.time_since_leader_contact(now).is_none_or(|age| age > LEADERLESS);
        let old_enough = now > self.began_at + LEADERLESS;
        if self.ending || (is_member && !(silent && old_enough)) {
            return;
        }
        let port = self.me.internal_address.port();
        for control in self.known.iter().filter(|control| **control != self.me.control_address) {
            let to = internal_address(control.ip(), port);
            let message = PeerMessage::JoinRequest(self.me.clone());
            effects.push(Effect::Send { to, envelope: Envelope { from: self.me.id, to: None, message } });
        }
    }

    pub(super) fn join_request(&mut self, now: u64, member: Member, effects: &mut Vec<Effect>) {
        if member.id == self.me.id || member.internal_address == self.me.internal_address {
            return;
        }
        let members: Vec<Member> = self.replica.membership().all_members().cloned().collect();
        let leader = self.replica.leader().cloned();
        if !members.is_empty() {
            self.send(&member, PeerMessage::Members(KnownMembers { members, leader }), effects);
        }
        if self.replica.is_leader() {
            self.input(now, Input::Join(member), effects);
        }
    }

    pub(super) fn members_told(&mut self, told: KnownMembers) {
        let members = told.members.iter().chain(&told.leader);
        let controls: Vec<SocketAddr> = members.map(|member| member.control_address).collect();
        self.know(controls.into_iter());
    }

    pub(super) fn is_leader(&self, id: ReplicaId) -> bool {
        self.replica.leader().is_some_and(|leader| leader.id == id)
    }

    /// The other members.
    pub(super) fn others(&self) -> impl Iterator<Item = &Member> {
        self.replica.membership().all_members().filter(|member| member.id != self.me.id)
    }

    pub(super) fn send(&self, to: &Member, message: PeerMessage, effects: &mut Vec<Effect>) {
        let envelope = Envelope { from: self.me.id, to: Some(to.id), message };
        effects.push(Effect::Send { to: to.internal_address, envelope });
    }

    pub(super) fn tell_all(&self, message: &PeerMessage, effects: &mut Vec<Effect>) {
        for member in self.others() {
            self.send(member, message.clone(), effects);
        }
    }
}
