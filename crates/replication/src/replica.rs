//! The replica: its state, the dispatch of inputs, and what all roles share.

use std::collections::BTreeSet;

use crate::chunks::Assembly;
use crate::disk::Disk;
use crate::event::{Input, Output, ProposalError};
use crate::leader::Leading;
use crate::log::Log;
use crate::members::{Member, Membership, ReplicaId};
use crate::message::Message;
use crate::record::{HardState, Payload, Record, RecoveredState, Snapshot};
use crate::settings::Settings;
use crate::status::{PeerStatus, Role, Status};
use crate::{Micros, members};

/// A message that waits until a write is synced.
#[derive(Clone, Debug)]
struct Gated {
    sequence: u64,
    to: Member,
    message: Message,
}

/// One replica of a group. See the crate's page for what its host must keep to.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) settings: Settings,
    pub(crate) me: Member,
    pub(crate) random: fastrand::Rng,
    /// Time of the current input; never goes back.
    pub(crate) now: Micros,
    pub(crate) out: Vec<Output>,
    pub(crate) hard_state: HardState,
    /// Write that makes the current term durable.
    pub(crate) term_sequence: u64,
    pub(crate) log: Log,
    pub(crate) memberships: members::History,
    pub(crate) disk: Disk,
    pub(crate) staged: Vec<Record>,
    gated: Vec<Gated>,
    pub(crate) role: Role,
    pub(crate) leader: Option<Member>,
    pub(crate) leading: Option<Box<Leading>>,
    /// Votes or promised votes in the current election.
    pub(crate) votes: BTreeSet<ReplicaId>,
    /// Whether the current election is still at its first half, the pre-vote.
    pub(crate) asking_promises: bool,
    /// Whether this replica stands though it does not vote; until it hears a leader.
    pub(crate) needed_candidate: bool,
    /// Candidacy that waits for the replica's own vote to be synced.
    pub(crate) candidacy: Option<Candidacy>,
    /// Committed index; all up to it is applied.
    pub(crate) commit_index: u64,
    /// Last index that is known to equal the log of the current leader.
    pub(crate) verified: u64,
    pub(crate) heard_leader: Option<Micros>,
    pub(crate) contact: Option<Micros>,
    pub(crate) refuse_until: Micros,
    pub(crate) election_deadline: Micros,
    pub(crate) assembly: Option<Assembly>,
    pub(crate) snapshot_request: Option<u64>,
    pub(crate) bytes_since_snapshot: usize,
    pub(crate) shutting_down: bool,
    pub(crate) removed: bool,
    started: bool,
    reported_leader: Option<ReplicaId>,
    reported_term: u64,
    pub(crate) membership_changed: bool,
}

/// An election that waits for the replica's own vote.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidacy {
    pub(crate) sequence: u64,
    pub(crate) handover: bool,
}

impl Replica {
    /// A replica at start. On an empty disk `founding` names the voters of the group that is founded, the same list
    /// on each of them and `me` among them; without it, or with state on the disk, the replica waits for a leader.
    pub fn new(
        settings: Settings,
        me: Member,
        founding: Option<Vec<Member>>,
        recovered: RecoveredState,
        seed: u64,
        now: Micros,
    ) -> Self {
        let fresh = recovered.is_empty();
        let founding = founding.filter(|_| fresh);
        let founds = founding.is_some();
        let snapshot = recovered.snapshot.or_else(|| founding.map(founding_snapshot));
        let base = snapshot.as_ref().map(|snapshot| (snapshot.index, snapshot.membership.clone()));
        let log = Log::recovered(snapshot, recovered.entries);
        let mut memberships = members::History::new(base);
        for entry in log.from(0) {
            memberships.note(entry);
        }
        let mut hard_state = recovered.hard_state.unwrap_or_default();
        if log.last().term > hard_state.term {
            hard_state = HardState { term: log.last().term, voted_for: None };
        }
        let refuse_until = if founds { now } else { now.saturating_add(settings.election_timeout_min) };
        let commit_index = log.snapshot_index();
        let mut replica = Self {
            random: fastrand::Rng::with_seed(seed),
            now,
            out: Vec::new(),
            hard_state,
            term_sequence: 0,
            disk: Disk::new(log.last().index),
            log,
            memberships,
            staged: Vec::new(),
            gated: Vec::new(),
            role: Role::Follower,
            leader: None,
            leading: None,
            votes: BTreeSet::new(),
            asking_promises: false,
            needed_candidate: false,
            candidacy: None,
            commit_index,
            verified: commit_index,
            heard_leader: None,
            contact: None,
            refuse_until,
            election_deadline: now,
            assembly: None,
            snapshot_request: None,
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
        replica.role = replica.idle_role();
        replica.membership_changed = !replica.membership().is_empty();
        replica.set_first_deadline(founds);
        if founds {
            replica.stage_founding();
        }
        replica
    }

    /// Takes one input at a time of the steady clock, and appends what the host has to do.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if self.removed {
            refuse_proposal(input, out);
            return;
        }
        self.start();
        self.check_time();
        self.take(input);
        self.retry_write();
        if self.leading.is_some() {
            self.replicate();
        }
        self.request_snapshot();
        self.flush_staged();
        self.report();
        out.append(&mut self.out);
    }

    /// When to hand in [`Input::Tick`] at the latest.
    pub fn next_deadline(&self) -> Micros {
        if self.removed {
            return Micros::MAX;
        }
        if !self.started {
            return self.now;
        }
        let role = self.leading.as_ref().map_or(self.election_deadline, |leading| leading.next_deadline());
        let stalled = self.disk.stalls_at(self.settings.disk_stall_timeout).filter(|at| *at > self.now);
        let stalled = stalled.filter(|_| self.leading.is_some());
        role.min(self.disk.retry_at().unwrap_or(Micros::MAX)).min(stalled.unwrap_or(Micros::MAX))
    }

    /// Whether this replica leads. It may have been replaced without its knowledge; see [`Replica::holds_lease`].
    pub fn is_leader(&self) -> bool {
        self.leading.is_some()
    }

    /// The leader that this replica follows, or itself.
    pub fn leader(&self) -> Option<&Member> {
        self.leader.as_ref()
    }

    /// Newest term seen.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Last index that is committed and applied here.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Membership in force: the newest in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        self.memberships.newest()
    }

    /// View for operators.
    pub fn status(&self, now: Micros) -> Status {
        let peers = self.leading.iter().flat_map(|leading| leading.peers.iter());
        let peers = peers.map(|(id, progress)| PeerStatus {
            id: *id,
            match_index: progress.match_index,
            since_last_message: progress.heard.map(|heard| now.saturating_sub(heard)),
            disk_healthy: progress.disk_healthy,
        });
        Status {
            me: self.me.clone(),
            role: self.role,
            term: self.hard_state.term,
            leader: self.leader.clone(),
            holds_lease: self.holds_lease(now),
            last_index: self.log.last().index,
            synced_index: self.disk.synced_index(),
            commit_index: self.commit_index,
            snapshot_index: self.log.snapshot_index(),
            log_bytes: self.log.bytes(),
            disk_healthy: self.disk_is_healthy(),
            membership: self.membership().clone(),
            peers: peers.collect(),
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Tick => {}
            Input::Received { from, message } => self.receive(from, message),
            Input::Propose { proposal_id, command } => self.propose(proposal_id, command),
            Input::Written { sequence } => self.written(sequence),
            Input::WriteFailed { sequence } => {
                let retry_at = self.now.saturating_add(self.settings.write_retry_delay);
                self.disk.write_failed(sequence, retry_at);
                self.check_time();
            }
            Input::Join(member) => self.join(member),
            Input::PrepareShutdown => self.retire(),
            Input::SnapshotTaken { index, state } => self.keep_snapshot(index, state),
        }
    }

    fn receive(&mut self, from: ReplicaId, message: Message) {
        if from == self.me.id || !message.is_plausible() {
            return;
        }
        match message {
            Message::PreVoteRequest { .. } | Message::VoteRequest { .. } => {
                self.on_vote_request(from, message)
            }
            Message::PreVoteReply { .. } | Message::VoteReply { .. } => self.on_vote_reply(from, message),
            Message::MembershipQuery { member, .. } => self.on_member_question(from, member),
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

    /// What is due before any input counts: a leader that was stopped for a while looks at the clock first.
    fn check_time(&mut self) {
        if self.leading.is_some() {
            self.lead_on();
        } else if self.now >= self.election_deadline {
            self.election_due();
        }
    }

    fn written(&mut self, sequence: u64) {
        if !self.disk.written(self.now, sequence) {
            return;
        }
        let (ready, waiting) = std::mem::take(&mut self.gated)
            .into_iter()
            .partition::<Vec<_>, _>(|gated| self.disk.is_synced(gated.sequence));
        self.gated = waiting;
        for gated in ready {
            self.out.push(Output::Send { to: gated.to, message: gated.message });
        }
        self.continue_candidacy();
        self.advance_commit();
    }

    /// Sends at once.
    pub(crate) fn send(&mut self, to: Member, message: Message) {
        self.out.push(Output::Send { to, message });
    }

    /// Sends once all that was changed up to now is synced.
    pub(crate) fn send_synced(&mut self, to: Member, message: Message) {
        let sequence = self.sequence();
        self.send_after(sequence, to, message);
    }

    /// Sends once the current term is synced.
    pub(crate) fn send_in_term(&mut self, to: Member, message: Message) {
        self.send_after(self.term_sequence, to, message);
    }

    fn send_after(&mut self, sequence: u64, to: Member, message: Message) {
        if self.disk.is_synced(sequence) {
            return self.send(to, message);
        }
        // Only the newest of a kind counts: a stalled disk must not let them pile up.
        let same = |gated: &&mut Gated| {
            gated.sequence == sequence && gated.to.id == to.id && gated.message.is_same_kind(&message)
        };
        match self.gated.iter_mut().find(same) {
            Some(gated) => gated.message.supersede(message),
            None => self.gated.push(Gated { sequence, to, message }),
        }
    }

    /// Role without a leader or an election.
    pub(crate) fn idle_role(&self) -> Role {
        if self.membership().is_voter(self.me.id) { Role::Follower } else { Role::Learner }
    }

    /// Enters a term, newer or the same, as one who follows.
    pub(crate) fn follow(&mut self, term: u64, leader: Option<Member>) {
        self.abdicate();
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, voted_for: None });
            self.verified = self.commit_index;
            self.assembly = None;
        }
        self.role = self.idle_role();
        self.votes.clear();
        self.asking_promises = false;
        self.candidacy = None;
        self.leader = leader;
    }

    pub(crate) fn set_hard_state(&mut self, state: HardState) {
        self.hard_state = state;
        self.stage(Record::HardState(state));
        self.term_sequence = self.sequence();
    }

    /// Commits and applies up to `index`, which is in the log.
    pub(crate) fn commit_to(&mut self, index: u64) {
        while self.commit_index < index {
            let Some(entry) = self.log.get(self.commit_index + 1) else { return };
            self.commit_index += 1;
            self.bytes_since_snapshot += entry.approximate_bytes();
            if let Payload::Command(command) = &entry.payload {
                self.out.push(Output::Apply { index: self.commit_index, command: command.clone() });
            }
        }
    }

    fn start(&mut self) {
        if std::mem::replace(&mut self.started, true) {
            return;
        }
        let Some(snapshot) = self.log.snapshot().filter(|snapshot| snapshot.index > 0) else { return };
        self.out.push(Output::Restore { index: snapshot.index, state: snapshot.state.clone() });
    }

    fn report(&mut self) {
        if std::mem::take(&mut self.membership_changed) {
            if matches!(self.role, Role::Follower | Role::Learner) {
                self.role = self.idle_role();
            }
            self.out.push(Output::MembershipChanged(self.membership().clone()));
        }
        let leader = self.leader.as_ref().map(|leader| leader.id);
        if leader == self.reported_leader && (leader.is_none() || self.reported_term == self.hard_state.term)
        {
            return;
        }
        self.reported_leader = leader;
        self.reported_term = self.hard_state.term;
        self.out.push(Output::LeaderChanged {
            leader: self.leader.clone(),
            term: self.hard_state.term,
            is_self: self.is_leader(),
        });
    }
}

fn founding_snapshot(voters: Vec<Member>) -> Snapshot {
    Snapshot { index: 0, term: 0, membership: Membership::of_voters(voters), state: Vec::new() }
}

fn refuse_proposal(input: Input, out: &mut Vec<Output>) {
    if let Input::Propose { proposal_id, .. } = input {
        out.push(Output::ProposalResult { proposal_id, result: Err(ProposalError::NotLeader) });
    }
}
