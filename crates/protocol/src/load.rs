//! How many requests of the fleet are at each server: told by each node, summed up by the leader, told to all nodes.

use std::collections::BTreeMap;

use minicbor::{Decode, Encode};
use xxhash_rust::xxh3::xxh3_64;

use crate::RosterOffset;

/// Requests of one node that are at servers.
#[derive(Debug, Clone, PartialEq, Eq, Default, Encode, Decode)]
pub struct NodeLoads {
    /// Whether a server that is not named has none; otherwise what was told of it before stands.
    #[n(0)]
    pub is_full: bool,
    /// One entry a server.
    #[n(1)]
    pub servers: Vec<ServerLoad>,
}

/// Requests of one node at one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct ServerLoad {
    /// [`server_key`] of its id.
    #[n(0)]
    pub server_key: u32,
    /// Requests sent there and not ended.
    #[n(1)]
    pub in_flight: u32,
    /// Prompt tokens to be read for those of them that have not begun, in units of [`PROMPT_UNIT_TOKENS`].
    #[n(2)]
    pub pending_prompt_units: u32,
}

/// Unit in which prompt tokens to be read are told.
pub const PROMPT_UNIT_TOKENS: u32 = 512;

/// Requests of all nodes at a run of servers.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct FleetLoads {
    /// The roster whose servers are meant.
    #[n(0)]
    pub roster: RosterOffset,
    /// Position of the first of them, in the order of ids.
    #[n(1)]
    pub first_server: u32,
    /// Requests at each server from there on; 255 stands for that many or more.
    #[cbor(n(2), with = "minicbor::bytes")]
    pub in_flight: Vec<u8>,
    /// Prompt tokens to be read at each of them, in units of [`PROMPT_UNIT_TOKENS`]; 255 stands for that many or more.
    #[cbor(n(3), with = "minicbor::bytes")]
    pub pending_prompt_units: Vec<u8>,
}

/// What names a server in [`ServerLoad`]: a hash of its id. Two servers with the same key share their sum.
pub fn server_key(id: &str) -> u32 {
    xxh3_64(id.as_bytes()) as u32
}

impl NodeLoads {
    /// Adds what the same node told later.
    pub fn merge(&mut self, later: Self) {
        if later.is_full {
            *self = later;
            return;
        }
        let both = self.servers.iter().chain(&later.servers);
        let newest: BTreeMap<u32, ServerLoad> = both.map(|load| (load.server_key, *load)).collect();
        self.servers = newest.into_values().collect();
    }
}
