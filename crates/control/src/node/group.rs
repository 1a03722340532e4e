//! The replica group: inputs and outputs of the replica, membership, and confirmation that the local state is
//! current.

use std::net::{IpAddr, SocketAddr};

use dunelink_feed::Configuration;
use dunelink_protocol::ControlMember;
use dunelink_replication::{Input, Member, Membership, Message, Output, ReplicaId};
use slog::{error, info};

use super::{Effect, MILLISECOND, Node};
use crate::identity::internal_address;
use crate::message::{Envelope, KnownMembers, PeerMessage};
use crate::state::{ApplyOutcome, ConfigurationState};

/// After this long without a leader, the machine asks all known machines to let it join, in microseconds.
const JOIN_AFTER_LEADERLESS_US: u64 = 3_000 * MILLISECOND;
/// A process without any event for longer than this counts as paused, in microseconds.
const PAUSE_THRESHOLD_US: u64 = 600 * MILLISECOND;
/// Messages received within this time after a pause may be as old as the pause and confirm nothing, in
/// microseconds.
const DISTRUST_AFTER_PAUSE_US: u64 = 300 * MILLISECOND;
/// Most addresses of control machines that are kept.
const MAX_KNOWN_ADDRESSES: usize = 256;
/// Most zones of control machines that are kept.
const MAX_ZONES: usize = 1_024;

/// When the local state was last confirmed to be current.
#[derive(Debug, Default)]
pub(super) struct Confirmation {
    /// Receipt of the newest heartbeat of a lease holder whose commit index has been applied here, in
    /// microseconds; `None` before the first.
    pub(super) confirmed_at: Option<u64>,
    /// A heartbeat that is ahead of the local state: its commit index and its receipt in microseconds.
    pending: Option<(u64, u64)>,
    /// Heartbeats received before this time confirm nothing, in microseconds.
    distrusted_until: u64,
    /// Time of the last event of any kind, in microseconds.
    last_event_at: u64,
}

impl Confirmation {
    pub(super) fn begin(now: u64) -> Self {
        Self { last_event_at: now, ..Self::default() }
    }

    /// Records that the process runs. After a pause, messages in the buffers may be old.
    fn record_event(&mut self, now: u64) {
        if now > self.last_event_at + PAUSE_THRESHOLD_US {
            self.distrusted_until = now + DISTRUST_AFTER_PAUSE_US;
        }
        self.last_event_at = now;
    }

    /// Handles a heartbeat, received at `now` from a leader that held its lease, with its commit index;
    /// `applied` is the last index applied here.
    fn record_heartbeat(&mut self, now: u64, commit: u64, applied: u64) {
        if now < self.distrusted_until {
            return;
        }
        if applied >= commit {
            self.confirmed_at = Some(now);
            self.pending = None;
        } else if self.pending.is_none() {
            self.pending = Some((commit, now));
        }
    }

    fn record_applied(&mut self, applied: u64) {
        if let Some((_, at)) = self.pending.take_if(|(commit, _)| applied >= *commit) {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }
}

impl Node {
    /// Passes an input to the replica and handles its outputs.
    pub(super) fn step_replica(&mut self, now: u64, input: Input, effects: &mut Vec<Effect>) {
        self.confirmation.record_event(now);
        let was_leading = self.leader_state.is_some();
        let mut outputs = Vec::new();
        let mut snapshots = Vec::new();
        self.replica.handle(now, input, &mut outputs);
        for output in outputs {
            self.handle_output(now, output, &mut snapshots, effects);
        }
        for snapshot in snapshots {
            self.step_replica(now, snapshot, effects);
        }
        self.confirmation.record_applied(self.replica.commit_index());
        self.update_leader_state(now, was_leading, effects);
        self.process_queue(now, effects);
    }

    pub(super) fn handle_replication(
        &mut self,
        now: u64,
        from: ReplicaId,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let lease_heartbeat = match &message {
            Message::Heartbeat { term, commit_index, leader_holds_lease: true, .. } => {
                Some((*term, *commit_index))
            }
            _ => None,
        };
        self.step_replica(now, Input::Received { from, message }, effects);
        if let Some((term, commit)) = lease_heartbeat
            && term == self.replica.term()
            && self.is_leader(from)
        {
            self.confirmation.record_heartbeat(now, commit, self.replica.commit_index());
        }
    }

    /// Handles an output. Snapshots are passed back to the replica after all outputs, so that writes stay in
    /// order.
    fn handle_output(
        &mut self,
        now: u64,
        output: Output,
        snapshots: &mut Vec<Input>,
        effects: &mut Vec<Effect>,
    ) {
        match output {
            Output::Send { to, message } => self.send(&to, PeerMessage::Replication(message), effects),
            Output::Write { sequence, records } => effects.push(Effect::Write { sequence, records }),
            Output::Apply { index, command } => self.apply(index, &command, effects),
            Output::Restore { index, state } => self.restore(index, &state, effects),
            Output::ProposalResult { proposal_id, result } => {
                self.handle_proposal_result(now, proposal_id, result, effects)
            }
            Output::TakeSnapshot { index } => {
                let state = self.state.snapshot();
                snapshots.push(Input::SnapshotTaken { index, state });
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
            Ok((digest, outcome)) => {
                if self.changes.is_proposed(&digest) {
                    self.outcomes.insert(digest, outcome);
                }
                if outcome == ApplyOutcome::Applied {
                    info!(self.log, "configuration applied";
                        "version" => self.state.version(), "index" => index);
                    self.feed_configuration(effects);
                }
            }
            Err(reason) => {
                error!(self.log, "skipping an unreadable command"; "index" => index, "reason" => %reason)
            }
        }
    }

    fn restore(&mut self, index: u64, bytes: &[u8], effects: &mut Vec<Effect>) {
        match ConfigurationState::restore(bytes) {
            Ok(state) => self.state = state,
            Err(reason) => {
                error!(self.log, "ignoring an unreadable snapshot"; "index" => index, "reason" => %reason)
            }
        }
        info!(self.log, "state restored"; "version" => self.state.version(), "index" => index);
        self.feed_configuration(effects);
    }

    /// Feeds the current configuration to agents, unless a newer one is fed already.
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
        self.add_known_addresses(controls.into_iter());
        self.update_members(effects);
    }

    /// Updates the list of control machines that agents receive.
    pub(super) fn update_members(&mut self, effects: &mut Vec<Effect>) {
        let zone_of = |member: &Member| -> String {
            let reported = self.zones.get(&member.internal_address.ip()).cloned();
            reported.unwrap_or_else(|| member.zone.clone())
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

    /// Records the zone that a control machine reports for itself.
    pub fn learn_zone(&mut self, ip: IpAddr, zone: &str, effects: &mut Vec<Effect>) {
        let is_unchanged = self.zones.get(&ip).is_some_and(|current| current == zone);
        if zone.is_empty() || is_unchanged || self.zones.len() >= MAX_ZONES {
            return;
        }
        self.zones.insert(ip, zone.to_owned());
        self.update_members(effects);
    }

    /// Adds control addresses to the known ones. Seeds change over time, so their number is bounded; when it
    /// is reached, the set starts again from the seeds, and members are added as the membership changes.
    pub(super) fn add_known_addresses(&mut self, controls: impl Iterator<Item = SocketAddr>) {
        for control in controls {
            if self.known_addresses.len() >= MAX_KNOWN_ADDRESSES {
                self.known_addresses = self.settings.seeds.iter().copied().collect();
            }
            self.known_addresses.insert(control);
        }
    }

    /// Asks known machines for membership: without one, or after some time without a leader.
    pub(super) fn send_join_requests(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let is_member = self.replica.membership().contains(self.me.id);
        let is_leaderless =
            self.replica.time_since_leader_contact(now).is_none_or(|age| age > JOIN_AFTER_LEADERLESS_US);
        let is_past_start = now > self.identity_since + JOIN_AFTER_LEADERLESS_US;
        if self.shutting_down || (is_member && !(is_leaderless && is_past_start)) {
            return;
        }
        let port = self.me.internal_address.port();
        for control in self.known_addresses.iter().filter(|control| **control != self.me.control_address) {
            let to = internal_address(control.ip(), port);
            let message = PeerMessage::JoinRequest(self.me.clone());
            effects.push(Effect::Send { to, envelope: Envelope { from: self.me.id, to: None, message } });
        }
    }

    pub(super) fn handle_join_request(&mut self, now: u64, member: Member, effects: &mut Vec<Effect>) {
        if member.id == self.me.id || member.internal_address == self.me.internal_address {
            return;
        }
        let members: Vec<Member> = self.replica.membership().all_members().cloned().collect();
        let leader = self.replica.leader().cloned();
        if !members.is_empty() {
            self.send(&member, PeerMessage::Members(KnownMembers { members, leader }), effects);
        }
        if self.replica.is_leader() {
            self.step_replica(now, Input::Join(member), effects);
        }
    }

    pub(super) fn learn_members(&mut self, known: KnownMembers) {
        let members = known.members.iter().chain(&known.leader);
        let controls: Vec<SocketAddr> = members.map(|member| member.control_address).collect();
        self.add_known_addresses(controls.into_iter());
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

    pub(super) fn broadcast(&self, message: &PeerMessage, effects: &mut Vec<Effect>) {
        for member in self.others() {
            self.send(member, message.clone(), effects);
        }
    }
}
