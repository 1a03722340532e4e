//! Peer sampling with shuffled partial views; no I/O.
//!
//! Each node has a *view* of a few other nodes. In each round it exchanges a part of its view with the peer
//! whose descriptor is oldest, so that views become random samples of all nodes, at a cost per node that does
//! not grow with their number. The algorithm is CYCLON (Voulgaris, Gavidia, van Steen: "CYCLON: Inexpensive
//! Membership Management for Unstructured P2P Overlays", 2005).
//!
//! [`PeerSampler`] is a state machine: messages in, messages out. The caller invokes
//! [`PeerSampler::begin_round`] at regular intervals and passes received messages to
//! [`PeerSampler::receive`].

#![forbid(unsafe_code)]

pub mod message;
pub mod sampler;
pub mod view;

pub use message::{Descriptor, MAX_HOPS, OutgoingMessage, PeerMessage, SHUFFLE_LENGTH};
pub use sampler::PeerSampler;
pub use view::{VIEW_LENGTH, View};
