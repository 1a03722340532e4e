//! Tracks the writes in flight and the synced part of the log.

use std::collections::VecDeque;

use crate::Micros;
use crate::record::Record;

/// Decides which writes a host may carry out after one of them failed.
///
/// After a failure, the host may still have later writes in its queue, and storing them would leave a gap in
/// the log. Sequence numbers increase by one from write to write, but the first retry after a failure skips a
/// number. Each write that directly follows a failed one must therefore fail too, until a number is skipped.
#[derive(Clone, Debug, Default)]
pub struct WriteFence {
    failed: Option<u64>,
}

impl WriteFence {
    /// Whether the write may be carried out. If not, the host reports it with [`crate::Input::WriteFailed`].
    pub fn accepts(&mut self, sequence: u64) -> bool {
        let is_behind_failure = self.failed.is_some_and(|failed| sequence <= failed.saturating_add(1));
        self.failed = is_behind_failure.then_some(sequence);
        !is_behind_failure
    }

    /// Records that a write failed.
    pub fn record_failure(&mut self, sequence: u64) {
        self.failed = Some(sequence);
    }
}

/// The parts of the stored state that a set of writes changes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ChangedState {
    pub(crate) hard_state: bool,
    pub(crate) snapshot: bool,
    /// Lowest log index that is appended or removed; `None` if the log is unchanged.
    pub(crate) first_index: Option<u64>,
}

impl ChangedState {
    fn of(records: &[Record]) -> Self {
        let mut changes = Self::default();
        for record in records {
            match record {
                Record::HardState(_) => changes.hard_state = true,
                Record::Snapshot(_) => changes.snapshot = true,
                Record::Append(entry) => changes.lower_first_index(Some(entry.index)),
                Record::Truncate { from } => changes.lower_first_index(Some(*from)),
            }
        }
        changes
    }

    /// Extends the changed range of the log down to `first_index`.
    fn lower_first_index(&mut self, first_index: Option<u64>) {
        self.first_index = match (self.first_index, first_index) {
            (Some(left), Some(right)) => Some(left.min(right)),
            (left, right) => left.or(right),
        };
    }

    fn merge(&mut self, other: Self) {
        self.hard_state |= other.hard_state;
        self.snapshot |= other.snapshot;
        self.lower_first_index(other.first_index);
    }
}

/// A write that is not synced yet.
#[derive(Clone, Debug)]
struct PendingWrite {
    sequence: u64,
    submitted_at: Micros,
    changes: ChangedState,
    /// Last index that is synced once this write is.
    last_index: u64,
}

/// All writes since a failure, to be retried as one.
#[derive(Clone, Debug)]
struct FailedWrite {
    changes: ChangedState,
    retry_at: Micros,
    retry_sequence: u64,
}

/// The writes submitted to the host's disk and their outcomes.
#[derive(Clone, Debug)]
pub(crate) struct WriteTracker {
    next_sequence: u64,
    synced_sequence: u64,
    synced_index: u64,
    in_flight: VecDeque<PendingWrite>,
    failed: Option<FailedWrite>,
    last_synced_at: Micros,
}

impl WriteTracker {
    pub(crate) fn new(synced_index: u64) -> Self {
        Self {
            next_sequence: 1,
            synced_sequence: 0,
            synced_index,
            in_flight: VecDeque::new(),
            failed: None,
            last_synced_at: 0,
        }
    }

    /// Last synced index.
    pub(crate) fn synced_index(&self) -> u64 {
        self.synced_index
    }

    pub(crate) fn is_synced(&self, sequence: u64) -> bool {
        self.synced_sequence >= sequence
    }

    /// Sequence number of the write that completes everything submitted so far, and the staged records if
    /// there are any.
    pub(crate) fn covering_sequence(&self, has_staged: bool) -> u64 {
        match &self.failed {
            Some(failed) => failed.retry_sequence,
            None if has_staged => self.next_sequence,
            None => self.in_flight.back().map_or(self.synced_sequence, |write| write.sequence),
        }
    }

    /// Submits records. Returns the sequence number of their write, or `None` while a failed write awaits its
    /// retry.
    pub(crate) fn submit(&mut self, now: Micros, records: &[Record], last_index: u64) -> Option<u64> {
        let changes = ChangedState::of(records);
        self.cap_synced_index(changes.first_index);
        if let Some(failed) = &mut self.failed {
            failed.changes.merge(changes);
            return None;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.in_flight.push_back(PendingWrite { sequence, submitted_at: now, changes, last_index });
        Some(sequence)
    }

    /// Records a synced write. Returns false if it is not in flight.
    pub(crate) fn mark_written(&mut self, now: Micros, sequence: u64) -> bool {
        if !self.in_flight.iter().any(|write| write.sequence == sequence) {
            return false;
        }
        while self.in_flight.front().is_some_and(|write| write.sequence <= sequence) {
            if let Some(write) = self.in_flight.pop_front() {
                self.synced_index = write.last_index;
            }
        }
        self.synced_sequence = sequence;
        self.last_synced_at = now;
        true
    }

    /// Records a failed write. It and all later writes are retried together at `retry_at`.
    pub(crate) fn mark_failed(&mut self, sequence: u64, retry_at: Micros) {
        let Some(position) = self.in_flight.iter().position(|write| write.sequence == sequence) else {
            return;
        };
        let mut changes = ChangedState::default();
        for write in self.in_flight.drain(position..) {
            changes.merge(write.changes);
        }
        let retry_sequence = self.next_sequence + 1;
        self.next_sequence = retry_sequence + 1;
        self.failed = Some(FailedWrite { changes, retry_at, retry_sequence });
    }

    /// When the retry after a failure is due; `None` without a failure.
    pub(crate) fn retry_at(&self) -> Option<Micros> {
        self.failed.as_ref().map(|failed| failed.retry_at)
    }

    /// Starts the retry if it is due. Returns its sequence number and the state that it has to write.
    pub(crate) fn start_retry(&mut self, now: Micros, last_index: u64) -> Option<(u64, ChangedState)> {
        let failed = self.failed.take_if(|failed| now >= failed.retry_at)?;
        let (sequence, changes) = (failed.retry_sequence, failed.changes);
        self.in_flight.push_back(PendingWrite { sequence, submitted_at: now, changes, last_index });
        Some((sequence, changes))
    }

    /// When the oldest write in flight counts as stalled; `None` if nothing is in flight.
    pub(crate) fn stall_deadline(&self, stall_timeout: Micros) -> Option<Micros> {
        let oldest = self.in_flight.front()?;
        Some(oldest.submitted_at.max(self.last_synced_at).saturating_add(stall_timeout))
    }

    /// Whether writes succeed without stalling.
    pub(crate) fn is_healthy(&self, now: Micros, stall_timeout: Micros) -> bool {
        self.failed.is_none() && self.stall_deadline(stall_timeout).is_none_or(|at| now < at)
    }

    /// Entries at and after `first_index` are replaced: their earlier writes no longer count as synced.
    fn cap_synced_index(&mut self, first_index: Option<u64>) {
        let Some(last_kept) = first_index.map(|index| index.saturating_sub(1)) else { return };
        self.synced_index = self.synced_index.min(last_kept);
        for write in &mut self.in_flight {
            write.last_index = write.last_index.min(last_kept);
        }
    }
}
