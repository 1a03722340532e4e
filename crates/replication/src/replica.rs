//! The replica: its state, input dispatch, and the functions shared by all roles.

use std::collections::BTreeSet;

use crate::chunks::PartialTransfer;
use crate::disk::WriteTracker;
use crate::event::{Input, Output, ProposalError};
use crate::leader::LeaderState;
use crate::log::Log;
use crate::members::{Member, Membership, ReplicaId};
use crate::message::Message;
use crate::record::{HardState, Payload, Record, RecoveredState, Snapshot};
use crate::settings::Settings;
use crate::status::{PeerStatus, Role, Status};
use crate::{Micros, members};

/// A message that is sent once a write is synced.
#[derive(Clone, Debug)]
struct DeferredMessage {
    sequence: u64,
    to: Member,
    message: Message,
}

/// One replica of a group. The crate documentation lists the requirements on its host.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) settings: Settings,
    pub(crate) me: Member,
    pub(crate) random: fastrand::Rng,
    /// Time of the current input. It never decreases.
    pub(crate) now: Micros,
    pub(crate) outputs: Vec<Output>,
    pub(crate) hard_state: HardState,
    /// Sequence number of the write that makes the current term durable.
    pub(crate) term_write_sequence: u64,
    pub(crate) log: Log,
    pub(crate) membership_history: members::MembershipHistory,
    pub(crate) writes: WriteTracker,
    /// Records to write at the end of the current input.
    pub(crate) staged_records: Vec<Record>,
    /// Messages that wait for a write.
    deferred_messages: Vec<DeferredMessage>,
    pub(crate) role: Role,
    pub(crate) leader: Option<Member>,
    pub(crate) leader_state: Option<Box<LeaderState>>,
    /// Replicas that granted a vote, or a pre-vote, in the current election.
    pub(crate) votes: BTreeSet<ReplicaId>,
    /// Whether the current election is in its pre-vote phase.
    pub(crate) in_pre_vote: bool,
    /// Whether this replica campaigns although it is not a voter, until it receives a message from a leader.
    pub(crate) campaigns_as_non_voter: bool,
    /// Campaign that waits for the replica's own vote to be synced.
    pub(crate) pending_campaign: Option<PendingCampaign>,
    /// Commit index. All entries up to it are applied.
    pub(crate) commit_index: u64,
    /// Last index up to which the log is known to match the current leader's.
    pub(crate) verified_index: u64,
    /// When the last message from a leader was received.
    pub(crate) last_leader_message_at: Option<Micros>,
    /// When the last heartbeat from a leader that held its lease was received. The lease holder itself keeps
    /// it current.
    pub(crate) lease_holder_heard_at: Option<Micros>,
    /// Votes are withheld until this time after a restart, since the replica may have acknowledged a
    /// heartbeat before the restart.
    pub(crate) withhold_votes_until: Micros,
    pub(crate) election_deadline: Micros,
    pub(crate) incoming_transfer: Option<PartialTransfer>,
    /// Index of the snapshot that was requested from the host and not delivered yet.
    pub(crate) pending_snapshot_index: Option<u64>,
    pub(crate) bytes_since_snapshot: usize,
    pub(crate) shutting_down: bool,
    pub(crate) removed: bool,
    /// Whether the first input was handled.
    started: bool,
    reported_leader: Option<ReplicaId>,
    reported_term: u64,
    pub(crate) membership_changed: bool,
}

/// A campaign that starts once the replica's own vote is synced.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingCampaign {
    pub(crate) sequence: u64,
    pub(crate) handover: bool,
}

impl Replica {
    /// Creates a replica from recovered state. On an empty disk, `initial_voters` bootstraps a new group: it
    /// must be the same list on every initial voter and contain `me`. Without it, or with state on the disk,
    /// the replica waits for a leader.
    pub fn new(
        settings: Settings,
        me: Member,
        initial_voters: Option<Vec<Member>>,
        recovered: RecoveredState,
        seed: u64,
        now: Micros,
    ) -> Self {
        let disk_is_empty = recovered.is_empty();
        let initial_voters = initial_voters.filter(|_| disk_is_empty);
        let bootstraps = initial_voters.is_some();
        let snapshot = recovered.snapshot.or_else(|| initial_voters.map(initial_snapshot));
        let base = snapshot.as_ref().map(|snapshot| (snapshot.index, snapshot.membership.clone()));
        let log = Log::recover(snapshot, recovered.entries);
        let mut membership_history = members::MembershipHistory::new(base);
        for entry in log.entries_from(0) {
            membership_history.record_entry(entry);
        }
        let mut hard_state = recovered.hard_state.unwrap_or_default();
        if log.last().term > hard_state.term {
            hard_state = HardState { term: log.last().term, voted_for: None };
        }
        let withhold_votes_until =
            if bootstraps { now } else { now.saturating_add(settings.election_timeout_min) };
        let commit_index = log.snapshot_index();
        let mut replica = Self {
            random: fastrand::Rng::with_seed(seed),
            now,
            outputs: Vec::new(),
            hard_state,
            term_write_sequence: 0,
            writes: WriteTracker::new(log.last().index),
            log,
            membership_history,
            staged_records: Vec::new(),
            deferred_messages: Vec::new(),
            role: Role::Follower,
            leader: None,
            leader_state: None,
            votes: BTreeSet::new(),
            in_pre_vote: false,
            campaigns_as_non_voter: false,
            pending_campaign: None,
            commit_index,
            verified_index: commit_index,
            last_leader_message_at: None,
            lease_holder_heard_at: None,
            withhold_votes_until,
            election_deadline: now,
            incoming_transfer: None,
            pending_snapshot_index: None,
            bytes_since_snapshot: 0,
            shutting_down: false,
            removed: false,
            started: false,
            reported_leader: None,
            reported_term: hard_state.term,
            membership_changed: true,
            settings,
            me,
        };
        replica.role = replica.passive_role();
        replica.membership_changed = !replica.membership().is_empty();
        replica.set_initial_election_deadline(bootstraps);
        if bootstraps {
            replica.stage_initial_state();
        }
        replica
    }

    /// Handles one input at the monotonic time `now` and appends the actions for the host to `outputs`.
    pub fn handle(&mut self, now: Micros, input: Input, outputs: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if self.removed {
            refuse_proposal(input, outputs);
            return;
        }
        self.report_recovered_snapshot();
        self.run_timers();
        self.dispatch(input);
        self.retry_write();
        if self.leader_state.is_some() {
            self.replicate();
        }
        self.request_snapshot_if_due();
        self.write_staged_records();
        self.report_changes();
        outputs.append(&mut self.outputs);
    }

    /// Latest time at which the host must pass in [`Input::Tick`].
    pub fn next_deadline(&self) -> Micros {
        if self.removed {
            return Micros::MAX;
        }
        if !self.started {
            return self.now;
        }
        let role_deadline = self
            .leader_state
            .as_ref()
            .map_or(self.election_deadline, |leader_state| leader_state.next_deadline());
        let stall_deadline =
            self.writes.stall_deadline(self.settings.disk_stall_timeout).filter(|at| *at > self.now);
        let stall_deadline = stall_deadline.filter(|_| self.leader_state.is_some());
        role_deadline
            .min(self.writes.retry_at().unwrap_or(Micros::MAX))
            .min(stall_deadline.unwrap_or(Micros::MAX))
    }

    /// Whether this replica considers itself the leader. Another leader may have been elected without its
    /// knowledge; see [`Replica::holds_lease`].
    pub fn is_leader(&self) -> bool {
        self.leader_state.is_some()
    }

    /// The leader that this replica follows, or this replica if it leads; `None` if unknown.
    pub fn leader(&self) -> Option<&Member> {
        self.leader.as_ref()
    }

    /// Highest term seen.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Last index that is committed and applied on this replica.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Membership in force: the latest one in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        self.membership_history.latest()
    }

    /// Status for operators.
    pub fn status(&self, now: Micros) -> Status {
        let peers = self.leader_state.iter().flat_map(|leader_state| leader_state.peers.iter());
        let peers = peers.map(|(id, progress)| PeerStatus {
            id: *id,
            match_index: progress.match_index,
            since_last_message: progress.last_message_at.map(|received_at| now.saturating_sub(received_at)),
            disk_healthy: progress.disk_healthy,
        });
        Status {
            me: self.me.clone(),
            role: self.role,
            term: self.hard_state.term,
            leader: self.leader.clone(),
            holds_lease: self.holds_lease(now),
            last_index: self.log.last().index,
            synced_index: self.writes.synced_index(),
            commit_index: self.commit_index,
            snapshot_index: self.log.snapshot_index(),
            log_bytes: self.log.bytes(),
            disk_healthy: self.disk_is_healthy(),
            membership: self.membership().clone(),
            peers: peers.collect(),
        }
    }

    fn dispatch(&mut self, input: Input) {
        match input {
            Input::Tick => {}
            Input::Received { from, message } => self.on_message(from, message),
            Input::Propose { proposal_id, command } => self.propose(proposal_id, command),
            Input::Written { sequence } => self.on_written(sequence),
            Input::WriteFailed { sequence } => {
                let retry_at = self.now.saturating_add(self.settings.write_retry_delay);
                self.writes.mark_failed(sequence, retry_at);
                self.run_timers();
            }
            Input::Join(member) => self.join(member),
            Input::PrepareShutdown => self.prepare_shutdown(),
            Input::SnapshotTaken { index, state } => self.store_snapshot(index, state),
        }
    }

    fn on_message(&mut self, from: ReplicaId, message: Message) {
        if from == self.me.id || !message.is_plausible() {
            return;
        }
        match message {
            Message::PreVoteRequest { .. } | Message::VoteRequest { .. } => {
                self.on_vote_request(from, message)
            }
            Message::PreVoteReply { .. } | Message::VoteReply { .. } => self.on_vote_reply(from, message),
            Message::MembershipQuery { member, .. } => self.on_membership_query(from, member),
            Message::NotMember { id } => self.on_not_member(id),
            Message::HeartbeatReply { .. }
            | Message::AppendAccepted { .. }
            | Message::AppendRejected { .. }
            | Message::ChunkReply { .. } => self.on_follower_reply(from, message),
            Message::Heartbeat { .. }
            | Message::Append { .. }
            | Message::CommitUpdate { .. }
            | Message::Chunk { .. }
            | Message::TimeoutNow { .. } => self.on_leader_message(from, message),
        }
    }

    /// Runs the timers that are due. They precede any input, so that a leader whose process was suspended
    /// steps down before it acts.
    fn run_timers(&mut self) {
        if self.leader_state.is_some() {
            self.run_leader_timers();
        } else if self.now >= self.election_deadline {
            self.on_election_timeout();
        }
    }

    fn on_written(&mut self, sequence: u64) {
        if !self.writes.mark_written(self.now, sequence) {
            return;
        }
        let (ready, waiting) = std::mem::take(&mut self.deferred_messages)
            .into_iter()
            .partition::<Vec<_>, _>(|deferred| self.writes.is_synced(deferred.sequence));
        self.deferred_messages = waiting;
        for deferred in ready {
            self.outputs.push(Output::Send { to: deferred.to, message: deferred.message });
        }
        self.continue_campaign();
        self.advance_commit();
    }

    /// Sends a message immediately.
    pub(crate) fn send(&mut self, to: Member, message: Message) {
        self.outputs.push(Output::Send { to, message });
    }

    /// Sends a message once all changes made so far are synced.
    pub(crate) fn send_after_sync(&mut self, to: Member, message: Message) {
        let sequence = self.current_write_sequence();
        self.send_after_write(sequence, to, message);
    }

    /// Sends a message once the current term is synced.
    pub(crate) fn send_after_term_sync(&mut self, to: Member, message: Message) {
        self.send_after_write(self.term_write_sequence, to, message);
    }

    fn send_after_write(&mut self, sequence: u64, to: Member, message: Message) {
        if self.writes.is_synced(sequence) {
            return self.send(to, message);
        }
        // Only the newest message of a kind is kept, so that messages do not accumulate behind a stalled
        // disk.
        let is_superseded = |deferred: &&mut DeferredMessage| {
            deferred.sequence == sequence
                && deferred.to.id == to.id
                && deferred.message.is_same_kind(&message)
        };
        match self.deferred_messages.iter_mut().find(is_superseded) {
            Some(deferred) => deferred.message.supersede(message),
            None => self.deferred_messages.push(DeferredMessage { sequence, to, message }),
        }
    }

    /// Role of a replica that neither leads nor campaigns.
    pub(crate) fn passive_role(&self) -> Role {
        if self.membership().is_voter(self.me.id) { Role::Follower } else { Role::Learner }
    }

    /// Becomes a follower in `term`, which is the current term or a higher one.
    pub(crate) fn become_follower(&mut self, term: u64, leader: Option<Member>) {
        self.step_down();
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, voted_for: None });
            self.verified_index = self.commit_index;
            self.incoming_transfer = None;
        }
        self.role = self.passive_role();
        self.votes.clear();
        self.in_pre_vote = false;
        self.pending_campaign = None;
        self.leader = leader;
    }

    pub(crate) fn set_hard_state(&mut self, state: HardState) {
        self.hard_state = state;
        self.stage_record(Record::HardState(state));
        self.term_write_sequence = self.current_write_sequence();
    }

    /// Commits and applies entries up to `index`, as far as the log contains them.
    pub(crate) fn commit_up_to(&mut self, index: u64) {
        while self.commit_index < index {
            let Some(entry) = self.log.get(self.commit_index + 1) else { return };
            self.commit_index += 1;
            self.bytes_since_snapshot += entry.approximate_bytes();
            if let Payload::Command(command) = &entry.payload {
                self.outputs.push(Output::Apply { index: self.commit_index, command: command.clone() });
            }
        }
    }

    /// On the first input, restores the host's state from the recovered snapshot.
    fn report_recovered_snapshot(&mut self) {
        if std::mem::replace(&mut self.started, true) {
            return;
        }
        let Some(snapshot) = self.log.snapshot().filter(|snapshot| snapshot.index > 0) else { return };
        self.outputs.push(Output::Restore { index: snapshot.index, state: snapshot.state.clone() });
    }

    /// Reports changes of the membership and of the leader to the host.
    fn report_changes(&mut self) {
        if std::mem::take(&mut self.membership_changed) {
            if matches!(self.role, Role::Follower | Role::Learner) {
                self.role = self.passive_role();
            }
            self.outputs.push(Output::MembershipChanged(self.membership().clone()));
        }
        let leader = self.leader.as_ref().map(|leader| leader.id);
        if leader == self.reported_leader && (leader.is_none() || self.reported_term == self.hard_state.term)
        {
            return;
        }
        self.reported_leader = leader;
        self.reported_term = self.hard_state.term;
        self.outputs.push(Output::LeaderChanged {
            leader: self.leader.clone(),
            term: self.hard_state.term,
            is_self: self.is_leader(),
        });
    }
}

fn initial_snapshot(voters: Vec<Member>) -> Snapshot {
    Snapshot { index: 0, term: 0, membership: Membership::of_voters(voters), state: Vec::new() }
}

fn refuse_proposal(input: Input, outputs: &mut Vec<Output>) {
    if let Input::Propose { proposal_id, .. } = input {
        outputs.push(Output::ProposalResult { proposal_id, result: Err(ProposalError::NotLeader) });
    }
}
