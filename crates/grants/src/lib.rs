//! Quotas and retry budgets divided among nodes by short leases; no I/O.
//!
//! A tenant's quota holds for the sum of all nodes. One allocator has a bucket for each tenant, filled at its rate, and
//! issues out of it to the nodes by demand, for a short time. A node whose grant has run out has its *floor*, an equal
//! part of half of the rate; for nodes that fell silent the allocator sets theirs aside. So the sum stays within rate
//! and depth of the bucket, whoever is in touch with whom.
//!
//! With many nodes there is less than one request for each to be issued ahead. So while a tenant as a whole is well
//! within its quota, each node may exceed what was issued to it by a request, which it reports.
//!
//! What has passed outlives a leader without a log: each node keeps it for a window. A new leader has all nodes refuse
//! those before it, takes over what they tell, and counts as spent what a missing node could have spent.
//!
//! The retry budget needs no grants: a node's repeats are bounded by a ratio of its own requests, so that the sum
//! over all nodes keeps the same ratio; only the small constant part is divided.
//!
//! - [`Allocator`]: divides quotas; at the leader.
//! - [`QuotaGate`]: lets requests pass within floor and grant; at each proxy.
//! - [`RetryBudget`]: bounds repeats; at each proxy.

#![forbid(unsafe_code)]

mod account;
mod allocator;
mod bounds;
mod bucket;
mod gate;
mod history;
mod retry;
mod takeover;

pub use allocator::Allocator;
pub use bounds::{QuotaBounds, RetryBounds, TenantQuota};
pub use gate::{ApplyOutcome, QuotaGate, RetryAfter};
pub use retry::RetryBudget;

/// A time on the steady clock, or a span, in microseconds.
pub type Micros = u64;

/// Microseconds in a second.
const SECOND: f64 = 1_000_000.0;
/// Microseconds in a millisecond.
const MILLISECOND: Micros = 1_000;
