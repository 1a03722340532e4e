//! Quotas and retry budgets divided among nodes by short leases; no I/O.
//!
//! A tenant's quota holds for the sum of all nodes. One allocator gives each node a *grant* for a short time: a part
//! of the rate in proportion to its demand. A node whose grant has run out has its *floor*, an equal part of half of
//! the rate; for nodes that fell silent the allocator sets theirs aside. So the sum stays at the rate, whoever is in
//! touch with whom.
//! Short peaks are let pass from a bucket whose depth is an equal part of what the bounds allow beyond the rate.
//!
//! The retry budget needs no grants: a node's repeats are bounded by a ratio of its own requests, so that the sum
//! over all nodes keeps the same ratio; only the small constant part is divided.
//!
//! - [`Allocator`]: divides quotas; at the leader.
//! - [`QuotaGate`]: lets requests pass within floor and grant; at each proxy.
//! - [`RetryBudget`]: bounds repeats; at each proxy.

#![forbid(unsafe_code)]

mod allocator;
mod bounds;
mod gate;
mod retry;

pub use allocator::Allocator;
pub use bounds::{QuotaBounds, RetryBounds, TenantQuota};
pub use gate::{QuotaGate, RetryAfter};
pub use retry::RetryBudget;

/// A time on the steady clock, or a span, in microseconds.
pub type Micros = u64;

/// Microseconds in a second.
const SECOND: f64 = 1_000_000.0;
/// Microseconds in a millisecond.
const MILLISECOND: Micros = 1_000;
