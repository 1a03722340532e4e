//! Cooperation of a node with the other nodes. Each file adapts one subsystem and decides nothing itself;
//! `gossip` has the thread, the socket and the clock and runs the others. A subsystem is connected by its
//! inputs (`observe`, `process_outputs`), the actions that it requests (an [`action::Action`]), its messages
//! to other nodes (`messages`) and what is reported of it (`events`, `status`).

mod action;
mod events;
mod gossip;
mod messages;
mod reach;
mod status;
mod view;

pub(crate) use gossip::{GossipRequest, GossipRequestSender, request};
pub use gossip::{GossipView, Gossiper};
pub use status::{EvictionView, FleetView, NodeView};
