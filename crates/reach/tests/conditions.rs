//! Conditions of nodes that follow from all nodes' rows, and which nodes report that they are not ready.

use dunelink_reach::{
    Condition, HealthMonitor, Input, Micros, Name, Output, Process, ROW_INTERVAL, Row, Settings,
    ZoneReachability,
};
use proptest::prelude::*;

/// Nodes in simulated time that exchange rows except across cut links; the network grants the unready lease.
struct SimulatedFleet {
    nodes: Vec<HealthMonitor>,
    /// Each node's observations: servers by zone, milliseconds since it heard the server list, and the
    /// increase per second of requests served, requests failed and paused milliseconds.
    observations: Vec<(Vec<ZoneReachability>, Option<u32>, [u64; 3])>,
    is_cut: fn(usize, usize) -> bool,
    conditions: Vec<Condition>,
    holds_unready_lease: Vec<bool>,
    sums: Vec<[u64; 3]>,
    now: Micros,
}

fn reach(zone: &str, answer: u16, silent: u16) -> ZoneReachability {
    ZoneReachability { zone: zone.into(), answering: answer, silent }
}

impl SimulatedFleet {
    fn new(zones: &[&'static str], floor: f64) -> SimulatedFleet {
        let members: Vec<Name> = (0..zones.len() as u64).collect();
        let node = |(at, zone): (usize, &&str)| {
            let me = Process { name: at as u64, instance: 7 };
            let mut health =
                HealthMonitor::new(Settings { me, zone: zone.to_string(), min_ready_fraction: floor }, 0);
            health.handle(0, Input::Members(members.clone()), &mut Vec::new());
            health
        };
        SimulatedFleet {
            nodes: zones.iter().enumerate().map(node).collect(),
            observations: vec![(vec![reach("a", 6, 0), reach("b", 6, 0)], Some(0), [100, 0, 0]); zones.len()],
            is_cut: |_, _| false,
            conditions: vec![Condition::Healthy; zones.len()],
            holds_unready_lease: vec![false; zones.len()],
            sums: vec![[0; 3]; zones.len()],
            now: 0,
        }
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 10 {
            self.now += ROW_INTERVAL / 10;
            for at in 0..self.nodes.len() {
                let (zones, list, per_second) = self.observations[at].clone();
                (0..3).for_each(|sum| self.sums[at][sum] += per_second[sum] / 10);
                let mut out = Vec::new();
                self.nodes[at].handle(self.now, Input::OwnMeasurements(zones, list, self.sums[at]), &mut out);
                self.handle_outputs(at, out);
            }
        }
    }

    fn handle_outputs(&mut self, at: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::SendRow(row) => {
                    let is_cut = self.is_cut;
                    for to in (0..self.nodes.len()).filter(|to| *to != at && !is_cut(at, *to)) {
                        let from = Process { name: at as u64, instance: 7 };
                        let mut out = Vec::new();
                        self.nodes[to].handle(self.now, Input::Received(from, row.clone()), &mut out);
                        self.handle_outputs(to, out);
                    }
                }
                Output::Condition(expected) => self.conditions[at] = expected,
                // One node at a time holds the lease.
                Output::WantUnready(wants) => {
                    let is_free = self.holds_unready_lease.iter().all(|held| !held);
                    self.holds_unready_lease[at] = wants && (is_free || self.holds_unready_lease[at]);
                    let mut out = Vec::new();
                    self.nodes[at].handle(
                        self.now,
                        Input::UnreadyLease(self.holds_unready_lease[at]),
                        &mut out,
                    );
                    self.handle_outputs(at, out);
                }
                Output::Ready(ready) => {
                    assert!(ready || self.holds_unready_lease[at], "n{at} is not ready without the lease")
                }
            }
        }
    }

    fn ready(&self) -> Vec<bool> {
        self.nodes.iter().map(HealthMonitor::is_ready).collect()
    }
}

const ZONES: [&str; 6] = ["a", "a", "a", "b", "b", "b"];

#[test]
fn each_fault_yields_its_condition_at_one_node_only() {
    type Inject = fn(&mut SimulatedFleet);
    let cases: [(Inject, Condition); 7] = [
        (|net| net.is_cut = |from, to| to == 1 && from > 1, Condition::ReceivesNothing),
        (|net| net.is_cut = |from, to| from == 1 && to != 1, Condition::NotReceived),
        (|net| net.is_cut = |from, to| (from == 1) != (to == 1), Condition::CutOff),
        (|net| net.observations[1].2[2] = 300, Condition::Stalls),
        (
            |net| net.observations[1].0 = vec![reach("a", 0, 5), reach("b", 1, 6)],
            Condition::NoServers(String::new()),
        ),
        (
            |net| net.observations[1].0 = vec![reach("a", 6, 0), reach("b", 0, 6)],
            Condition::NoServers("b".into()),
        ),
        (|net| net.observations[1].2 = [50, 50, 0], Condition::FailsRequests),
    ];
    for (inject, expected) in cases {
        let mut net = SimulatedFleet::new(&ZONES, 2.0);
        net.run(10);
        inject(&mut net);
        net.run(15);
        assert_eq!(net.conditions[1], expected);
        let others = [0, 2, 3, 4, 5].iter().all(|at| net.conditions[*at] == Condition::Healthy);
        assert!(others, "{expected}: {:?}", net.conditions);
        if !matches!(expected, Condition::CutOff | Condition::NotReceived) {
            assert_eq!(
                net.nodes[4].matrix().condition(net.now, 1),
                expected,
                "other nodes come to the same result"
            );
        }
        assert_eq!(net.ready(), [true; 6], "all nodes stay ready where the feature is off");
    }
}

#[test]
fn lost_server_list_counts_for_one_node_but_not_for_all() {
    let mut net = SimulatedFleet::new(&ZONES, 0.5);
    net.observations[1].1 = Some(20_000);
    net.run(15);
    assert_eq!((&net.conditions[1], net.ready()[1]), (&Condition::NoServerList, true));
    net.observations.iter_mut().for_each(|observations| observations.1 = Some(20_000));
    net.run(15);
    assert_eq!(net.conditions, vec![Condition::Healthy; 6]);
}

#[test]
fn faults_of_all_nodes_count_for_none() {
    let mut net = SimulatedFleet::new(&ZONES, 0.5);
    net.observations.iter_mut().for_each(|observations| {
        *observations = (vec![reach("a", 0, 6), reach("b", 6, 0)], Some(0), [50, 50, 300])
    });
    net.run(20);
    assert_eq!((&net.conditions, net.ready()), (&vec![Condition::Healthy; 6], vec![true; 6]));
}

#[test]
fn one_way_link_is_reported() {
    let mut net = SimulatedFleet::new(&ZONES, 0.5);
    net.is_cut = |from, to| (from, to) == (2, 4);
    net.run(10);
    for node in [0, 1, 3, 5] {
        assert_eq!(net.nodes[node].matrix().one_way_links(net.now), [(2, 4)], "n{node}");
    }
    assert_eq!(
        net.conditions,
        vec![Condition::Healthy; 6],
        "a single one-way link does not change a condition"
    );
}

#[test]
fn one_unhealthy_node_at_a_time_is_unready_until_recovered() {
    let mut net = SimulatedFleet::new(&ZONES, 0.5);
    net.run(10);
    for at in [1, 2] {
        net.observations[at].0 = vec![reach("a", 0, 6), reach("b", 0, 6)];
    }
    net.run(10);
    assert_eq!(net.ready().iter().filter(|ready| !**ready).count(), 1, "{:?}", net.ready());
    let first = net.ready().iter().position(|ready| !ready).unwrap();
    net.observations[first].0 = vec![reach("a", 6, 0), reach("b", 6, 0)];
    net.run(4);
    assert!(!net.ready()[first], "the node does not return immediately");
    net.run(8);
    assert!(net.ready()[first]);
}

#[test]
fn nodes_stay_ready_where_too_few_would_be_left() {
    // With two nodes in the zone, the other one is exactly half of it, which suffices; without the other,
    // none is left.
    for (zones, floor, becomes_unready) in
        [(&ZONES[1..], 0.5, true), (&ZONES[2..], 0.5, false), (&ZONES[..], 0.9, false)]
    {
        let mut net = SimulatedFleet::new(zones, floor);
        net.run(10);
        net.observations[0].0 = vec![reach("a", 0, 6), reach("b", 0, 6)];
        net.run(10);
        assert_eq!(net.conditions[0], Condition::NoServers(String::new()));
        assert_eq!(net.ready()[0], !becomes_unready, "{zones:?} {floor}");
    }
    // Once the other nodes are gone, the node is ready again, whatever its condition.
    let mut net = SimulatedFleet::new(&ZONES, 0.5);
    net.run(10);
    net.observations[0].0 = vec![reach("a", 0, 6), reach("b", 0, 6)];
    net.run(10);
    assert!(!net.ready()[0]);
    net.is_cut = |from, _| from > 1;
    net.run(10);
    assert!(net.ready()[0]);
}

#[test]
fn rows_of_non_members_and_invalid_rows_are_ignored() {
    let mut net = SimulatedFleet::new(&ZONES, 0.5);
    net.run(5);
    let before = net.nodes[0].clone();
    let too_many_names = Row { receives_from: vec![0; 1000], ..Row::default() };
    let long_zone = Row { zone: "z".repeat(100), ..Row::default() };
    for (name, row) in [(99, Row::default()), (1, too_many_names), (1, long_zone), (0, Row::default())] {
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
    let receives_from = proptest::collection::vec(0..6_u64, 0..6);
    (
        receives_from,
        zones,
        proptest::option::of(any::<u32>()),
        any::<u32>(),
        any::<u32>(),
        0..1001_u16,
        any::<bool>(),
    )
        .prop_map(|(receives_from, zones, list_age_ms, served, failed, stalled_permille, ready)| Row {
            zone: "a".into(),
            receives_from,
            zones,
            list_age_ms,
            served: served / 2,
            failed: failed / 2,
            stalled_permille,
            ready,
        })
}

proptest! {
    /// Rows of other nodes alone cannot make a healthy node report that it is not ready.
    #[test]
    fn false_rows_do_not_make_a_healthy_node_unready(
        rows in proptest::collection::vec((0..6_u64, row()), 0..40)
    ) {
        let mut net = SimulatedFleet::new(&ZONES, 0.5);
        // The node serves all requests and reaches all servers; the other nodes' rows may be false.
        net.run(5);
        let mut out = Vec::new();
        for (at, (name, row)) in rows.into_iter().enumerate() {
            let now = net.now + at as u64 * ROW_INTERVAL / 4;
            let receives_from: Vec<Name> = (0..6).collect();
            let row = Row { receives_from, ..row };
            net.nodes[0].handle(now, Input::Received(Process { name, instance: 7 }, row), &mut out);
            net.nodes[0].handle(now, Input::UnreadyLease(true), &mut out);
        }
        prop_assert!(net.nodes[0].is_ready(), "{:?}", net.nodes[0].condition());
    }

    #[test]
    fn row_roundtrip(row in row()) {
        let bytes = postcard::to_stdvec(&row).unwrap();
        prop_assert!(row.is_valid() && bytes.len() <= 1000);
        prop_assert_eq!(postcard::from_bytes::<Row>(&bytes).ok(), Some(row));
    }
}

#[test]
fn fuzzing_corpus_does_not_affect_readiness() {
    let kept = testkit::corpus("fleet_words");
    let mut rows = 0;
    for bytes in kept.iter().filter(|bytes| !bytes.is_empty()) {
        let from = Process { name: u64::from(bytes[0] % 5), instance: 1 };
        let Ok(row) = postcard::from_bytes::<Row>(&bytes[1..]) else { continue };
        rows += 1;
        let mut net = SimulatedFleet::new(&ZONES, 0.5);
        net.run(3);
        net.nodes[0].handle(net.now, Input::Received(from, row), &mut Vec::new());
        net.run(15);
        assert!(net.nodes[0].is_ready());
    }
    assert!(rows > 0, "some corpus entries parse as rows");
}
