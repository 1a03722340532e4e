//! Gossip between nodes: the daemon's own state machine at each node, with packets on the simulated network.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};

use cherryusher::Event;
use dunelink_gossip::{Gossip, Input, KeyRing, Output, Secret, Settings};
use rand::RngCore;

use super::events::ScheduledEvent;
use super::random::{RngPurpose, generator};
use super::{START_TIME, Simulation};
use crate::Micros;
use crate::experiment::{Experiment, FaultKind};

/// The interval at which a node gossips its own observations of servers.
const OBSERVATION_INTERVAL: Micros = 200_000;
/// The interval between probes of members.
const PROBE_PERIOD: Micros = 300_000;
/// The minimum number of seed nodes, which all others know from the start.
const MIN_SEEDS: usize = 3;

/// The gossip state machine of one node.
pub(crate) struct GossipNode {
    gossip: Gossip,
    /// When the next tick is due; ticks scheduled for other times are ignored.
    next_tick: Micros,
}

fn address(node: usize) -> SocketAddr {
    (Ipv4Addr::from(0x0a00_0001 + node as u32), 7946).into()
}

/// The index of the node with this address.
fn node_at(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else { return None };
    u32::from(*address.ip()).checked_sub(0x0a00_0001).map(|node| node as usize)
}

/// Creates the gossip of each node; none if the experiment disables it.
pub(super) fn gossip_nodes(experiment: &Experiment, seed: u64) -> Vec<GossipNode> {
    if !experiment.nodes.gossip {
        return Vec::new();
    }
    let count = experiment.nodes.count as usize;
    let mut rng = generator(seed, RngPurpose::Gossip, 0);
    let secrets: Vec<[u8; 32]> = (0..count)
        .map(|_| {
            let mut secret = [0; 32];
            rng.fill_bytes(&mut secret);
            secret
        })
        .collect();
    let line =
        |(node, secret): (usize, &[u8; 32])| format!("n{node} {}\n", Secret::from_seed(*secret).public_hex());
    let ring: String = secrets.iter().enumerate().map(line).collect();
    let gossip_node = |(node, secret): (usize, &[u8; 32])| {
        let settings = Settings {
            name: format!("n{node}"),
            address: address(node),
            seeds: (0..MIN_SEEDS.max(count / 50).min(count)).map(address).collect(),
            probe_period: PROBE_PERIOD,
            max_bytes_per_second: experiment.nodes.gossip_ceiling,
            configured_nodes: experiment.nodes.count,
            seed: seed.wrapping_mul(1_000_003).wrapping_add(node as u64),
            first_statement_number: 1,
        };
        let keys = KeyRing::parse(&ring).ok()?;
        let gossip = Gossip::new(settings, keys, Secret::from_seed(*secret), START_TIME)?;
        Some(GossipNode { gossip, next_tick: Micros::MAX })
    };
    secrets.iter().enumerate().filter_map(gossip_node).collect()
}

impl Simulation<'_> {
    /// Starts gossip at all nodes, spread over the interval.
    pub(super) fn start_gossip(&mut self) {
        for node in 0..self.gossip_nodes.len() {
            let at = START_TIME + OBSERVATION_INTERVAL * node as Micros / self.gossip_nodes.len() as Micros;
            self.queue.push(at, ScheduledEvent::ShareObservations(node));
        }
    }

    /// A node gossips its own observations of servers.
    pub(super) fn share_observations(&mut self, node: usize) {
        let clock = self.node_clock(node);
        let observations = self.nodes[node].server_observations(clock);
        self.handle_gossip(node, Input::Observations(observations));
        if self.now < self.arrivals_end {
            self.queue.push(self.now + OBSERVATION_INTERVAL, ScheduledEvent::ShareObservations(node));
        }
    }

    pub(super) fn gossip_tick(&mut self, node: usize) {
        if self.gossip_nodes[node].next_tick == self.now {
            self.handle_gossip(node, Input::Tick);
        }
    }

    pub(super) fn gossip_packet(&mut self, node: usize, from: usize, bytes: &[u8]) {
        self.handle_gossip(node, Input::Packet(address(from), bytes));
    }

    fn handle_gossip(&mut self, node: usize, input: Input<'_>) {
        let mut out = Vec::new();
        let clock = self.node_clock(node);
        self.gossip_nodes[node].gossip.handle(clock, input, &mut out);
        for output in out {
            match output {
                Output::Send(to, bytes) => {
                    let Some(to) = node_at(to).filter(|to| *to < self.nodes.len()) else { continue };
                    let delay = self.network_delay();
                    if !self.is_cut_off(node, to) {
                        self.queue.push(self.now + delay, ScheduledEvent::GossipPacket(to, node, bytes));
                    }
                }
                Output::Suspicions(suspicions) => self.notify_node(node, Event::PeerSuspicions(suspicions)),
                Output::FleetPosition(fleet) => {
                    self.notify_node(node, Event::FleetChanged { balancers: fleet.nodes, rank: fleet.rank });
                }
                Output::PayloadReceived(..) | Output::LogEvent(_) => {}
            }
        }
        let wait = self.gossip_nodes[node].gossip.next_wakeup().saturating_sub(clock).max(1000);
        if self.now < self.arrivals_end {
            self.gossip_nodes[node].next_tick = self.now + wait;
            self.queue.push(self.now + wait, ScheduledEvent::GossipTick(node));
        }
    }

    /// Whether a cut currently separates two nodes.
    fn is_cut_off(&self, one: usize, other: usize) -> bool {
        self.fault_targets.iter().any(|targets| {
            targets.active
                && self.experiment.faults[targets.number].kind == FaultKind::Cut
                && targets.nodes[one] != targets.nodes[other]
        })
    }

    /// Returns the traffic of gossip and the least number of live members at any node; `None` without gossip.
    pub(super) fn gossip_stats(&self) -> Option<GossipStats> {
        let count = self.gossip_nodes.len();
        if count == 0 {
            return None;
        }
        let seconds = (self.now - START_TIME).max(1) as f64 / 1e6;
        let bytes: u64 = self.gossip_nodes.iter().map(|node| node.gossip.counters().bytes_sent).sum();
        let mut present: HashMap<usize, usize> = HashMap::new();
        for node in &self.gossip_nodes {
            *present.entry(node.gossip.alive_processes().len()).or_default() += 1;
        }
        let least = present.keys().min().copied().unwrap_or(0);
        Some(GossipStats { bytes: bytes as f64 / count as f64 / seconds, least })
    }
}

/// The traffic and the final membership of gossip.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct GossipStats {
    /// The mean number of bytes that a node sends per second.
    pub bytes: f64,
    /// The least number of other nodes that any node considers alive at the end.
    pub least: usize,
}
