//! The leader role: heartbeats, replication, commit index, proposals.

use std::collections::{BTreeMap, VecDeque};

use crate::Micros;
use crate::event::{Output, ProposalError};
use crate::members::{Member, ReplicaId};
use crate::message::Message;
use crate::progress::{PeerProgress, SendMode};
use crate::quorum;
use crate::record::{Entry, Payload};
use crate::replica::Replica;
use crate::status::Role;

/// Number of latest heartbeat rounds that are tracked. Replies to older ones do not renew the lease.
const MAX_TRACKED_ROUNDS: usize = 64;
const MAX_ENTRIES_PER_MESSAGE: usize = 256;

/// State that only a leader has.
#[derive(Clone, Debug)]
pub(crate) struct LeaderState {
    pub(crate) peers: BTreeMap<ReplicaId, PeerProgress>,
    /// Latest heartbeat rounds, oldest first.
    rounds: VecDeque<HeartbeatRound>,
    next_heartbeat_at: Micros,
    pub(crate) elected_at: Micros,
    /// Index of the first entry of this leader's term.
    pub(crate) term_start_index: u64,
    /// Unfinished proposals as (entry index, proposal id), in index order.
    pending_proposals: VecDeque<(u64, u64)>,
    /// Approximate size of this term's uncommitted entries.
    uncommitted_bytes: usize,
    /// When a planned handover was requested.
    pub(crate) handover_since: Option<Micros>,
    /// Replicas that asked to join, or reported a new address.
    pub(crate) pending_joins: Vec<Member>,
}

/// One round of heartbeats.
#[derive(Clone, Copy, Debug)]
struct HeartbeatRound {
    number: u64,
    sent_at: Micros,
    /// Upper bound of the commit index at that time.
    commit_index: u64,
}

impl LeaderState {
    pub(crate) fn next_deadline(&self) -> Micros {
        self.next_heartbeat_at
    }

    fn current_round(&self) -> u64 {
        self.rounds.back().map_or(0, |round| round.number)
    }

    fn round_sent_at(&self, round: u64) -> Option<Micros> {
        self.rounds.iter().find(|tracked| tracked.number == round).map(|tracked| tracked.sent_at)
    }

    /// Upper bound of the commit index at the first round at or after `since`; `None` if there was no such
    /// round.
    pub(crate) fn commit_index_since(&self, since: Micros) -> Option<u64> {
        self.rounds.iter().find(|round| round.sent_at >= since).map(|round| round.commit_index)
    }

    /// Starts the next heartbeat round.
    fn begin_round(&mut self, now: Micros, commit_index: u64) {
        let number = self.current_round() + 1;
        // A new leader does not know the commit index yet: all entries before its first one may be committed.
        let commit_index = commit_index.max(self.term_start_index);
        self.rounds.push_back(HeartbeatRound { number, sent_at: now, commit_index });
        if self.rounds.len() > MAX_TRACKED_ROUNDS {
            self.rounds.pop_front();
        }
    }
}

impl Replica {
    /// Becomes leader of the current term.
    pub(crate) fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.me.clone());
        self.votes.clear();
        self.in_pre_vote = false;
        self.leader_state = Some(Box::new(LeaderState {
            peers: BTreeMap::new(),
            rounds: VecDeque::new(),
            next_heartbeat_at: self.now,
            elected_at: self.now,
            term_start_index: self.log.last().index + 1,
            pending_proposals: VecDeque::new(),
            uncommitted_bytes: 0,
            handover_since: None,
            pending_joins: Vec::new(),
        }));
        self.update_peers();
        self.append_payload(Payload::Noop);
        self.run_leader_timers();
    }

    /// Runs the leader's timers: steps down without a quorum, sends heartbeats, changes the membership.
    pub(crate) fn run_leader_timers(&mut self) {
        let Some(leader_state) = &self.leader_state else { return };
        let base = self.lease_end(self.now).unwrap_or(0).max(leader_state.elected_at);
        if self.now > base.saturating_add(self.settings.election_timeout_min) {
            return self.become_follower(self.hard_state.term, None);
        }
        if self.holds_lease(self.now) {
            self.lease_holder_heard_at = Some(self.now);
        }
        if self.now >= leader_state.next_heartbeat_at {
            self.send_heartbeats();
            self.reconfigure();
        }
    }

    /// Stops leading. Unfinished proposals may still be committed.
    pub(crate) fn step_down(&mut self) {
        let Some(leader_state) = self.leader_state.take() else { return };
        for (_, proposal_id) in leader_state.pending_proposals {
            self.outputs
                .push(Output::ProposalResult { proposal_id, result: Err(ProposalError::OutcomeUnknown) });
        }
        self.reset_election_deadline();
    }

    fn send_heartbeats(&mut self) {
        let interval = self.settings.heartbeat_interval;
        let Some(leader_state) = &mut self.leader_state else { return };
        leader_state.next_heartbeat_at = self.now.saturating_add(interval);
        leader_state.begin_round(self.now, self.commit_index);
        let ids: Vec<ReplicaId> = leader_state.peers.keys().copied().collect();
        for id in ids {
            self.send_heartbeat(id);
        }
    }

    fn send_heartbeat(&mut self, id: ReplicaId) {
        let leader_holds_lease = self.holds_lease(self.now);
        let Some(member) = self.membership().get(id).cloned() else { return };
        let Some(leader_state) = &mut self.leader_state else { return };
        if let Some(progress) = leader_state.peers.get_mut(&id) {
            progress.announced_commit_index = self.commit_index;
        }
        let heartbeat = Message::Heartbeat {
            term: self.hard_state.term,
            round: leader_state.current_round(),
            commit_index: self.commit_index,
            leader_holds_lease,
            leader: self.me.clone(),
        };
        self.send(member, heartbeat);
    }

    /// Starts replication to new members and stops it to removed ones.
    pub(crate) fn update_peers(&mut self) {
        let members: Vec<ReplicaId> = self.membership().all_members().map(|member| member.id).collect();
        let next_index = self.log.last().index + 1;
        let Some(leader_state) = &mut self.leader_state else { return };
        leader_state.peers.retain(|id, _| members.contains(id));
        let mut added = Vec::new();
        for id in members {
            if id != self.me.id && !leader_state.peers.contains_key(&id) {
                leader_state.peers.insert(id, PeerProgress::new(next_index, self.now));
                added.push(id);
            }
        }
        if leader_state.rounds.is_empty() {
            return;
        }
        for id in added {
            self.send_heartbeat(id);
        }
    }

    /// Appends an entry of the current term and returns its index.
    pub(crate) fn append_payload(&mut self, payload: Payload) -> u64 {
        let entry = Entry { index: self.log.last().index + 1, term: self.hard_state.term, payload };
        let index = entry.index;
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.uncommitted_bytes += entry.approximate_bytes();
        }
        self.append_entry(entry);
        index
    }

    pub(crate) fn propose(&mut self, proposal_id: u64, command: Vec<u8>) {
        if let Err(error) = self.check_admission(command.len()) {
            return self.outputs.push(Output::ProposalResult { proposal_id, result: Err(error) });
        }
        let index = self.append_payload(Payload::Command(command));
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.pending_proposals.push_back((index, proposal_id));
        }
    }

    fn check_admission(&self, bytes: usize) -> Result<(), ProposalError> {
        let leader_state = self.leader_state.as_ref().ok_or(ProposalError::NotLeader)?;
        if leader_state.handover_since.is_some() {
            return Err(ProposalError::NotLeader);
        }
        let uncommitted = leader_state.uncommitted_bytes;
        if uncommitted > 0 && uncommitted.saturating_add(bytes) > self.settings.max_uncommitted_bytes {
            return Err(ProposalError::Overloaded);
        }
        Ok(())
    }

    /// Commits the entries that a majority has synced, once they include an entry of the current term.
    pub(crate) fn advance_commit(&mut self) {
        let Some(leader_state) = &self.leader_state else { return };
        let synced_index = |id| {
            if id == self.me.id {
                return self.writes.synced_index();
            }
            leader_state.peers.get(&id).map_or(0, |progress| progress.match_index)
        };
        let index = quorum::majority_value(self.membership(), synced_index, 0);
        if index <= self.commit_index || self.log.term_at(index) != Some(self.hard_state.term) {
            return;
        }
        self.release_uncommitted_bytes(index);
        let commits_membership = self.commit_index < self.membership_history.latest_index()
            && self.membership_history.latest_index() <= index;
        self.commit_up_to(index);
        self.complete_proposals();
        if commits_membership {
            self.reconfigure();
        }
    }

    fn release_uncommitted_bytes(&mut self, index: u64) {
        let Some(leader_state) = &mut self.leader_state else { return };
        let first_index = leader_state.term_start_index.max(self.commit_index + 1);
        let committed = self.log.entries_from(first_index).take_while(|entry| entry.index <= index);
        let bytes: usize = committed.map(Entry::approximate_bytes).sum();
        leader_state.uncommitted_bytes = leader_state.uncommitted_bytes.saturating_sub(bytes);
    }

    fn complete_proposals(&mut self) {
        let Some(leader_state) = &mut self.leader_state else { return };
        while let Some((index, proposal_id)) =
            leader_state.pending_proposals.front().copied().filter(|(index, _)| *index <= self.commit_index)
        {
            leader_state.pending_proposals.pop_front();
            self.outputs.push(Output::ProposalResult { proposal_id, result: Ok(index) });
        }
    }

    pub(crate) fn on_follower_reply(&mut self, from: ReplicaId, message: Message) {
        let (Message::HeartbeatReply { term, .. }
        | Message::AppendAccepted { term, .. }
        | Message::AppendRejected { term, .. }
        | Message::ChunkReply { term, .. }) = &message
        else {
            return;
        };
        if *term > self.hard_state.term {
            return self.become_follower(*term, None);
        }
        if *term < self.hard_state.term {
            return;
        }
        let Some(progress) =
            self.leader_state.as_mut().and_then(|leader_state| leader_state.peers.get_mut(&from))
        else {
            return;
        };
        progress.last_message_at = Some(self.now);
        match message {
            Message::HeartbeatReply { round, disk_healthy, shutting_down, .. } => {
                progress.disk_healthy = disk_healthy;
                let shutdown_announced = shutting_down && !progress.shutting_down;
                progress.shutting_down = shutting_down;
                self.on_heartbeat_acked(from, round);
                if shutdown_announced {
                    self.reconfigure();
                }
            }
            Message::AppendAccepted { match_index, .. } if match_index <= self.log.last().index => {
                progress.on_append_accepted(self.now, match_index);
                self.advance_commit();
            }
            Message::AppendRejected { prev_index, hint_index, hint_term, needs_snapshot, .. } => {
                self.on_append_rejected(from, prev_index, (hint_index, hint_term), needs_snapshot);
            }
            Message::ChunkReply { index, received_bytes, .. } => {
                progress.on_chunk_reply(self.now, index, received_bytes)
            }
            _ => {}
        }
    }

    fn on_heartbeat_acked(&mut self, from: ReplicaId, round: u64) {
        let Some(leader_state) = &mut self.leader_state else { return };
        let Some(sent_at) = leader_state.round_sent_at(round) else { return };
        if let Some(progress) = leader_state.peers.get_mut(&from) {
            progress.acked_heartbeat_sent_at = progress.acked_heartbeat_sent_at.max(Some(sent_at));
        }
    }

    /// Restarts replication at the last index that may match. `hint` is the follower's (`hint_index`,
    /// `hint_term`).
    fn on_append_rejected(
        &mut self,
        from: ReplicaId,
        prev_index: u64,
        hint: (u64, u64),
        needs_snapshot: bool,
    ) {
        let log = &self.log;
        let Some(progress) =
            self.leader_state.as_mut().and_then(|leader_state| leader_state.peers.get_mut(&from))
        else {
            return;
        };
        let is_stale = prev_index < progress.match_index || matches!(progress.mode, SendMode::Chunks(_));
        if is_stale {
            return;
        }
        progress.needs_snapshot |= needs_snapshot;
        let (hint_index, hint_term) = hint;
        let mut common_index = hint_index.min(prev_index.saturating_sub(1)).min(log.last().index);
        while common_index > log.base_index()
            && log.term_at(common_index).is_some_and(|term| term > hint_term)
        {
            common_index -= 1;
        }
        progress.begin_probe(common_index + 1);
    }

    /// Sends each peer the entries that it lacks, within its in-flight window.
    pub(crate) fn replicate(&mut self) {
        let Some(mut leader_state) = self.leader_state.take() else { return };
        for (id, progress) in &mut leader_state.peers {
            if let Some(member) = self.membership().get(*id).cloned() {
                self.replicate_to(&member, progress);
            }
        }
        self.leader_state = Some(leader_state);
        self.hand_over_if_needed();
    }

    fn replicate_to(&mut self, member: &Member, progress: &mut PeerProgress) {
        if progress.silent_for(self.now) >= self.settings.election_timeout_max {
            return;
        }
        if progress.disk_healthy {
            progress.expire_overdue(self.now);
        }
        while progress.can_send(self.settings.max_append_bytes) && self.send_entries(member, progress) {}
        self.send_chunk(member, progress);
        let is_pipelining = matches!(progress.mode, SendMode::Pipeline { .. });
        if is_pipelining && progress.announced_commit_index < self.commit_index {
            progress.announced_commit_index = self.commit_index;
            self.send(
                member.clone(),
                Message::CommitUpdate { term: self.hard_state.term, commit_index: self.commit_index },
            );
        }
    }

    /// Sends one message with entries, or starts a transfer. Returns whether there may be more to send.
    fn send_entries(&mut self, member: &Member, progress: &mut PeerProgress) -> bool {
        let prev_index = progress.next_index - 1;
        let Some(prev_term) = self.log.term_at(prev_index).filter(|_| !progress.needs_snapshot) else {
            self.begin_snapshot_transfer(progress);
            return false;
        };
        let is_probing = matches!(progress.mode, SendMode::Probe { .. });
        if !is_probing && progress.next_index > self.log.last().index {
            return false;
        }
        let limit = progress.window_bytes(self.settings.max_append_bytes);
        let entries = if is_probing && progress.has_timed_out() {
            Vec::new()
        } else {
            self.select_entries(progress.next_index, limit)
        };
        if entries.is_empty() && !is_probing {
            self.begin_command_transfer(progress);
            return false;
        }
        let bytes = entries.iter().map(Entry::approximate_bytes).sum();
        let last_index = prev_index + entries.len() as u64;
        progress.record_sent(self.now, last_index, bytes);
        progress.announced_commit_index = self.commit_index;
        let (term, commit_index) = (self.hard_state.term, self.commit_index);
        self.send(member.clone(), Message::Append { term, prev_index, prev_term, entries, commit_index });
        true
    }

    /// Entries at and after `next_index` that fit in one message; empty if the first one has to be sent in
    /// chunks.
    fn select_entries(&self, next_index: u64, limit: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            bytes += entry.approximate_bytes();
            bytes <= limit || (entry.index == next_index && !matches!(entry.payload, Payload::Command(_)))
        };
        self.log.entries_from(next_index).take_while(fits).take(MAX_ENTRIES_PER_MESSAGE).cloned().collect()
    }
}
