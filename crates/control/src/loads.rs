//! Requests of all nodes at each server, as the leader sums them up and tells them.

use std::collections::{BTreeMap, HashMap};

use dunelink_feed::Roster;
use dunelink_protocol::{FleetLoads, NodeLoads, ServerLoad, server_key};

/// Time between two messages to all nodes, in microseconds. Shorter than a request runs at a model server.
const TELL_PERIOD: u64 = 200_000;
/// Servers told of in one message. With [`TELL_PERIOD`] it bounds what a node is sent to 1.5 KB/s; of a longer roster
/// each message tells of the next part.
const MOST_TOLD: usize = 150;
/// A node that has not reported for so long counts for nothing any more, in microseconds.
const FORGET_AFTER: u64 = 3_000_000;
/// A leader tells nothing before all nodes must have told it of all their servers, in microseconds.
const COMPLETE_AFTER: u64 = 2_500_000;

/// What all nodes have at the servers.
#[derive(Debug)]
pub struct LoadSums {
    nodes: HashMap<String, NodeCounts>,
    sums: HashMap<u32, Sum>,
    complete_at: u64,
    told_at: u64,
    next_first: usize,
}

/// What is at one server.
#[derive(Debug, Clone, Copy, Default)]
struct Sum {
    requests: u32,
    unread: u32,
}

impl Sum {
    fn add(&mut self, load: &ServerLoad) {
        self.requests = self.requests.saturating_add(load.in_flight);
        self.unread = self.unread.saturating_add(load.pending_prompt_units);
    }

    fn subtract(&mut self, load: &ServerLoad) {
        self.requests = self.requests.saturating_sub(load.in_flight);
        self.unread = self.unread.saturating_sub(load.pending_prompt_units);
    }
}

#[derive(Debug, Default)]
struct NodeCounts {
    servers: BTreeMap<u32, ServerLoad>,
    reported_at: u64,
}

impl LoadSums {
    /// Sums of a leader whose term begins at `now`.
    pub fn new(now: u64) -> Self {
        Self {
            nodes: HashMap::new(),
            sums: HashMap::new(),
            complete_at: now + COMPLETE_AFTER,
            told_at: now,
            next_first: 0,
        }
    }

    /// Takes in what a node told.
    pub fn report(&mut self, now: u64, node: &str, loads: NodeLoads) {
        if !self.nodes.contains_key(node) {
            self.nodes.insert(node.to_owned(), NodeCounts::default());
        }
        let Some(counts) = self.nodes.get_mut(node) else { return };
        counts.reported_at = now;
        if loads.is_full {
            subtract(&mut self.sums, std::mem::take(&mut counts.servers));
        }
        for load in loads.servers {
            let is_empty = load.in_flight == 0 && load.pending_prompt_units == 0;
            let before = match is_empty {
                true => counts.servers.remove(&load.server_key),
                false => counts.servers.insert(load.server_key, load),
            };
            let sum = self.sums.entry(load.server_key).or_default();
            sum.add(&load);
            if let Some(before) = before {
                sum.subtract(&before);
            }
        }
    }

    /// The message that is due, about servers of that roster.
    pub fn next_message(&mut self, now: u64, roster: &Roster) -> Option<FleetLoads> {
        if now < self.complete_at.max(self.told_at + TELL_PERIOD) {
            return None;
        }
        self.told_at = now;
        self.forget(now);
        let offset = roster.offset()?;
        let first = if self.next_first < roster.len() { self.next_first } else { 0 };
        let told = roster.servers().skip(first).take(MOST_TOLD);
        let sums =
            told.map(|listed| self.sums.get(&server_key(&listed.entry.id)).copied().unwrap_or_default());
        let (requests, unread): (Vec<u8>, Vec<u8>) =
            sums.map(|sum| (in_a_byte(sum.requests), in_a_byte(sum.unread))).unzip();
        self.next_first = first + requests.len();
        Some(FleetLoads {
            roster: offset,
            first_server: first as u32,
            in_flight: requests,
            pending_prompt_units: unread,
        })
    }

    fn forget(&mut self, now: u64) {
        let sums = &mut self.sums;
        self.nodes.retain(|_, counts| {
            let is_heard = now < counts.reported_at + FORGET_AFTER;
            if !is_heard {
                subtract(sums, std::mem::take(&mut counts.servers));
            }
            is_heard
        });
        self.sums.retain(|_, sum| sum.requests > 0 || sum.unread > 0);
    }
}

fn subtract(sums: &mut HashMap<u32, Sum>, servers: BTreeMap<u32, ServerLoad>) {
    for load in servers.into_values() {
        if let Some(sum) = sums.get_mut(&load.server_key) {
            sum.subtract(&load);
        }
    }
}

fn in_a_byte(figure: u32) -> u8 {
    figure.try_into().unwrap_or(u8::MAX)
}
