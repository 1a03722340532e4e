//! The in-memory log and the latest snapshot.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::record::{Entry, Snapshot};

/// Index and term of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Position {
    pub(crate) index: u64,
    pub(crate) term: u64,
}

/// The log entries after `base`, the position that directly precedes the first entry in memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    base: Position,
    entries: VecDeque<Entry>,
    bytes: usize,
    snapshot: Option<Arc<Snapshot>>,
}

impl Log {
    /// Rebuilds the log from recovered state. Entries that do not follow the snapshot without a gap are
    /// dropped.
    pub(crate) fn recover(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Self {
        let base = snapshot.as_ref().map(|snapshot| Position { index: snapshot.index, term: snapshot.term });
        let mut log =
            Self { base: base.unwrap_or_default(), snapshot: snapshot.map(Arc::new), ..Self::default() };
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

    /// Index that directly precedes the first entry in memory.
    pub(crate) fn base_index(&self) -> u64 {
        self.base.index
    }

    pub(crate) fn last(&self) -> Position {
        self.entries.back().map_or(self.base, |entry| Position { index: entry.index, term: entry.term })
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index)?.checked_sub(1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Term of the entry at `index`; `None` if the log does not contain it.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Entries at and after `index`.
    pub(crate) fn entries_from(&self, index: u64) -> impl Iterator<Item = &Entry> {
        let skipped = index.saturating_sub(self.base.index.saturating_add(1));
        self.entries.iter().skip(usize::try_from(skipped).unwrap_or(usize::MAX))
    }

    /// Appends an entry, whose index must directly follow the last one.
    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().index + 1);
        self.bytes += entry.approximate_bytes();
        self.entries.push_back(entry);
    }

    /// Removes all entries at and after `index`.
    pub(crate) fn truncate(&mut self, index: u64) {
        while self.entries.back().is_some_and(|entry| entry.index >= index) {
            let removed = self.entries.pop_back();
            self.bytes -= removed.map_or(0, |entry| entry.approximate_bytes());
        }
    }

    /// Replaces the whole log by a snapshot received from the leader.
    pub(crate) fn restore(&mut self, snapshot: Arc<Snapshot>) {
        self.base = Position { index: snapshot.index, term: snapshot.term };
        self.entries.clear();
        self.bytes = 0;
        self.snapshot = Some(snapshot);
    }

    /// Installs a snapshot of the local state and drops the entries that it covers, except for the newest
    /// ones within both limits.
    pub(crate) fn compact(&mut self, snapshot: Arc<Snapshot>, keep_entries: u64, keep_bytes: usize) {
        let covered = snapshot.index.saturating_sub(self.base.index);
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
            self.base = Position { index: entry.index, term: entry.term };
        }
        self.entries.shrink_to(2 * self.entries.len());
        self.snapshot = Some(snapshot);
    }
}
