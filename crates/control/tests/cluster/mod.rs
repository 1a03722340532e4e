//! Simulated control clusters: the production state machines and stores over simulated disks, links and
//! clocks.
//!
//! One seed determines all random choices, so that it replays a run.

mod calls;
mod checks;
mod disk;
mod effects;
mod faults;
mod machine;
mod mutation;
mod operator;
mod world;

pub(crate) use faults::{run_changes, run_schedule};
pub(crate) use mutation::Mutation;

/// Microseconds in a millisecond.
pub(crate) const MILLISECOND: u64 = 1_000;
/// Microseconds in a second.
pub(crate) const SECOND: u64 = 1_000 * MILLISECOND;
