//! Protocol headers that a host may read or write itself.

pub use dunelink_edge::fields::{COST, DEADLINE, ID, KEY, OWNER};
