//! The world: clients, nodes, servers, the list and the network, in simulated time.

pub(crate) mod chance;
mod clients;
mod events;
pub mod ground_truth;
mod list;
mod nodes;
mod server;
mod talk;
mod troubles;
mod wants;

use std::collections::{HashMap, VecDeque};

use cherryusher::{ServerId, ServerState, SettingsError};
use rand_pcg::Pcg64;

use crate::Micros;
use crate::baselines::{self, Policy};
use crate::experiment::{Case, Experiment, FaultKind, micros};
use crate::invariants::Rules;
use crate::metrics::{Counts, MOMENTS, Rest, RunMetrics};
use chance::{For, exponential, generator};
use clients::{Clients, Want};
use events::{Agenda, Due};
use nodes::{Attempt, Node, Request};
pub use server::{Admission, ServerParameters, SimulatedServer};
pub use talk::GossipStats;

/// Simulated time begins here, far from 0: "long ago" is before it.
pub(crate) const BEGIN: Micros = 1_000_000_000;
/// How often the speeds of cold servers are set anew.
const WARM_STEP: Micros = 200_000;
/// How long after the last want what servers still work on for nobody is brought to its end.
const LINGER: Micros = 60_000_000;
/// How often servers are looked at in each moment of the time line.
const LOOKS: Micros = 4;

/// The world, at a time.
pub(crate) struct World<'a> {
    e: &'a Experiment,
    now: Micros,
    agenda: Agenda,
    clients: Clients<'a>,
    wants: HashMap<u64, Want>,
    requests: HashMap<u64, Request>,
    attempts: HashMap<u64, Attempt>,
    /// The last number that was given to any of these.
    number: u64,
    nodes: Vec<Node>,
    /// Gossip of each node, or none at all.
    talks: Vec<talk::Talk>,
    stations: Vec<SimulatedServer>,
    ids: HashMap<ServerId, usize>,
    faults: Vec<troubles::Met>,
    /// The multiple of requests by bursts.
    burst: f64,
    network: Pcg64,
    list: Pcg64,
    habits: Pcg64,
    rules: Rules,
    counts: Counts,
    events: u64,
    ends: Micros,
    /// The sum of how long attempts were at servers.
    stays: f64,
    /// What nodes have not been told yet.
    untold: VecDeque<(usize, cherryusher::Event)>,
    telling: bool,
}

/// Plays a case. `progress` hears how much of it is over, and says whether it goes on. An error tells what the policy
/// does not take.
pub fn run(case: &Case, progress: &mut dyn FnMut(f64) -> bool) -> Result<RunMetrics, SettingsError> {
    let make = |rank| baselines::create_policy(&case.policy, &case.experiment, case.seed, rank);
    make(0)?;
    Ok(run_with_policies(case, progress, &|rank| make(rank).ok()))
}

/// The same with policies that the caller makes for each node; a node without one answers nobody.
pub fn run_with_policies(
    case: &Case,
    progress: &mut dyn FnMut(f64) -> bool,
    make: &dyn Fn(u32) -> Option<Box<dyn Policy>>,
) -> RunMetrics {
    let mut world = World::new(case, make);
    world.begin();
    let cut = !world.play(progress);
    world.figures(cut)
}

impl<'a> World<'a> {
    fn new(case: &'a Case, make: &dyn Fn(u32) -> Option<Box<dyn Policy>>) -> World<'a> {
        let (e, seed) = (&case.experiment, case.seed);
        let s = &e.servers;
        let station = |number: usize| {
            SimulatedServer::new(ServerParameters {
                cores: s.cores,
                shares: s.shares,
                queue: s.queue,
                speed: s.speeds[number % s.speeds.len()],
                cold_from: s.cold_from,
                warm_up: micros(s.warm_up),
                falls_at: s.falls_at,
            })
        };
        let count = s.count as usize;
        let classes: Vec<String> = e.classes.iter().map(|class| class.name.clone()).collect();
        let ends = BEGIN + micros(e.span);
        World {
            e,
            now: BEGIN,
            agenda: Agenda::default(),
            clients: Clients::new(e, seed),
            wants: HashMap::new(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            number: 0,
            nodes: (0..e.nodes.count).map(|rank| Node::new(make(rank), count)).collect(),
            talks: talk::talks(e, seed),
            stations: (0..count).map(station).collect(),
            ids: (0..count).map(|number| (baselines::server_id(number), number)).collect(),
            faults: troubles::met(e, seed),
            burst: 1.0,
            network: generator(seed, For::Network, 0),
            list: generator(seed, For::List, 0),
            habits: generator(seed, For::Clients, 0),
            rules: Rules::default(),
            counts: Counts::new(micros(e.settle), micros(e.span), &classes, e.tenants.count, count),
            events: 0,
            ends,
            stays: 0.0,
            untold: VecDeque::new(),
            telling: false,
        }
    }

    fn begin(&mut self) {
        self.stations.iter_mut().for_each(|station| station.turned(BEGIN));
        for node in 0..self.nodes.len() {
            self.hears_all(node);
        }
        for (number, trouble) in self.e.faults.iter().enumerate() {
            let at = BEGIN + micros(trouble.at);
            self.agenda.put(at, Due::Trouble(number, true));
            self.agenda.put(at + micros(trouble.duration), Due::Trouble(number, false));
        }
        match self.e.clients.loops {
            0 => self.next_want(),
            loops => (0..loops).for_each(|client| {
                let thinks = self.clients.thinks();
                self.agenda.put(BEGIN + thinks, Due::Thought(client));
            }),
        }
        self.begin_talk();
        self.agenda.put(BEGIN, Due::Look);
        self.agenda.put(BEGIN, Due::Warms);
    }

    /// Plays to the end; whether nobody stopped it.
    fn play(&mut self, progress: &mut dyn FnMut(f64) -> bool) -> bool {
        let span = (self.ends - BEGIN) as f64;
        while let Some((at, due)) = self.agenda.next() {
            // After the last want only what is still open is brought to its end.
            let over = self.attempts.is_empty() || at > self.ends + LINGER;
            if at > self.ends && self.wants.is_empty() && over {
                break;
            }
            self.now = at;
            self.events += 1;
            if self.events.is_multiple_of(65_536) && !progress(((at - BEGIN) as f64 / span).min(1.0)) {
                return false;
            }
            self.happens(due);
        }
        true
    }

    fn happens(&mut self, due: Due) {
        match due {
            Due::Want => self.wanted(),
            Due::Idle => self.next_want(),
            Due::Thought(client) => {
                if self.now < self.ends {
                    let want = self.clients.want(self.now, Some(client));
                    self.ask_for(want);
                }
            }
            Due::Ask(want) => self.ask(want),
            Due::AtNode(request) => self.at_node(request),
            Due::Expires(request) => self.expires(request),
            Due::Leaves(request) => self.leaves(request),
            Due::AtServer(attempt) => self.at_server(attempt),
            Due::Done(server, serial) => self.done(server, serial),
            Due::Ends(attempt, outcome) => self.ends(attempt, outcome),
            Due::Withdraw(attempt) => self.withdraw(attempt),
            Due::Answer(request, reply) => self.answered(request, reply),
            Due::Woken(node, token, serial) => self.woken(node, token, serial),
            Due::Hears(node, server, entry, version) => self.hears(node, server, entry, version),
            Due::HearsAll(node) => self.hears_all(node),
            Due::Trouble(number, begins) => self.trouble(number, begins),
            Due::Gone(server, version) => {
                if self.stations[server].version == version {
                    self.fall(server, false);
                }
            }
            Due::Starts(server) => self.starts(server),
            Due::Warms => self.warms(),
            Due::Look => self.look(),
            Due::Sees(node) => self.sees(node),
            Due::Looks(node) => self.looks(node),
            Due::Packet(node, from, bytes) => self.packet(node, from, &bytes),
        }
    }

    /// One way through the network.
    fn way(&mut self) -> Micros {
        let network = &self.e.network;
        let jitter = exponential(&mut self.network, micros(network.jitter) as f64);
        micros(network.delay) + jitter as Micros
    }

    fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    fn warms(&mut self) {
        let now = self.now;
        for server in 0..self.stations.len() {
            if self.stations[server].ramp(now) < 1.0 {
                self.stations[server].turned(now);
                self.reckon(server);
            }
        }
        self.agenda.put(now + WARM_STEP, Due::Warms);
    }

    fn look(&mut self) {
        let at = self.now - BEGIN;
        if self.now < self.ends {
            for (number, station) in self.stations.iter().enumerate() {
                self.counts.load(at, number, station.count(), 1.0 / LOOKS as f32);
            }
            let step = (self.ends - BEGIN) / (MOMENTS as Micros * LOOKS);
            self.agenda.put(self.now + step.max(1), Due::Look);
        }
    }

    /// Sees to it that the next end at a server is looked at.
    fn reckon(&mut self, server: usize) {
        let station = &self.stations[server];
        if let Some(at) = station.next() {
            self.agenda.put(at.max(self.now), Due::Done(server, station.serial));
        }
    }

    /// A server falls, or is gone after draining; what it had is broken off.
    fn fall(&mut self, server: usize, pushed: bool) {
        let lost = self.stations[server].fall(self.now);
        for attempt in lost {
            self.off_server(attempt);
            let way = self.way();
            self.agenda.put(self.now + way, Due::Ends(attempt, cherryusher::Outcome::Reset));
        }
        self.tell_of(server);
        if pushed {
            let down = micros(self.e.servers.down);
            self.agenda.put(self.now + down, Due::Starts(server));
        }
    }

    fn starts(&mut self, server: usize) {
        if self.stations[server].state == ServerState::Ready {
            return;
        }
        // One that drains is replaced: what it still had is lost.
        if self.stations[server].state == ServerState::Draining {
            self.fall(server, false);
        }
        self.stations[server].start(self.now);
        self.tell_of(server);
    }

    fn figures(mut self, cut: bool) -> RunMetrics {
        let (now, span) = (self.now, (self.now - BEGIN).max(1) as f64);
        self.stations.iter_mut().for_each(|station| station.turned(now));
        let used: Vec<f64> = self.stations.iter().map(|s| s.busy / span / f64::from(s.cores())).collect();
        let mean = used.iter().sum::<f64>() / used.len().max(1) as f64;
        let (least, most) = used.iter().fold((f64::MAX, 0.0_f64), |(l, m), x| (l.min(*x), m.max(*x)));
        let here = self.stations.iter().map(|station| station.here).sum::<f64>() / span;
        // Arrivals a second times the mean stay is the sum of stays over the span.
        let little = (here, self.stays / span);
        let talked = self.talked();
        self.counts.figures(Rest {
            cut,
            gossip: talked,
            used: (least, mean, most),
            little,
            events: self.events,
            violations: self.rules.violations,
            violation_count: self.rules.count,
        })
    }

    /// Whether a node can't reach servers now.
    fn parted(&self, node: usize, server: usize) -> bool {
        self.faults.iter().any(|met| {
            met.on
                && self.e.faults[met.number].kind == FaultKind::Partition
                && met.nodes[node]
                && met.servers[server]
        })
    }
}
