//! Peer sampling with shuffled partial views; no I/O.
//!
//! Each node knows a few others, its *view*. Once a round it exchanges a part of the view with the peer it has
//! known longest, so that views become random samples of all nodes, at a cost per node that does not grow with
//! their number. The method is CYCLON (Voulgaris, Gavidia, van Steen: "CYCLON: Inexpensive Membership Management
//! for Unstructured P2P Overlays", 2005).
//!
//! [`PeerSampler`] is a state machine: messages in, messages out. A caller runs [`PeerSampler::begin_round`] at a steady
//! pace and passes what arrives to [`PeerSampler::receive`].

#![forbid(unsafe_code)]

pub mod message;
pub mod sampler;
pub mod view;

pub use message::{Descriptor, MAX_HOPS, OutgoingMessage, PeerMessage, SHUFFLE_LENGTH};
pub use sampler::PeerSampler;
pub use view::{VIEW_LENGTH, View};
