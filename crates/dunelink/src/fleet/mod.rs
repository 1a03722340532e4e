//! What a node does with the other nodes. One file for each subsystem's adapter, with nothing decided; `gossip` has the
//! thread, the socket and the clock, and runs the others. A subsystem plugs in there: what it is told (`look`, `settle`),
//! what it wants done (a [`deed::Deed`]), what it says to others (`words`), what is told of it (`events`, `status`).

mod deed;
mod events;
mod gossip;
mod reach;
mod status;
mod view;
mod words;

pub(crate) use gossip::{GossipRequest, GossipRequestSender, request};
pub use gossip::{GossipView, Gossiper};
pub use status::{EvictionView, FleetView, NodeView};
