//! Requests in flight of all nodes at each server, as the leader sums and broadcasts them.

use std::collections::{BTreeMap, HashMap};

use dunelink_feed::Roster;
use dunelink_protocol::{FleetLoads, NodeLoads, ServerLoad, server_key};

/// Interval between two messages to all nodes, in microseconds. It is shorter than a request runs at a model
/// server.
const BROADCAST_INTERVAL_US: u64 = 200_000;
/// Most servers in one message. Together with [`BROADCAST_INTERVAL_US`] it bounds the traffic to each node to
/// 1.5 KB/s. A longer roster is sent in parts, one with each message.
const MAX_SERVERS_PER_MESSAGE: usize = 150;
/// The counts of a node that has not reported for this long are dropped, in microseconds.
const REPORT_EXPIRY_US: u64 = 3_000_000;
/// A new leader sends nothing for this long, in microseconds: by then all nodes have reported all their
/// servers to it.
const WARM_UP_US: u64 = 2_500_000;

/// Counts of all nodes and their totals by server.
#[derive(Debug)]
pub struct LoadSums {
    /// Counts by node name.
    nodes: HashMap<String, NodeEntry>,
    /// Totals by [`server_key`].
    sums: HashMap<u32, ServerTotal>,
    /// Time of the first message, in microseconds.
    warmed_up_at: u64,
    /// Time of the last message, in microseconds.
    sent_at: u64,
    /// Position in the roster of the first server of the next message.
    next_position: usize,
}

/// Total of all nodes at one server.
#[derive(Debug, Clone, Copy, Default)]
struct ServerTotal {
    requests: u32,
    /// Prompt tokens not yet read, in units of the protocol.
    unread: u32,
}

impl ServerTotal {
    fn add(&mut self, load: &ServerLoad) {
        self.requests = self.requests.saturating_add(load.in_flight);
        self.unread = self.unread.saturating_add(load.pending_prompt_units);
    }

    fn subtract(&mut self, load: &ServerLoad) {
        self.requests = self.requests.saturating_sub(load.in_flight);
        self.unread = self.unread.saturating_sub(load.pending_prompt_units);
    }
}

/// Counts of one node.
#[derive(Debug, Default)]
struct NodeEntry {
    /// Counts by [`server_key`].
    servers: BTreeMap<u32, ServerLoad>,
    /// Time of the last report, in microseconds.
    reported_at: u64,
}

impl LoadSums {
    /// Empty sums of a leader whose term begins at `now`.
    pub fn new(now: u64) -> Self {
        Self {
            nodes: HashMap::new(),
            sums: HashMap::new(),
            warmed_up_at: now + WARM_UP_US,
            sent_at: now,
            next_position: 0,
        }
    }

    /// Handles a report of a node: all its servers, or those that changed.
    pub fn report(&mut self, now: u64, node: &str, loads: NodeLoads) {
        if !self.nodes.contains_key(node) {
            self.nodes.insert(node.to_owned(), NodeEntry::default());
        }
        let Some(entry) = self.nodes.get_mut(node) else { return };
        entry.reported_at = now;
        if loads.is_full {
            subtract(&mut self.sums, std::mem::take(&mut entry.servers));
        }
        for load in loads.servers {
            let is_empty = load.in_flight == 0 && load.pending_prompt_units == 0;
            let before = match is_empty {
                true => entry.servers.remove(&load.server_key),
                false => entry.servers.insert(load.server_key, load),
            };
            let sum = self.sums.entry(load.server_key).or_default();
            sum.add(&load);
            if let Some(before) = before {
                sum.subtract(&before);
            }
        }
    }

    /// The next message if it is due, about servers of this roster.
    pub fn next_message(&mut self, now: u64, roster: &Roster) -> Option<FleetLoads> {
        if now < self.warmed_up_at.max(self.sent_at + BROADCAST_INTERVAL_US) {
            return None;
        }
        self.sent_at = now;
        self.drop_expired(now);
        let offset = roster.offset()?;
        let first = if self.next_position < roster.len() { self.next_position } else { 0 };
        let part = roster.servers().skip(first).take(MAX_SERVERS_PER_MESSAGE);
        let sums =
            part.map(|listed| self.sums.get(&server_key(&listed.entry.id)).copied().unwrap_or_default());
        let (requests, unread): (Vec<u8>, Vec<u8>) =
            sums.map(|sum| (saturating_u8(sum.requests), saturating_u8(sum.unread))).unzip();
        self.next_position = first + requests.len();
        Some(FleetLoads {
            roster: offset,
            first_server: first as u32,
            in_flight: requests,
            pending_prompt_units: unread,
        })
    }

    fn drop_expired(&mut self, now: u64) {
        let sums = &mut self.sums;
        self.nodes.retain(|_, entry| {
            let is_current = now < entry.reported_at + REPORT_EXPIRY_US;
            if !is_current {
                subtract(sums, std::mem::take(&mut entry.servers));
            }
            is_current
        });
        self.sums.retain(|_, sum| sum.requests > 0 || sum.unread > 0);
    }
}

fn subtract(sums: &mut HashMap<u32, ServerTotal>, servers: BTreeMap<u32, ServerLoad>) {
    for load in servers.into_values() {
        if let Some(sum) = sums.get_mut(&load.server_key) {
            sum.subtract(&load);
        }
    }
}

fn saturating_u8(value: u32) -> u8 {
    value.try_into().unwrap_or(u8::MAX)
}
