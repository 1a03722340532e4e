//! The simulation of clients, nodes, servers, service discovery and the network, in simulated time.

mod calls;
mod clients;
mod events;
mod faults;
mod gossip;
pub mod ground_truth;
mod list;
mod nodes;
pub(crate) mod random;
mod server;

use std::collections::{HashMap, VecDeque};

use cherryusher::{ServerId, ServerState, SettingsError};
use rand_pcg::Pcg64;

use crate::Micros;
use crate::baselines::{self, Policy};
use crate::experiment::{Case, Experiment, FaultKind, micros};
use crate::invariants::InvariantChecks;
use crate::metrics::{MetricsCollector, RunMetrics, RunTotals, TIMELINE_POINTS};
use clients::{Call, Clients};
use events::{EventQueue, ScheduledEvent};
pub use gossip::GossipStats;
use nodes::{Attempt, Node, Request};
use random::{RngPurpose, exponential, generator};
pub use server::{Admission, ServerParameters, SimulatedServer};

/// The start of simulated time. It is far from 0, so that there are times long before it.
pub(crate) const START_TIME: Micros = 1_000_000_000;
/// The interval at which the speeds of warming servers are updated.
const WARM_UP_STEP: Micros = 200_000;
/// The maximum time after the end of arrivals for servers to finish attempts that nobody waits for.
const DRAIN_TIME: Micros = 60_000_000;
/// The number of load samples in each interval of the time line.
const SAMPLES_PER_POINT: Micros = 4;

/// The state of the simulation.
pub(crate) struct Simulation<'a> {
    experiment: &'a Experiment,
    now: Micros,
    queue: EventQueue,
    clients: Clients<'a>,
    calls: HashMap<u64, Call>,
    requests: HashMap<u64, Request>,
    attempts: HashMap<u64, Attempt>,
    /// The last id that was given to a call, a request or an attempt.
    last_id: u64,
    nodes: Vec<Node>,
    /// The gossip of each node; empty if the experiment has none.
    gossip_nodes: Vec<gossip::GossipNode>,
    servers: Vec<SimulatedServer>,
    ids: HashMap<ServerId, usize>,
    fault_targets: Vec<faults::FaultTargets>,
    /// The current factor of the arrival rate, by burst faults.
    burst: f64,
    network_rng: Pcg64,
    list_rng: Pcg64,
    client_rng: Pcg64,
    invariants: InvariantChecks,
    metrics: MetricsCollector,
    events: u64,
    arrivals_end: Micros,
    /// The sum of the times that attempts spent at servers, in microseconds.
    total_sojourn: f64,
    /// Events that are still to be delivered to nodes.
    pending_events: VecDeque<(usize, cherryusher::Event)>,
    delivering: bool,
}

/// Runs a case. `progress` is called with the completed fraction, and returns whether to continue.
///
/// # Errors
///
/// Fails if the policy rejects the settings.
pub fn run(case: &Case, progress: &mut dyn FnMut(f64) -> bool) -> Result<RunMetrics, SettingsError> {
    let make = |rank| baselines::create_policy(&case.policy, &case.experiment, case.seed, rank);
    make(0)?;
    Ok(run_with_policies(case, progress, &|rank| make(rank).ok()))
}

/// Runs a case with the policies that `make` creates for each node's rank; a node without one answers
/// nothing.
pub fn run_with_policies(
    case: &Case,
    progress: &mut dyn FnMut(f64) -> bool,
    make: &dyn Fn(u32) -> Option<Box<dyn Policy>>,
) -> RunMetrics {
    let mut simulation = Simulation::new(case, make);
    simulation.start();
    let cut = !simulation.run_until_end(progress);
    simulation.into_metrics(cut)
}

impl<'a> Simulation<'a> {
    fn new(case: &'a Case, make: &dyn Fn(u32) -> Option<Box<dyn Policy>>) -> Simulation<'a> {
        let (experiment, seed) = (&case.experiment, case.seed);
        let s = &experiment.servers;
        let server_model = |number: usize| {
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
        let classes: Vec<String> = experiment.classes.iter().map(|class| class.name.clone()).collect();
        let arrivals_end = START_TIME + micros(experiment.span);
        Simulation {
            experiment,
            now: START_TIME,
            queue: EventQueue::default(),
            clients: Clients::new(experiment, seed),
            calls: HashMap::new(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            last_id: 0,
            nodes: (0..experiment.nodes.count).map(|rank| Node::new(make(rank), count)).collect(),
            gossip_nodes: gossip::gossip_nodes(experiment, seed),
            servers: (0..count).map(server_model).collect(),
            ids: (0..count).map(|number| (baselines::server_id(number), number)).collect(),
            fault_targets: faults::fault_targets(experiment, seed),
            burst: 1.0,
            network_rng: generator(seed, RngPurpose::Network, 0),
            list_rng: generator(seed, RngPurpose::List, 0),
            client_rng: generator(seed, RngPurpose::Clients, 0),
            invariants: InvariantChecks::default(),
            metrics: MetricsCollector::new(
                micros(experiment.settle),
                micros(experiment.span),
                &classes,
                experiment.tenants.count,
                count,
            ),
            events: 0,
            arrivals_end,
            total_sojourn: 0.0,
            pending_events: VecDeque::new(),
            delivering: false,
        }
    }

    fn start(&mut self) {
        self.servers.iter_mut().for_each(|server_model| server_model.update_speed(START_TIME));
        for node in 0..self.nodes.len() {
            self.full_server_list(node);
        }
        for (number, fault) in self.experiment.faults.iter().enumerate() {
            let at = START_TIME + micros(fault.at);
            self.queue.push(at, ScheduledEvent::FaultChange(number, true));
            self.queue.push(at + micros(fault.duration), ScheduledEvent::FaultChange(number, false));
        }
        match self.experiment.clients.loops {
            0 => self.schedule_arrival(),
            loops => (0..loops).for_each(|client| {
                let think_time = self.clients.think_time();
                self.queue.push(START_TIME + think_time, ScheduledEvent::ThinkTimeOver(client));
            }),
        }
        self.start_gossip();
        self.queue.push(START_TIME, ScheduledEvent::SampleLoad);
        self.queue.push(START_TIME, ScheduledEvent::WarmUpStep);
    }

    /// Runs to the end; returns false if `progress` stopped it.
    fn run_until_end(&mut self, progress: &mut dyn FnMut(f64) -> bool) -> bool {
        let span = (self.arrivals_end - START_TIME) as f64;
        while let Some((at, event)) = self.queue.pop() {
            // After the end of arrivals, only pending calls and attempts are completed.
            let over = self.attempts.is_empty() || at > self.arrivals_end + DRAIN_TIME;
            if at > self.arrivals_end && self.calls.is_empty() && over {
                break;
            }
            self.now = at;
            self.events += 1;
            if self.events.is_multiple_of(65_536) && !progress(((at - START_TIME) as f64 / span).min(1.0)) {
                return false;
            }
            self.dispatch(event);
        }
        true
    }

    fn dispatch(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::OpenLoopArrival => self.open_loop_arrival(),
            ScheduledEvent::ArrivalRateCheck => self.schedule_arrival(),
            ScheduledEvent::ThinkTimeOver(client) => {
                if self.now < self.arrivals_end {
                    let call = self.clients.draw_call(self.now, Some(client));
                    self.start_call(call);
                }
            }
            ScheduledEvent::SendRequest(call) => self.send_request(call),
            ScheduledEvent::RequestAtNode(request) => self.request_at_node(request),
            ScheduledEvent::NodeDeadline(request) => self.node_deadline(request),
            ScheduledEvent::ClientDeadline(request) => self.client_deadline(request),
            ScheduledEvent::AttemptAtServer(attempt) => self.attempt_at_server(attempt),
            ScheduledEvent::ServerCompletion(server, serial) => self.server_completion(server, serial),
            ScheduledEvent::AttemptOutcome(attempt, outcome) => self.attempt_outcome(attempt, outcome),
            ScheduledEvent::CancelAtServer(attempt) => self.cancel_at_server(attempt),
            ScheduledEvent::ReplyAtClient(request, reply) => self.reply_at_client(request, reply),
            ScheduledEvent::NodeTimer(node, token, serial) => self.node_timer(node, token, serial),
            ScheduledEvent::ServerUpdate(node, server, entry, version) => {
                self.server_update(node, server, entry, version)
            }
            ScheduledEvent::FullServerList(node) => self.full_server_list(node),
            ScheduledEvent::FaultChange(number, active) => self.change_fault(number, active),
            ScheduledEvent::DrainEnd(server, version) => {
                if self.servers[server].version == version {
                    self.stop_server(server, false);
                }
            }
            ScheduledEvent::ServerStart(server) => self.start_server(server),
            ScheduledEvent::WarmUpStep => self.warm_up_step(),
            ScheduledEvent::SampleLoad => self.sample_load(),
            ScheduledEvent::ShareObservations(node) => self.share_observations(node),
            ScheduledEvent::GossipTick(node) => self.gossip_tick(node),
            ScheduledEvent::GossipPacket(node, from, bytes) => self.gossip_packet(node, from, &bytes),
        }
    }

    /// Draws the one-way delay of the network.
    fn network_delay(&mut self) -> Micros {
        let network = &self.experiment.network;
        let jitter = exponential(&mut self.network_rng, micros(network.jitter) as f64);
        micros(network.delay) + jitter as Micros
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn warm_up_step(&mut self) {
        let now = self.now;
        for server in 0..self.servers.len() {
            if self.servers[server].ramp(now) < 1.0 {
                self.servers[server].update_speed(now);
                self.schedule_completion(server);
            }
        }
        self.queue.push(now + WARM_UP_STEP, ScheduledEvent::WarmUpStep);
    }

    fn sample_load(&mut self) {
        let at = self.now - START_TIME;
        if self.now < self.arrivals_end {
            for (number, server_model) in self.servers.iter().enumerate() {
                self.metrics.record_load(at, number, server_model.count(), 1.0 / SAMPLES_PER_POINT as f32);
            }
            let step = (self.arrivals_end - START_TIME) / (TIMELINE_POINTS as Micros * SAMPLES_PER_POINT);
            self.queue.push(self.now + step.max(1), ScheduledEvent::SampleLoad);
        }
    }

    /// Schedules the next completion at a server.
    fn schedule_completion(&mut self, server: usize) {
        let server_model = &self.servers[server];
        if let Some(at) = server_model.next() {
            self.queue.push(at.max(self.now), ScheduledEvent::ServerCompletion(server, server_model.serial));
        }
    }

    /// Stops a server: it crashes, or has drained. Its attempts are reset. If it was overloaded, it restarts
    /// by itself.
    fn stop_server(&mut self, server: usize, overloaded: bool) {
        let lost = self.servers[server].stop(self.now);
        for attempt in lost {
            self.leave_server(attempt);
            let delay = self.network_delay();
            self.queue
                .push(self.now + delay, ScheduledEvent::AttemptOutcome(attempt, cherryusher::Outcome::Reset));
        }
        self.publish_server(server);
        if overloaded {
            let down = micros(self.experiment.servers.down);
            self.queue.push(self.now + down, ScheduledEvent::ServerStart(server));
        }
    }

    fn start_server(&mut self, server: usize) {
        if self.servers[server].state == ServerState::Ready {
            return;
        }
        // A draining server is replaced, and its remaining attempts are lost.
        if self.servers[server].state == ServerState::Draining {
            self.stop_server(server, false);
        }
        self.servers[server].start(self.now);
        self.publish_server(server);
    }

    fn into_metrics(mut self, cut: bool) -> RunMetrics {
        let (now, span) = (self.now, (self.now - START_TIME).max(1) as f64);
        self.servers.iter_mut().for_each(|server_model| server_model.update_speed(now));
        let used: Vec<f64> =
            self.servers.iter().map(|s| s.busy_integral / span / f64::from(s.cores())).collect();
        let mean = used.iter().sum::<f64>() / used.len().max(1) as f64;
        let (least, most) = used.iter().fold((f64::MAX, 0.0_f64), |(l, m), x| (l.min(*x), m.max(*x)));
        let mean_count =
            self.servers.iter().map(|server_model| server_model.count_integral).sum::<f64>() / span;
        // The arrival rate times the mean sojourn time is the sum of sojourn times over the span.
        let little = (mean_count, self.total_sojourn / span);
        let gossip = self.gossip_stats();
        self.metrics.finish(RunTotals {
            cut,
            gossip,
            utilization: (least, mean, most),
            little,
            events: self.events,
            violations: self.invariants.violations,
            violation_count: self.invariants.count,
        })
    }

    /// Whether a partition currently separates a node from a server.
    fn is_partitioned(&self, node: usize, server: usize) -> bool {
        self.fault_targets.iter().any(|targets| {
            targets.active
                && self.experiment.faults[targets.number].kind == FaultKind::Partition
                && targets.nodes[node]
                && targets.servers[server]
        })
    }
}
