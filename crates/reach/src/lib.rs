//! Which nodes and servers each node reaches, and what follows from that.
//!
//! Each node sends the others a [`Row`] about itself once a second: whose rows it receives, which servers
//! answer it in each zone, when it last heard from the server list, how its requests end, and how long its
//! process is paused. All rows together form a matrix. It shows the condition of each node: cut off from the
//! other nodes in one or both directions, cut off from servers that other nodes reach, failing its clients'
//! requests, or pausing repeatedly. A problem that most nodes have is not attributed to any single node.
//!
//! A node in a worse condition than the fleet may report that it is not ready, so that clients prefer other
//! nodes. It needs a lease for that, which one node at a time holds, and does not do so where too few ready
//! nodes would be left. It still serves all requests that it gets.
//!
//! Everything here is a state machine without I/O; times are microseconds of the node's own monotonic clock.

mod health;
mod matrix;
mod row;

pub use health::{HealthMonitor, Input, Output, Settings};
pub use matrix::{Condition, ReachMatrix};
pub use row::{MAX_ZONE_BYTES, MAX_ZONES, REQUEST_WINDOW, Row, ZoneReachability};

pub use dunelink_view::{Micros, Name, Process};

/// How often a node sends its row in a small fleet.
pub const ROW_INTERVAL: Micros = 1_000_000;
/// The number of members up to which rows are sent once per [`ROW_INTERVAL`]. In a larger fleet they are sent
/// less often, so that all rows together use the same part of a node's rate limit.
const MEMBERS_PER_INTERVAL: usize = 8;
/// A row is outdated after this many half intervals: two consecutive rows may get lost.
const ROW_TIMEOUT_HALF_INTERVALS: Micros = 7;

/// How often a node sends its row in a fleet of `members` nodes.
pub fn row_interval(members: usize) -> Micros {
    ROW_INTERVAL * members.div_ceil(MEMBERS_PER_INTERVAL).max(1) as Micros
}
