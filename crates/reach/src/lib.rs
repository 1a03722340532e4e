//! Who reaches whom, and what follows from that.
//!
//! Each node tells the others a [`Row`] about itself once a second: whom it hears, which servers answer it by
//! zone, when it last heard from the list, how its requests end, how long it stands still. All rows together
//! are a matrix. From it a node is told by name what it is: one that its peers hear and that hears nobody,
//! one that is cut off from servers which others reach, one that fails its clients, one that stands still
//! again and again. What goes wrong everywhere is the fault of no node.
//!
//! A node that is worse off than the fleet may say that it is not ready, one at a time: who does holds a
//! lease on that, and never does so where too few would be left. It goes on serving whoever asks it.
//!
//! Everything here is a state machine without I/O; times are microseconds of the node's own monotonic clock.

mod health;
mod matrix;
mod row;

pub use health::{HealthMonitor, Input, Output, Settings};
pub use matrix::{Condition, ReachMatrix};
pub use row::{MAX_ZONE_BYTES, MAX_ZONES, REQUEST_WINDOW, Row, ZoneReachability};

pub use dunelink_view::{Micros, Name, Process};

/// How often a node tells its row in a small fleet.
pub const ROW_INTERVAL: Micros = 1_000_000;
/// Members to each of whom a row goes once a beat. In a larger fleet rows come less often, so that what all
/// rows take of a node's ceiling stays the same.
const TOLD: usize = 8;
/// A node whose row has not come for so many half beats is not heard: two rows may get lost.
const SILENCE: Micros = 7;

/// How often a node tells its row in a fleet of so many members.
pub fn row_interval(members: usize) -> Micros {
    ROW_INTERVAL * members.div_ceil(TOLD).max(1) as Micros
}
