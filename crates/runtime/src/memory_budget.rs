//! A number of bytes that several holders share.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Bytes that may be reserved in total. Clones share the same bytes.
///
/// The counter is atomic because reservations travel with [`Bytes`], which may move between threads.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    limit: usize,
    used: Arc<AtomicUsize>,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, used: Arc::default() }
    }

    /// Returns the number of bytes that may be reserved in total.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of reserved bytes.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Reserves `bytes` if no more than `ceiling` are then reserved in total; `None` otherwise.
    pub fn try_reserve(&self, bytes: usize, ceiling: usize) -> Option<Reservation> {
        let mut reservation = Reservation { bytes: 0, budget: self.clone() };
        reservation.try_grow(bytes, ceiling).then_some(reservation)
    }
}

/// Reserved bytes, which are returned to the budget on drop.
#[derive(Debug)]
pub struct Reservation {
    bytes: usize,
    budget: MemoryBudget,
}

impl Reservation {
    /// Adds `bytes` to the reservation if no more than `ceiling` are then reserved in total. Whether it did.
    pub fn try_grow(&mut self, bytes: usize, ceiling: usize) -> bool {
        let ceiling = ceiling.min(self.budget.limit);
        let grow = |used: usize| used.checked_add(bytes).filter(|used| *used <= ceiling);
        let grown = self.budget.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow).is_ok();
        self.bytes += if grown { bytes } else { 0 };
        grown
    }

    /// Returns the reserved bytes beyond `bytes` to the budget.
    pub fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.budget.used.fetch_sub(excess, Ordering::Relaxed);
        self.bytes -= excess;
    }

    /// Ties the reservation to `data`: it ends when the last clone of the result is dropped.
    pub fn attach(self, data: Vec<u8>) -> Bytes {
        Bytes::from_owner(ReservedData { data, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct ReservedData {
    data: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedData {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}
