//! A replica group in memory: machines with disks and clocks of their own, links between them, faults, and checks of
//! what must always hold. One seed gives one course of events.
#![allow(dead_code, unreachable_pub, missing_docs)]

pub mod checks;
pub mod cluster;
pub mod disk;
pub mod faults;
pub mod machine;
pub mod network;

pub const MILLISECOND: u64 = 1_000;
pub const SECOND: u64 = 1_000 * MILLISECOND;
