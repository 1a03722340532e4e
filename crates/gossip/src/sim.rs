//! Many nodes in memory, on a network that loses, doubles, delays and cuts off, in simulated time. The same
//! seed gives the same run. For tests and measurements.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

use crate::limits::HEADERS;
use crate::{
    FleetPosition, Gossip, Input, KeyRing, LogEvent, MemberId, Micros, Output, Secret, ServerObservation,
    Settings,
};

/// How often nodes look at their servers.
const LOOK: Micros = 200_000;

/// What the network does.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    /// The part of packets that get lost.
    pub loss: f64,
    /// The part that come twice.
    pub duplication: f64,
    /// How long a packet takes, at least and at most; so they overtake each other.
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
    /// What it last heard of servers.
    pub suspicions: BTreeMap<u64, f64>,
    /// What it reckons with.
    pub position: Option<FleetPosition>,
    /// What it logged, and when.
    pub log_events: Vec<(Micros, LogEvent)>,
    /// How far its clock is ahead of the others'.
    pub clock_ahead: Micros,
    /// The most bytes that it sent in a second of the clock.
    pub peak_bytes_per_second: u64,
    /// Bytes that it sent, over all its processes.
    pub bytes_sent: u64,
    second: (u64, u64),
    paused_until: Micros,
    starts: u64,
    wakes: Micros,
}

enum Event {
    Packet(usize, SocketAddr, Vec<u8>),
    Wake(usize),
    Look(usize),
}

/// What a node sees of servers by itself at some time.
pub type Observe<'a> = &'a dyn Fn(usize, Micros) -> Vec<ServerObservation>;

/// The network and all on it.
pub struct Net {
    /// The nodes.
    pub nodes: Vec<Node>,
    /// What the network does now.
    pub conditions: NetworkConditions,
    /// Whether packets from one node to another are dropped.
    pub is_cut: Box<dyn Fn(usize, usize) -> bool>,
    /// The time.
    pub now: Micros,
    /// All packets that were sent, if wanted: from, to, bytes.
    pub recorded: Option<Vec<(usize, usize, Vec<u8>)>>,
    /// What nodes had carried to each other and nobody has taken up yet: to whom, from which process, bytes.
    pub payloads: Vec<(usize, MemberId, u64, Vec<u8>)>,
    settings: Box<dyn Fn(usize) -> Settings>,
    ring: String,
    secrets: Vec<[u8; 32]>,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Event>,
    count: u64,
    random: fastrand::Rng,
}

/// Where a node is.
pub fn address(node: usize) -> SocketAddr {
    (Ipv4Addr::from(0x0a00_0001 + node as u32), 7946).into()
}

impl Net {
    /// So many nodes, none of which runs yet. `change` makes their settings differ.
    pub fn new(count: usize, seed: u64, change: impl Fn(usize, &mut Settings) + 'static) -> Net {
        let mut random = fastrand::Rng::with_seed(seed);
        let secrets: Vec<[u8; 32]> = (0..count).map(|_| std::array::from_fn(|_| random.u8(..))).collect();
        let line =
            |(i, seed): (usize, &[u8; 32])| format!("n{i} {}\n", Secret::from_seed(*seed).public_hex());
        let settings = move |i: usize| {
            let mut settings = Settings {
                name: format!("n{i}"),
                address: address(i),
                // Three, and one for every fifty of a large fleet.
                seeds: (0..(count / 50).max(3).min(count)).map(address).collect(),
                probe_period: 300_000,
                max_bytes_per_second: 16 * 1024,
                configured_nodes: count as u32,
                seed: seed.wrapping_mul(1_000_003).wrapping_add(i as u64),
                first_statement_number: 1,
            };
            change(i, &mut settings);
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
            second: (0, 0),
            paused_until: 0,
            starts: 0,
            wakes: Micros::MAX,
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

    /// The keys of all.
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
        let starts = &mut self.nodes[node].starts;
        *starts += 1;
        // As the clock would have it: higher with each start.
        settings.first_statement_number += *starts * 1_000;
        settings.seed ^= *starts << 48;
        self.nodes[node].gossip =
            Gossip::new(settings, self.ring(), self.secret(node), self.now + self.nodes[node].clock_ahead);
        let at = self.now + self.random.u64(..LOOK);
        self.at(at, Event::Look(node));
        self.wake(node);
    }

    /// Starts all.
    pub fn start_all(&mut self) {
        (0..self.nodes.len()).for_each(|node| self.start(node));
    }

    /// Ends a node's process at once.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].gossip = None;
    }

    /// A node's process stands still for so long; what comes meanwhile waits in its socket.
    pub fn pause(&mut self, node: usize, span: Micros) {
        self.nodes[node].paused_until = self.now + span;
    }

    /// Hands a node something that it has to do.
    pub fn input(&mut self, node: usize, input: Input<'_>) {
        let mut out = Vec::new();
        let now = self.now + self.nodes[node].clock_ahead;
        if let Some(gossip) = &mut self.nodes[node].gossip {
            gossip.handle(now, input, &mut out);
        }
        self.carry_out(node, out);
    }

    /// Delivers bytes to a node as if from there.
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
        let Some(next) = self.nodes[node].gossip.as_ref().map(|gossip| gossip.next_wakeup() - ahead) else {
            return;
        };
        if next < self.nodes[node].wakes || self.nodes[node].wakes <= self.now {
            self.nodes[node].wakes = next;
            self.at(next, Event::Wake(node));
        }
    }

    /// Runs until then.
    pub fn run_until(&mut self, end: Micros, see: Observe<'_>) {
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
                    self.input(node, Input::Observations(see(node, self.now)));
                    self.at(self.now + LOOK, Event::Look(node));
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
                Output::Suspicions(doubts) => {
                    self.nodes[node].suspicions = doubts.into_iter().map(|d| (d.server, d.level)).collect();
                }
                Output::PayloadReceived(from, instance, bytes) => {
                    self.payloads.push((node, from, instance, bytes))
                }
                Output::FleetPosition(fleet) => self.nodes[node].position = Some(fleet),
                Output::LogEvent(note) => self.nodes[node].log_events.push((self.now, note)),
            }
        }
        self.wake(node);
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let size = (bytes.len() + HEADERS) as u64;
        let node = &mut self.nodes[from];
        node.bytes_sent += size;
        let second = self.now / 1_000_000;
        node.second = (second, if node.second.0 == second { node.second.1 + size } else { size });
        node.peak_bytes_per_second = node.peak_bytes_per_second.max(node.second.1);
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
                let (least, most) = self.conditions.delay;
                let at = self.now + self.random.u64(least..=most);
                self.at(at, Event::Packet(to, address(from), bytes.clone()));
            }
        }
    }
}
