//! Draws from the table of a large pool have the same distribution as a scan of all members, at a bounded
//! cost.

use std::collections::BTreeMap;

use crate::policy::Balancer;
use crate::state::{AliasTable, CapacitySum, Contribution};
use crate::*;

const S: Micros = 1_000_000;

fn settings(max_attempts: u16, cross_zone_price: f64) -> Settings {
    Settings {
        classes: vec![Class {
            target_latency: S,
            target_latency_per_work: 0.0,
            deadline: 60 * S,
            value: 1.0,
            late_value_fraction: 0.2,
            idempotency: Idempotency::Idempotent,
        }],
        max_attempts,
        hedging: true,
        cross_zone_price,
        ..Settings::default()
    }
}

/// Servers of different sizes in two zones, some of them warming up.
fn server_list(count: u64) -> Vec<ServerEntry> {
    (1..=count)
        .map(|id| ServerEntry {
            id,
            state: ServerState::Ready,
            ready_at: if id % 10 == 0 { 95 * S } else { 0 },
            zone: (id % 2) as u8,
            weight: 1.0 + (id % 5) as f64,
            ..ServerEntry::default()
        })
        .collect()
}

struct Node {
    balancer: Balancer,
    now: Micros,
    last_id: RequestId,
}

impl Node {
    fn new(settings: Settings, list: Vec<ServerEntry>) -> Node {
        let mut node = Node { balancer: Balancer::new(settings, 7).unwrap(), now: 100 * S, last_id: 0 };
        node.handle(Event::CachedServerList(list));
        node
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    fn arrive(&mut self) -> Option<(RequestId, ServerId)> {
        self.last_id += 1;
        let id = self.last_id;
        let request =
            Request { id, class: 0, remaining: 60 * S, expected_work: None, key: None, tenant: None };
        self.handle(Event::RequestArrived(request)).into_iter().find_map(|action| match action {
            Action::Send { request, server, .. } if request == id => Some((id, server)),
            _ => None,
        })
    }

    fn end_attempt(&mut self, request: RequestId, outcome: Outcome, elapsed: Micros) {
        let request_finished = outcome == Outcome::Served;
        self.handle(Event::AttemptEnded(AttemptEnd {
            request,
            attempt: 0,
            outcome,
            elapsed,
            request_finished,
        }));
    }

    /// Creates some history: different latency ratios, failures, and attempts in flight.
    fn run_history(&mut self, requests: u64) {
        for number in 0..requests {
            self.now += 500;
            let Some((id, server)) = self.arrive() else { continue };
            match (server + number) % 31 {
                0 => {}
                1..4 => self.end_attempt(id, Outcome::ConnectFailed, 100),
                _ => self.end_attempt(id, Outcome::Served, 100_000 + 40_000 * (server % 4)),
            }
        }
    }
}

/// The chi-squared statistic of two samples of the same size, and the number of cells.
fn chi_squared(one: &BTreeMap<usize, u64>, two: &BTreeMap<usize, u64>) -> (f64, f64) {
    let mut cells: Vec<usize> = one.keys().chain(two.keys()).copied().collect();
    cells.sort_unstable();
    cells.dedup();
    let term = |cell: &usize| {
        let count = |of: &BTreeMap<usize, u64>| of.get(cell).copied().unwrap_or(0) as f64;
        (count(one) - count(two)).powi(2) / (count(one) + count(two))
    };
    (cells.iter().map(term).sum(), cells.len() as f64)
}

/// Compares the distributions of both ways to draw from the same state.
fn compare_draws(cross_zone_price: f64) {
    let mut node = Node::new(settings(9, cross_zone_price), server_list(300));
    node.run_history(3_000);
    let (id, _) = node.arrive().unwrap();
    let pool = usize::from(Settings::default().labels);
    const DRAWS: u64 = 50_000;
    let sample = |max_scan: usize, salt: u64| {
        let (mut firsts, mut seconds) = (BTreeMap::new(), BTreeMap::new());
        for seed in 0..DRAWS {
            let seed_hash = state::hash(seed, salt);
            let (drawn, _) = node.balancer.draw(id, pool, seed_hash, max_scan);
            let (first, second) = drawn.unwrap();
            *firsts.entry(first).or_default() += 1;
            *seconds.entry(second.unwrap()).or_default() += 1;
        }
        (firsts, seconds)
    };
    let (by_scan, by_table) = (sample(usize::MAX, 1), sample(0, 2));
    let cells = by_scan.0.len();
    assert!(cells > 50, "only {cells} servers were drawn");
    for (scan, table) in [(&by_scan.0, &by_table.0), (&by_scan.1, &by_table.1)] {
        let (statistic, cells) = chi_squared(scan, table);
        // The statistic has the mean `cells - 1` and twice that as its variance: five standard deviations.
        assert!(statistic < cells + 5.0 * (2.0 * cells).sqrt(), "chi-squared {statistic} for {cells} cells");
    }
    // The test detects differences: a sample that ignores sizes is far off.
    let uniform: BTreeMap<usize, u64> = by_scan.0.keys().map(|i| (*i, DRAWS / cells as u64)).collect();
    let (statistic, cells) = chi_squared(&by_scan.0, &uniform);
    assert!(
        statistic > 2.0 * (cells + 5.0 * (2.0 * cells).sqrt()),
        "chi-squared {statistic} of the uniform sample"
    );
}

#[test]
fn table_draws_like_a_scan() {
    compare_draws(0.0);
}

#[test]
fn table_draws_like_a_scan_within_a_zone() {
    compare_draws(0.01);
}

#[test]
fn pick_cost_does_not_grow_with_the_fleet() {
    let servers_per_pick = |count: u64| {
        let mut node = Node::new(settings(1, 0.0), server_list(count));
        node.run_history(2_000);
        node.balancer.servers_examined() as f64 / 2_000.0
    };
    let cost_of_100 = servers_per_pick(100);
    for count in [1_000, 10_000] {
        let cost = servers_per_pick(count);
        assert!(cost < 12.0, "{cost} servers examined per pick of {count}");
        assert!(
            cost < 1.5 * cost_of_100,
            "{cost} servers examined per pick of {count}, {cost_of_100} of 100"
        );
    }
}

#[test]
fn the_only_candidate_is_found() {
    let mut node = Node::new(settings(1, 0.0), server_list(400));
    // All but one drain, one event each: the table still contains them until the pools are rebuilt.
    let last = 137;
    for mut entry in server_list(400).into_iter().filter(|entry| entry.id != last) {
        entry.state = ServerState::Draining;
        node.handle(Event::ServerChanges(vec![entry]));
    }
    let (_, server) = node.arrive().unwrap();
    assert_eq!(server, last);
}

#[test]
fn incremental_sums_equal_recomputed_sums() {
    let mut node = Node::new(settings(1, 0.0), server_list(200));
    let mut rng = fastrand::Rng::with_seed(3);
    for round in 0..300 {
        node.now += rng.u64(..200_000);
        let mut entry = server_list(200)[rng.usize(..200)];
        entry.state = [ServerState::Ready, ServerState::Draining, ServerState::Gone][rng.usize(..3)];
        entry.ready_at = if rng.bool() { node.now - rng.u64(..40 * S) } else { entry.ready_at };
        node.handle(Event::ServerChanges(vec![entry]));
        node.run_history(rng.u64(..20));
        node.balancer.check_sums(round);
    }
}

#[test]
fn frequent_list_changes_rebuild_pools_rarely() {
    let mut node = Node::new(settings(1, 0.0), server_list(10_000));
    let (mut timers, mut drained) = (0, std::collections::BTreeSet::new());
    for entry in server_list(5_000) {
        let (id, entry) = (entry.id, ServerEntry { state: ServerState::Draining, ..entry });
        let actions = node.handle(Event::ServerChanges(vec![entry]));
        timers += actions.iter().filter(|a| matches!(a, Action::SetTimer { .. })).count();
        drained.insert(id);
        if id % 100 == 0 {
            let (_, server) = node.arrive().unwrap();
            assert!(!drained.contains(&server), "a request was sent to a draining server");
        }
    }
    assert_eq!(timers, 1, "there is one timer for one rebuild");
}

#[test]
fn alias_table_draws_by_weight() {
    let weights = [0.0, 1.0, 2.0, 0.5, 6.5];
    let table = AliasTable::new(weights.into_iter());
    let mut counts = [0_u32; 5];
    const DRAWS: u32 = 100_000;
    for i in 0..DRAWS {
        counts[table.draw(f64::from(i) / f64::from(DRAWS))] += 1;
    }
    for (count, weight) in counts.iter().zip(weights) {
        assert!((f64::from(*count) - weight / 10.0 * f64::from(DRAWS)).abs() < 10.0, "{counts:?}");
    }
    // Extreme weights still give valid indices.
    for odd in [vec![0.0], vec![0.0; 3], vec![f64::MAX; 2], vec![1e-300, 1.0]] {
        let table = AliasTable::new(odd.iter().copied());
        assert!(table.draw(0.999_999) < odd.len() && table.draw(0.0) < odd.len());
    }
}

#[test]
fn capacity_sum_grows_linearly() {
    let part = |capacity, growth_per_us, updated_at| Contribution {
        capacity,
        growth_per_us,
        updated_at,
        ejected: false,
    };
    let mut sum = CapacitySum::default();
    sum.replace(10, Contribution::default(), part(1.0, 0.5, 10));
    sum.replace(20, Contribution::default(), part(2.0, 0.0, 20));
    assert_eq!(sum.at(30), 1.0 + 10.0 + 2.0);
    sum.replace(30, part(1.0, 0.5, 10), Contribution::default());
    assert_eq!(sum.at(50), 2.0);
}

/// One of many nodes sends a server one or two requests per second. A server that has become slow has to lose
/// its work within a few answers, before it is overloaded.
#[test]
fn few_answers_reveal_a_slow_server_at_many_nodes() {
    for (balancers, slow) in [(100, true), (2, false)] {
        let mut node = Node::new(Settings { balancers, ..settings(3, 0.0) }, server_list(9));
        for _ in 0..5 {
            node.last_id += 1;
            let request = node.last_id;
            let arrived =
                Request { id: request, class: 0, remaining: S, expected_work: None, key: None, tenant: None };
            node.handle(Event::RequestArrived(arrived));
            node.now += S;
            let ended = AttemptEnd {
                request,
                attempt: 0,
                outcome: Outcome::Served,
                elapsed: 900_000,
                request_finished: true,
            };
            node.handle(Event::AttemptEnded(ended));
        }
        let max_ratio = node.balancer.max_latency_ratio();
        assert_eq!(max_ratio > 1.3, slow, "latency ratio {max_ratio} at {balancers} nodes");
    }
}
