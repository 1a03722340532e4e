//! Messages between nodes.

use std::net::SocketAddr;

use minicbor::{Decode, Encode};

/// Maximum number of descriptors in one message; further ones are ignored.
pub const SHUFFLE_LENGTH: usize = 8;
/// Maximum number of hops of a random walk for a joining node. Larger numbers in messages are reduced to it.
pub const MAX_HOPS: u8 = 5;

/// Descriptor of a node, exchanged between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct Descriptor {
    /// Address at which the node receives messages.
    #[n(0)]
    pub address: SocketAddr,
    /// Number of rounds since the node itself issued the descriptor.
    #[n(1)]
    pub age: u16,
}

impl Descriptor {
    /// A new descriptor of a node, with age 0.
    pub fn fresh(address: SocketAddr) -> Self {
        Self { address, age: 0 }
    }
}

/// A message between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum PeerMessage {
    /// A part of the sender's view and the sender's own descriptor; requests a part of the receiver's view.
    #[n(0)]
    Shuffle(#[n(0)] Vec<Descriptor>),
    /// A part of the sender's view, in reply to a [`PeerMessage::Shuffle`].
    #[n(1)]
    ShuffleReply(#[n(0)] Vec<Descriptor>),
    /// The sender is new and requests to be introduced to other nodes.
    #[n(2)]
    Join,
    /// A step of a random walk that introduces a new node.
    #[n(3)]
    Walk {
        /// Address of the new node.
        #[n(0)]
        newcomer: SocketAddr,
        /// Number of remaining hops.
        #[n(1)]
        hops: u8,
    },
    /// To a new node: a node that it may add to its view.
    #[n(4)]
    Welcome(#[n(0)] Descriptor),
}

/// A message to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// The message.
    pub message: PeerMessage,
}
