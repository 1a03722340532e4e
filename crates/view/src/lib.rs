//! What the fleet decides as one, whoever is cut off from whom: views, each with an epoch, and leases.
//!
//! Both rest on a few *electors*: names that the configuration gives, the same at all nodes. What a majority of them
//! has agreed to is decided; two majorities share a name, so that nothing else can be. Nothing is written to a disk: a
//! process that starts has forgotten what its name promised, and is told apart from the one before by its *instance*.
//! Everything here is a state machine without I/O; times are microseconds of the node's own monotonic clock.
//!
//! - `process`: names, instances, majorities.
//! - `view`: what is decided, and how one view follows from another.
//! - `register`: how a majority decides a view (CASPaxos, Rystsov, 2018, with electors that change as in joint
//!   consensus, Ongaro, 2014).
//! - `lease`: who holds what, until when, on whose clock (Gray and Cheriton, 1989, from a majority).
//! - `side`: on which side of a cut a node is.
//! - `parts`: what part of the fleet's limits a node takes by its lease.
//! - `evict`: nodes that operators have put out of the fleet for a time.
//! - `council`: all of these on one rhythm, as a node runs them.
//!
//! `docs/view-design.md` has the options weighed and what is proven of them.

mod council;
mod evict;
mod lease;
mod parts;
mod process;
mod register;
mod side;
mod view;

pub use council::{Council, Held, Input, Output, Settings, Standing, Wire};
pub use evict::{Evictions, REASON_MOST, Refusal, SECONDS_MOST};
pub use lease::{Answer, Ask, Bounds, Grantor, Holder, Resource};
pub use parts::{FLOOR, MOST, Parts};
pub use process::{Electors, Instance, Name, Names, Process};
pub use register::{Accepted, Ballot, Message, Register};
pub use side::{Side, Sides};
pub use view::{Change, Generation, MEMBERS_MOST, Step, View};

/// A point in time, or a span of it, in microseconds.
pub type Micros = u64;
