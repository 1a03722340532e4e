//! Councils of a fleet in memory and simulated time: that views come about, whatever order they start and ask in.

use dunelink_view::{
    Change, Coordinator, ElectorNames, Evictions, Input, LeaseBounds, LeaseKind, Micros, Output,
    PartitionSide, Process, Refusal, Register, Settings, ViewDelta,
};

const NAMES: [u64; 5] = [1, 2, 3, 4, 5];
const S: Micros = 1_000_000;

struct Net {
    councils: Vec<Coordinator>,
    /// Who can't reach whom.
    cut: Box<dyn Fn(usize, usize) -> bool>,
    now: Micros,
    dice: fastrand::Rng,
    under_way: Vec<(Micros, usize, usize, dunelink_view::FleetMessage)>,
    chairs: Vec<bool>,
}

impl Net {
    fn new(seed: u64) -> Net {
        let council = |name: &u64| {
            let settings = Settings {
                me: Process { name: *name, instance: seed * 31 + name },
                elector_names: ElectorNames::new(NAMES),
                lease_bounds: LeaseBounds { lease: 2 * S, drift_ppm: 500 },
                configured_nodes: NAMES.len(),
                seed: seed * 1_000_003 + name,
            };
            Coordinator::new(settings, 0)
        };
        Net {
            councils: NAMES.iter().map(council).collect(),
            cut: Box::new(|_, _| false),
            now: 0,
            dice: fastrand::Rng::with_seed(seed),
            under_way: Vec::new(),
            chairs: vec![false; NAMES.len()],
        }
    }

    fn tell(&mut self, at: usize, input: Input, seed: u64) {
        let mut out = Vec::new();
        self.councils[at].handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Send(name, wire) => {
                    let to = NAMES.iter().position(|other| *other == name).unwrap();
                    if !(self.cut)(at, to) {
                        let delay = if to == at { 0 } else { self.dice.u64(200..3_000) };
                        self.under_way.push((self.now + delay, at, to, wire));
                    }
                }
                Output::Lease(LeaseKind::Proposer, held, _) => {
                    self.chairs[at] = held;
                    assert!(self.chairs.iter().filter(|held| **held).count() <= 1, "seed {seed}: two chairs");
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, span: Micros, seed: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += 1_000;
            let (due, later) = self.under_way.drain(..).partition(|(at, ..)| *at <= self.now);
            self.under_way = later;
            let due: Vec<_> = due;
            for (_, from, to, wire) in due {
                let process = Process { name: NAMES[from], instance: seed * 31 + NAMES[from] };
                self.tell(to, Input::Received(process, wire), seed);
            }
            for at in 0..NAMES.len() {
                let process =
                    |other: usize| Process { name: NAMES[other], instance: seed * 31 + NAMES[other] };
                if self.now.is_multiple_of(200_000) {
                    let there = (0..NAMES.len()).filter(|other| !(self.cut)(*other, at) && *other != at);
                    self.tell(at, Input::AliveProcesses(there.map(process).collect()), seed);
                } else {
                    self.tell(at, Input::Tick, seed);
                }
            }
        }
    }
}

/// All electors wait for the same time and ask at once: the chair must not stay split among them.
#[test]
fn a_view_of_all_comes_about_soon_and_again_after_a_cut() {
    for seed in 1..=40 {
        let mut net = Net::new(seed);
        net.run(10 * S, seed);
        for council in &net.councils {
            let stands = council.status(net.now);
            assert_eq!(stands.view.map(|view| view.members.len()), Some(5), "seed {seed}");
            assert!(
                stands.name_lease_left > 0 && (stands.limit_share - 0.2).abs() < 1e-9,
                "seed {seed}: {}",
                stands.limit_share
            );
        }
        net.cut = Box::new(|from, to| (from < 2) != (to < 2));
        net.run(6 * S, seed);
        let stands: Vec<_> = net.councils.iter().map(|council| council.status(net.now)).collect();
        assert!(
            stands[..2].iter().all(|s| s.side == PartitionSide::Minority && s.name_lease_left == 0),
            "seed {seed}"
        );
        assert!(stands[2..].iter().all(|s| s.view.as_ref().unwrap().members.len() == 3), "seed {seed}");
        assert!(
            stands.iter().map(|s| s.limit_share).sum::<f64>() <= dunelink_view::MAX_TOTAL_SHARE,
            "seed {seed}"
        );
        net.cut = Box::new(|_, _| false);
        net.run(5 * S, seed);
        let whole = net.councils.iter().all(|c| c.status(net.now).view.unwrap().members.len() == 5);
        assert!(whole, "seed {seed}");
    }
}

fn name_of(at: usize) -> u64 {
    NAMES[at]
}

fn members(net: &Net, at: usize) -> Vec<u64> {
    net.councils[at].status(net.now).view.map(|view| view.members.into_keys().collect()).unwrap_or_default()
}

#[test]
fn who_is_put_out_holds_nothing_and_comes_back_when_the_time_is_over() {
    for seed in 1..=10 {
        let mut net = Net::new(seed);
        net.run(7 * S, seed);
        net.tell(2, Input::Propose(Evictions::evict(name_of(4), 6, "disk")), seed);
        net.run(3 * S, seed);
        for at in 0..5 {
            assert_eq!(members(&net, at), NAMES[..4], "seed {seed}");
            let view = net.councils[at].status(net.now).view.unwrap();
            assert_eq!(Evictions::evicted(&view).collect::<Vec<_>>(), [(5, 6, "disk")]);
            assert_eq!(view.electors.len(), 5, "it still votes");
        }
        assert!(
            net.councils[4].status(net.now).limit_share <= dunelink_view::MIN_TOTAL_SHARE,
            "its part is the floor"
        );
        net.run(6 * S, seed);
        assert_eq!(members(&net, 0), NAMES, "seed {seed}: back by the chair's clock");
        net.tell(1, Input::Propose(Evictions::evict(name_of(0), 600, "")), seed);
        net.run(2 * S, seed);
        assert_eq!(members(&net, 3), NAMES[1..]);
        net.tell(3, Input::Propose(Evictions::restore(name_of(0))), seed);
        net.run(3 * S, seed);
        assert_eq!(members(&net, 3), NAMES);
    }
}

#[test]
fn what_can_not_be_decided_is_refused_with_the_reason_and_stands_in_nobodys_way() {
    let seed = 3;
    let mut net = Net::new(seed);
    assert_eq!(net.councils[0].validate(&Evictions::restore(1)), Err(Refusal::NoView));
    net.run(7 * S, seed);
    let may = |net: &Net, change: &Change| net.councils[0].validate(change);
    assert_eq!(may(&net, &Evictions::restore(1)), Err(Refusal::NotEvicted));
    assert_eq!(may(&net, &Evictions::evict(1, 0, "")), Err(Refusal::InvalidEviction));
    assert_eq!(may(&net, &Evictions::evict(1, 5, &"x".repeat(41))), Err(Refusal::InvalidEviction));
    for name in [1, 2] {
        assert_eq!(may(&net, &Evictions::evict(name, 600, "")), Ok(()));
        net.tell(0, Input::Propose(Evictions::evict(name, 600, "")), seed);
        net.run(2 * S, seed);
    }
    assert_eq!(may(&net, &Evictions::evict(3, 5, "")), Err(Refusal::TooFewLeft));
    // Who does not ask first is told, and what is wanted after that is decided all the same.
    net.tell(0, Input::Propose(Evictions::evict(3, 600, "")), seed);
    net.tell(0, Input::Propose(Change::Set("a".into(), "b".into())), seed);
    net.run(3 * S, seed);
    let view = net.councils[3].status(net.now).view.unwrap();
    assert_eq!((members(&net, 3), view.facts.get("a").map(String::as_str)), (NAMES[2..].to_vec(), Some("b")));
}

#[test]
fn one_at_a_time_steps_aside() {
    for seed in 1..=20 {
        let mut net = Net::new(seed);
        net.run(7 * S, seed);
        (0..3).for_each(|at| net.tell(at, Input::WantUnready(true), seed));
        let aside = |net: &Net| {
            let held = net.councils.iter().enumerate().filter(|(_, c)| c.status(net.now).holds_unready_lease);
            held.map(|(at, _)| at).collect::<Vec<_>>()
        };
        let mut met = std::collections::BTreeSet::new();
        // Each gets it in its turn, once the one before gives it back.
        for _ in 0..3 {
            net.run(6 * S, seed);
            let held = aside(&net);
            assert_eq!(held.len(), 1, "seed {seed}: {held:?}");
            met.insert(held[0]);
            net.tell(held[0], Input::WantUnready(false), seed);
            assert_eq!(aside(&net), [0; 0]);
        }
        assert_eq!(met.len(), 3, "seed {seed}");
    }
}

#[test]
fn a_view_tells_what_is_new_in_it() {
    let seed = 5;
    let mut net = Net::new(seed);
    net.run(7 * S, seed);
    let before = net.councils[0].status(net.now).view.unwrap();
    assert_eq!(before.changes_since(None), [ViewDelta::Founded]);
    net.tell(0, Input::Propose(Evictions::evict(5, 600, "x")), seed);
    net.run(3 * S, seed);
    let after = net.councils[0].status(net.now).view.unwrap();
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
fn many_come_and_go_by_one_view_that_changes_nothing_of_who_votes() {
    let seed = 4;
    let mut net = Net::new(seed);
    net.run(7 * S, seed);
    let before = net.councils[0].status(net.now).view.unwrap();
    let process = |name: u64| Process { name, instance: 77 };
    let gone = |name: u64| Process { name, instance: before.members[&name] };
    let after =
        before.apply(&Change::Move(vec![process(8), process(9)], vec![gone(4), process(5)]), false).unwrap();
    // What names another process than the one that is a member takes nobody out.
    assert_eq!(after.members.keys().copied().collect::<Vec<_>>(), [1, 2, 3, 5, 8, 9]);
    assert_eq!(
        (&after.electors, &after.previous_electors, after.epoch),
        (&before.electors, &before.electors, before.epoch + 1)
    );
    // Two that were cut off come back by one.
    net.cut = Box::new(|from, to| (from < 2) != (to < 2));
    net.run(6 * S, seed);
    let few = net.councils[3].status(net.now).view.unwrap();
    assert_eq!(few.members.len(), 3);
    net.cut = Box::new(|_, _| false);
    net.run(3 * S, seed);
    let all = net.councils[3].status(net.now).view.unwrap();
    assert_eq!((all.members.len(), all.epoch), (5, few.epoch + 1));
}

#[test]
fn what_fuzzing_kept_makes_a_council_hold_nothing() {
    let bounds = LeaseBounds { lease: 2 * S, drift_ppm: 500 };
    let mut words = 0;
    for bytes in testkit::corpus("fleet_words").iter().filter(|bytes| !bytes.is_empty()) {
        let from = Process { name: u64::from(bytes[0] % 5), instance: u64::from(bytes[0] / 5) };
        let Ok(wires) = postcard::from_bytes::<Vec<dunelink_view::FleetMessage>>(&bytes[1..]) else {
            continue;
        };
        let me = Process { name: 1, instance: 7 };
        let mut council = Coordinator::new(
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
        for wire in wires {
            words += 1;
            council.handle(now, Input::Received(from, wire), &mut out);
            now += S / 10;
            council.handle(now, Input::Tick, &mut out);
        }
        let standing = council.status(now);
        assert!(
            !standing.holds_proposer_lease && standing.name_lease_left == 0 && standing.limit_share <= 1.0
        );
    }
    assert!(words > 0, "some of them are words");
}

/// Who proposes after one with a higher number did must not be refused by its own promise.
#[test]
fn whoever_proposes_last_the_next_may_be_anyone() {
    let process = |name: u64| Process { name, instance: 40 + name };
    let names = ElectorNames::new([1, 2, 3]);
    let mut registers: Vec<Register> =
        (1..=3).map(|name| Register::new(process(name), names.clone())).collect();
    registers.iter_mut().for_each(Register::allow_founding);
    let mut propose = |by: usize, change: Option<Change>| {
        let mut out = Vec::new();
        registers[by].propose(change, &mut out);
        let mut under_way: Vec<(usize, u64, _)> =
            out.into_iter().map(|(to, message)| (by, to, message)).collect();
        while !under_way.is_empty() {
            for (from, to, message) in std::mem::take(&mut under_way) {
                let (at, mut out) = (to as usize - 1, Vec::new());
                registers[at].handle(process(from as u64 + 1), message, &mut out);
                under_way.extend(out.into_iter().map(|(to, message)| (at, to, message)));
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
