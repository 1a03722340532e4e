//! What nodes are by what all tell, and who may step aside.

use dunelink_reach::{
    Condition, HealthMonitor, Input, Micros, Name, Output, Process, ROW_INTERVAL, Row, Settings,
    ZoneReachability,
};
use proptest::prelude::*;

/// Nodes in simulated time that tell each other their rows, but where they are cut off; leases as a test
/// gives them.
struct Net {
    nodes: Vec<HealthMonitor>,
    /// What each sees of servers by zone, the list's silence, and of requests and standing still a second.
    sees: Vec<(Vec<ZoneReachability>, Option<u32>, [u64; 3])>,
    cut: fn(usize, usize) -> bool,
    stances: Vec<Condition>,
    aside: Vec<bool>,
    sums: Vec<[u64; 3]>,
    now: Micros,
}

fn reach(zone: &str, answer: u16, silent: u16) -> ZoneReachability {
    ZoneReachability { zone: zone.into(), answering: answer, silent }
}

impl Net {
    fn new(zones: &[&'static str], floor: f64) -> Net {
        let members: Vec<Name> = (0..zones.len() as u64).collect();
        let node = |(at, zone): (usize, &&str)| {
            let me = Process { name: at as u64, instance: 7 };
            let mut health =
                HealthMonitor::new(Settings { me, zone: zone.to_string(), min_ready_fraction: floor }, 0);
            health.handle(0, Input::Members(members.clone()), &mut Vec::new());
            health
        };
        Net {
            nodes: zones.iter().enumerate().map(node).collect(),
            sees: vec![(vec![reach("a", 6, 0), reach("b", 6, 0)], Some(0), [100, 0, 0]); zones.len()],
            cut: |_, _| false,
            stances: vec![Condition::Healthy; zones.len()],
            aside: vec![false; zones.len()],
            sums: vec![[0; 3]; zones.len()],
            now: 0,
        }
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 10 {
            self.now += ROW_INTERVAL / 10;
            for at in 0..self.nodes.len() {
                let (zones, list, each) = self.sees[at].clone();
                (0..3).for_each(|sum| self.sums[at][sum] += each[sum] / 10);
                let mut out = Vec::new();
                self.nodes[at].handle(self.now, Input::OwnMeasurements(zones, list, self.sums[at]), &mut out);
                self.told(at, out);
            }
        }
    }

    fn told(&mut self, at: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::SendRow(row) => {
                    let cut = self.cut;
                    for to in (0..self.nodes.len()).filter(|to| *to != at && !cut(at, *to)) {
                        let from = Process { name: at as u64, instance: 7 };
                        let mut out = Vec::new();
                        self.nodes[to].handle(self.now, Input::Received(from, row.clone()), &mut out);
                        self.told(to, out);
                    }
                }
                Output::Condition(stance) => self.stances[at] = stance,
                // One at a time, as a lease has it.
                Output::WantUnready(wants) => {
                    let free = self.aside.iter().all(|held| !held);
                    self.aside[at] = wants && (free || self.aside[at]);
                    let mut out = Vec::new();
                    self.nodes[at].handle(self.now, Input::UnreadyLease(self.aside[at]), &mut out);
                    self.told(at, out);
                }
                Output::Ready(ready) => assert!(ready || self.aside[at], "n{at} without the right"),
            }
        }
    }

    fn ready(&self) -> Vec<bool> {
        self.nodes.iter().map(HealthMonitor::is_ready).collect()
    }
}

const ZONES: [&str; 6] = ["a", "a", "a", "b", "b", "b"];

#[test]
fn each_kind_of_trouble_has_its_name_and_the_others_are_well() {
    type Make = fn(&mut Net);
    let kinds: [(Make, Condition); 7] = [
        (|net| net.cut = |from, to| to == 1 && from > 1, Condition::ReceivesNothing),
        (|net| net.cut = |from, to| from == 1 && to != 1, Condition::NotReceived),
        (|net| net.cut = |from, to| (from == 1) != (to == 1), Condition::CutOff),
        (|net| net.sees[1].2[2] = 300, Condition::Stalls),
        (|net| net.sees[1].0 = vec![reach("a", 0, 5), reach("b", 1, 6)], Condition::NoServers(String::new())),
        (|net| net.sees[1].0 = vec![reach("a", 6, 0), reach("b", 0, 6)], Condition::NoServers("b".into())),
        (|net| net.sees[1].2 = [50, 50, 0], Condition::FailsRequests),
    ];
    for (make, stance) in kinds {
        let mut net = Net::new(&ZONES, 2.0);
        net.run(10);
        make(&mut net);
        net.run(15);
        assert_eq!(net.stances[1], stance);
        let others = [0, 2, 3, 4, 5].iter().all(|at| net.stances[*at] == Condition::Healthy);
        assert!(others, "{stance}: {:?}", net.stances);
        if !matches!(stance, Condition::CutOff | Condition::NotReceived) {
            assert_eq!(net.nodes[4].matrix().condition(net.now, 1), stance, "the others see it, too");
        }
        assert_eq!(net.ready(), [true; 6], "nobody steps aside where that is off");
    }
}

#[test]
fn a_list_that_one_does_not_hear_is_its_trouble_and_one_that_nobody_hears_is_not() {
    let mut net = Net::new(&ZONES, 0.5);
    net.sees[1].1 = Some(20_000);
    net.run(15);
    assert_eq!((&net.stances[1], net.ready()[1]), (&Condition::NoServerList, true));
    net.sees.iter_mut().for_each(|sees| sees.1 = Some(20_000));
    net.run(15);
    assert_eq!(net.stances, vec![Condition::Healthy; 6]);
}

#[test]
fn what_goes_wrong_everywhere_is_the_fault_of_no_node() {
    let mut net = Net::new(&ZONES, 0.5);
    net.sees
        .iter_mut()
        .for_each(|sees| *sees = (vec![reach("a", 0, 6), reach("b", 6, 0)], Some(0), [50, 50, 300]));
    net.run(20);
    assert_eq!((&net.stances, net.ready()), (&vec![Condition::Healthy; 6], vec![true; 6]));
}

#[test]
fn a_way_that_is_open_in_one_direction_is_named() {
    let mut net = Net::new(&ZONES, 0.5);
    net.cut = |from, to| (from, to) == (2, 4);
    net.run(10);
    for node in [0, 1, 3, 5] {
        assert_eq!(net.nodes[node].matrix().one_way_links(net.now), [(2, 4)], "n{node}");
    }
    assert_eq!(net.stances, vec![Condition::Healthy; 6], "one way of many is no trouble of a node");
}

#[test]
fn the_worst_off_step_aside_one_at_a_time_and_come_back_once_well() {
    let mut net = Net::new(&ZONES, 0.5);
    net.run(10);
    for at in [1, 2] {
        net.sees[at].0 = vec![reach("a", 0, 6), reach("b", 0, 6)];
    }
    net.run(10);
    assert_eq!(net.ready().iter().filter(|ready| !**ready).count(), 1, "{:?}", net.ready());
    let first = net.ready().iter().position(|ready| !ready).unwrap();
    net.sees[first].0 = vec![reach("a", 6, 0), reach("b", 6, 0)];
    net.run(4);
    assert!(!net.ready()[first], "it is not back at the first sign");
    net.run(8);
    assert!(net.ready()[first]);
}

#[test]
fn nobody_steps_aside_where_too_few_would_be_left() {
    // Its zone has one more, and half of two is not over one half.
    for (zones, floor, steps) in
        [(&ZONES[1..], 0.5, true), (&ZONES[2..], 0.5, false), (&ZONES[..], 0.9, false)]
    {
        let mut net = Net::new(zones, floor);
        net.run(10);
        net.sees[0].0 = vec![reach("a", 0, 6), reach("b", 0, 6)];
        net.run(10);
        assert_eq!(net.stances[0], Condition::NoServers(String::new()));
        assert_eq!(net.ready()[0], !steps, "{zones:?} {floor}");
    }
    // Those that are left go: it is ready again, whatever it is.
    let mut net = Net::new(&ZONES, 0.5);
    net.run(10);
    net.sees[0].0 = vec![reach("a", 0, 6), reach("b", 0, 6)];
    net.run(10);
    assert!(!net.ready()[0]);
    net.cut = |from, _| from > 1;
    net.run(10);
    assert!(net.ready()[0]);
}

#[test]
fn rows_of_strangers_and_such_that_hold_too_much_change_nothing() {
    let mut net = Net::new(&ZONES, 0.5);
    net.run(5);
    let before = net.nodes[0].clone();
    let odd = Row { receives_from: vec![0; 1000], ..Row::default() };
    let long = Row { zone: "z".repeat(100), ..Row::default() };
    for (name, row) in [(99, Row::default()), (1, odd), (1, long), (0, Row::default())] {
        net.nodes[0].handle(net.now, Input::Received(Process { name, instance: 1 }, row), &mut Vec::new());
    }
    assert_eq!(net.nodes[0], before);
}

fn row() -> impl Strategy<Value = Row> {
    let zone = ("[ab]{0,1}", 0..20_u16, 0..20_u16).prop_map(|(zone, a, s)| ZoneReachability {
        zone,
        answering: a,
        silent: s,
    });
    let zones = proptest::collection::vec(zone, 0..4);
    let hears = proptest::collection::vec(0..6_u64, 0..6);
    (hears, zones, proptest::option::of(any::<u32>()), any::<u32>(), any::<u32>(), 0..1001_u16, any::<bool>())
        .prop_map(|(hears, zones, list_ms, served, failed, stalled, ready)| Row {
            zone: "a".into(),
            receives_from: hears,
            zones,
            list_age_ms: list_ms,
            served: served / 2,
            failed: failed / 2,
            stalled_permille: stalled,
            ready,
        })
}

proptest! {
    /// Whatever others tell, a node that nobody else can speak for steps aside only by its own finding.
    #[test]
    fn liars_can_not_make_a_node_that_is_well_step_aside(
        rows in proptest::collection::vec((0..6_u64, row()), 0..40)
    ) {
        let mut net = Net::new(&ZONES, 0.5);
        // It serves all and reaches all its servers; what others say of hearing it may still be a lie.
        net.run(5);
        let mut out = Vec::new();
        for (at, (name, row)) in rows.into_iter().enumerate() {
            let now = net.now + at as u64 * ROW_INTERVAL / 4;
            let hears: Vec<Name> = (0..6).collect();
            let row = Row { receives_from: hears, ..row };
            net.nodes[0].handle(now, Input::Received(Process { name, instance: 7 }, row), &mut out);
            net.nodes[0].handle(now, Input::UnreadyLease(true), &mut out);
        }
        prop_assert!(net.nodes[0].is_ready(), "{:?}", net.nodes[0].condition());
    }

    #[test]
    fn a_row_is_read_as_it_was_written(row in row()) {
        let bytes = postcard::to_stdvec(&row).unwrap();
        prop_assert!(row.is_sound() && bytes.len() <= 1000);
        prop_assert_eq!(postcard::from_bytes::<Row>(&bytes).ok(), Some(row));
    }
}

#[test]
fn what_fuzzing_kept_is_taken_in_without_harm() {
    let kept = testkit::corpus("fleet_words");
    let mut rows = 0;
    for bytes in kept.iter().filter(|bytes| !bytes.is_empty()) {
        let from = Process { name: u64::from(bytes[0] % 5), instance: 1 };
        let Ok(row) = postcard::from_bytes::<Row>(&bytes[1..]) else { continue };
        rows += 1;
        let mut net = Net::new(&ZONES, 0.5);
        net.run(3);
        net.nodes[0].handle(net.now, Input::Received(from, row), &mut Vec::new());
        net.run(15);
        assert!(net.nodes[0].is_ready());
    }
    assert!(rows > 0, "some of them are rows");
}
