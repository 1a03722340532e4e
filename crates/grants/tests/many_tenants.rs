//! Many tenants before many nodes: most requests are the first of their tenant at their node.

use std::collections::HashMap;

use dunelink_grants::{Allocator, QuotaBounds, QuotaGate, TenantQuota};

const SECOND: u64 = 1_000_000;
const STEP: u64 = 5_000;
/// Time between two exchanges with the allocator; what it answers arrives one exchange later.
const EXCHANGE: u64 = 250_000;
const REQUEST: f64 = 9_000.0;
const BOUNDS: QuotaBounds = QuotaBounds { window_s: 8.0, overshoot: 0.1, slack: 110_000.0 };

struct Fleet {
    quotas: Vec<TenantQuota>,
    gates: Vec<QuotaGate>,
    allocator: Allocator,
    on_its_way: Vec<(usize, dunelink_protocol::GrantUpdate)>,
    /// When a request of each tenant passed.
    passed: HashMap<usize, Vec<u64>>,
    refused: usize,
    random: fastrand::Rng,
    now: u64,
}

impl Fleet {
    fn new(nodes: usize, tenants: usize, rate_per_s: f64) -> Self {
        let quota = |i: usize| TenantQuota { name: format!("bureau-{i}"), rate_per_s, burst: rate_per_s };
        let quotas: Vec<_> = (0..tenants).map(quota).collect();
        let mut random = fastrand::Rng::with_seed(3);
        let mut gates: Vec<_> = (0..nodes).map(|_| QuotaGate::new(BOUNDS, random.u64(..))).collect();
        gates.iter_mut().for_each(|gate| gate.set_tenants(SECOND, &quotas));
        let allocator = Allocator::new(BOUNDS, SECOND);
        let (on_its_way, passed) = (Vec::new(), HashMap::new());
        Self { quotas, gates, allocator, on_its_way, passed, refused: 0, random, now: SECOND }
    }

    /// Plays `seconds` with requests of tenant `i` at `per_s(i)` a second, at any node.
    fn play(&mut self, seconds: u64, per_s: impl Fn(usize) -> f64) {
        let end = self.now + seconds * SECOND;
        while self.now < end {
            self.now += STEP;
            for tenant in 0..self.quotas.len() {
                if self.random.f64() < per_s(tenant) * STEP as f64 / SECOND as f64 {
                    self.request(tenant);
                }
            }
            if self.now.is_multiple_of(EXCHANGE) {
                self.exchange();
            }
        }
    }

    fn request(&mut self, tenant: usize) {
        let node = self.random.usize(..self.gates.len());
        match self.gates[node].admit(self.now, &self.quotas[tenant].name, REQUEST) {
            Ok(()) => self.passed.entry(tenant).or_default().push(self.now),
            Err(_) => self.refused += 1,
        }
    }

    fn exchange(&mut self) {
        for (node, update) in std::mem::take(&mut self.on_its_way) {
            self.gates[node].apply(self.now, &update);
        }
        for (i, gate) in self.gates.iter_mut().enumerate() {
            self.allocator.report(self.now, &i.to_string(), &gate.demand(self.now));
        }
        let updates = self.allocator.allocate(self.now, &self.quotas, 1);
        let numbered = updates.into_iter().map(|(node, update)| (node.parse().expect("a number"), update));
        self.on_its_way = numbered.collect();
    }

    fn count(&self) -> usize {
        self.passed.values().map(Vec::len).sum()
    }

    fn assert_within(&self, tenant: usize) {
        let window = (BOUNDS.window_s * SECOND as f64) as u64;
        let Some(passed) = self.passed.get(&tenant) else { return };
        let count = |end: &u64| passed.iter().filter(|at| *at <= end && *at + window > *end).count();
        let worst = passed.iter().map(count).max().unwrap_or(0) as f64 * REQUEST;
        let quota = &self.quotas[tenant];
        let allowed =
            (quota.rate_per_s * BOUNDS.window_s + quota.burst) * (1.0 + BOUNDS.overshoot) + BOUNDS.slack;
        assert!(worst <= allowed, "{worst} passed in a window, {allowed} are allowed");
    }
}

#[test]
fn the_first_request_of_a_tenant_at_a_node_passes() {
    let mut fleet = Fleet::new(296, 187, 29_000.0);
    fleet.play(1, |_| 0.0);
    fleet.play(15, |_| 0.7);
    assert!(fleet.count() > 1_500);
    let part = fleet.refused as f64 / fleet.count() as f64;
    assert!(part < 0.01, "{part} refused");
}

#[test]
fn a_tenant_among_many_that_asks_for_too_much_is_held_everywhere() {
    for nodes in [58, 296] {
        let mut fleet = Fleet::new(nodes, 100, 29_000.0);
        fleet.play(6, |_| 0.7);
        fleet.play(12, |tenant| if tenant == 7 { 25.0 } else { 0.7 });
        fleet.assert_within(7);
        let late = fleet.passed[&7].iter().filter(|at| **at > 9 * SECOND).count() as f64 * REQUEST;
        assert!(late > 10.0 * 29_000.0 * 0.85, "only {late} passed");
    }
}

#[test]
fn a_new_leader_counts_what_no_leader_has_counted() {
    let mut fleet = Fleet::new(296, 100, 29_000.0);
    fleet.play(6, |_| 0.7);
    for _ in 0..4 {
        fleet.allocator = Allocator::new(BOUNDS, fleet.now);
        fleet.on_its_way.clear();
        fleet.play(2, |tenant| if tenant == 7 { 25.0 } else { 0.7 });
    }
    fleet.assert_within(7);
}
