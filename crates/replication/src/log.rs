//! Entries in memory, and the newest snapshot.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::record::{Entry, Snapshot};

/// Index and term of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Position {
    pub(crate) index: u64,
    pub(crate) term: u64,
}

/// The log from some index on. `before` is the position right before the first entry kept.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    before: Position,
    entries: VecDeque<Entry>,
    bytes: usize,
    snapshot: Option<Arc<Snapshot>>,
}

impl Log {
    /// A log as read back; entries that do not follow the snapshot without a gap are dropped.
    pub(crate) fn recovered(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Self {
        let before =
            snapshot.as_ref().map(|snapshot| Position { index: snapshot.index, term: snapshot.term });
        let mut log =
            Self { before: before.unwrap_or_default(), snapshot: snapshot.map(Arc::new), ..Self::default() };
        for entry in entries {
            if entry.index == log.last().index.saturating_add(1) {
                log.push(entry);
            }
        }
        log
    }

    pub(crate) fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    pub(crate) fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Index before the first entry in memory.
    pub(crate) fn before(&self) -> u64 {
        self.before.index
    }

    pub(crate) fn last(&self) -> Position {
        self.entries.back().map_or(self.before, |entry| Position { index: entry.index, term: entry.term })
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let place = index.checked_sub(self.before.index)?.checked_sub(1)?;
        self.entries.get(usize::try_from(place).ok()?)
    }

    /// Term of the entry at `index`, if it is known.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.before.index {
            return Some(self.before.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Entries from `index` on.
    pub(crate) fn from(&self, index: u64) -> impl Iterator<Item = &Entry> {
        let skipped = index.saturating_sub(self.before.index.saturating_add(1));
        self.entries.iter().skip(usize::try_from(skipped).unwrap_or(usize::MAX))
    }

    /// Adds the entry after the last one.
    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().index + 1);
        self.bytes += entry.approximate_bytes();
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    pub(crate) fn truncate(&mut self, index: u64) {
        while self.entries.back().is_some_and(|entry| entry.index >= index) {
            let removed = self.entries.pop_back();
            self.bytes -= removed.map_or(0, |entry| entry.approximate_bytes());
        }
    }

    /// Replaces everything by a snapshot from the leader.
    pub(crate) fn restore(&mut self, snapshot: Arc<Snapshot>) {
        self.before = Position { index: snapshot.index, term: snapshot.term };
        self.entries.clear();
        self.bytes = 0;
        self.snapshot = Some(snapshot);
    }

    /// Takes over a snapshot of this log's own state and drops entries behind it, but for the newest that are within
    /// both limits.
    pub(crate) fn compact(&mut self, snapshot: Arc<Snapshot>, keep_entries: u64, keep_bytes: usize) {
        let covered = snapshot.index.saturating_sub(self.before.index);
        let covered = usize::try_from(covered).unwrap_or(usize::MAX).min(self.entries.len());
        let mut kept_bytes = 0;
        let mut kept = 0;
        for entry in self.entries.iter().take(covered).rev() {
            kept_bytes += entry.approximate_bytes();
            if kept >= keep_entries || kept_bytes > keep_bytes {
                break;
            }
            kept += 1;
        }
        let dropped = covered - usize::try_from(kept).unwrap_or(covered).min(covered);
        for entry in self.entries.drain(..dropped) {
            self.bytes -= entry.approximate_bytes();
            self.before = Position { index: entry.index, term: entry.term };
        }
        self.entries.shrink_to(2 * self.entries.len());
        self.snapshot = Some(snapshot);
    }
}
