//! Gossip between nodes: which members are alive, and which servers they suspect.
//!
//! Everything here is a state machine without I/O: [`Gossip::handle`] takes an event and the time, and
//! appends the resulting outputs. An adapter owns the UDP socket and the clock. Times are microseconds on the
//! node's own clock, which only moves forward; another node's clock is never read, only ages are exchanged.
//!
//! - `keys`: the members that may take part, and their Ed25519 keys.
//! - `packet`: wire format, signatures and versions.
//! - `members`: the membership list (SWIM with Lifeguard's refinements), built from statements that their
//!   authors sign.
//! - `probe`: whether a member answers, directly or through others.
//! - `dissemination`: which updates to send next.
//! - `evidence`: what others report about servers, and how much it counts.
//! - `position`: the number of nodes and this node's rank, changed gradually.
//! - `limits`: limits on bytes sent and packets accepted.

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

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
