//! Messages between the programs of the fleet, and their framing; no I/O.
//!
//! Two links use them:
//!
//! - agent to control, over TCP to a control machine's first internal port: [`AgentMessage`] one way,
//!   [`FeedMessage`] the other;
//! - proxy to agent, over TCP on one machine: [`ProxyMessage`] one way, [`FeedMessage`] the other.
//!
//! Every connection begins with a [`Hello`] from its opener, which names the kind of link.
//! A message is CBOR behind a length of four bytes, little endian ([`frame`]).

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
