//! Requests of all nodes at each server, as the leader sums them up and tells them.

use std::collections::{BTreeMap, HashMap};

use dunelink_feed::Roster;
use dunelink_protocol::{FleetLoads, NodeLoads, server_key};

/// Time between two messages to all nodes, in microseconds. Shorter than a request runs at a model server.
const TELL_PERIOD: u64 = 200_000;
/// Servers told of in one message. With [`TELL_PERIOD`] it bounds what a node is sent to 1.5 KB/s; of a longer roster
/// each message tells of the next part.
const MOST_TOLD: usize = 300;
/// A node that has not reported for so long counts for nothing any more, in microseconds.
const FORGET_AFTER: u64 = 3_000_000;
/// A leader tells nothing before all nodes must have told it of all their servers, in microseconds.
const COMPLETE_AFTER: u64 = 2_500_000;

/// What all nodes have at the servers.
#[derive(Debug)]
pub struct LoadSums {
    nodes: HashMap<String, NodeCounts>,
    sums: HashMap<u32, u32>,
    complete_at: u64,
    told_at: u64,
    next_first: usize,
}

#[derive(Debug, Default)]
struct NodeCounts {
    requests: BTreeMap<u32, u32>,
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
        if loads.is_whole {
            subtract(&mut self.sums, std::mem::take(&mut counts.requests));
        }
        for load in loads.servers {
            let before = match load.requests {
                0 => counts.requests.remove(&load.server),
                requests => counts.requests.insert(load.server, requests),
            };
            let sum = self.sums.entry(load.server).or_default();
            *sum = sum.saturating_add(load.requests).saturating_sub(before.unwrap_or(0));
        }
    }

    /// The message that is due, about servers of that roster.
    pub fn due(&mut self, now: u64, roster: &Roster) -> Option<FleetLoads> {
        if now < self.complete_at.max(self.told_at + TELL_PERIOD) {
            return None;
        }
        self.told_at = now;
        self.forget(now);
        let offset = roster.offset()?;
        let first = if self.next_first < roster.len() { self.next_first } else { 0 };
        let told = roster.servers().skip(first).take(MOST_TOLD);
        let sum = |id: &str| self.sums.get(&server_key(id)).copied().unwrap_or(0);
        let requests: Vec<u8> =
            told.map(|listed| sum(&listed.entry.id).try_into().unwrap_or(u8::MAX)).collect();
        self.next_first = first + requests.len();
        Some(FleetLoads { roster: offset, first: first as u32, requests })
    }

    fn forget(&mut self, now: u64) {
        let sums = &mut self.sums;
        self.nodes.retain(|_, counts| {
            let is_heard = now < counts.reported_at + FORGET_AFTER;
            if !is_heard {
                subtract(sums, std::mem::take(&mut counts.requests));
            }
            is_heard
        });
        self.sums.retain(|_, sum| *sum > 0);
    }
}

fn subtract(sums: &mut HashMap<u32, u32>, requests: BTreeMap<u32, u32>) {
    for (server, requests) in requests {
        if let Some(sum) = sums.get_mut(&server) {
            *sum = sum.saturating_sub(requests);
        }
    }
}
