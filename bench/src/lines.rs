//! Random time lines of faults over gossip and councils together, in memory and in simulated time: what the fleet
//! promises is held against every step. The same crates as in the daemon, with clocks that are apart and drift.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use anyhow::bail;
use clap::Args;
use dunelink::consensus::{
    Coordinator, ElectorNames, Evictions, FleetMessage, Generation, Input as Told, LeaseBounds, LeaseKind,
    MAX_TOTAL_SHARE, Micros, Output, Process, Settings, View,
};
use dunelink_gossip::sim::{Net, NetworkConditions};
use dunelink_gossip::{Input, Liveness, MemberId};
use testkit::rig::faults::{Fault, TimeLine};

const S: Micros = 1_000_000;
/// How often councils are looked at, and promises held against what is.
const STEP: Micros = S / 100;
/// How often they are told who is there.
const THERE: Micros = S / 5;
const BOUNDS: LeaseBounds = LeaseBounds { lease: 2 * S, drift_ppm: 500 };
/// By how many millionths clocks are fast or slow: within what the bounds allow.
const DRIFTS: i64 = 400;
/// All have started and found each other by then.
const STARTS: Micros = 20 * S;
/// Nothing is waited for longer.
const WAIT: Micros = 60 * S;

/// What `lines` is told.
#[derive(Args)]
pub(crate) struct Options {
    /// How many nodes.
    #[arg(long, value_delimiter = ',', default_values_t = [5, 9, 16])]
    nodes: Vec<usize>,
    /// Time lines for each number of nodes.
    #[arg(long, default_value_t = 500)]
    lines: u64,
    /// Seconds of each.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

struct Node {
    council: Option<Coordinator>,
    process: Process,
    /// By how many millionths its clock is fast, and how far ahead it is.
    drift: i64,
    ahead: Micros,
    paused: bool,
    there_at: Micros,
    part: f64,
    wants_aside: bool,
}

/// What came of one time line.
#[derive(Default)]
struct Outcome {
    faults: usize,
    views: usize,
    broken: Vec<String>,
    /// Seconds from the mending of all to one view of all.
    agreed: Option<f64>,
    most: f64,
    /// Bytes a second a node.
    bytes: f64,
}

struct Fleet {
    net: Net,
    nodes: Vec<Node>,
    names: Vec<u64>,
    electors: ElectorNames,
    dice: fastrand::Rng,
    decided: BTreeMap<(Generation, u64), View>,
    outcome: Outcome,
}

impl Node {
    /// What its clock shows at a true time.
    fn clock(&self, now: Micros) -> Micros {
        (now as i64 + now as i64 / 1_000_000 * self.drift) as Micros + self.ahead
    }
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Fleet {
        let mut dice = fastrand::Rng::with_seed(seed);
        let names: Vec<u64> = (0..count).map(|node| MemberId::of(&format!("n{node}")).0).collect();
        let node = |_| Node {
            council: None,
            process: Process::default(),
            drift: dice.i64(-DRIFTS..=DRIFTS),
            ahead: dice.u64(..10_000 * S),
            paused: false,
            there_at: 0,
            part: 0.0,
            wants_aside: false,
        };
        let nodes = (0..count).map(node).collect();
        let electors = ElectorNames::new(names.iter().copied().take(5));
        let net = Net::new(count, seed, |_, _| {});
        let (decided, outcome) = (BTreeMap::new(), Outcome::default());
        Fleet { net, nodes, names, electors, dice, decided, outcome }
    }

    fn start(&mut self, at: usize) {
        self.net.start(at);
        let now = self.nodes[at].clock(self.net.now);
        let Some((id, instance)) = self.net.nodes[at].gossip.as_ref().map(|gossip| gossip.process()) else {
            return;
        };
        let me = Process { name: id.0, instance };
        let settings = Settings {
            me,
            elector_names: self.electors.clone(),
            lease_bounds: BOUNDS,
            configured_nodes: self.nodes.len(),
            seed: instance,
        };
        let node = &mut self.nodes[at];
        (node.council, node.process) = (Some(Coordinator::new(settings, now)), me);
        (node.part, node.wants_aside, node.there_at) = (0.0, false, 0);
    }

    fn kill(&mut self, at: usize) {
        self.net.kill(at);
        self.nodes[at].council = None;
    }

    fn tell(&mut self, at: usize, input: Told) {
        let now = self.nodes[at].clock(self.net.now);
        let (mut inputs, mut said): (Vec<Told>, BTreeMap<u64, Vec<FleetMessage>>) =
            (vec![input], BTreeMap::new());
        while !inputs.is_empty() {
            let mut out = Vec::new();
            let Some(council) = &mut self.nodes[at].council else { return };
            inputs.drain(..).for_each(|input| council.handle(now, input, &mut out));
            for output in out {
                match output {
                    Output::Send(name, wire) if name == self.names[at] => {
                        inputs.push(Told::Received(self.nodes[at].process, wire));
                    }
                    Output::Send(name, wire) => said.entry(name).or_default().push(wire),
                    Output::LimitShare(part) => self.nodes[at].part = part,
                    Output::Decided(view) => self.decided(view),
                    Output::Lease(LeaseKind::Unready, held, _) => self.nodes[at].wants_aside = held,
                    Output::PartitionSide(_) | Output::Lease(..) | Output::Rejected(_) => {}
                }
            }
        }
        for (name, wires) in said {
            // As few packets as they fit would be one or two; each by itself is the harder case.
            for pair in wires.chunks(2) {
                if let Ok(bytes) = postcard::to_stdvec(pair) {
                    self.net.input(at, Input::SendPayload(MemberId(name), bytes));
                }
            }
        }
    }

    fn decided(&mut self, view: View) {
        let known = self.decided.entry((view.generation, view.epoch)).or_insert_with(|| view.clone());
        if *known != view {
            self.outcome.broken.push(format!("two views of one epoch: {known:?} and {view:?}"));
        }
    }

    fn step(&mut self) {
        self.net.run_until(self.net.now + STEP, &|_, _| Vec::new());
        for (at, from, instance, bytes) in std::mem::take(&mut self.net.payloads) {
            let process = Process { name: from.0, instance };
            for wire in postcard::from_bytes::<Vec<FleetMessage>>(&bytes).unwrap_or_default() {
                self.tell(at, Told::Received(process, wire));
            }
        }
        for at in 0..self.nodes.len() {
            if self.nodes[at].paused || self.nodes[at].council.is_none() {
                continue;
            }
            self.tell(at, Told::Tick);
            if self.net.now - self.nodes[at].there_at < THERE {
                continue;
            }
            self.nodes[at].there_at = self.net.now;
            let there =
                self.net.nodes[at].gossip.as_ref().map(|gossip| gossip.alive_processes()).unwrap_or_default();
            let there = there.into_iter().map(|(id, instance)| Process { name: id.0, instance });
            self.tell(at, Told::AliveProcesses(there.collect()));
            // Now and then one wants to step aside, or does not any more.
            if self.dice.u8(..) < 4 {
                let wants = !self.nodes[at].wants_aside;
                self.nodes[at].wants_aside = wants;
                self.tell(at, Told::WantUnready(wants));
            }
        }
        self.hold();
    }

    /// The promises, by true time.
    fn hold(&mut self) {
        let now = self.net.now;
        let standing = |node: &Node| node.council.as_ref().map(|council| council.status(node.clock(now)));
        let stand: Vec<_> = self.nodes.iter().filter_map(standing).collect();
        for (what, held) in [
            ("the chair", stand.iter().filter(|s| s.holds_proposer_lease).count()),
            ("the right to step aside", stand.iter().filter(|s| s.holds_unready_lease).count()),
        ] {
            if held > 1 {
                self.outcome.broken.push(format!("{what} is held by {held} at {now}"));
            }
        }
        // One that stands still takes nothing.
        let awake = self.nodes.iter().filter(|node| !node.paused && node.council.is_some());
        let parts: f64 = awake.map(|node| node.part).sum();
        self.outcome.most = self.outcome.most.max(parts);
        if parts > MAX_TOTAL_SHARE + 1e-9 {
            self.outcome.broken.push(format!("all together take {parts} at {now}"));
        }
    }

    fn agree(&self) -> bool {
        let now = self.net.now;
        let views: Vec<Option<View>> = self
            .nodes
            .iter()
            .map(|node| node.council.as_ref().map(|council| council.status(node.clock(now))))
            .map(|standing| {
                standing.filter(|standing| standing.name_lease_left > 0).and_then(|standing| standing.view)
            })
            .collect();
        let first = &views[0];
        first.as_ref().is_some_and(|view| view.members.len() == self.nodes.len())
            && views.iter().all(|view| view == first)
    }

    fn run(&mut self, until: Micros, stop: impl Fn(&Fleet) -> bool) -> bool {
        while self.net.now < until {
            self.step();
            if !self.outcome.broken.is_empty() || stop(self) {
                return true;
            }
        }
        false
    }

    fn cause(&mut self, fault: &Fault, line: &TimeLine, at: Duration) {
        match fault {
            Fault::Kill(node) => self.kill(*node),
            Fault::Start(node) => self.start(*node),
            Fault::Pause(node) => {
                let wakes =
                    |(later, other): &&(Duration, Fault)| *later >= at && *other == Fault::Wake(*node);
                let wakes = line.faults.iter().find(wakes).map_or(at, |(later, _)| *later);
                self.net.pause(*node, (wakes - at).as_micros() as Micros);
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

    fn play(count: usize, seed: u64, span: Duration) -> Outcome {
        let line = TimeLine::drawn(seed, count, 1, span);
        let mut fleet = Fleet::new(count, seed);
        (0..count).for_each(|node| fleet.start(node));
        let begins = fleet.net.now + STARTS;
        fleet.run(begins, Fleet::agree);
        if !fleet.agree() {
            fleet.outcome.broken.push("they do not find each other".into());
        }
        let (begins, bytes) = (fleet.net.now, Fleet::bytes(&fleet.net));
        for (at, fault) in &line.faults {
            fleet.run(begins + at.as_micros() as Micros, |_| false);
            fleet.cause(fault, &line, *at);
        }
        let healed = fleet.net.now;
        let agreed = fleet.run(healed + WAIT, Fleet::agree) && fleet.agree();
        if !agreed {
            fleet.show();
        }
        fleet.outcome.agreed = agreed.then(|| (fleet.net.now - healed) as f64 / S as f64);
        // Operators put one out, and it comes back when its time is over.
        if agreed {
            let victim = fleet.names[count - 1];
            fleet.tell(0, Told::Propose(Evictions::evict(victim, 3, "by the time line")));
            let out = |fleet: &Fleet| fleet.decided.values().any(|view| Evictions::is_evicted(view, victim));
            let back = |fleet: &Fleet| out(fleet) && fleet.agree();
            if !fleet.run(fleet.net.now + WAIT, back) {
                fleet.show();
                fleet.outcome.broken.push("who was put out did not come back".into());
            }
        }
        let seconds = (fleet.net.now - begins) as f64 / S as f64;
        fleet.outcome.bytes = (Fleet::bytes(&fleet.net) - bytes) as f64 / count as f64 / seconds;
        (fleet.outcome.faults, fleet.outcome.views) = (line.faults.len(), fleet.decided.len());
        let alive = |m: &dunelink_gossip::MemberView| m.liveness == Liveness::Alive;
        let known = fleet.net.nodes.iter().filter_map(|node| node.gossip.as_ref());
        if known
            .map(|gossip| gossip.members().iter().filter(|m| alive(m)).count())
            .any(|seen| seen + 1 != count)
        {
            fleet.outcome.broken.push("not all see all".into());
        }
        fleet.outcome
    }

    /// How all stand, for a time line that failed.
    fn show(&self) {
        for (at, node) in self.nodes.iter().enumerate() {
            let Some(council) = &node.council else {
                eprintln!("n{at} does not run");
                continue;
            };
            let stands = council.status(node.clock(self.net.now));
            let view = stands
                .view
                .as_ref()
                .map(|view| (view.generation.round, view.epoch, view.members.len(), &view.facts));
            eprintln!(
                "n{at} paused {} side {:?} name for {} chair {} aside {} part {} view {view:?} sees {}",
                node.paused,
                stands.side,
                stands.name_lease_left,
                stands.holds_proposer_lease,
                stands.holds_unready_lease,
                node.part,
                self.net.nodes[at].gossip.as_ref().map_or(0, |gossip| gossip.alive_processes().len())
            );
        }
    }

    fn bytes(net: &Net) -> u64 {
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
    let mut broken = 0;
    for count in &options.nodes {
        let mut outcomes: Vec<(u64, Outcome)> = thread::scope(|scope| {
            let played: Vec<_> = (0..threads)
                .map(|first| {
                    scope.spawn(move || {
                        let seeds =
                            (options.seed + first..options.seed + options.lines).step_by(threads as usize);
                        seeds.map(|seed| (seed, Fleet::play(*count, seed, span))).collect::<Vec<_>>()
                    })
                })
                .collect();
            played.into_iter().filter_map(|one| one.join().ok()).flatten().collect()
        });
        outcomes.sort_by_key(|(seed, _)| *seed);
        for (seed, outcome) in &outcomes {
            outcome.broken.iter().for_each(|what| eprintln!("{count} nodes, seed {seed}: {what}"));
            if outcome.agreed.is_none() {
                eprintln!("{count} nodes, seed {seed}: no one view");
            }
        }
        let all = || outcomes.iter().map(|(_, outcome)| outcome);
        let failed = all().filter(|o| !o.broken.is_empty() || o.agreed.is_none()).count();
        broken += failed + options.lines as usize - outcomes.len();
        let mut agreed: Vec<f64> = all().filter_map(|outcome| outcome.agreed).collect();
        agreed.sort_by(f64::total_cmp);
        let at = |part: f64| {
            agreed.get((agreed.len().saturating_sub(1) as f64 * part) as usize).copied().unwrap_or(f64::NAN)
        };
        println!(
            "| {count} | {} | {} | {} | {failed} | {:.1}, {:.1}, {:.1} | {:.3} | {:.0} |",
            outcomes.len(),
            all().map(|outcome| outcome.faults).sum::<usize>(),
            all().map(|outcome| outcome.views).sum::<usize>(),
            at(0.5),
            at(0.99),
            at(1.0),
            all().map(|outcome| outcome.most).fold(0.0, f64::max),
            all().map(|outcome| outcome.bytes).sum::<f64>() / outcomes.len().max(1) as f64
        );
    }
    if broken > 0 {
        bail!("{broken} time lines broke a promise");
    }
    Ok(())
}
