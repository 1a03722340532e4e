//! Handshake: the first message of every internal connection.

use minicbor::{Decode, Encode};

/// Version of the internal protocol. A peer with another version is refused.
pub const PROTOCOL_VERSION: u32 = 3;

/// Purpose of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum LinkKind {
    /// A proxy reads the feed of the agent on its machine.
    #[n(0)]
    Proxy,
    /// An agent reads the feed of a control machine.
    #[n(1)]
    Agent,
    /// A replica sends small, urgent messages: heartbeats, votes, acknowledgements.
    #[n(2)]
    Replica,
    /// A replica sends large messages: log entries and snapshots.
    #[n(3)]
    ReplicaBulk,
}

/// Identifies the node that opens a connection.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`] of the sender.
    #[n(0)]
    pub protocol_version: u32,
    /// Purpose of the connection.
    #[n(1)]
    pub link: LinkKind,
    /// Name of the sending node.
    #[n(2)]
    pub node: String,
    /// IP address of the sending machine.
    #[n(3)]
    pub ip: String,
    /// Zone of the sending machine.
    #[n(4)]
    pub zone: String,
}
