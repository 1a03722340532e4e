//! What a node does with the other nodes: one file for each subsystem, with its thread, socket and clock and nothing
//! decided. Here is where they are plugged in.

mod gossip;
mod view;

pub(crate) use gossip::{Ask, Asks, ask};
pub use gossip::{GossipView, Gossiper};
pub use view::side_name;
