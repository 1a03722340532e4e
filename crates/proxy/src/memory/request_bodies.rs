//! The bodies of all open requests. When the memory for them is used up, some are released: first those that
//! were sent to a server, then those of the least urgent requests, which are refused.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use dunelink_runtime::{MemoryBudget, Reservation};

use super::request_body::{BodyStage, BodyState, RequestBody};

/// A body that is longer than this is a long one, in bytes. Long bodies are refused before short ones.
const MAX_SHORT_BODY_BYTES: usize = 256 * 1_024;
/// Share of the memory that long bodies may use, so that there is always some for short ones.
const LONG_BODY_FRACTION: f64 = 0.75;
/// Share of the memory that may be in use when a response is buffered. Further ones are relayed.
const BUFFERED_RESPONSE_FRACTION: f64 = 0.5;

/// The bodies of all open requests.
#[derive(Debug)]
pub struct RequestBodies {
    budget: MemoryBudget,
    /// Bodies by the order of their arrival.
    bodies: RefCell<BTreeMap<u64, Rc<RefCell<BodyState>>>>,
    next_key: Cell<u64>,
    counts: Cell<ReleaseCounts>,
}

/// Numbers of released bodies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReleaseCounts {
    /// Bodies of requests that had been sent to a server.
    pub sent: u64,
    /// Bodies of requests that were refused.
    pub refused: u64,
}

/// The order in which unsent requests are refused; the greatest is the first.
type RefusalOrder = (u32, bool, u64);

fn refusal_order(priority: u32, bytes: usize, key: u64) -> RefusalOrder {
    (priority, bytes > MAX_SHORT_BODY_BYTES, key)
}

impl RequestBodies {
    /// Creates an empty set of bodies that may take `max_bytes`.
    pub fn new(max_bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            budget: MemoryBudget::new(max_bytes),
            bodies: RefCell::default(),
            next_key: Cell::default(),
            counts: Cell::default(),
        })
    }

    /// Returns the memory that requests and buffered responses share.
    pub fn budget(&self) -> &MemoryBudget {
        &self.budget
    }

    /// Returns how many bodies were released so far.
    pub fn release_counts(&self) -> ReleaseCounts {
        self.counts.get()
    }

    /// Creates the body of a request with this priority, and reserves `request_bytes` of memory for the request
    /// apart from its body. `None` instead of the reservation if there is no memory: the request is to be refused, and
    /// its body is discarded.
    pub fn open(self: &Rc<Self>, priority: u32, request_bytes: usize) -> (RequestBody, Option<Reservation>) {
        let key = self.next_key.replace(self.next_key.get() + 1);
        let state = Rc::new(RefCell::new(BodyState::new(priority)));
        self.bodies.borrow_mut().insert(key, state.clone());
        let body = RequestBody::new(self.clone(), key, state);
        let reservation = self.reserve(key, 0, request_bytes);
        if reservation.is_none() {
            body.release();
        }
        (body, reservation)
    }

    /// Reserves memory for a response that is buffered; `None` if it has to be relayed instead.
    pub fn reserve_response(&self, bytes: usize) -> Option<Reservation> {
        self.reserve_below(self.fraction(BUFFERED_RESPONSE_FRACTION), bytes, || false)
    }

    /// Reserves `bytes` for a body that has `received` so far. `None` if this request is the one to refuse.
    pub(super) fn reserve(&self, key: u64, received: usize, bytes: usize) -> Option<Reservation> {
        let is_long = received + bytes > MAX_SHORT_BODY_BYTES;
        let ceiling = if is_long { self.fraction(LONG_BODY_FRACTION) } else { self.budget.limit() };
        let reservation = self.reserve_below(ceiling, bytes, || self.refuse_after(key, received + bytes));
        if reservation.is_none() {
            self.count(|counts| counts.refused += 1);
        }
        reservation
    }

    /// Reserves `bytes` if no more than `ceiling` are then in use. Until they are free, it releases bodies of
    /// requests that were sent, and then what `refuse` releases; `None` if that releases nothing more.
    fn reserve_below(&self, ceiling: usize, bytes: usize, refuse: impl Fn() -> bool) -> Option<Reservation> {
        loop {
            if let Some(reservation) = self.budget.try_reserve(bytes, ceiling) {
                return Some(reservation);
            }
            if !self.release_sent() && !refuse() {
                return None;
            }
        }
    }

    pub(super) fn remove(&self, key: u64) {
        self.bodies.borrow_mut().remove(&key);
    }

    fn fraction(&self, fraction: f64) -> usize {
        (self.budget.limit() as f64 * fraction) as usize
    }

    fn count(&self, count: impl FnOnce(&mut ReleaseCounts)) {
        let mut counts = self.counts.get();
        count(&mut counts);
        self.counts.set(counts);
    }

    /// Releases one body that was sent to a server: first those of requests that must not be executed twice,
    /// then those of the least urgent requests, the largest first. False if there is none.
    fn release_sent(&self) -> bool {
        let bodies = self.bodies.borrow();
        let candidates = bodies.values().filter_map(|state| {
            let body = state.borrow();
            match body.stage {
                BodyStage::Sent { idempotent } if body.is_releasable() => {
                    Some(((!idempotent, body.priority, body.stored_bytes), state))
                }
                _ => None,
            }
        });
        let Some((_, state)) = candidates.max_by_key(|(order, _)| *order) else { return false };
        state.borrow_mut().release();
        self.count(|counts| counts.sent += 1);
        true
    }

    /// Releases the body of an unsent request that is to be refused before the request `key`, whose body has
    /// `bytes`. False if there is none.
    fn refuse_after(&self, key: u64, bytes: usize) -> bool {
        let bodies = self.bodies.borrow();
        let Some(own) = bodies.get(&key) else { return false };
        let own_order = refusal_order(own.borrow().priority, bytes, key);
        let candidates = bodies.iter().filter(|(other, _)| **other != key).filter_map(|(key, state)| {
            let body = state.borrow();
            let is_candidate = body.stage == BodyStage::NotSent && body.is_releasable();
            is_candidate.then(|| (refusal_order(body.priority, body.stored_bytes, *key), state))
        });
        let first = candidates.max_by_key(|(order, _)| *order);
        let Some((_, state)) = first.filter(|(order, _)| *order > own_order) else { return false };
        state.borrow_mut().release();
        self.count(|counts| counts.refused += 1);
        true
    }
}
