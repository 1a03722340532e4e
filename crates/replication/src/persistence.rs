//! What a replica writes: records, the next attempt after a failure, snapshots.

use std::sync::Arc;

use crate::event::Output;
use crate::members;
use crate::record::{Entry, Record, Snapshot};
use crate::replica::Replica;

impl Replica {
    /// Write that covers all changes up to now.
    pub(crate) fn sequence(&self) -> u64 {
        self.disk.sequence(!self.staged.is_empty())
    }

    pub(crate) fn stage(&mut self, record: Record) {
        self.staged.push(record);
    }

    /// Adds an entry to the log, to be written.
    pub(crate) fn push_entry(&mut self, entry: Entry) {
        self.membership_changed |= self.memberships.note(&entry);
        self.stage(Record::Append(entry.clone()));
        self.log.push(entry);
    }

    /// Removes entries from an index on.
    pub(crate) fn truncate(&mut self, from: u64) {
        self.membership_changed |= self.memberships.truncate(from);
        self.log.truncate(from);
        self.verified = self.verified.min(from.saturating_sub(1));
        self.stage(Record::Truncate { from });
    }

    pub(crate) fn disk_is_healthy(&self) -> bool {
        self.disk.is_healthy(self.now, self.settings.disk_stall_timeout)
    }

    /// Replaces log and state by a snapshot of the leader.
    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        // Entries from its index on differ from the leader's. They go first, so that a crash between the two records
        // leaves no entry after the snapshot that does not belong to it. The founding snapshot has index 0, the first
        // entry index 1.
        let from = snapshot.index.max(1);
        if self.log.last().index >= from {
            self.stage(Record::Truncate { from });
        }
        self.stage(Record::Snapshot(snapshot.clone()));
        self.memberships = members::History::new(Some((snapshot.index, snapshot.membership.clone())));
        self.membership_changed = true;
        self.commit_index = snapshot.index;
        self.verified = snapshot.index;
        self.snapshot_request = None;
        self.bytes_since_snapshot = 0;
        self.out.push(Output::Restore { index: snapshot.index, state: snapshot.state.clone() });
        self.log.restore(Arc::new(snapshot));
        self.role = self.idle_role();
    }

    pub(crate) fn request_snapshot(&mut self) {
        let entries = self.commit_index.saturating_sub(self.log.snapshot_index());
        let enough = entries >= self.settings.snapshot_every_entries
            || self.bytes_since_snapshot >= self.settings.snapshot_every_bytes;
        if enough && entries > 0 && self.snapshot_request.is_none() {
            self.snapshot_request = Some(self.commit_index);
            self.out.push(Output::TakeSnapshot { index: self.commit_index });
        }
    }

    pub(crate) fn keep_snapshot(&mut self, index: u64, state: Vec<u8>) {
        if self.snapshot_request != Some(index) {
            return;
        }
        self.snapshot_request = None;
        let Some(term) = self.log.term_at(index) else { return };
        let membership = self.memberships.at(index).clone();
        let snapshot = Arc::new(Snapshot { index, term, membership, state });
        self.stage(Record::Snapshot(Snapshot::clone(&snapshot)));
        self.memberships.forget_before(index);
        self.log.compact(snapshot, self.settings.keep_entries, self.settings.keep_bytes);
        self.bytes_since_snapshot = self
            .log
            .from(index + 1)
            .take_while(|entry| entry.index <= self.commit_index)
            .map(Entry::approximate_bytes)
            .sum();
    }

    pub(crate) fn stage_founding(&mut self) {
        let snapshot = self.log.snapshot().map(|snapshot| Snapshot::clone(snapshot));
        self.staged.extend(snapshot.map(Record::Snapshot));
        self.set_hard_state(self.hard_state);
    }

    pub(crate) fn flush_staged(&mut self) {
        if self.staged.is_empty() {
            return;
        }
        let records = std::mem::take(&mut self.staged);
        if let Some(sequence) = self.disk.submit(self.now, &records, self.log.last().index) {
            self.out.push(Output::Write { sequence, records });
        }
    }

    /// Writes again what a failed write left out, from the state as it is now.
    pub(crate) fn retry_write(&mut self) {
        self.flush_staged();
        let Some((sequence, touched)) = self.disk.retry(self.now, self.log.last().index) else { return };
        let mut records = Vec::new();
        if touched.hard_state {
            records.push(Record::HardState(self.hard_state));
        }
        if let Some(from) = touched.from {
            records.push(Record::Truncate { from });
        }
        if touched.snapshot {
            records.extend(self.log.snapshot().map(|snapshot| Record::Snapshot(Snapshot::clone(snapshot))));
        }
        if let Some(from) = touched.from {
            let first = if touched.snapshot { from.max(self.log.snapshot_index() + 1) } else { from };
            records.extend(self.log.from(first).cloned().map(Record::Append));
        }
        self.out.push(Output::Write { sequence, records });
    }
}
