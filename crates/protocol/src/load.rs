//! Requests in flight at each server: reported by each node, summed by the leader and distributed to all
//! nodes.

use std::collections::BTreeMap;

use minicbor::{Decode, Encode};
use xxhash_rust::xxh3::xxh3_64;

use crate::RosterOffset;

/// Requests that one node has in flight, by server.
#[derive(Debug, Clone, PartialEq, Eq, Default, Encode, Decode)]
pub struct NodeLoads {
    /// Whether the report is complete: servers without an entry then have no requests. Otherwise they keep
    /// their last reported load.
    #[n(0)]
    pub is_full: bool,
    /// One entry per server.
    #[n(1)]
    pub servers: Vec<ServerLoad>,
}

/// Requests that one node has in flight at one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct ServerLoad {
    /// [`server_key`] of the server's id.
    #[n(0)]
    pub server_key: u32,
    /// Number of requests that were sent and have not ended.
    #[n(1)]
    pub in_flight: u32,
    /// Prompt tokens of those requests that the server has not begun to process, in units of
    /// [`PROMPT_UNIT_TOKENS`].
    #[n(2)]
    pub pending_prompt_units: u32,
}

/// Number of prompt tokens per unit of pending prompt in [`ServerLoad`] and [`FleetLoads`].
pub const PROMPT_UNIT_TOKENS: u32 = 512;

/// Requests that all nodes together have in flight at a range of servers.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct FleetLoads {
    /// Position of the roster that the servers are taken from.
    #[n(0)]
    pub roster: RosterOffset,
    /// Index of the first server of the range, in the roster's order of ids.
    #[n(1)]
    pub first_server: u32,
    /// Requests in flight at each server of the range; 255 means 255 or more.
    #[cbor(n(2), with = "minicbor::bytes")]
    pub in_flight: Vec<u8>,
    /// Pending prompt tokens at each server of the range, in units of [`PROMPT_UNIT_TOKENS`]; 255 means 255
    /// or more.
    #[cbor(n(3), with = "minicbor::bytes")]
    pub pending_prompt_units: Vec<u8>,
}

/// Key of a server in [`ServerLoad`]: a hash of its id. Servers whose keys collide share one sum.
pub fn server_key(id: &str) -> u32 {
    xxh3_64(id.as_bytes()) as u32
}

impl NodeLoads {
    /// Merges a later report of the same node into this one.
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
