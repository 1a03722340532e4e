//! Coordinators of a fleet in memory and simulated time: a view is decided in whatever order the nodes start
//! and send.

use dunelink_view::{
    Change, Coordinator, ElectorNames, Evictions, FleetMessage, Input, LeaseBounds, LeaseKind, Micros,
    Output, PartitionSide, Process, Refusal, Register, Settings, ViewDelta,
};

const NAMES: [u64; 5] = [1, 2, 3, 4, 5];
const S: Micros = 1_000_000;

struct SimulatedFleet {
    coordinators: Vec<Coordinator>,
    /// Whether messages from the first node to the second are dropped.
    is_cut: Box<dyn Fn(usize, usize) -> bool>,
    now: Micros,
    rng: fastrand::Rng,
    in_flight: Vec<(Micros, usize, usize, FleetMessage)>,
    proposers: Vec<bool>,
}

impl SimulatedFleet {
    fn new(seed: u64) -> SimulatedFleet {
        let coordinator = |name: &u64| {
            let settings = Settings {
                me: Process { name: *name, instance: seed * 31 + name },
                elector_names: ElectorNames::new(NAMES),
                lease_bounds: LeaseBounds { lease: 2 * S, drift_ppm: 500 },
                configured_nodes: NAMES.len(),
                seed: seed * 1_000_003 + name,
            };
            Coordinator::new(settings, 0)
        };
        SimulatedFleet {
            coordinators: NAMES.iter().map(coordinator).collect(),
            is_cut: Box::new(|_, _| false),
            now: 0,
            rng: fastrand::Rng::with_seed(seed),
            in_flight: Vec::new(),
            proposers: vec![false; NAMES.len()],
        }
    }

    fn input(&mut self, at: usize, input: Input, seed: u64) {
        let mut out = Vec::new();
        self.coordinators[at].handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Send(name, message) => {
                    let to = NAMES.iter().position(|other| *other == name).unwrap();
                    if !(self.is_cut)(at, to) {
                        let delay = if to == at { 0 } else { self.rng.u64(200..3_000) };
                        self.in_flight.push((self.now + delay, at, to, message));
                    }
                }
                Output::Lease(LeaseKind::Proposer, holders, _) => {
                    self.proposers[at] = holders;
                    assert!(
                        self.proposers.iter().filter(|holders| **holders).count() <= 1,
                        "seed {seed}: two proposers"
                    );
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, span: Micros, seed: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += 1_000;
            let (due, later) = self.in_flight.drain(..).partition(|(at, ..)| *at <= self.now);
            self.in_flight = later;
            let due: Vec<_> = due;
            for (_, from, to, message) in due {
                let process = Process { name: NAMES[from], instance: seed * 31 + NAMES[from] };
                self.input(to, Input::Received(process, message), seed);
            }
            for at in 0..NAMES.len() {
                let process =
                    |other: usize| Process { name: NAMES[other], instance: seed * 31 + NAMES[other] };
                if self.now.is_multiple_of(200_000) {
                    let reachable =
                        (0..NAMES.len()).filter(|other| !(self.is_cut)(*other, at) && *other != at);
                    self.input(at, Input::AliveProcesses(reachable.map(process).collect()), seed);
                } else {
                    self.input(at, Input::Tick, seed);
                }
            }
        }
    }
}

/// All electors wait equally long after their start and then request the proposer lease at the same time: the
/// grants must not stay split among them.
#[test]
fn all_nodes_join_one_view_at_start_and_after_a_partition() {
    for seed in 1..=40 {
        let mut net = SimulatedFleet::new(seed);
        net.run(10 * S, seed);
        for coordinator in &net.coordinators {
            let status = coordinator.status(net.now);
            assert_eq!(status.view.map(|view| view.members.len()), Some(5), "seed {seed}");
            assert!(
                status.name_lease_left > 0 && (status.limit_share - 0.2).abs() < 1e-9,
                "seed {seed}: {}",
                status.limit_share
            );
        }
        net.is_cut = Box::new(|from, to| (from < 2) != (to < 2));
        net.run(6 * S, seed);
        let status: Vec<_> = net.coordinators.iter().map(|coordinator| coordinator.status(net.now)).collect();
        assert!(
            status[..2].iter().all(|s| s.side == PartitionSide::Minority && s.name_lease_left == 0),
            "seed {seed}"
        );
        assert!(status[2..].iter().all(|s| s.view.as_ref().unwrap().members.len() == 3), "seed {seed}");
        assert!(
            status.iter().map(|s| s.limit_share).sum::<f64>() <= dunelink_view::MAX_TOTAL_SHARE,
            "seed {seed}"
        );
        net.is_cut = Box::new(|_, _| false);
        net.run(5 * S, seed);
        let all_joined = net.coordinators.iter().all(|c| c.status(net.now).view.unwrap().members.len() == 5);
        assert!(all_joined, "seed {seed}");
    }
}

fn node_name(at: usize) -> u64 {
    NAMES[at]
}

fn members(net: &SimulatedFleet, at: usize) -> Vec<u64> {
    net.coordinators[at]
        .status(net.now)
        .view
        .map(|view| view.members.into_keys().collect())
        .unwrap_or_default()
}

#[test]
fn evicted_node_loses_its_share_and_returns_after_its_time() {
    for seed in 1..=10 {
        let mut net = SimulatedFleet::new(seed);
        net.run(7 * S, seed);
        net.input(2, Input::Propose(Evictions::evict(node_name(4), 6, "disk")), seed);
        net.run(3 * S, seed);
        for at in 0..5 {
            assert_eq!(members(&net, at), NAMES[..4], "seed {seed}");
            let view = net.coordinators[at].status(net.now).view.unwrap();
            assert_eq!(Evictions::evicted(&view).collect::<Vec<_>>(), [(5, 6, "disk")]);
            assert_eq!(view.electors.len(), 5, "an evicted elector still votes");
        }
        assert!(
            net.coordinators[4].status(net.now).limit_share <= dunelink_view::MIN_TOTAL_SHARE,
            "an evicted node takes the minimum share"
        );
        net.run(6 * S, seed);
        assert_eq!(members(&net, 0), NAMES, "seed {seed}: returned by the proposer's clock");
        net.input(1, Input::Propose(Evictions::evict(node_name(0), 600, "")), seed);
        net.run(2 * S, seed);
        assert_eq!(members(&net, 3), NAMES[1..]);
        net.input(3, Input::Propose(Evictions::restore(node_name(0))), seed);
        net.run(3 * S, seed);
        assert_eq!(members(&net, 3), NAMES);
    }
}

#[test]
fn undecidable_changes_are_refused_and_block_no_others() {
    let seed = 3;
    let mut net = SimulatedFleet::new(seed);
    assert_eq!(net.coordinators[0].validate(&Evictions::restore(1)), Err(Refusal::NoView));
    net.run(7 * S, seed);
    let validate = |net: &SimulatedFleet, change: &Change| net.coordinators[0].validate(change);
    assert_eq!(validate(&net, &Evictions::restore(1)), Err(Refusal::NotEvicted));
    assert_eq!(validate(&net, &Evictions::evict(1, 0, "")), Err(Refusal::InvalidEviction));
    assert_eq!(validate(&net, &Evictions::evict(1, 5, &"x".repeat(41))), Err(Refusal::InvalidEviction));
    for name in [1, 2] {
        assert_eq!(validate(&net, &Evictions::evict(name, 600, "")), Ok(()));
        net.input(0, Input::Propose(Evictions::evict(name, 600, "")), seed);
        net.run(2 * S, seed);
    }
    assert_eq!(validate(&net, &Evictions::evict(3, 5, "")), Err(Refusal::TooFewLeft));
    // Without validation the change is rejected, and changes proposed after it are still decided.
    net.input(0, Input::Propose(Evictions::evict(3, 600, "")), seed);
    net.input(0, Input::Propose(Change::Set("a".into(), "b".into())), seed);
    net.run(3 * S, seed);
    let view = net.coordinators[3].status(net.now).view.unwrap();
    assert_eq!((members(&net, 3), view.facts.get("a").map(String::as_str)), (NAMES[2..].to_vec(), Some("b")));
}

#[test]
fn one_node_at_a_time_holds_the_unready_lease() {
    for seed in 1..=20 {
        let mut net = SimulatedFleet::new(seed);
        net.run(7 * S, seed);
        (0..3).for_each(|at| net.input(at, Input::WantUnready(true), seed));
        let unready_holders = |net: &SimulatedFleet| {
            let holders =
                net.coordinators.iter().enumerate().filter(|(_, c)| c.status(net.now).holds_unready_lease);
            holders.map(|(at, _)| at).collect::<Vec<_>>()
        };
        let mut served = std::collections::BTreeSet::new();
        // Each node gets the lease in turn, once the holder before it has released it.
        for _ in 0..3 {
            net.run(6 * S, seed);
            let holders = unready_holders(&net);
            assert_eq!(holders.len(), 1, "seed {seed}: {holders:?}");
            served.insert(holders[0]);
            net.input(holders[0], Input::WantUnready(false), seed);
            assert_eq!(unready_holders(&net), [0; 0]);
        }
        assert_eq!(served.len(), 3, "seed {seed}");
    }
}

#[test]
fn changes_since_lists_the_differences_of_two_views() {
    let seed = 5;
    let mut net = SimulatedFleet::new(seed);
    net.run(7 * S, seed);
    let before = net.coordinators[0].status(net.now).view.unwrap();
    assert_eq!(before.changes_since(None), [ViewDelta::Founded]);
    net.input(0, Input::Propose(Evictions::evict(5, 600, "x")), seed);
    net.run(3 * S, seed);
    let after = net.coordinators[0].status(net.now).view.unwrap();
    let process = Process { name: 5, instance: seed * 31 + 5 };
    assert_eq!(
        after.changes_since(Some(&before)),
        [ViewDelta::Left(process), ViewDelta::Set("out 5".into())]
    );
    assert_eq!(
        before.changes_since(Some(&after)),
        [ViewDelta::Joined(process), ViewDelta::Cleared("out 5".into())]
    );
}

#[test]
fn one_view_moves_many_members_without_changing_electors() {
    let seed = 4;
    let mut net = SimulatedFleet::new(seed);
    net.run(7 * S, seed);
    let before = net.coordinators[0].status(net.now).view.unwrap();
    let process = |name: u64| Process { name, instance: 77 };
    let current = |name: u64| Process { name, instance: before.members[&name] };
    let after = before
        .apply(&Change::Move(vec![process(8), process(9)], vec![current(4), process(5)]), false)
        .unwrap();
    // Removing a process that is not the current member of its name has no effect.
    assert_eq!(after.members.keys().copied().collect::<Vec<_>>(), [1, 2, 3, 5, 8, 9]);
    assert_eq!(
        (&after.electors, &after.previous_electors, after.epoch),
        (&before.electors, &before.electors, before.epoch + 1)
    );
    // Two nodes that were partitioned return with a single view.
    net.is_cut = Box::new(|from, to| (from < 2) != (to < 2));
    net.run(6 * S, seed);
    let minority_view = net.coordinators[3].status(net.now).view.unwrap();
    assert_eq!(minority_view.members.len(), 3);
    net.is_cut = Box::new(|_, _| false);
    net.run(3 * S, seed);
    let all = net.coordinators[3].status(net.now).view.unwrap();
    assert_eq!((all.members.len(), all.epoch), (5, minority_view.epoch + 1));
}

#[test]
fn fuzzing_corpus_grants_no_leases() {
    let bounds = LeaseBounds { lease: 2 * S, drift_ppm: 500 };
    let mut message_count = 0;
    for bytes in testkit::corpus("fleet_words").iter().filter(|bytes| !bytes.is_empty()) {
        let from = Process { name: u64::from(bytes[0] % 5), instance: u64::from(bytes[0] / 5) };
        let Ok(messages) = postcard::from_bytes::<Vec<FleetMessage>>(&bytes[1..]) else { continue };
        let me = Process { name: 1, instance: 7 };
        let mut coordinator = Coordinator::new(
            Settings {
                me,
                elector_names: ElectorNames::new([1, 2, 3]),
                lease_bounds: bounds,
                configured_nodes: 5,
                seed: 9,
            },
            0,
        );
        let (mut now, mut out) = (3 * S, Vec::new());
        for message in messages {
            message_count += 1;
            coordinator.handle(now, Input::Received(from, message), &mut out);
            now += S / 10;
            coordinator.handle(now, Input::Tick, &mut out);
        }
        let final_status = coordinator.status(now);
        assert!(
            !final_status.holds_proposer_lease
                && final_status.name_lease_left == 0
                && final_status.limit_share <= 1.0
        );
    }
    assert!(message_count > 0, "some corpus entries parse as messages");
}

/// A process that proposes after one with a higher number must not be rejected by its own promise.
#[test]
fn any_process_can_propose_after_any_other() {
    let process = |name: u64| Process { name, instance: 40 + name };
    let names = ElectorNames::new([1, 2, 3]);
    let mut registers: Vec<Register> =
        (1..=3).map(|name| Register::new(process(name), names.clone())).collect();
    registers.iter_mut().for_each(Register::allow_founding);
    let mut propose = |by: usize, change: Option<Change>| {
        let mut out = Vec::new();
        registers[by].propose(change, &mut out);
        let mut in_flight: Vec<(usize, u64, _)> =
            out.into_iter().map(|(to, message)| (by, to, message)).collect();
        while !in_flight.is_empty() {
            for (from, to, message) in std::mem::take(&mut in_flight) {
                let (at, mut out) = (to as usize - 1, Vec::new());
                registers[at].handle(process(from as u64 + 1), message, &mut out);
                in_flight.extend(out.into_iter().map(|(to, message)| (at, to, message)));
            }
        }
        registers.iter().map(|register| register.view().map(|view| view.epoch)).collect::<Vec<_>>()
    };
    assert_eq!(propose(2, None), [Some(1); 3]);
    for (step, by) in [0, 2, 1, 0, 2].into_iter().enumerate() {
        let change = Change::Set("a".into(), step.to_string());
        assert_eq!(propose(by, Some(change)), [Some(step as u64 + 2); 3], "by {}", by + 1);
    }
}
