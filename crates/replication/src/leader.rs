//! What a leader does: heartbeats, replication, commit, proposals, handover.

use std::collections::{BTreeMap, VecDeque};

use crate::Micros;
use crate::event::{Output, ProposalError};
use crate::members::{Member, ReplicaId};
use crate::message::Message;
use crate::progress::{Mode, Progress};
use crate::quorum;
use crate::record::{Entry, Payload};
use crate::replica::Replica;
use crate::status::Role;

const MAX_ROUNDS: usize = 64;
const MAX_ENTRIES_PER_MESSAGE: usize = 256;
/// State that only a leader has.
#[derive(Clone, Debug)]
pub(crate) struct Leading {
    pub(crate) peers: BTreeMap<ReplicaId, Progress>,
    /// Heartbeat rounds, the newest last.
    rounds: VecDeque<Round>,
    next_heartbeat: Micros,
    pub(crate) since: Micros,
    /// First entry of this term.
    pub(crate) first_index: u64,
    /// Index and ticket of proposals without an answer.
    proposal_ids: VecDeque<(u64, u64)>,
    uncommitted_bytes: usize,
    /// Since when a planned handover waits.
    pub(crate) handover_since: Option<Micros>,
    /// Replicas that want to join.
    pub(crate) joins: Vec<Member>,
}

/// One round of heartbeats.
#[derive(Clone, Copy, Debug)]
struct Round {
    number: u64,
    sent_at: Micros,
    /// What was committed then, or may have been.
    commit_index: u64,
}

impl Leading {
    pub(crate) fn next_deadline(&self) -> Micros {
        self.next_heartbeat
    }

    fn round(&self) -> u64 {
        self.rounds.back().map_or(0, |round| round.number)
    }

    fn sent_at(&self, round: u64) -> Option<Micros> {
        self.rounds.iter().find(|sent| sent.number == round).map(|sent| sent.sent_at)
    }

    /// What was committed at the first round after `since`; nothing if there was none.
    pub(crate) fn commit_since(&self, since: Micros) -> Option<u64> {
        self.rounds.iter().find(|round| round.sent_at >= since).map(|round| round.commit_index)
    }

    fn begin_round(&mut self, now: Micros, commit_index: u64) {
        let number = self.round() + 1;
        // A new leader does not know yet what is committed: all before its first entry may be.
        let commit_index = commit_index.max(self.first_index);
        self.rounds.push_back(Round { number, sent_at: now, commit_index });
        if self.rounds.len() > MAX_ROUNDS {
            self.rounds.pop_front();
        }
    }
}

impl Replica {
    /// Begins to lead.
    pub(crate) fn lead(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.me.clone());
        self.votes.clear();
        self.asking_promises = false;
        self.leading = Some(Box::new(Leading {
            peers: BTreeMap::new(),
            rounds: VecDeque::new(),
            next_heartbeat: self.now,
            since: self.now,
            first_index: self.log.last().index + 1,
            proposal_ids: VecDeque::new(),
            uncommitted_bytes: 0,
            handover_since: None,
            joins: Vec::new(),
        }));
        self.sync_peers();
        self.append(Payload::Noop);
        self.lead_on();
    }

    /// What is due for a leader at this time.
    pub(crate) fn lead_on(&mut self) {
        let Some(leading) = &self.leading else { return };
        let base = self.lease_end(self.now).unwrap_or(0).max(leading.since);
        if self.now > base.saturating_add(self.settings.election_timeout_min) {
            return self.follow(self.hard_state.term, None);
        }
        if self.holds_lease(self.now) {
            self.contact = Some(self.now);
        }
        if self.now >= leading.next_heartbeat {
            self.heartbeat();
            self.reconfigure();
        }
    }

    /// Stops to lead; proposals without an answer may still be committed.
    pub(crate) fn abdicate(&mut self) {
        let Some(leading) = self.leading.take() else { return };
        for (_, proposal_id) in leading.proposal_ids {
            self.out.push(Output::ProposalResult { proposal_id, result: Err(ProposalError::OutcomeUnknown) });
        }
        self.reset_election_deadline();
    }

    fn heartbeat(&mut self) {
        let interval = self.settings.heartbeat_interval;
        let Some(leading) = &mut self.leading else { return };
        leading.next_heartbeat = self.now.saturating_add(interval);
        leading.begin_round(self.now, self.commit_index);
        let ids: Vec<ReplicaId> = leading.peers.keys().copied().collect();
        for id in ids {
            self.send_heartbeat(id);
        }
    }

    fn send_heartbeat(&mut self, id: ReplicaId) {
        let leader_holds_lease = self.holds_lease(self.now);
        let Some(member) = self.membership().get(id).cloned() else { return };
        let Some(leading) = &mut self.leading else { return };
        if let Some(progress) = leading.peers.get_mut(&id) {
            progress.told_commit = self.commit_index;
        }
        let heartbeat = Message::Heartbeat {
            term: self.hard_state.term,
            round: leading.round(),
            commit_index: self.commit_index,
            leader_holds_lease,
            leader: self.me.clone(),
        };
        self.send(member, heartbeat);
    }

    /// Begins to replicate to new members and forgets those that are gone.
    pub(crate) fn sync_peers(&mut self) {
        let members: Vec<ReplicaId> = self.membership().all_members().map(|member| member.id).collect();
        let next = self.log.last().index + 1;
        let Some(leading) = &mut self.leading else { return };
        leading.peers.retain(|id, _| members.contains(id));
        let mut added = Vec::new();
        for id in members {
            if id != self.me.id && !leading.peers.contains_key(&id) {
                leading.peers.insert(id, Progress::new(next, self.now));
                added.push(id);
            }
        }
        if leading.rounds.is_empty() {
            return;
        }
        for id in added {
            self.send_heartbeat(id);
        }
    }

    /// Adds an entry of this term.
    pub(crate) fn append(&mut self, payload: Payload) -> u64 {
        let entry = Entry { index: self.log.last().index + 1, term: self.hard_state.term, payload };
        let index = entry.index;
        if let Some(leading) = &mut self.leading {
            leading.uncommitted_bytes += entry.approximate_bytes();
        }
        self.push_entry(entry);
        index
    }

    pub(crate) fn propose(&mut self, proposal_id: u64, command: Vec<u8>) {
        if let Err(refusal) = self.admits(command.len()) {
            return self.out.push(Output::ProposalResult { proposal_id, result: Err(refusal) });
        }
        let index = self.append(Payload::Command(command));
        if let Some(leading) = &mut self.leading {
            leading.proposal_ids.push_back((index, proposal_id));
        }
    }

    fn admits(&self, bytes: usize) -> Result<(), ProposalError> {
        let leading = self.leading.as_ref().ok_or(ProposalError::NotLeader)?;
        if leading.handover_since.is_some() {
            return Err(ProposalError::NotLeader);
        }
        let waiting = leading.uncommitted_bytes;
        if waiting > 0 && waiting.saturating_add(bytes) > self.settings.max_uncommitted_bytes {
            return Err(ProposalError::Overloaded);
        }
        Ok(())
    }

    /// Commits what a majority has synced, if an entry of this term is among it.
    pub(crate) fn advance_commit(&mut self) {
        let Some(leading) = &self.leading else { return };
        let synced = |id| {
            if id == self.me.id {
                return self.disk.synced_index();
            }
            leading.peers.get(&id).map_or(0, |progress| progress.match_index)
        };
        let index = quorum::reached(self.membership(), synced, 0);
        if index <= self.commit_index || self.log.term_at(index) != Some(self.hard_state.term) {
            return;
        }
        self.release_bytes(index);
        let changes =
            self.commit_index < self.memberships.newest_index() && self.memberships.newest_index() <= index;
        self.commit_to(index);
        self.answer_tickets();
        if changes {
            self.reconfigure();
        }
    }

    fn release_bytes(&mut self, index: u64) {
        let Some(leading) = &mut self.leading else { return };
        let first = leading.first_index.max(self.commit_index + 1);
        let committed = self.log.from(first).take_while(|entry| entry.index <= index);
        let bytes: usize = committed.map(Entry::approximate_bytes).sum();
        leading.uncommitted_bytes = leading.uncommitted_bytes.saturating_sub(bytes);
    }

    fn answer_tickets(&mut self) {
        let Some(leading) = &mut self.leading else { return };
        while let Some((index, proposal_id)) =
            leading.proposal_ids.front().copied().filter(|(index, _)| *index <= self.commit_index)
        {
            leading.proposal_ids.pop_front();
            self.out.push(Output::ProposalResult { proposal_id, result: Ok(index) });
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
            return self.follow(*term, None);
        }
        if *term < self.hard_state.term {
            return;
        }
        let Some(progress) = self.leading.as_mut().and_then(|leading| leading.peers.get_mut(&from)) else {
            return;
        };
        progress.heard = Some(self.now);
        match message {
            Message::HeartbeatReply { round, disk_healthy, shutting_down, .. } => {
                progress.disk_healthy = disk_healthy;
                let begins_to_retire = shutting_down && !progress.shutting_down;
                progress.shutting_down = shutting_down;
                self.on_round_answered(from, round);
                if begins_to_retire {
                    self.reconfigure();
                }
            }
            Message::AppendAccepted { match_index, .. } if match_index <= self.log.last().index => {
                progress.appended(self.now, match_index);
                self.advance_commit();
            }
            Message::AppendRejected { prev_index, hint_index, hint_term, needs_snapshot, .. } => {
                self.on_rejected(from, prev_index, (hint_index, hint_term), needs_snapshot);
            }
            Message::ChunkReply { index, received_bytes, .. } => {
                progress.received(self.now, index, received_bytes)
            }
            _ => {}
        }
    }

    fn on_round_answered(&mut self, from: ReplicaId, round: u64) {
        let Some(leading) = &mut self.leading else { return };
        let Some(sent) = leading.sent_at(round) else { return };
        if let Some(progress) = leading.peers.get_mut(&from) {
            progress.acknowledged = progress.acknowledged.max(Some(sent));
        }
    }

    fn on_rejected(&mut self, from: ReplicaId, compared: u64, hint: (u64, u64), needs_snapshot: bool) {
        let log = &self.log;
        let Some(progress) = self.leading.as_mut().and_then(|leading| leading.peers.get_mut(&from)) else {
            return;
        };
        let stale = compared < progress.match_index || matches!(progress.mode, Mode::Chunks(_));
        if stale {
            return;
        }
        progress.needs_snapshot |= needs_snapshot;
        let (hint_index, hint_term) = hint;
        let mut common = hint_index.min(compared.saturating_sub(1)).min(log.last().index);
        while common > log.before() && log.term_at(common).is_some_and(|term| term > hint_term) {
            common -= 1;
        }
        progress.probe(common + 1);
    }

    /// Sends to each peer what it lacks, within its limits.
    pub(crate) fn replicate(&mut self) {
        let Some(mut leading) = self.leading.take() else { return };
        for (id, progress) in &mut leading.peers {
            if let Some(member) = self.membership().get(*id).cloned() {
                self.replicate_to(&member, progress);
            }
        }
        self.leading = Some(leading);
        self.consider_handover();
    }

    fn replicate_to(&mut self, member: &Member, progress: &mut Progress) {
        if progress.silent_for(self.now) >= self.settings.election_timeout_max {
            return;
        }
        if progress.disk_healthy {
            progress.expire(self.now);
        }
        while progress.has_room(self.settings.max_append_bytes) && self.send_entries(member, progress) {}
        self.send_chunk(member, progress);
        let streams = matches!(progress.mode, Mode::Stream { .. });
        if streams && progress.told_commit < self.commit_index {
            progress.told_commit = self.commit_index;
            self.send(
                member.clone(),
                Message::CommitUpdate { term: self.hard_state.term, commit_index: self.commit_index },
            );
        }
    }

    /// Sends one message of entries, or begins a transfer; whether there may be more to send.
    fn send_entries(&mut self, member: &Member, progress: &mut Progress) -> bool {
        let prev_index = progress.next - 1;
        let Some(prev_term) = self.log.term_at(prev_index).filter(|_| !progress.needs_snapshot) else {
            self.begin_snapshot(progress);
            return false;
        };
        let probes = matches!(progress.mode, Mode::Probe { .. });
        if !probes && progress.next > self.log.last().index {
            return false;
        }
        let limit = progress.budget(self.settings.max_append_bytes);
        let entries =
            if probes && progress.resends() { Vec::new() } else { self.select(progress.next, limit) };
        if entries.is_empty() && !probes {
            self.begin_command(progress);
            return false;
        }
        let bytes = entries.iter().map(Entry::approximate_bytes).sum();
        let last_index = prev_index + entries.len() as u64;
        progress.sent(self.now, last_index, bytes);
        progress.told_commit = self.commit_index;
        let (term, commit_index) = (self.hard_state.term, self.commit_index);
        self.send(member.clone(), Message::Append { term, prev_index, prev_term, entries, commit_index });
        true
    }

    /// Entries from `next` on that fit in one message; none if the first one has to be sent in parts.
    fn select(&self, next: u64, limit: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            bytes += entry.approximate_bytes();
            bytes <= limit || (entry.index == next && !matches!(entry.payload, Payload::Command(_)))
        };
        self.log.from(next).take_while(fits).take(MAX_ENTRIES_PER_MESSAGE).cloned().collect()
    }
}
