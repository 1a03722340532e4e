//! Merges the logs of many nodes into one.
//!
//! Each process writes one event per line, as text or JSON. Clocks are not trusted: a decided view becomes
//! known to all nodes almost at once, so that the same epoch in two logs shows how far apart their clocks
//! are. The merged log is then checked against the fleet's guarantees: one view per epoch, and one holder of
//! each lease at a time.
//!
//! Nothing here reads files; the caller passes lines.

mod align;
mod line;
mod merge;

pub use align::offsets;
pub use line::{Event, MAX_LINE_BYTES, parse};
pub use merge::{Contradiction, Log, MergedLog, merge};

/// A point in time or a duration in microseconds; a negative duration goes backwards.
pub type Micros = i64;
