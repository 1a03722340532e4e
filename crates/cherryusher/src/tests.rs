//! Large pools: what is drawn from a table comes to the same as looking through all members, at a bounded cost.

use std::collections::BTreeMap;

use crate::policy::Balancer;
use crate::state::{Alias, Room, Standing};
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

/// Servers of many sizes in two zones, some of them cold.
fn fleet(count: u64) -> Vec<ServerEntry> {
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
    next: RequestId,
}

impl Node {
    fn new(settings: Settings, list: Vec<ServerEntry>) -> Node {
        let mut node = Node { balancer: Balancer::new(settings, 7).unwrap(), now: 100 * S, next: 0 };
        node.tell(Event::CachedServerList(list));
        node
    }

    fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    fn arrive(&mut self) -> Option<(RequestId, ServerId)> {
        self.next += 1;
        let id = self.next;
        let request =
            Request { id, class: 0, remaining: 60 * S, expected_work: None, key: None, tenant: None };
        self.tell(Event::RequestArrived(request)).into_iter().find_map(|action| match action {
            Action::Send { request, server, .. } if request == id => Some((id, server)),
            _ => None,
        })
    }

    fn end(&mut self, request: RequestId, outcome: Outcome, elapsed: Micros) {
        let request_finished = outcome == Outcome::Served;
        self.tell(Event::AttemptEnded(AttemptEnd {
            request,
            attempt: 0,
            outcome,
            elapsed,
            request_finished,
        }));
    }

    /// Some history: paces that differ, failures, attempts out.
    fn age(&mut self, requests: u64) {
        for number in 0..requests {
            self.now += 500;
            let Some((id, server)) = self.arrive() else { continue };
            match (server + number) % 31 {
                0 => {}
                1..4 => self.end(id, Outcome::ConnectFailed, 100),
                _ => self.end(id, Outcome::Served, 100_000 + 40_000 * (server % 4)),
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

/// Draws both ways from the same states.
fn compare(price: f64) {
    let mut node = Node::new(settings(9, price), fleet(300));
    node.age(3_000);
    let (id, _) = node.arrive().unwrap();
    let pool = usize::from(Settings::default().labels);
    const DRAWS: u64 = 50_000;
    let sample = |scan_most: usize, salt: u64| {
        let (mut firsts, mut seconds) = (BTreeMap::new(), BTreeMap::new());
        for chance in 0..DRAWS {
            let mixed = state::hash(chance, salt);
            let (drawn, _) = node.balancer.draw(id, pool, mixed, scan_most);
            let (first, second) = drawn.unwrap();
            *firsts.entry(first).or_default() += 1;
            *seconds.entry(second.unwrap()).or_default() += 1;
        }
        (firsts, seconds)
    };
    let (by_scan, by_table) = (sample(usize::MAX, 1), sample(0, 2));
    let cells = by_scan.0.len();
    assert!(cells > 50, "{cells} servers can be drawn");
    for (scan, table) in [(&by_scan.0, &by_table.0), (&by_scan.1, &by_table.1)] {
        let (statistic, cells) = chi_squared(scan, table);
        // Mean cells - 1, variance twice that: five deviations.
        assert!(statistic < cells + 5.0 * (2.0 * cells).sqrt(), "{statistic} for {cells} cells");
    }
    // The test can tell: a sample that leaves sizes aside is far off.
    let uniform: BTreeMap<usize, u64> = by_scan.0.keys().map(|i| (*i, DRAWS / cells as u64)).collect();
    let (statistic, cells) = chi_squared(&by_scan.0, &uniform);
    assert!(statistic > 2.0 * (cells + 5.0 * (2.0 * cells).sqrt()), "{statistic}");
}

#[test]
fn a_table_draws_as_looking_through_all_members_does() {
    compare(0.0);
}

#[test]
fn a_table_draws_alike_where_work_stays_in_its_zone() {
    compare(0.01);
}

#[test]
fn a_pick_looks_at_few_servers_however_many_there_are() {
    let steps = |count: u64| {
        let mut node = Node::new(settings(1, 0.0), fleet(count));
        node.age(2_000);
        node.balancer.servers_examined() as f64 / 2_000.0
    };
    let few = steps(100);
    for count in [1_000, 10_000] {
        let many = steps(count);
        assert!(many < 12.0, "{many} servers a pick of {count}");
        assert!(many < 1.5 * few, "{many} of {count}, {few} of 100");
    }
}

#[test]
fn the_one_server_of_many_that_fits_is_found() {
    let mut node = Node::new(settings(1, 0.0), fleet(400));
    // All but a few drain, told one by one: the table still holds them until pools are built anew.
    let last = 137;
    for mut entry in fleet(400).into_iter().filter(|entry| entry.id != last) {
        entry.state = ServerState::Draining;
        node.tell(Event::ServerChanges(vec![entry]));
    }
    let (_, server) = node.arrive().unwrap();
    assert_eq!(server, last);
}

#[test]
fn sums_kept_as_servers_change_are_those_added_up_from_nothing() {
    let mut node = Node::new(settings(1, 0.0), fleet(200));
    let mut dice = fastrand::Rng::with_seed(3);
    for round in 0..300 {
        node.now += dice.u64(..200_000);
        let mut entry = fleet(200)[dice.usize(..200)];
        entry.state = [ServerState::Ready, ServerState::Draining, ServerState::Gone][dice.usize(..3)];
        entry.ready_at = if dice.bool() { node.now - dice.u64(..40 * S) } else { entry.ready_at };
        node.tell(Event::ServerChanges(vec![entry]));
        node.age(dice.u64(..20));
        node.balancer.check_sums(round);
    }
}

#[test]
fn a_list_that_changes_often_is_built_into_pools_seldom() {
    let mut node = Node::new(settings(1, 0.0), fleet(10_000));
    let (mut wakes, mut drained) = (0, std::collections::BTreeSet::new());
    for entry in fleet(5_000) {
        let (id, entry) = (entry.id, ServerEntry { state: ServerState::Draining, ..entry });
        let actions = node.tell(Event::ServerChanges(vec![entry]));
        wakes += actions.iter().filter(|a| matches!(a, Action::SetTimer { .. })).count();
        drained.insert(id);
        if id % 100 == 0 {
            let (_, server) = node.arrive().unwrap();
            assert!(!drained.contains(&server), "nothing new goes to one that drains, built or not");
        }
    }
    assert_eq!(wakes, 1, "one build is due, and it can wait");
}

#[test]
fn an_alias_table_draws_by_weight() {
    let weights = [0.0, 1.0, 2.0, 0.5, 6.5];
    let table = Alias::new(weights.into_iter());
    let mut counts = [0_u32; 5];
    const DRAWS: u32 = 100_000;
    for i in 0..DRAWS {
        counts[table.draw(f64::from(i) / f64::from(DRAWS))] += 1;
    }
    for (count, weight) in counts.iter().zip(weights) {
        assert!((f64::from(*count) - weight / 10.0 * f64::from(DRAWS)).abs() < 10.0, "{counts:?}");
    }
    // Odd weights do no harm.
    for odd in [vec![0.0], vec![0.0; 3], vec![f64::MAX; 2], vec![1e-300, 1.0]] {
        let table = Alias::new(odd.iter().copied());
        assert!(table.draw(0.999_999) < odd.len() && table.draw(0.0) < odd.len());
    }
}

#[test]
fn a_sum_of_growing_parts_grows_with_them() {
    let part = |value, slope, at| Standing { value, slope, at, avoided: false };
    let mut room = Room::default();
    room.replace(10, Standing::default(), part(1.0, 0.5, 10));
    room.replace(20, Standing::default(), part(2.0, 0.0, 20));
    assert_eq!(room.at(30), 1.0 + 10.0 + 2.0);
    room.replace(30, part(1.0, 0.5, 10), Standing::default());
    assert_eq!(room.at(50), 2.0);
}

/// A node of many meets a server once or twice a second: one that has become slow has to lose its work within a few
/// answers, or it is jammed by then.
#[test]
fn where_a_server_is_met_seldom_a_few_answers_tell_its_pace() {
    for (balancers, slow) in [(100, true), (2, false)] {
        let mut node = Node::new(Settings { balancers, ..settings(3, 0.0) }, fleet(9));
        for _ in 0..5 {
            node.next += 1;
            let request = node.next;
            let arrived =
                Request { id: request, class: 0, remaining: S, expected_work: None, key: None, tenant: None };
            node.tell(Event::RequestArrived(arrived));
            node.now += S;
            let ended = AttemptEnd {
                request,
                attempt: 0,
                outcome: Outcome::Served,
                elapsed: 900_000,
                request_finished: true,
            };
            node.tell(Event::AttemptEnded(ended));
        }
        let slowest = node.balancer.slowest();
        assert_eq!(slowest > 1.3, slow, "{slowest} at {balancers} nodes");
    }
}
