//! Quotas and retry budgets, divided among nodes by short leases; no I/O.
//!
//! A tenant's quota limits the sum over all nodes. One allocator keeps a token bucket per tenant, filled at
//! the tenant's rate, and issues units from it to the nodes by demand, for a short time. A node whose grant
//! has expired falls back to its *floor*, an equal share of half the rate. The allocator reserves the floors
//! of silent nodes. So the sum stays within the rate and depth of the bucket, whichever nodes can reach the
//! leader.
//!
//! With many nodes, the bucket holds less than one request for each. So while a tenant as a whole is well
//! within its quota, each node may exceed its issued units by a request, which it reports.
//!
//! Quota usage is not stored in the replicated log. Each node remembers what it admitted in the last window.
//! A new leader makes all nodes reject the grants of earlier leaders, collects their histories, and counts
//! what a missing node could have spent as spent.
//!
//! The retry budget needs no grants: each node limits its retries to a ratio of its own requests, so the sum
//! over all nodes keeps the same ratio. Only the small constant part is divided.
//!
//! - [`Allocator`]: divides the quotas; runs at the leader.
//! - [`QuotaGate`]: admits requests within floor and grant; runs at each proxy.
//! - [`RetryBudget`]: limits retries; runs at each proxy.

#![forbid(unsafe_code)]

mod allocator;
mod bounds;
mod bucket;
mod departed;
mod gate;
mod history;
mod node_tenant;
mod retry;
mod takeover;

pub use allocator::Allocator;
pub use bounds::{QuotaBounds, RetryBounds, TenantQuota};
pub use gate::{ApplyOutcome, QuotaGate, RetryAfter};
pub use retry::RetryBudget;

/// A monotonic time or a duration, in microseconds.
pub type Micros = u64;

/// Microseconds per second.
const SECOND: f64 = 1_000_000.0;
/// Microseconds per millisecond.
const MILLISECOND: Micros = 1_000;
