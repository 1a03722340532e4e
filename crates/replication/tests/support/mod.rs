//! Deterministic simulation of a replica group: machines with their own disks and clocks, network links,
//! faults, and checks of invariants. A seed determines the whole run.
#![allow(dead_code, unreachable_pub, missing_docs)]

pub mod checks;
pub mod cluster;
pub mod disk;
pub mod faults;
pub mod machine;
pub mod network;

pub const MILLISECOND: u64 = 1_000;
pub const SECOND: u64 = 1_000 * MILLISECOND;
