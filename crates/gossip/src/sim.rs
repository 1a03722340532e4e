//! Many gossip nodes in memory and simulated time, on a network that loses, duplicates, delays and blocks
//! packets. The same seed gives the same run. For tests and benchmarks.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

use crate::limits::UDP_HEADER_BYTES;
use crate::{
    FleetPosition, Gossip, Input, KeyRing, LogEvent, MemberId, Micros, Output, Secret, ServerObservation,
    Settings,
};

/// How often nodes report their observations of servers.
const OBSERVE_INTERVAL: Micros = 200_000;

/// The behaviour of the network.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    /// The fraction of packets that are lost.
    pub loss: f64,
    /// The fraction of packets that are delivered twice.
    pub duplication: f64,
    /// The least and the largest delay of a packet; packets may overtake each other.
    pub delay: (Micros, Micros),
}

impl Default for NetworkConditions {
    fn default() -> NetworkConditions {
        NetworkConditions { loss: 0.0, duplication: 0.0, delay: (300, 1_000) }
    }
}

/// One node of the simulation.
pub struct Node {
    /// Its state machine, while its process runs.
    pub gossip: Option<Gossip>,
    /// The suspicions that it last received from others, by server id.
    pub suspicions: BTreeMap<u64, f64>,
    /// The position in the fleet that it uses, once known.
    pub position: Option<FleetPosition>,
    /// Its log events with their times.
    pub log_events: Vec<(Micros, LogEvent)>,
    /// How far its clock is ahead of the simulated time.
    pub clock_ahead: Micros,
    /// The largest number of bytes that it sent in one second.
    pub peak_bytes_per_second: u64,
    /// The bytes that it sent, over all its processes.
    pub bytes_sent: u64,
    current_second: (u64, u64),
    paused_until: Micros,
    start_count: u64,
    wakes_at: Micros,
}

enum Event {
    Packet(usize, SocketAddr, Vec<u8>),
    Wake(usize),
    Look(usize),
}

/// A node's own observations of servers at a time.
pub type Observe<'a> = &'a dyn Fn(usize, Micros) -> Vec<ServerObservation>;

/// The network and its nodes.
pub struct Net {
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The current behaviour of the network.
    pub conditions: NetworkConditions,
    /// Whether packets from the first node to the second are dropped.
    pub is_cut: Box<dyn Fn(usize, usize) -> bool>,
    /// The simulated time.
    pub now: Micros,
    /// If set, collects all packets sent: sender, receiver, bytes.
    pub recorded: Option<Vec<(usize, usize, Vec<u8>)>>,
    /// Payloads delivered but not taken yet: receiving node, sending member, its instance, bytes.
    pub payloads: Vec<(usize, MemberId, u64, Vec<u8>)>,
    settings: Box<dyn Fn(usize) -> Settings>,
    ring: String,
    secrets: Vec<[u8; 32]>,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Event>,
    count: u64,
    random: fastrand::Rng,
}

/// A node's address.
pub fn address(node: usize) -> SocketAddr {
    (Ipv4Addr::from(0x0a00_0001 + node as u32), 7946).into()
}

impl Net {
    /// Creates `count` nodes, none of which runs yet. `change` adapts each node's settings.
    pub fn new(count: usize, seed: u64, adapt: impl Fn(usize, &mut Settings) + 'static) -> Net {
        let mut random = fastrand::Rng::with_seed(seed);
        let secrets: Vec<[u8; 32]> = (0..count).map(|_| std::array::from_fn(|_| random.u8(..))).collect();
        let line =
            |(i, seed): (usize, &[u8; 32])| format!("n{i} {}\n", Secret::from_seed(*seed).public_hex());
        let settings = move |i: usize| {
            let mut settings = Settings {
                name: format!("n{i}"),
                address: address(i),
                // Three seeds, and one for every fifty nodes of a large fleet.
                seeds: (0..(count / 50).max(3).min(count)).map(address).collect(),
                probe_period: 300_000,
                max_bytes_per_second: 16 * 1024,
                configured_nodes: count as u32,
                seed: seed.wrapping_mul(1_000_003).wrapping_add(i as u64),
                first_statement_number: 1,
            };
            adapt(i, &mut settings);
            settings
        };
        let node = |_| Node {
            gossip: None,
            suspicions: BTreeMap::new(),
            position: None,
            log_events: Vec::new(),
            clock_ahead: 0,
            peak_bytes_per_second: 0,
            bytes_sent: 0,
            current_second: (0, 0),
            paused_until: 0,
            start_count: 0,
            wakes_at: Micros::MAX,
        };
        Net {
            ring: secrets.iter().enumerate().map(line).collect(),
            nodes: (0..count).map(node).collect(),
            conditions: NetworkConditions::default(),
            is_cut: Box::new(|_, _| false),
            now: 1_000_000,
            recorded: None,
            payloads: Vec::new(),
            settings: Box::new(settings),
            secrets,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            count: 0,
            random,
        }
    }

    /// The key ring of all nodes.
    pub fn ring(&self) -> KeyRing {
        KeyRing::parse(&self.ring).unwrap_or_default()
    }

    /// A node's secret.
    pub fn secret(&self, node: usize) -> Secret {
        Secret::from_seed(self.secrets[node])
    }

    /// Starts a node's process.
    pub fn start(&mut self, node: usize) {
        let mut settings = (self.settings)(node);
        let start_count = &mut self.nodes[node].start_count;
        *start_count += 1;
        // As with numbers derived from a clock: higher at each start.
        settings.first_statement_number += *start_count * 1_000;
        settings.seed ^= *start_count << 48;
        self.nodes[node].gossip =
            Gossip::new(settings, self.ring(), self.secret(node), self.now + self.nodes[node].clock_ahead);
        let at = self.now + self.random.u64(..OBSERVE_INTERVAL);
        self.at(at, Event::Look(node));
        self.wake(node);
    }

    /// Starts all nodes.
    pub fn start_all(&mut self) {
        (0..self.nodes.len()).for_each(|node| self.start(node));
    }

    /// Ends a node's process at once.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].gossip = None;
    }

    /// Pauses a node's process; packets wait in its socket meanwhile.
    pub fn pause(&mut self, node: usize, span: Micros) {
        self.nodes[node].paused_until = self.now + span;
    }

    /// Passes an input to a node.
    pub fn input(&mut self, node: usize, input: Input<'_>) {
        let mut out = Vec::new();
        let now = self.now + self.nodes[node].clock_ahead;
        if let Some(gossip) = &mut self.nodes[node].gossip {
            gossip.handle(now, input, &mut out);
        }
        self.carry_out(node, out);
    }

    /// Delivers bytes to a node as if sent from this address.
    pub fn inject(&mut self, to: usize, from: SocketAddr, bytes: Vec<u8>) {
        self.at(self.now + 1, Event::Packet(to, from, bytes));
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.count += 1;
        self.events.insert(self.count, event);
        self.queue.push(Reverse((at, self.count)));
    }

    fn wake(&mut self, node: usize) {
        let ahead = self.nodes[node].clock_ahead;
        let Some(next) = self.nodes[node].gossip.as_ref().map(|g| g.next_wakeup() - ahead) else { return };
        if next < self.nodes[node].wakes_at || self.nodes[node].wakes_at <= self.now {
            self.nodes[node].wakes_at = next;
            self.at(next, Event::Wake(node));
        }
    }

    /// Runs the simulation until `end`.
    pub fn run_until(&mut self, end: Micros, observe: Observe<'_>) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied().filter(|Reverse((at, _))| *at <= end) {
            self.queue.pop();
            self.now = at.max(self.now);
            let Some(event) = self.events.remove(&id) else { continue };
            let node = match &event {
                Event::Packet(node, ..) | Event::Wake(node) | Event::Look(node) => *node,
            };
            if self.nodes[node].paused_until > self.now {
                self.at(self.nodes[node].paused_until, event);
                continue;
            }
            match event {
                Event::Packet(node, from, bytes) => self.input(node, Input::Packet(from, &bytes)),
                Event::Wake(node) => self.input(node, Input::Tick),
                Event::Look(node) if self.nodes[node].gossip.is_some() => {
                    self.input(node, Input::Observations(observe(node, self.now)));
                    self.at(self.now + OBSERVE_INTERVAL, Event::Look(node));
                }
                Event::Look(_) => {}
            }
        }
        self.now = end;
    }

    fn carry_out(&mut self, node: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send(to, bytes) => self.send(node, to, bytes),
                Output::Suspicions(suspicions) => {
                    self.nodes[node].suspicions =
                        suspicions.into_iter().map(|d| (d.server, d.level)).collect();
                }
                Output::PayloadReceived(from, instance, bytes) => {
                    self.payloads.push((node, from, instance, bytes))
                }
                Output::FleetPosition(fleet) => self.nodes[node].position = Some(fleet),
                Output::LogEvent(log_event) => self.nodes[node].log_events.push((self.now, log_event)),
            }
        }
        self.wake(node);
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let size = (bytes.len() + UDP_HEADER_BYTES) as u64;
        let node = &mut self.nodes[from];
        node.bytes_sent += size;
        let current_second = self.now / 1_000_000;
        node.current_second = (
            current_second,
            if node.current_second.0 == current_second { node.current_second.1 + size } else { size },
        );
        node.peak_bytes_per_second = node.peak_bytes_per_second.max(node.current_second.1);
        let SocketAddr::V4(to) = to else { return };
        let to = u32::from(*to.ip()).wrapping_sub(0x0a00_0001) as usize;
        if to >= self.nodes.len() {
            return;
        }
        if let Some(tap) = &mut self.recorded {
            tap.push((from, to, bytes.clone()));
        }
        let copies = 1 + usize::from(self.random.f64() < self.conditions.duplication);
        for _ in 0..copies {
            if self.random.f64() >= self.conditions.loss && !(self.is_cut)(from, to) {
                let (min_delay, max_delay) = self.conditions.delay;
                let at = self.now + self.random.u64(min_delay..=max_delay);
                self.at(at, Event::Packet(to, address(from), bytes.clone()));
            }
        }
    }
}
