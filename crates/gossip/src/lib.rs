//! Gossip between nodes: who is there, and which servers they suspect.
//!
//! Everything here is a state machine without I/O: [`Gossip::handle`] takes what happened and the time, and
//! appends what is to be done. An adapter owns the UDP socket and the clock. Times are microseconds on the
//! node's own clock, which only moves forward; no time of another node is ever read, only ages.
//!
//! - `keys`: who may take part, and with which Ed25519 keys.
//! - `packet`: the form on the wire, its signature, versions.
//! - `members`: who is there (SWIM with Lifeguard's refinements), by statements that their authors sign.
//! - `probe`: whether a member answers, directly or through others.
//! - `dissemination`: what is worth telling next.
//! - `evidence`: what others say of servers, what that weighs, and whom it is believed of.
//! - `position`: the number of nodes and this node's place, changed gradually.
//! - `limits`: ceilings on what is sent, and on what is listened to.
//!
//! `docs/gossip-design.md` has the options weighed and the bounds derived.

mod dissemination;
mod evidence;
mod gossip;
mod keys;
mod limits;
mod members;
mod packet;
mod position;
mod probe;
pub mod sim;

pub use cherryusher::{PeerSuspicion, ServerObservation};
pub use evidence::{Witness, max_false_suspicion, witnesses_needed};
pub use gossip::{
    Counters, Gossip, Input, LogEvent, MAX_PAYLOAD_BYTES, MemberView, Output, Settings, SuspicionView,
};
pub use keys::{KeyError, KeyRing, MemberId, Secret};
pub use members::Liveness;
pub use packet::{MAX_PACKET_BYTES, ParseError, VERSION, parse};
pub use position::FleetPosition;

/// A point in time, or a span of it, in microseconds.
pub type Micros = u64;
