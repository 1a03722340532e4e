//! Persistence: staged records, retries after failed writes, snapshots.

use std::sync::Arc;

use crate::event::Output;
use crate::members;
use crate::record::{Entry, Record, Snapshot};
use crate::replica::Replica;

impl Replica {
    /// Sequence number of the write that completes all changes made so far.
    pub(crate) fn current_write_sequence(&self) -> u64 {
        self.writes.covering_sequence(!self.staged_records.is_empty())
    }

    pub(crate) fn stage_record(&mut self, record: Record) {
        self.staged_records.push(record);
    }

    /// Appends an entry to the log and stages its record.
    pub(crate) fn append_entry(&mut self, entry: Entry) {
        self.membership_changed |= self.membership_history.record_entry(&entry);
        self.stage_record(Record::Append(entry.clone()));
        self.log.push(entry);
    }

    /// Removes all entries at and after `from`, and stages the record of that.
    pub(crate) fn truncate_log(&mut self, from: u64) {
        self.membership_changed |= self.membership_history.truncate(from);
        self.log.truncate(from);
        self.verified_index = self.verified_index.min(from.saturating_sub(1));
        self.stage_record(Record::Truncate { from });
    }

    pub(crate) fn disk_is_healthy(&self) -> bool {
        self.writes.is_healthy(self.now, self.settings.disk_stall_timeout)
    }

    /// Replaces the log and the host's state by a snapshot received from the leader.
    pub(crate) fn restore_snapshot(&mut self, snapshot: Snapshot) {
        // Local entries at and after the snapshot's index conflict with the leader's. They are removed first,
        // so that a crash between the two records leaves no conflicting entry after the snapshot. The initial
        // snapshot has index 0, the first entry index 1.
        let from = snapshot.index.max(1);
        if self.log.last().index >= from {
            self.stage_record(Record::Truncate { from });
        }
        self.stage_record(Record::Snapshot(snapshot.clone()));
        self.membership_history =
            members::MembershipHistory::new(Some((snapshot.index, snapshot.membership.clone())));
        self.membership_changed = true;
        self.commit_index = snapshot.index;
        self.verified_index = snapshot.index;
        self.pending_snapshot_index = None;
        self.bytes_since_snapshot = 0;
        self.outputs.push(Output::Restore { index: snapshot.index, state: snapshot.state.clone() });
        self.log.restore(Arc::new(snapshot));
        self.role = self.passive_role();
    }

    pub(crate) fn request_snapshot_if_due(&mut self) {
        let entries = self.commit_index.saturating_sub(self.log.snapshot_index());
        let enough = entries >= self.settings.snapshot_every_entries
            || self.bytes_since_snapshot >= self.settings.snapshot_every_bytes;
        if enough && entries > 0 && self.pending_snapshot_index.is_none() {
            self.pending_snapshot_index = Some(self.commit_index);
            self.outputs.push(Output::TakeSnapshot { index: self.commit_index });
        }
    }

    pub(crate) fn store_snapshot(&mut self, index: u64, state: Vec<u8>) {
        if self.pending_snapshot_index != Some(index) {
            return;
        }
        self.pending_snapshot_index = None;
        let Some(term) = self.log.term_at(index) else { return };
        let membership = self.membership_history.at(index).clone();
        let snapshot = Arc::new(Snapshot { index, term, membership, state });
        self.stage_record(Record::Snapshot(Snapshot::clone(&snapshot)));
        self.membership_history.compact(index);
        self.log.compact(snapshot, self.settings.keep_entries, self.settings.keep_bytes);
        self.bytes_since_snapshot = self
            .log
            .entries_from(index + 1)
            .take_while(|entry| entry.index <= self.commit_index)
            .map(Entry::approximate_bytes)
            .sum();
    }

    pub(crate) fn stage_initial_state(&mut self) {
        let snapshot = self.log.snapshot().map(|snapshot| Snapshot::clone(snapshot));
        self.staged_records.extend(snapshot.map(Record::Snapshot));
        self.set_hard_state(self.hard_state);
    }

    pub(crate) fn write_staged_records(&mut self) {
        if self.staged_records.is_empty() {
            return;
        }
        let records = std::mem::take(&mut self.staged_records);
        if let Some(sequence) = self.writes.submit(self.now, &records, self.log.last().index) {
            self.outputs.push(Output::Write { sequence, records });
        }
    }

    /// Retries a failed write if the retry is due, with the current state of everything that it left
    /// unwritten.
    pub(crate) fn retry_write(&mut self) {
        self.write_staged_records();
        let Some((sequence, changes)) = self.writes.start_retry(self.now, self.log.last().index) else {
            return;
        };
        let mut records = Vec::new();
        if changes.hard_state {
            records.push(Record::HardState(self.hard_state));
        }
        if let Some(from) = changes.first_index {
            records.push(Record::Truncate { from });
        }
        if changes.snapshot {
            records.extend(self.log.snapshot().map(|snapshot| Record::Snapshot(Snapshot::clone(snapshot))));
        }
        if let Some(from) = changes.first_index {
            let first = if changes.snapshot { from.max(self.log.snapshot_index() + 1) } else { from };
            records.extend(self.log.entries_from(first).cloned().map(Record::Append));
        }
        self.outputs.push(Output::Write { sequence, records });
    }
}
