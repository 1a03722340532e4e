//! A disk that syncs after a while, loses what is not synced, stalls, and fills.

use std::collections::VecDeque;

use dunelink_replication::{Record, RecoveredState, WriteFence};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Normal,
    Stalled,
    Full,
}

pub struct Disk {
    pub mode: Mode,
    pub synced: RecoveredState,
    queue: VecDeque<(u64, Vec<Record>)>,
    fence: WriteFence,
    pub due: Option<u64>,
}

impl Disk {
    pub fn new() -> Self {
        Self {
            mode: Mode::Normal,
            synced: RecoveredState::default(),
            queue: VecDeque::new(),
            fence: WriteFence::default(),
            due: None,
        }
    }

    pub fn submit(&mut self, sequence: u64, records: Vec<Record>) {
        self.queue.push_back((sequence, records));
    }

    pub fn is_busy(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Ends the first write of the queue: its sequence, and whether it is synced.
    pub fn finish(&mut self, random: &mut fastrand::Rng) -> Option<(u64, bool)> {
        let (sequence, records) = self.queue.pop_front()?;
        if !self.fence.accepts(sequence) {
            return Some((sequence, false));
        }
        if self.mode == Mode::Full {
            self.fence.record_failure(sequence);
            self.write_some(records, random);
            return Some((sequence, false));
        }
        for record in records {
            self.store(record);
        }
        Some((sequence, true))
    }

    /// Loses power: of the write under way any first part may be stored.
    pub fn lose_power(&mut self, random: &mut fastrand::Rng) {
        let under_way = self.queue.drain(..).next();
        if let Some((sequence, records)) = under_way
            && self.fence.accepts(sequence)
        {
            self.write_some(records, random);
        }
        self.fence = WriteFence::default();
        self.due = None;
    }

    fn write_some(&mut self, records: Vec<Record>, random: &mut fastrand::Rng) {
        let stored = random.usize(0..=records.len());
        for record in records.into_iter().take(stored) {
            self.store(record);
        }
    }

    fn store(&mut self, record: Record) {
        let last = self.synced.entries.last().map(|entry| entry.index);
        let last = last.or(self.synced.snapshot.as_ref().map(|snapshot| snapshot.index)).unwrap_or(0);
        if let Record::Append(entry) = &record {
            assert!(entry.index <= last + 1, "gap on disk: {} after {last}", entry.index);
        }
        if let Record::Truncate { from } = &record {
            assert!(*from > 0, "there is no entry 0 to remove");
        }
        self.synced.replay(record);
    }
}
