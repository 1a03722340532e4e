//! Agreement within the fleet under network partitions: membership views, each with an epoch, and leases.
//!
//! Both rest on a few *electors*: node names from the configuration, the same at all nodes. A decision needs
//! a majority of them, and as two majorities always share a name, two conflicting decisions cannot both be
//! made. Nothing is written to disk: a process that starts has lost the promises of the previous process of
//! its name, and its *instance* tells the two apart. Everything here is a state machine without I/O; times
//! are microseconds of the node's own monotonic clock.
//!
//! - `process`: names, instances and majorities.
//! - `view`: the decided state, and how one view follows from another.
//! - `register`: how a majority decides a view (CASPaxos, Rystsov, 2018, with changes of the electors by
//!   joint consensus, Ongaro, 2014).
//! - `lease`: who holds which resource, until when, on whose clock (Gray and Cheriton, 1989, granted by a
//!   majority).
//! - `partition`: the side of a network partition that a node is on.
//! - `limit_share`: the share of the fleet's limits that a node takes while it holds its lease.
//! - `eviction`: nodes that operators have temporarily excluded from the fleet.
//! - `coordinator`: runs all of these at one node, on a common timer.

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

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
