//! Writes in flight, and what is known to be synced.

use std::collections::VecDeque;

use crate::Micros;
use crate::record::Record;

/// Follows which writes a disk may carry out after one of them failed.
///
/// After a failure the disk may still have later writes in its queue, and storing them would leave a gap. Sequences
/// rise by one from write to write, but the first attempt after a failure skips a number. So each write that directly
/// follows a failed one fails too, until one skips.
#[derive(Clone, Debug, Default)]
pub struct WriteFence {
    failed: Option<u64>,
}

impl WriteFence {
    /// Whether the write may be carried out; if not, report it with [`crate::Input::WriteFailed`].
    pub fn accepts(&mut self, sequence: u64) -> bool {
        let follows = self.failed.is_some_and(|failed| sequence <= failed.saturating_add(1));
        self.failed = follows.then_some(sequence);
        !follows
    }

    /// Notes that a write failed.
    pub fn record_failure(&mut self, sequence: u64) {
        self.failed = Some(sequence);
    }
}

/// Which parts of the stored state some writes change.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Touched {
    pub(crate) hard_state: bool,
    pub(crate) snapshot: bool,
    /// Lowest index that is appended or removed.
    pub(crate) from: Option<u64>,
}

impl Touched {
    fn of(records: &[Record]) -> Self {
        let mut touched = Self::default();
        for record in records {
            match record {
                Record::HardState(_) => touched.hard_state = true,
                Record::Snapshot(_) => touched.snapshot = true,
                Record::Append(entry) => touched.lower(Some(entry.index)),
                Record::Truncate { from } => touched.lower(Some(*from)),
            }
        }
        touched
    }

    fn lower(&mut self, from: Option<u64>) {
        self.from = match (self.from, from) {
            (Some(left), Some(right)) => Some(left.min(right)),
            (left, right) => left.or(right),
        };
    }

    fn merge(&mut self, other: Self) {
        self.hard_state |= other.hard_state;
        self.snapshot |= other.snapshot;
        self.lower(other.from);
    }
}

#[derive(Clone, Debug)]
struct Pending {
    sequence: u64,
    issued: Micros,
    touched: Touched,
    /// Last index that is on the disk once this write is synced.
    last_index: u64,
}

#[derive(Clone, Debug)]
struct Failed {
    touched: Touched,
    retry_at: Micros,
    retry_sequence: u64,
}

/// The disk as the replica sees it.
#[derive(Clone, Debug)]
pub(crate) struct Disk {
    next_sequence: u64,
    synced_sequence: u64,
    synced_index: u64,
    in_flight: VecDeque<Pending>,
    failed: Option<Failed>,
    progressed: Micros,
}

impl Disk {
    pub(crate) fn new(synced_index: u64) -> Self {
        Self {
            next_sequence: 1,
            synced_sequence: 0,
            synced_index,
            in_flight: VecDeque::new(),
            failed: None,
            progressed: 0,
        }
    }

    /// Last index that is synced.
    pub(crate) fn synced_index(&self) -> u64 {
        self.synced_index
    }

    pub(crate) fn is_synced(&self, sequence: u64) -> bool {
        self.synced_sequence >= sequence
    }

    /// Sequence that covers everything submitted up to now, and `staged` too.
    pub(crate) fn sequence(&self, staged: bool) -> u64 {
        match &self.failed {
            Some(failed) => failed.retry_sequence,
            None if staged => self.next_sequence,
            None => self.in_flight.back().map_or(self.synced_sequence, |pending| pending.sequence),
        }
    }

    /// Submits records; the sequence to write them under, or none while a failed write waits for its next attempt.
    pub(crate) fn submit(&mut self, now: Micros, records: &[Record], last_index: u64) -> Option<u64> {
        let touched = Touched::of(records);
        self.lower_synced(touched.from);
        if let Some(failed) = &mut self.failed {
            failed.touched.merge(touched);
            return None;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.in_flight.push_back(Pending { sequence, issued: now, touched, last_index });
        Some(sequence)
    }

    /// Notes a synced write; false if it is not one of those in flight.
    pub(crate) fn written(&mut self, now: Micros, sequence: u64) -> bool {
        if !self.in_flight.iter().any(|pending| pending.sequence == sequence) {
            return false;
        }
        while self.in_flight.front().is_some_and(|pending| pending.sequence <= sequence) {
            if let Some(pending) = self.in_flight.pop_front() {
                self.synced_index = pending.last_index;
            }
        }
        self.synced_sequence = sequence;
        self.progressed = now;
        true
    }

    /// Notes a failed write: it and all after it wait for the next attempt.
    pub(crate) fn write_failed(&mut self, sequence: u64, retry_at: Micros) {
        let Some(place) = self.in_flight.iter().position(|pending| pending.sequence == sequence) else {
            return;
        };
        let mut touched = Touched::default();
        for pending in self.in_flight.drain(place..) {
            touched.merge(pending.touched);
        }
        let retry_sequence = self.next_sequence + 1;
        self.next_sequence = retry_sequence + 1;
        self.failed = Some(Failed { touched, retry_at, retry_sequence });
    }

    /// When the next attempt after a failure is due.
    pub(crate) fn retry_at(&self) -> Option<Micros> {
        self.failed.as_ref().map(|failed| failed.retry_at)
    }

    /// Starts the next attempt if it is due: its sequence, and what it has to contain.
    pub(crate) fn retry(&mut self, now: Micros, last_index: u64) -> Option<(u64, Touched)> {
        let failed = self.failed.take_if(|failed| now >= failed.retry_at)?;
        let (sequence, touched) = (failed.retry_sequence, failed.touched);
        self.in_flight.push_back(Pending { sequence, issued: now, touched, last_index });
        Some((sequence, touched))
    }

    /// When the oldest write in flight counts as stalled.
    pub(crate) fn stalls_at(&self, limit: Micros) -> Option<Micros> {
        let oldest = self.in_flight.front()?;
        Some(oldest.issued.max(self.progressed).saturating_add(limit))
    }

    /// Whether writes succeed in time.
    pub(crate) fn is_healthy(&self, now: Micros, limit: Micros) -> bool {
        self.failed.is_none() && self.stalls_at(limit).is_none_or(|at| now < at)
    }

    fn lower_synced(&mut self, from: Option<u64>) {
        let Some(kept) = from.map(|from| from.saturating_sub(1)) else { return };
        self.synced_index = self.synced_index.min(kept);
        for pending in &mut self.in_flight {
            pending.last_index = pending.last_index.min(kept);
        }
    }
}
