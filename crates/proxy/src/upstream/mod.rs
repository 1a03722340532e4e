//! Connections to servers.

mod alarm;
mod link;
mod pool;
mod socket;

pub use alarm::{Alarm, Alert};
pub use link::{Answered, Link, Sent};
pub use pool::{Place, Pool};
