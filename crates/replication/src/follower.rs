//! The follower role: handling of messages from a leader.

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
        let Some(sender) = self.resolve_sender(from, &message) else { return };
        if term < self.hard_state.term {
            return self.send_heartbeat_reply(sender, 0);
        }
        if let Message::TimeoutNow { .. } = message {
            if term == self.hard_state.term && self.leader.as_ref() == Some(&sender) {
                self.on_timeout_now();
            }
            return;
        }
        if term == self.hard_state.term && self.leader_state.is_some() {
            return;
        }
        if term > self.hard_state.term
            || self.role == Role::Candidate
            || self.leader.as_ref() != Some(&sender)
        {
            self.become_follower(term, Some(sender.clone()));
        }
        self.last_leader_message_at = Some(self.now);
        self.campaigns_as_non_voter = false;
        self.reset_election_deadline();
        match message {
            Message::Heartbeat { round, commit_index, leader_holds_lease, .. } => {
                if leader_holds_lease {
                    self.lease_holder_heard_at = Some(self.now);
                }
                self.send_heartbeat_reply(sender, round);
                self.update_commit_index(commit_index);
            }
            Message::Append { prev_index, prev_term, entries, commit_index, .. } => {
                self.on_append(sender, prev_index, prev_term, entries);
                self.update_commit_index(commit_index);
            }
            Message::CommitUpdate { commit_index, .. } => self.update_commit_index(commit_index),
            Message::Chunk { header, offset, total_bytes, bytes, .. } => {
                self.on_chunk(sender, header, offset, total_bytes, bytes)
            }
            _ => {}
        }
    }

    /// The member to reply to: the leader named in a heartbeat, or else a known leader or member.
    fn resolve_sender(&self, from: ReplicaId, message: &Message) -> Option<Member> {
        if let Message::Heartbeat { leader, .. } = message {
            return Some(leader.clone()).filter(|leader| leader.id == from);
        }
        let known = self.leader.as_ref().filter(|leader| leader.id == from);
        known.or_else(|| self.membership().get(from)).cloned()
    }

    fn send_heartbeat_reply(&mut self, to: Member, round: u64) {
        let term = self.hard_state.term;
        let disk_healthy = self.disk_is_healthy();
        let shutting_down = self.shutting_down;
        self.send_after_term_sync(to, Message::HeartbeatReply { term, round, disk_healthy, shutting_down });
    }

    fn on_append(&mut self, leader: Member, prev_index: u64, prev_term: u64, entries: Vec<Entry>) {
        if self.membership().is_empty() {
            return self.reject_append(leader, prev_index, true);
        }
        if prev_index < self.commit_index {
            return self.on_overlapping_append(leader, prev_index, entries);
        }
        if self.log.term_at(prev_index) != Some(prev_term) {
            return self.reject_append(leader, prev_index, false);
        }
        self.append_entries(leader, prev_index, entries);
    }

    /// Handles entries that start within the committed part of the log, which matches the leader's.
    fn on_overlapping_append(&mut self, leader: Member, prev_index: u64, mut entries: Vec<Entry>) {
        let committed =
            usize::try_from(self.commit_index - prev_index).unwrap_or(usize::MAX).min(entries.len());
        entries.drain(..committed);
        let prev_index = self.commit_index;
        self.append_entries(leader, prev_index, entries);
    }

    /// Appends entries that follow `prev_index`, up to which the log matches the leader's.
    pub(crate) fn append_entries(&mut self, leader: Member, prev_index: u64, entries: Vec<Entry>) {
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
                Some(_) => self.truncate_log(entry.index),
                None => {}
            }
            self.append_entry(entry);
        }
        self.acknowledge(leader, match_index);
    }

    /// Records that the log matches the leader's up to `match_index`, and acknowledges that once it is
    /// synced.
    pub(crate) fn acknowledge(&mut self, leader: Member, match_index: u64) {
        self.verified_index = self.verified_index.max(match_index);
        let term = self.hard_state.term;
        self.send_after_sync(leader, Message::AppendAccepted { term, match_index });
    }

    fn reject_append(&mut self, leader: Member, prev_index: u64, needs_snapshot: bool) {
        let (hint_index, hint_term) = self.conflict_hint(prev_index);
        let term = self.hard_state.term;
        let message = Message::AppendRejected { term, prev_index, hint_index, hint_term, needs_snapshot };
        self.send_after_term_sync(leader, message);
    }

    /// (index, term) of the last entry that may match the leader's: the one before the term found at
    /// `prev_index`, or the last entry if the log is shorter.
    fn conflict_hint(&self, prev_index: u64) -> (u64, u64) {
        let last = self.log.last();
        if prev_index > last.index {
            return (last.index, last.term);
        }
        let conflicting_term = self.log.term_at(prev_index);
        let mut index = prev_index;
        while index > self.commit_index && self.log.term_at(index) == conflicting_term {
            index -= 1;
        }
        (index, self.log.term_at(index).unwrap_or(0))
    }

    /// Advances the commit index, as far as the log is known to match the leader's.
    pub(crate) fn update_commit_index(&mut self, commit_index: u64) {
        self.commit_up_to(commit_index.min(self.verified_index));
    }
}
