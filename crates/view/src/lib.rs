//! What the fleet decides as one, whoever is cut off from whom: views, each with an epoch, and leases.
//!
//! Both rest on a few *electors*: names that the configuration gives, the same at all nodes. What a majority of them
//! has agreed to is decided; two majorities share a name, so that nothing else can be. Nothing is written to a disk: a
//! process that starts has forgotten what its name promised, and is told apart from the one before by its *instance*.
//! Everything here is a state machine without I/O; times are microseconds of the node's own monotonic clock.
//!
//! - `process`: names, instances, majorities.
//! - `view`: what is decided, and how one view follows from another.
//! - `register`: how a majority decides a view (CASPaxos, Rystsov, 2018, with electors that change as in joint
//!   consensus, Ongaro, 2014).
//! - `lease`: who holds what, until when, on whose clock (Gray and Cheriton, 1989, from a majority).
//! - `partition`: on which side of a cut a node is.
//! - `limit_share`: what part of the fleet's limits a node takes by its lease.
//! - `eviction`: nodes that operators have put out of the fleet for a time.
//! - `coordinator`: all of these on one rhythm, as a node runs them.
//!
//! `docs/view-design.md` has the options weighed and what is proven of them.

mod coordinator;
mod eviction;
mod lease;
mod limit_share;
mod partition;
mod process;
mod register;
mod view;

pub use coordinator::{Coordinator, FleetMessage, Input, LeaseKind, NodeStatus, Output, Settings};
pub use eviction::{Evictions, MAX_EVICTION_SECONDS, MAX_REASON_BYTES, Refusal};
pub use lease::{Grantor, LeaseBounds, LeaseHolder, LeaseRequest, LeaseResponse, Resource};
pub use limit_share::{LimitShare, MAX_TOTAL_SHARE, MIN_TOTAL_SHARE};
pub use partition::{PartitionSide, Reachability};
pub use process::{ElectorNames, Electors, Instance, Name, Process};
pub use register::{Accepted, Ballot, Message, Register};
pub use view::{Change, Generation, MAX_MEMBERS, View, ViewDelta};

/// A point in time, or a span of it, in microseconds.
pub type Micros = u64;
