//! What a follower does with messages of a leader.

use crate::members::{Member, ReplicaId};
use crate::message::Message;
use crate::record::Entry;
use crate::replica::Replica;
use crate::status::Role;

impl Replica {
    pub(crate) fn on_leader_message(&mut self, from: ReplicaId, message: Message) {
        let (Message::Heartbeat { term, .. }
        | Message::Append { term, .. }
        | Message::CommitUpdate { term, .. }
        | Message::Chunk { term, .. }
        | Message::TimeoutNow { term }) = &message
        else {
            return;
        };
        let term = *term;
        let Some(sender) = self.sender(from, &message) else { return };
        if term < self.hard_state.term {
            return self.answer_heartbeat(sender, 0);
        }
        if let Message::TimeoutNow { .. } = message {
            if term == self.hard_state.term && self.leader.as_ref() == Some(&sender) {
                self.on_stand_now();
            }
            return;
        }
        if term == self.hard_state.term && self.leading.is_some() {
            return;
        }
        if term > self.hard_state.term
            || self.role == Role::Candidate
            || self.leader.as_ref() != Some(&sender)
        {
            self.follow(term, Some(sender.clone()));
        }
        self.heard_leader = Some(self.now);
        self.needed_candidate = false;
        self.reset_election_deadline();
        match message {
            Message::Heartbeat { round, commit_index, leader_holds_lease, .. } => {
                if leader_holds_lease {
                    self.contact = Some(self.now);
                }
                self.answer_heartbeat(sender, round);
                self.learn_commit(commit_index);
            }
            Message::Append { prev_index, prev_term, entries, commit_index, .. } => {
                self.on_append(sender, prev_index, prev_term, entries);
                self.learn_commit(commit_index);
            }
            Message::CommitUpdate { commit_index, .. } => self.learn_commit(commit_index),
            Message::Chunk { header, offset, total_bytes, bytes, .. } => {
                self.on_chunk(sender, header, offset, total_bytes, bytes)
            }
            _ => {}
        }
    }

    /// Who to answer: the leader that a heartbeat names, or one that is known already.
    fn sender(&self, from: ReplicaId, message: &Message) -> Option<Member> {
        if let Message::Heartbeat { leader, .. } = message {
            return Some(leader.clone()).filter(|leader| leader.id == from);
        }
        let known = self.leader.as_ref().filter(|leader| leader.id == from);
        known.or_else(|| self.membership().get(from)).cloned()
    }

    fn answer_heartbeat(&mut self, to: Member, round: u64) {
        let term = self.hard_state.term;
        let disk_healthy = self.disk_is_healthy();
        let shutting_down = self.shutting_down;
        self.send_in_term(to, Message::HeartbeatReply { term, round, disk_healthy, shutting_down });
    }

    fn on_append(&mut self, leader: Member, prev_index: u64, prev_term: u64, entries: Vec<Entry>) {
        if self.membership().is_empty() {
            return self.reject(leader, prev_index, true);
        }
        if prev_index < self.commit_index {
            return self.on_late_append(leader, prev_index, entries);
        }
        if self.log.term_at(prev_index) != Some(prev_term) {
            return self.reject(leader, prev_index, false);
        }
        self.take_entries(leader, prev_index, entries);
    }

    /// Entries that begin within what is committed here, and so is equal.
    fn on_late_append(&mut self, leader: Member, prev_index: u64, mut entries: Vec<Entry>) {
        let known = usize::try_from(self.commit_index - prev_index).unwrap_or(usize::MAX).min(entries.len());
        entries.drain(..known);
        let prev_index = self.commit_index;
        self.take_entries(leader, prev_index, entries);
    }

    /// Entries right after `prev_index`, up to which the log equals the leader's.
    pub(crate) fn take_entries(&mut self, leader: Member, prev_index: u64, entries: Vec<Entry>) {
        let mut match_index = prev_index;
        let mut last_term = self.log.term_at(prev_index).unwrap_or(0);
        for entry in entries {
            let in_order = entry.index == match_index + 1;
            if !in_order || entry.term < last_term || entry.term > self.hard_state.term {
                return;
            }
            last_term = entry.term;
            match_index = entry.index;
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate(entry.index),
                None => {}
            }
            self.push_entry(entry);
        }
        self.confirm(leader, match_index);
    }

    /// The log equals the leader's up to `match_index`; tells so once that is synced.
    pub(crate) fn confirm(&mut self, leader: Member, match_index: u64) {
        self.verified = self.verified.max(match_index);
        let term = self.hard_state.term;
        self.send_synced(leader, Message::AppendAccepted { term, match_index });
    }

    fn reject(&mut self, leader: Member, prev_index: u64, needs_snapshot: bool) {
        let (hint_index, hint_term) = self.conflict_hint(prev_index);
        let term = self.hard_state.term;
        let message = Message::AppendRejected { term, prev_index, hint_index, hint_term, needs_snapshot };
        self.send_in_term(leader, message);
    }

    /// Last entry before the term that differs at `prev_index`, or the last one of all.
    fn conflict_hint(&self, prev_index: u64) -> (u64, u64) {
        let last = self.log.last();
        if prev_index > last.index {
            return (last.index, last.term);
        }
        let conflicting = self.log.term_at(prev_index);
        let mut index = prev_index;
        while index > self.commit_index && self.log.term_at(index) == conflicting {
            index -= 1;
        }
        (index, self.log.term_at(index).unwrap_or(0))
    }

    pub(crate) fn learn_commit(&mut self, commit_index: u64) {
        self.commit_to(commit_index.min(self.verified));
    }
}
