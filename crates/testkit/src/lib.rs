//! Stand-in servers, rosters and clients on loopback, and the conformance suite. For tests only.

pub mod conformance;
pub mod peers;
pub mod reading;
