//! Random fault schedules (time lines) over gossip and coordinators together, in memory and in simulated
//! time. The fleet's invariants are checked at every step. The crates are those of the daemon; the nodes'
//! clocks are offset from each other and drift.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use anyhow::bail;
use clap::Args;
use dunelink::consensus::{
    Coordinator, ElectorNames, Evictions, FleetMessage, Generation, Input as CoordinatorInput, LeaseBounds,
    LeaseKind, MAX_TOTAL_SHARE, Micros, Output, Process, Settings, View,
};
use dunelink_gossip::sim::{Net, NetworkConditions};
use dunelink_gossip::{Input, Liveness, MemberId};
use testkit::rig::faults::{Fault, TimeLine};

/// One second, in microseconds.
const SECOND: Micros = 1_000_000;
/// Interval at which the coordinators receive a tick and the invariants are checked.
const STEP: Micros = SECOND / 100;
/// Interval at which a coordinator receives the list of alive processes.
const MEMBERS_INTERVAL: Micros = SECOND / 5;
const LEASE_BOUNDS: LeaseBounds = LeaseBounds { lease: 2 * SECOND, drift_ppm: 500 };
/// Largest drift of a clock, in parts per million either way; less than `LEASE_BOUNDS` allows.
const MAX_DRIFT_PPM: i64 = 400;
/// Longest time for all nodes to start and agree.
const MAX_START_TIME: Micros = 20 * SECOND;
/// Longest wait for any later condition.
const MAX_WAIT: Micros = 60 * SECOND;

/// Options of `lines`.
#[derive(Args)]
pub(crate) struct Options {
    /// Numbers of nodes, each measured by itself.
    #[arg(long, value_delimiter = ',', default_values_t = [5, 9, 16])]
    nodes: Vec<usize>,
    /// Number of time lines for each number of nodes; their seeds count up from the first.
    #[arg(long, default_value_t = 500)]
    lines: u64,
    /// Length of each time line, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

struct Node {
    /// `None` while the node is killed.
    coordinator: Option<Coordinator>,
    process: Process,
    /// How fast its clock runs, in parts per million; negative if slow.
    drift_ppm: i64,
    /// How far its clock is ahead of true time at the start.
    clock_offset: Micros,
    paused: bool,
    /// True time at which its coordinator last received the list of alive processes.
    members_sent_at: Micros,
    /// Its share of the fleet's limits.
    limit_share: f64,
    /// Whether it has requested the lease to become unready; follows the lease whenever that is granted or
    /// ends.
    requests_unready: bool,
}

/// The outcome of one time line.
#[derive(Default)]
struct Outcome {
    faults: usize,
    /// Number of distinct views that were decided.
    views: usize,
    /// Descriptions of the violated invariants.
    violations: Vec<String>,
    /// Seconds from the end of all faults until all nodes agreed on one view; `None` if they did not in time.
    agreed_s: Option<f64>,
    /// Largest sum of the limit shares of all running nodes.
    max_total_share: f64,
    /// Mean traffic sent, in bytes per second and node.
    bytes_per_node_second: f64,
}

struct Fleet {
    net: Net,
    nodes: Vec<Node>,
    names: Vec<u64>,
    electors: ElectorNames,
    random: fastrand::Rng,
    /// The first view seen for each generation and epoch.
    decided_views: BTreeMap<(Generation, u64), View>,
    outcome: Outcome,
}

impl Node {
    /// Its clock's reading at the true time `now`.
    fn clock(&self, now: Micros) -> Micros {
        (now as i64 + now as i64 / 1_000_000 * self.drift_ppm) as Micros + self.clock_offset
    }
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Fleet {
        let mut random = fastrand::Rng::with_seed(seed);
        let names: Vec<u64> = (0..count).map(|node| MemberId::of(&format!("n{node}")).0).collect();
        let node = |_| Node {
            coordinator: None,
            process: Process::default(),
            drift_ppm: random.i64(-MAX_DRIFT_PPM..=MAX_DRIFT_PPM),
            clock_offset: random.u64(..10_000 * SECOND),
            paused: false,
            members_sent_at: 0,
            limit_share: 0.0,
            requests_unready: false,
        };
        let nodes = (0..count).map(node).collect();
        let electors = ElectorNames::new(names.iter().copied().take(5));
        let net = Net::new(count, seed, |_, _| {});
        let (decided_views, outcome) = (BTreeMap::new(), Outcome::default());
        Fleet { net, nodes, names, electors, random, decided_views, outcome }
    }

    /// Starts a node's gossip and coordinator.
    fn start(&mut self, index: usize) {
        self.net.start(index);
        let now = self.nodes[index].clock(self.net.now);
        let Some((id, instance)) = self.net.nodes[index].gossip.as_ref().map(|gossip| gossip.process())
        else {
            return;
        };
        let me = Process { name: id.0, instance };
        let settings = Settings {
            me,
            elector_names: self.electors.clone(),
            lease_bounds: LEASE_BOUNDS,
            configured_nodes: self.nodes.len(),
            seed: instance,
        };
        let node = &mut self.nodes[index];
        (node.coordinator, node.process) = (Some(Coordinator::new(settings, now)), me);
        (node.limit_share, node.requests_unready, node.members_sent_at) = (0.0, false, 0);
    }

    fn kill(&mut self, index: usize) {
        self.net.kill(index);
        self.nodes[index].coordinator = None;
    }

    /// Passes an input to a node's coordinator, and sends the messages that result by gossip. Messages of the
    /// coordinator to itself are handled at once.
    fn handle_input(&mut self, index: usize, input: CoordinatorInput) {
        let now = self.nodes[index].clock(self.net.now);
        let (mut inputs, mut messages): (Vec<CoordinatorInput>, BTreeMap<u64, Vec<FleetMessage>>) =
            (vec![input], BTreeMap::new());
        while !inputs.is_empty() {
            let mut out = Vec::new();
            let Some(coordinator) = &mut self.nodes[index].coordinator else { return };
            inputs.drain(..).for_each(|input| coordinator.handle(now, input, &mut out));
            for output in out {
                match output {
                    Output::Send(name, message) if name == self.names[index] => {
                        inputs.push(CoordinatorInput::Received(self.nodes[index].process, message));
                    }
                    Output::Send(name, message) => messages.entry(name).or_default().push(message),
                    Output::LimitShare(limit_share) => self.nodes[index].limit_share = limit_share,
                    Output::Decided(view) => self.record_view(view),
                    Output::Lease(LeaseKind::Unready, held, _) => self.nodes[index].requests_unready = held,
                    Output::PartitionSide(_) | Output::Lease(..) | Output::Rejected(_) => {}
                }
            }
        }
        for (name, messages_to_one) in messages {
            // Packed as tightly as possible they would fit into one or two packets. Packets of at most two
            // messages are the harder case, since each is lost or delayed by itself.
            for chunk in messages_to_one.chunks(2) {
                if let Ok(bytes) = postcard::to_stdvec(chunk) {
                    self.net.input(index, Input::SendPayload(MemberId(name), bytes));
                }
            }
        }
    }

    /// Records a decided view; two different views of one generation and epoch are a violation.
    fn record_view(&mut self, view: View) {
        let first_view =
            self.decided_views.entry((view.generation, view.epoch)).or_insert_with(|| view.clone());
        if *first_view != view {
            self.outcome.violations.push(format!("two views of one epoch: {first_view:?} and {view:?}"));
        }
    }

    /// Runs the network for one step, delivers payloads and ticks, and checks the invariants.
    fn step(&mut self) {
        self.net.run_until(self.net.now + STEP, &|_, _| Vec::new());
        for (index, from, instance, bytes) in std::mem::take(&mut self.net.payloads) {
            let process = Process { name: from.0, instance };
            for message in postcard::from_bytes::<Vec<FleetMessage>>(&bytes).unwrap_or_default() {
                self.handle_input(index, CoordinatorInput::Received(process, message));
            }
        }
        for index in 0..self.nodes.len() {
            if self.nodes[index].paused || self.nodes[index].coordinator.is_none() {
                continue;
            }
            self.handle_input(index, CoordinatorInput::Tick);
            if self.net.now - self.nodes[index].members_sent_at < MEMBERS_INTERVAL {
                continue;
            }
            self.nodes[index].members_sent_at = self.net.now;
            let alive = self.net.nodes[index]
                .gossip
                .as_ref()
                .map(|gossip| gossip.alive_processes())
                .unwrap_or_default();
            let alive = alive.into_iter().map(|(id, instance)| Process { name: id.0, instance });
            self.handle_input(index, CoordinatorInput::AliveProcesses(alive.collect()));
            // With a probability of 1 in 64, toggles the node's request for the lease to become unready.
            if self.random.u8(..) < 4 {
                let requests = !self.nodes[index].requests_unready;
                self.nodes[index].requests_unready = requests;
                self.handle_input(index, CoordinatorInput::WantUnready(requests));
            }
        }
        self.check_invariants();
    }

    /// Checks the invariants in true time: at most one holder of each lease, and a bounded sum of limit
    /// shares.
    fn check_invariants(&mut self) {
        let now = self.net.now;
        let status_of =
            |node: &Node| node.coordinator.as_ref().map(|coordinator| coordinator.status(node.clock(now)));
        let statuses: Vec<_> = self.nodes.iter().filter_map(status_of).collect();
        for (lease, holders) in [
            ("the chair", statuses.iter().filter(|s| s.holds_proposer_lease).count()),
            ("the right to step aside", statuses.iter().filter(|s| s.holds_unready_lease).count()),
        ] {
            if holders > 1 {
                self.outcome.violations.push(format!("{lease} is held by {holders} at {now}"));
            }
        }
        // A paused node admits nothing.
        let running = self.nodes.iter().filter(|node| !node.paused && node.coordinator.is_some());
        let total_share: f64 = running.map(|node| node.limit_share).sum();
        self.outcome.max_total_share = self.outcome.max_total_share.max(total_share);
        if total_share > MAX_TOTAL_SHARE + 1e-9 {
            self.outcome.violations.push(format!("all together take {total_share} at {now}"));
        }
    }

    /// Whether all nodes hold their name leases and the same view, with all nodes as members.
    fn agree(&self) -> bool {
        let now = self.net.now;
        let views: Vec<Option<View>> = self
            .nodes
            .iter()
            .map(|node| node.coordinator.as_ref().map(|coordinator| coordinator.status(node.clock(now))))
            .map(|status| status.filter(|status| status.name_lease_left > 0).and_then(|status| status.view))
            .collect();
        let first = &views[0];
        first.as_ref().is_some_and(|view| view.members.len() == self.nodes.len())
            && views.iter().all(|view| view == first)
    }

    /// Steps until the true time `until`; returns true early if an invariant is violated or `stop` holds.
    fn run(&mut self, until: Micros, stop: impl Fn(&Fleet) -> bool) -> bool {
        while self.net.now < until {
            self.step();
            if !self.outcome.violations.is_empty() || stop(self) {
                return true;
            }
        }
        false
    }

    /// Applies the fault `fault` of `line`, whose time is `at`.
    fn apply(&mut self, fault: &Fault, line: &TimeLine, at: Duration) {
        match fault {
            Fault::Kill(node) => self.kill(*node),
            Fault::Start(node) => self.start(*node),
            Fault::Pause(node) => {
                let is_wake =
                    |(later, other): &&(Duration, Fault)| *later >= at && *other == Fault::Wake(*node);
                let wakes_at = line.faults.iter().find(is_wake).map_or(at, |(later, _)| *later);
                self.net.pause(*node, (wakes_at - at).as_micros() as Micros);
                self.nodes[*node].paused = true;
            }
            Fault::Wake(node) => self.nodes[*node].paused = false,
            Fault::Cut(sides) => {
                let sides = sides.clone();
                let side = move |node: usize| sides.iter().position(|side| side.contains(&node));
                self.net.is_cut = Box::new(move |from, to| side(from) != side(to));
            }
            Fault::OneWay(one, other) => {
                let (one, other) = (*one, *other);
                self.net.is_cut = Box::new(move |from, to| (from, to) == (one, other));
            }
            Fault::Weather(weather) => {
                let delay = (300, 300 + weather.delay.1.as_micros() as Micros);
                self.net.conditions =
                    NetworkConditions { loss: weather.loss, duplication: weather.doubled, delay };
            }
            Fault::Heal => {
                self.net.is_cut = Box::new(|_, _| false);
                self.net.conditions = NetworkConditions::default();
            }
            Fault::End(_) | Fault::Servers(..) | Fault::List(..) | Fault::Conduct(..) => {}
        }
    }

    /// Plays the time line of one seed on `count` nodes.
    fn run_time_line(count: usize, seed: u64, span: Duration) -> Outcome {
        let line = TimeLine::drawn(seed, count, 1, span);
        let mut fleet = Fleet::new(count, seed);
        (0..count).for_each(|node| fleet.start(node));
        let start_deadline = fleet.net.now + MAX_START_TIME;
        fleet.run(start_deadline, Fleet::agree);
        if !fleet.agree() {
            fleet.outcome.violations.push("they do not find each other".into());
        }
        let (started, bytes_before) = (fleet.net.now, Fleet::bytes_sent(&fleet.net));
        for (at, fault) in &line.faults {
            fleet.run(started + at.as_micros() as Micros, |_| false);
            fleet.apply(fault, &line, *at);
        }
        let healed_at = fleet.net.now;
        let agreed = fleet.run(healed_at + MAX_WAIT, Fleet::agree) && fleet.agree();
        if !agreed {
            fleet.print_state();
        }
        fleet.outcome.agreed_s = agreed.then(|| (fleet.net.now - healed_at) as f64 / SECOND as f64);
        // An operator evicts a member; it rejoins when the eviction expires.
        if agreed {
            let victim = fleet.names[count - 1];
            fleet.handle_input(0, CoordinatorInput::Propose(Evictions::evict(victim, 3, "by the time line")));
            let evicted =
                |fleet: &Fleet| fleet.decided_views.values().any(|view| Evictions::is_evicted(view, victim));
            let rejoined = |fleet: &Fleet| evicted(fleet) && fleet.agree();
            if !fleet.run(fleet.net.now + MAX_WAIT, rejoined) {
                fleet.print_state();
                fleet.outcome.violations.push("who was put out did not come back".into());
            }
        }
        let seconds = (fleet.net.now - started) as f64 / SECOND as f64;
        fleet.outcome.bytes_per_node_second =
            (Fleet::bytes_sent(&fleet.net) - bytes_before) as f64 / count as f64 / seconds;
        (fleet.outcome.faults, fleet.outcome.views) = (line.faults.len(), fleet.decided_views.len());
        let alive = |m: &dunelink_gossip::MemberView| m.liveness == Liveness::Alive;
        let gossips = fleet.net.nodes.iter().filter_map(|node| node.gossip.as_ref());
        if gossips
            .map(|gossip| gossip.members().iter().filter(|m| alive(m)).count())
            .any(|seen| seen + 1 != count)
        {
            fleet.outcome.violations.push("not all see all".into());
        }
        fleet.outcome
    }

    /// Prints the state of all nodes, for a time line that failed.
    fn print_state(&self) {
        for (index, node) in self.nodes.iter().enumerate() {
            let Some(coordinator) = &node.coordinator else {
                eprintln!("n{index} does not run");
                continue;
            };
            let status = coordinator.status(node.clock(self.net.now));
            let view = status
                .view
                .as_ref()
                .map(|view| (view.generation.round, view.epoch, view.members.len(), &view.facts));
            eprintln!(
                "n{index} paused {} side {:?} name for {} chair {} aside {} part {} view {view:?} sees {}",
                node.paused,
                status.side,
                status.name_lease_left,
                status.holds_proposer_lease,
                status.holds_unready_lease,
                node.limit_share,
                self.net.nodes[index].gossip.as_ref().map_or(0, |gossip| gossip.alive_processes().len())
            );
        }
    }

    fn bytes_sent(net: &Net) -> u64 {
        net.nodes.iter().map(|node| node.bytes_sent).sum()
    }
}

pub(crate) fn run(options: &Options) -> anyhow::Result<()> {
    let span = Duration::from_secs(options.seconds);
    let threads = thread::available_parallelism().map_or(1, |threads| threads.get()) as u64;
    println!(
        "| nodes | time lines | faults | views | promises broken | one view of all after healing, s: median, 0.99, worst | parts, at most | bytes/s a node |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut failed_lines = 0;
    for count in &options.nodes {
        let mut outcomes: Vec<(u64, Outcome)> = thread::scope(|scope| {
            let workers: Vec<_> = (0..threads)
                .map(|first| {
                    scope.spawn(move || {
                        let seeds =
                            (options.seed + first..options.seed + options.lines).step_by(threads as usize);
                        seeds.map(|seed| (seed, Fleet::run_time_line(*count, seed, span))).collect::<Vec<_>>()
                    })
                })
                .collect();
            workers.into_iter().filter_map(|worker| worker.join().ok()).flatten().collect()
        });
        outcomes.sort_by_key(|(seed, _)| *seed);
        for (seed, outcome) in &outcomes {
            outcome.violations.iter().for_each(|what| eprintln!("{count} nodes, seed {seed}: {what}"));
            if outcome.agreed_s.is_none() {
                eprintln!("{count} nodes, seed {seed}: no one view");
            }
        }
        let all = || outcomes.iter().map(|(_, outcome)| outcome);
        let failed = all().filter(|o| !o.violations.is_empty() || o.agreed_s.is_none()).count();
        failed_lines += failed + options.lines as usize - outcomes.len();
        let mut agreed: Vec<f64> = all().filter_map(|outcome| outcome.agreed_s).collect();
        agreed.sort_by(f64::total_cmp);
        let at = |quantile: f64| {
            agreed
                .get((agreed.len().saturating_sub(1) as f64 * quantile) as usize)
                .copied()
                .unwrap_or(f64::NAN)
        };
        println!(
            "| {count} | {} | {} | {} | {failed} | {:.1}, {:.1}, {:.1} | {:.3} | {:.0} |",
            outcomes.len(),
            all().map(|outcome| outcome.faults).sum::<usize>(),
            all().map(|outcome| outcome.views).sum::<usize>(),
            at(0.5),
            at(0.99),
            at(1.0),
            all().map(|outcome| outcome.max_total_share).fold(0.0, f64::max),
            all().map(|outcome| outcome.bytes_per_node_second).sum::<f64>() / outcomes.len().max(1) as f64
        );
    }
    if failed_lines > 0 {
        bail!("{failed_lines} time lines broke a promise");
    }
    Ok(())
}
