//! Many nodes in memory, on a network that loses, doubles, delays and cuts off, in simulated time. The same seed gives
//! the same run. For tests and measurements.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

use crate::limits::HEADERS;
use crate::{
    Fleet, Gossip, Input, KeyRing, MemberId, Micros, Note, Output, Secret, ServerObservation, Settings,
};

/// How often nodes look at their servers.
const LOOK: Micros = 200_000;

/// What the network does.
#[derive(Clone, Copy, Debug)]
pub struct Weather {
    /// The part of packets that get lost.
    pub loss: f64,
    /// The part that come twice.
    pub doubled: f64,
    /// How long a packet takes, at least and at most; so they overtake each other.
    pub delay: (Micros, Micros),
}

impl Default for Weather {
    fn default() -> Weather {
        Weather { loss: 0.0, doubled: 0.0, delay: (300, 1_000) }
    }
}

/// One node of the simulation.
pub struct Node {
    /// Its state machine, while its process runs.
    pub gossip: Option<Gossip>,
    /// What it last heard of servers.
    pub doubts: BTreeMap<u64, f64>,
    /// What it reckons with.
    pub fleet: Option<Fleet>,
    /// What it logged, and when.
    pub notes: Vec<(Micros, Note)>,
    /// How far its clock is ahead of the others'.
    pub ahead: Micros,
    /// The most bytes that it sent in a second of the clock.
    pub peak: u64,
    /// Bytes that it sent, over all its processes.
    pub bytes: u64,
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
pub type See<'a> = &'a dyn Fn(usize, Micros) -> Vec<ServerObservation>;

/// The network and all on it.
pub struct Net {
    /// The nodes.
    pub nodes: Vec<Node>,
    /// What the network does now.
    pub weather: Weather,
    /// Whether packets from one node to another are dropped.
    pub cut: Box<dyn Fn(usize, usize) -> bool>,
    /// The time.
    pub now: Micros,
    /// All packets that were sent, if wanted: from, to, bytes.
    pub tap: Option<Vec<(usize, usize, Vec<u8>)>>,
    /// What nodes had carried to each other and nobody has taken up yet: to whom, from which process, bytes.
    pub carried: Vec<(usize, MemberId, u64, Vec<u8>)>,
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
                period: 300_000,
                ceiling: 16 * 1024,
                nodes: count as u32,
                seed: seed.wrapping_mul(1_000_003).wrapping_add(i as u64),
                number: 1,
            };
            change(i, &mut settings);
            settings
        };
        let node = |_| Node {
            gossip: None,
            doubts: BTreeMap::new(),
            fleet: None,
            notes: Vec::new(),
            ahead: 0,
            peak: 0,
            bytes: 0,
            second: (0, 0),
            paused_until: 0,
            starts: 0,
            wakes: Micros::MAX,
        };
        Net {
            ring: secrets.iter().enumerate().map(line).collect(),
            nodes: (0..count).map(node).collect(),
            weather: Weather::default(),
            cut: Box::new(|_, _| false),
            now: 1_000_000,
            tap: None,
            carried: Vec::new(),
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
        settings.number += *starts * 1_000;
        settings.seed ^= *starts << 48;
        self.nodes[node].gossip =
            Gossip::new(settings, self.ring(), self.secret(node), self.now + self.nodes[node].ahead);
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
    pub fn tell(&mut self, node: usize, input: Input<'_>) {
        let mut out = Vec::new();
        let now = self.now + self.nodes[node].ahead;
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
        let ahead = self.nodes[node].ahead;
        let Some(next) = self.nodes[node].gossip.as_ref().map(|gossip| gossip.next() - ahead) else { return };
        if next < self.nodes[node].wakes || self.nodes[node].wakes <= self.now {
            self.nodes[node].wakes = next;
            self.at(next, Event::Wake(node));
        }
    }

    /// Runs until then.
    pub fn run_until(&mut self, end: Micros, see: See<'_>) {
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
                Event::Packet(node, from, bytes) => self.tell(node, Input::Packet(from, &bytes)),
                Event::Wake(node) => self.tell(node, Input::Tick),
                Event::Look(node) if self.nodes[node].gossip.is_some() => {
                    self.tell(node, Input::Sightings(see(node, self.now)));
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
                Output::Doubts(doubts) => {
                    self.nodes[node].doubts = doubts.into_iter().map(|d| (d.server, d.level)).collect();
                }
                Output::Carried(from, instance, bytes) => self.carried.push((node, from, instance, bytes)),
                Output::Fleet(fleet) => self.nodes[node].fleet = Some(fleet),
                Output::Note(note) => self.nodes[node].notes.push((self.now, note)),
            }
        }
        self.wake(node);
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let size = (bytes.len() + HEADERS) as u64;
        let node = &mut self.nodes[from];
        node.bytes += size;
        let second = self.now / 1_000_000;
        node.second = (second, if node.second.0 == second { node.second.1 + size } else { size });
        node.peak = node.peak.max(node.second.1);
        let SocketAddr::V4(to) = to else { return };
        let to = u32::from(*to.ip()).wrapping_sub(0x0a00_0001) as usize;
        if to >= self.nodes.len() {
            return;
        }
        if let Some(tap) = &mut self.tap {
            tap.push((from, to, bytes.clone()));
        }
        let copies = 1 + usize::from(self.random.f64() < self.weather.doubled);
        for _ in 0..copies {
            if self.random.f64() >= self.weather.loss && !(self.cut)(from, to) {
                let (least, most) = self.weather.delay;
                let at = self.now + self.random.u64(least..=most);
                self.at(at, Event::Packet(to, address(from), bytes.clone()));
            }
        }
    }
}
