//! Nodes that gossip: the daemon's own state machine at each node of the world, its packets on the world's network.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};

use cherryusher::Event;
use dunelink_gossip::{Gossip, Input, KeyRing, Output, Secret, Settings};
use rand::RngCore;

use super::chance::{For, generator};
use super::events::Due;
use super::{BEGIN, World};
use crate::Micros;
use crate::experiment::{Experiment, FaultKind};

/// How often a node tells what it sees of servers by itself.
const LOOK: Micros = 200_000;
/// How often a member is asked whether it is there.
const PERIOD: Micros = 300_000;
/// Nodes that all others know at first.
const SEEDS: usize = 3;

/// Gossip of one node.
pub(crate) struct Talk {
    gossip: Gossip,
    /// When it wants to be looked at: of several looks that are due only this one counts.
    wakes: Micros,
}

fn address(node: usize) -> SocketAddr {
    (Ipv4Addr::from(0x0a00_0001 + node as u32), 7946).into()
}

/// The node at an address.
fn node_at(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else { return None };
    u32::from(*address.ip()).checked_sub(0x0a00_0001).map(|node| node as usize)
}

/// Gossip for each node, where the experiment wants it.
pub(super) fn talks(e: &Experiment, seed: u64) -> Vec<Talk> {
    if !e.nodes.gossip {
        return Vec::new();
    }
    let count = e.nodes.count as usize;
    let mut rng = generator(seed, For::Gossip, 0);
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
    let talk = |(node, secret): (usize, &[u8; 32])| {
        let settings = Settings {
            name: format!("n{node}"),
            address: address(node),
            seeds: (0..SEEDS.max(count / 50).min(count)).map(address).collect(),
            probe_period: PERIOD,
            max_bytes_per_second: e.nodes.gossip_ceiling,
            configured_nodes: e.nodes.count,
            seed: seed.wrapping_mul(1_000_003).wrapping_add(node as u64),
            first_statement_number: 1,
        };
        let keys = KeyRing::parse(&ring).ok()?;
        let gossip = Gossip::new(settings, keys, Secret::from_seed(*secret), BEGIN)?;
        Some(Talk { gossip, wakes: Micros::MAX })
    };
    secrets.iter().enumerate().filter_map(talk).collect()
}

impl World<'_> {
    /// All begin to gossip, not at one moment.
    pub(super) fn begin_talk(&mut self) {
        for node in 0..self.talks.len() {
            let at = BEGIN + LOOK * node as Micros / self.talks.len() as Micros;
            self.agenda.put(at, Due::Sees(node));
        }
    }

    /// A node tells what it sees of servers.
    pub(super) fn sees(&mut self, node: usize) {
        let shown = self.clock(node);
        let seen = self.nodes[node].server_observations(shown);
        self.talk(node, Input::Observations(seen));
        if self.now < self.ends {
            self.agenda.put(self.now + LOOK, Due::Sees(node));
        }
    }

    pub(super) fn looks(&mut self, node: usize) {
        if self.talks[node].wakes == self.now {
            self.talk(node, Input::Tick);
        }
    }

    pub(super) fn packet(&mut self, node: usize, from: usize, bytes: &[u8]) {
        self.talk(node, Input::Packet(address(from), bytes));
    }

    fn talk(&mut self, node: usize, input: Input<'_>) {
        let mut out = Vec::new();
        let shown = self.clock(node);
        self.talks[node].gossip.handle(shown, input, &mut out);
        for output in out {
            match output {
                Output::Send(to, bytes) => {
                    let Some(to) = node_at(to).filter(|to| *to < self.nodes.len()) else { continue };
                    let way = self.way();
                    if !self.apart(node, to) {
                        self.agenda.put(self.now + way, Due::Packet(to, node, bytes));
                    }
                }
                Output::Suspicions(doubts) => self.tell(node, Event::PeerSuspicions(doubts)),
                Output::FleetPosition(fleet) => {
                    self.tell(node, Event::FleetChanged { balancers: fleet.nodes, rank: fleet.rank });
                }
                Output::PayloadReceived(..) | Output::LogEvent(_) => {}
            }
        }
        let wait = self.talks[node].gossip.next_wakeup().saturating_sub(shown).max(1000);
        if self.now < self.ends {
            self.talks[node].wakes = self.now + wait;
            self.agenda.put(self.now + wait, Due::Looks(node));
        }
    }

    /// Whether nothing passes between two nodes now.
    fn apart(&self, one: usize, other: usize) -> bool {
        self.faults.iter().any(|met| {
            met.on && self.e.faults[met.number].kind == FaultKind::Cut && met.nodes[one] != met.nodes[other]
        })
    }

    /// Bytes a second that a node sends on average, and how many others each holds to be there at the end.
    pub(super) fn talked(&self) -> Option<GossipStats> {
        let count = self.talks.len();
        if count == 0 {
            return None;
        }
        let seconds = (self.now - BEGIN).max(1) as f64 / 1e6;
        let bytes: u64 = self.talks.iter().map(|talk| talk.gossip.counters().bytes_sent).sum();
        let mut present: HashMap<usize, usize> = HashMap::new();
        for talk in &self.talks {
            *present.entry(talk.gossip.alive_processes().len()).or_default() += 1;
        }
        let least = present.keys().min().copied().unwrap_or(0);
        Some(GossipStats { bytes: bytes as f64 / count as f64 / seconds, least })
    }
}

/// What gossip came to.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct GossipStats {
    /// Bytes a second a node.
    pub bytes: f64,
    /// The fewest others that any node held to be there at the end.
    pub least: usize,
}
