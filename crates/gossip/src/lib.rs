//! Gossip between nodes: who is there, and which servers they suspect.
//!
//! Everything here is a state machine without I/O: [`Gossip::handle`] takes what happened and the time, and appends
//! what is to be done. An adapter owns the UDP socket and the clock. Times are microseconds on the node's own clock,
//! which only moves forward; no time of another node is ever read, only ages.
//!
//! - `keys`: who may take part, and with which Ed25519 keys.
//! - `packet`: the form on the wire, its signature, versions.
//! - `members`: who is there (SWIM with Lifeguard's refinements), by statements that their authors sign.
//! - `probe`: whether a member answers, directly or through others.
//! - `news`: what is worth telling next.
//! - `evidence`: what others say of servers, what that weighs, and whom it is believed of.
//! - `places`: the number of nodes and this node's place, changed gradually.
//! - `limits`: ceilings on what is sent, and on what is listened to.
//!
//! `docs/gossip-design.md` has the options weighed and the bounds derived.

mod evidence;
mod gossip;
mod keys;
mod limits;
mod members;
mod news;
mod packet;
mod places;
mod probe;
pub mod sim;

pub use cherryusher::{PeerSuspicion, ServerObservation};
pub use evidence::{Witness, bound, needed};
pub use gossip::{CARRIED_MOST, Figures, Gossip, Input, MemberView, Note, Output, Settings, SuspicionView};
pub use keys::{KeyError, KeyRing, MemberId, Secret};
pub use members::Standing;
pub use packet::{PACKET_MOST, Unreadable, VERSION, parse};
pub use places::Fleet;

/// A point in time, or a span of it, in microseconds.
pub type Micros = u64;
