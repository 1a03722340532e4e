//! A simulated disk that delays syncs, loses unsynced writes, stalls and fills up.

use std::collections::VecDeque;

use dunelink_replication::{Record, RecoveredState, WriteFence};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskMode {
    Normal,
    Stalled,
    Full,
}

pub struct Disk {
    pub mode: DiskMode,
    pub synced: RecoveredState,
    pending_writes: VecDeque<(u64, Vec<Record>)>,
    fence: WriteFence,
    pub completion_due: Option<u64>,
}

impl Disk {
    pub fn new() -> Self {
        Self {
            mode: DiskMode::Normal,
            synced: RecoveredState::default(),
            pending_writes: VecDeque::new(),
            fence: WriteFence::default(),
            completion_due: None,
        }
    }

    pub fn submit(&mut self, sequence: u64, records: Vec<Record>) {
        self.pending_writes.push_back((sequence, records));
    }

    pub fn is_busy(&self) -> bool {
        !self.pending_writes.is_empty()
    }

    /// Finishes the first pending write; returns its sequence number and whether it is synced.
    pub fn finish_write(&mut self, random: &mut fastrand::Rng) -> Option<(u64, bool)> {
        let (sequence, records) = self.pending_writes.pop_front()?;
        if !self.fence.accepts(sequence) {
            return Some((sequence, false));
        }
        if self.mode == DiskMode::Full {
            self.fence.record_failure(sequence);
            self.write_prefix(records, random);
            return Some((sequence, false));
        }
        for record in records {
            self.store(record);
        }
        Some((sequence, true))
    }

    /// Loses power. Any prefix of the interrupted write may be stored.
    pub fn lose_power(&mut self, random: &mut fastrand::Rng) {
        let interrupted_write = self.pending_writes.drain(..).next();
        if let Some((sequence, records)) = interrupted_write
            && self.fence.accepts(sequence)
        {
            self.write_prefix(records, random);
        }
        self.fence = WriteFence::default();
        self.completion_due = None;
    }

    fn write_prefix(&mut self, records: Vec<Record>, random: &mut fastrand::Rng) {
        let stored_count = random.usize(0..=records.len());
        for record in records.into_iter().take(stored_count) {
            self.store(record);
        }
    }

    fn store(&mut self, record: Record) {
        let last_index = self.synced.entries.last().map(|entry| entry.index);
        let last_index =
            last_index.or(self.synced.snapshot.as_ref().map(|snapshot| snapshot.index)).unwrap_or(0);
        if let Record::Append(entry) = &record {
            assert!(
                entry.index <= last_index + 1,
                "gap on the disk: entry {} follows {last_index}",
                entry.index
            );
        }
        if let Record::Truncate { from } = &record {
            assert!(*from > 0, "truncation from entry 0, which does not exist");
        }
        self.synced.replay(record);
    }
}
