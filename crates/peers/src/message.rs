//! What nodes send to one another.

use std::net::SocketAddr;

use minicbor::{Decode, Encode};

/// Most descriptors in one message. Those beyond it are ignored.
pub const SHUFFLE_LENGTH: usize = 8;
/// Most hops that a walk of a newcomer takes. A larger number in a message counts as this one.
pub const MAX_HOPS: u8 = 5;

/// A node as others tell of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct Descriptor {
    /// Where it takes messages.
    #[n(0)]
    pub address: SocketAddr,
    /// Rounds since it told of itself.
    #[n(1)]
    pub age: u16,
}

impl Descriptor {
    /// A node that tells of itself now.
    pub fn fresh(address: SocketAddr) -> Self {
        Self { address, age: 0 }
    }
}

/// A message between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum PeerMessage {
    /// A part of the sender's view, with the sender itself; asks for a part of the receiver's.
    #[n(0)]
    Shuffle(#[n(0)] Vec<Descriptor>),
    /// A part of the sender's view, for the part that came in a [`PeerMessage::Shuffle`].
    #[n(1)]
    ShuffleReply(#[n(0)] Vec<Descriptor>),
    /// The sender is new and asks to be introduced.
    #[n(2)]
    Join,
    /// A newcomer walks from node to node.
    #[n(3)]
    Walk {
        /// The newcomer.
        #[n(0)]
        newcomer: SocketAddr,
        /// Hops left.
        #[n(1)]
        hops: u8,
    },
    /// To a newcomer: a node that it may take into its view.
    #[n(4)]
    Welcome(#[n(0)] Descriptor),
}

/// A message to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Where to.
    pub to: SocketAddr,
    /// What.
    pub message: PeerMessage,
}
