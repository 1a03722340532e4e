//! Gates of many nodes before one leader after another, with messages between them that take time.

#![allow(dead_code)] // Each test file uses a part.

use std::collections::HashMap;

use dunelink_grants::{Allocator, QuotaBounds, QuotaGate, TenantQuota};
use dunelink_protocol::{GrantUpdate, NodeDemand};

pub(crate) const SECOND: u64 = 1_000_000;
/// Time between two steps of the world.
pub(crate) const STEP: u64 = 5_000;
/// Time between two exchanges with the leader, unless [`Fleet::exchange_every`] is set; what it answers arrives one
/// exchange later. Slower than that of the programs.
const EXCHANGE: u64 = 250_000;
/// About that of the programs.
pub(crate) const USUAL_EXCHANGE: u64 = 125_000;
/// Units of a request.
pub(crate) const REQUEST: f64 = 9_000.0;
pub(crate) const BOUNDS: QuotaBounds = QuotaBounds { window_s: 8.0, overshoot: 0.1, slack: 110_000.0 };

/// A tenant with a limit.
pub(crate) fn quota(name: &str, rate_per_s: f64) -> TenantQuota {
    TenantQuota { name: name.to_owned(), rate_per_s, burst: rate_per_s }
}

/// A leader that divides the quotas.
pub(crate) struct Leader {
    pub(crate) allocator: Allocator,
    pub(crate) term: u64,
}

/// Nodes with gates before a leader; requests of [`REQUEST`] units arrive at random.
pub(crate) struct Fleet {
    pub(crate) quotas: Vec<TenantQuota>,
    pub(crate) gates: Vec<QuotaGate>,
    /// Nothing while nobody leads.
    pub(crate) leader: Option<Leader>,
    term: u64,
    /// What a leader answered, on its way.
    on_its_way: Vec<(usize, GrantUpdate)>,
    /// What leaders granted that lead no more, and when it arrives.
    late: Vec<(u64, Vec<(usize, GrantUpdate)>)>,
    /// When a request of each tenant passed.
    passed: HashMap<usize, Vec<u64>>,
    pub(crate) refused: usize,
    /// Requests of the first tenant whose clients ask again at another node, and when.
    returning: Vec<u64>,
    /// Whether a refused client of the first tenant asks again, once.
    pub(crate) repeats: bool,
    pub(crate) random: fastrand::Rng,
    pub(crate) now: u64,
    /// Time between two exchanges with the leader.
    pub(crate) exchange_every: u64,
}

impl Fleet {
    /// All start at the same time, with a leader.
    pub(crate) fn new(seed: u64, nodes: usize, quotas: Vec<TenantQuota>) -> Self {
        let mut fleet = Self {
            quotas,
            gates: Vec::new(),
            leader: None,
            term: 0,
            on_its_way: Vec::new(),
            late: Vec::new(),
            passed: HashMap::new(),
            refused: 0,
            returning: Vec::new(),
            repeats: false,
            random: fastrand::Rng::with_seed(seed),
            now: SECOND,
            exchange_every: EXCHANGE,
        };
        for node in 0..nodes {
            let gate = fleet.new_gate();
            fleet.gates.insert(node, gate);
        }
        fleet.elect();
        fleet
    }

    /// All start at the same time, and one tenant has a limit.
    pub(crate) fn of_one(seed: u64, nodes: usize, rate_per_s: f64) -> Self {
        Self::new(seed, nodes, vec![quota("bureau", rate_per_s)])
    }

    fn new_gate(&mut self) -> QuotaGate {
        let mut gate = QuotaGate::new(BOUNDS, self.random.u64(..), self.now);
        gate.set_tenants(self.now, &self.quotas);
        gate
    }

    /// A proxy starts anew: it has forgotten what it let pass.
    pub(crate) fn restart(&mut self, node: usize) {
        self.gates[node] = self.new_gate();
    }

    /// All proxies and the leader start anew.
    pub(crate) fn restart_all(&mut self) {
        (0..self.gates.len()).for_each(|node| self.restart(node));
        self.on_its_way.clear();
        self.elect();
    }

    /// Another leader begins; the one before is returned.
    pub(crate) fn elect(&mut self) -> Option<Leader> {
        self.term += 1;
        let allocator = Allocator::new(BOUNDS, self.term, self.now);
        self.leader.replace(Leader { allocator, term: self.term })
    }

    /// Plays `seconds` with a demand of the first tenant of `times` its rate, uneven over nodes; `in_touch` tells which
    /// nodes reach the leader.
    pub(crate) fn play(&mut self, seconds: u64, times: f64, in_touch: impl Fn(usize) -> bool) {
        self.play_until(self.now + seconds * SECOND, times, in_touch);
    }

    /// The same until a time.
    pub(crate) fn play_until(&mut self, end: u64, times: f64, in_touch: impl Fn(usize) -> bool) {
        let weights: Vec<f64> = (0..self.gates.len()).map(|i| 1.0 + (i % 3) as f64).collect();
        let total: f64 = weights.iter().sum();
        let per_s = self.quotas[0].rate_per_s * times / REQUEST;
        while self.now < end {
            self.now += STEP;
            for (node, weight) in weights.iter().enumerate() {
                if self.random.f64() < per_s * weight / total * STEP as f64 / SECOND as f64 {
                    self.request(0, node);
                }
            }
            self.step(&in_touch);
        }
    }

    /// Plays `seconds` with requests of tenant `i` at `per_s(i)` a second, at any node.
    pub(crate) fn play_tenants(&mut self, seconds: u64, per_s: impl Fn(usize) -> f64) {
        let end = self.now + seconds * SECOND;
        while self.now < end {
            self.now += STEP;
            for tenant in 0..self.quotas.len() {
                if self.random.f64() < per_s(tenant) * STEP as f64 / SECOND as f64 {
                    let node = self.random.usize(..self.gates.len());
                    self.request(tenant, node);
                }
            }
            self.step(&|_| true);
        }
    }

    pub(crate) fn step(&mut self, in_touch: &impl Fn(usize) -> bool) {
        self.ask_again();
        let now = self.now;
        let due: Vec<_> = self.late.extract_if(.., |(at, _)| *at <= now).collect();
        due.into_iter().for_each(|(_, updates)| self.deliver(updates));
        if self.now.is_multiple_of(self.exchange_every) {
            self.exchange(in_touch);
        }
    }

    fn request(&mut self, tenant: usize, node: usize) {
        match self.gates[node].admit(self.now, &self.quotas[tenant].name, REQUEST) {
            Ok(()) => self.passed.entry(tenant).or_default().push(self.now),
            Err(after) if self.repeats => self.returning.push(self.now + after.0),
            Err(_) => self.refused += 1,
        }
    }

    /// Requests that were refused and come back, once, at any node.
    fn ask_again(&mut self) {
        let now = self.now;
        let due: Vec<u64> = self.returning.extract_if(.., |at| *at <= now).collect();
        for _ in due {
            let node = self.random.usize(..self.gates.len());
            match self.gates[node].admit(now, &self.quotas[0].name, REQUEST) {
                Ok(()) => self.passed.entry(0).or_default().push(now),
                Err(_) => self.refused += 1,
            }
        }
    }

    pub(crate) fn exchange(&mut self, in_touch: &impl Fn(usize) -> bool) {
        for (node, update) in std::mem::take(&mut self.on_its_way) {
            if in_touch(node) {
                self.gates[node].apply(self.now, &update);
            }
        }
        let now = self.now;
        let Some(leader) = &mut self.leader else { return };
        let reports: Vec<(usize, NodeDemand)> = self
            .gates
            .iter_mut()
            .enumerate()
            .filter(|(node, _)| in_touch(*node))
            .map(|(node, gate)| (node, gate.demand_report(now)))
            .collect();
        self.on_its_way = leader.exchange(now, &self.quotas, reports);
    }

    /// Delivers grants at once, as they come late from a leader that is none any more.
    pub(crate) fn deliver(&mut self, updates: Vec<(usize, GrantUpdate)>) {
        for (node, update) in updates {
            self.gates[node].apply(self.now, &update);
        }
    }

    /// The same after a delay.
    pub(crate) fn deliver_later(&mut self, delay: u64, updates: Vec<(usize, GrantUpdate)>) {
        self.late.push((self.now + delay, updates));
    }

    pub(crate) fn forget(&mut self) {
        self.passed.clear();
        self.refused = 0;
    }

    /// How many requests passed.
    pub(crate) fn count(&self) -> usize {
        self.passed.values().map(Vec::len).sum()
    }

    /// Units of a tenant that passed after a time.
    pub(crate) fn passed_after(&self, tenant: usize, after: u64) -> f64 {
        let passed = self.passed.get(&tenant).map_or(&[][..], Vec::as_slice);
        passed.iter().filter(|at| **at > after).count() as f64 * REQUEST
    }

    pub(crate) fn refused_part(&self) -> f64 {
        self.refused as f64 / (self.refused + self.count()).max(1) as f64
    }

    /// What passed of a tenant in its worst window, as a part of what is allowed.
    pub(crate) fn worst_part(&self, tenant: usize) -> f64 {
        let window = (BOUNDS.window_s * SECOND as f64) as u64;
        let Some(passed) = self.passed.get(&tenant) else { return 0.0 };
        let (mut oldest, mut most) = (0, 0);
        for (newest, end) in passed.iter().enumerate() {
            while passed[oldest] + window <= *end {
                oldest += 1;
            }
            most = most.max(newest + 1 - oldest);
        }
        let quota = &self.quotas[tenant];
        let allowed =
            (quota.rate_per_s * BOUNDS.window_s + quota.burst) * (1.0 + BOUNDS.overshoot) + BOUNDS.slack;
        most as f64 * REQUEST / allowed
    }

    /// The quota of a tenant was kept in every window.
    pub(crate) fn assert_within(&self, tenant: usize) {
        let part = self.worst_part(tenant);
        assert!(part <= 1.0, "{part} of what is allowed passed in a window");
    }
}

impl Leader {
    /// Takes in reports; what it grants is returned.
    pub(crate) fn exchange(
        &mut self,
        now: u64,
        quotas: &[TenantQuota],
        reports: Vec<(usize, NodeDemand)>,
    ) -> Vec<(usize, GrantUpdate)> {
        for (node, demand) in reports {
            self.allocator.observe_report(now, &node.to_string(), &demand);
        }
        let updates = self.allocator.allocate(now, quotas, self.term);
        updates.into_iter().map(|(node, update)| (node.parse().expect("a number"), update)).collect()
    }
}
