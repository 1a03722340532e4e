//! Messages between the programs of the fleet, and their framing; no I/O.
//!
//! They are used on two kinds of connection:
//!
//! - agent to control, over TCP to a control machine's first internal port: [`AgentMessage`] in one
//!   direction, [`FeedMessage`] in the other;
//! - proxy to agent, over TCP on one machine: [`ProxyMessage`] in one direction, [`FeedMessage`] in the
//!   other.
//!
//! Every connection begins with a [`Hello`] from the node that opened it, which states the purpose of the
//! connection. A message is encoded as CBOR with a length prefix of four bytes, little endian ([`frame`]).

#![forbid(unsafe_code)]

pub mod feed;
pub mod frame;
pub mod hello;
pub mod load;
pub mod report;

pub use feed::{
    ConfigurationChunk, ControlMember, FeedMessage, GrantUpdate, Heartbeat, RosterOffset, RosterUpdate,
    ServerEntry, ServerSuspicion, TenantGrant, ThrottledTenant,
};
pub use frame::{FrameError, MAX_FRAME_BYTES, decode, encode};
pub use hello::{Hello, LinkKind};
pub use load::{FleetLoads, NodeLoads, PROMPT_UNIT_TOKENS, ServerLoad, server_key};
pub use report::{
    AgentMessage, FeedPosition, NodeDemand, ProxyMessage, ProxyReport, ServerObservation, TenantDemand,
};
