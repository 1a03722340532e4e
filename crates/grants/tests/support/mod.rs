//! Simulation of the quota gates of many nodes and of successive leaders, with delayed messages between them.

#![allow(dead_code)] // Each test file uses a part.

use std::collections::{HashMap, HashSet};

use dunelink_grants::{Allocator, QuotaBounds, QuotaGate, TenantQuota};
use dunelink_protocol::{GrantUpdate, NodeDemand};

pub(crate) const SECOND: u64 = 1_000_000;
/// Time step of the simulation.
pub(crate) const TIME_STEP_US: u64 = 5_000;
/// Default interval between two exchanges with the leader; its answers arrive one exchange later. Longer than
/// in production.
const DEFAULT_EXCHANGE_INTERVAL_US: u64 = 250_000;
/// Approximate interval between two exchanges in production.
pub(crate) const PRODUCTION_EXCHANGE_INTERVAL_US: u64 = 125_000;
/// Units of one request.
pub(crate) const REQUEST_UNITS: f64 = 9_000.0;
pub(crate) const BOUNDS: QuotaBounds = QuotaBounds { window_s: 8.0, overshoot: 0.1, slack: 110_000.0 };

/// The quota of a tenant.
pub(crate) fn quota(name: &str, rate_per_s: f64) -> TenantQuota {
    TenantQuota { name: name.to_owned(), rate_per_s, burst: rate_per_s }
}

/// A leader that divides the quotas.
pub(crate) struct Leader {
    pub(crate) allocator: Allocator,
    pub(crate) term: u64,
}

/// Nodes with quota gates, and a leader. Requests of [`REQUEST_UNITS`] arrive at random.
pub(crate) struct Fleet {
    pub(crate) quotas: Vec<TenantQuota>,
    pub(crate) gates: Vec<QuotaGate>,
    /// `None` while there is no leader.
    pub(crate) leader: Option<Leader>,
    term: u64,
    /// Grants that the leader has sent, to be delivered at the next exchange.
    in_transit: Vec<(usize, GrantUpdate)>,
    /// Grants of former leaders that arrive late, with the time of arrival.
    delayed_grants: Vec<(u64, Vec<(usize, GrantUpdate)>)>,
    /// The times at which requests were admitted, by tenant.
    admitted_at: HashMap<usize, Vec<u64>>,
    pub(crate) refused_count: usize,
    /// The times at which refused clients of the first tenant retry at another node.
    retries_due: Vec<u64>,
    /// Whether a refused client of the first tenant retries once.
    pub(crate) clients_retry: bool,
    pub(crate) random: fastrand::Rng,
    pub(crate) now: u64,
    /// Interval between two exchanges with the leader.
    pub(crate) exchange_interval: u64,
    /// Whether the leader's configuration has the tenants.
    leader_has_tenants: bool,
    /// The nodes whose configuration lacks the tenants. They refuse their requests.
    nodes_without_tenants: HashSet<usize>,
}

impl Fleet {
    /// Creates nodes that all start at the same time, with a leader.
    pub(crate) fn new(seed: u64, nodes: usize, quotas: Vec<TenantQuota>) -> Self {
        let mut fleet = Self {
            quotas,
            gates: Vec::new(),
            leader: None,
            term: 0,
            in_transit: Vec::new(),
            delayed_grants: Vec::new(),
            admitted_at: HashMap::new(),
            refused_count: 0,
            retries_due: Vec::new(),
            clients_retry: false,
            random: fastrand::Rng::with_seed(seed),
            now: SECOND,
            exchange_interval: DEFAULT_EXCHANGE_INTERVAL_US,
            leader_has_tenants: true,
            nodes_without_tenants: HashSet::new(),
        };
        for node in 0..nodes {
            let gate = fleet.new_gate();
            fleet.gates.insert(node, gate);
        }
        fleet.elect_leader();
        fleet
    }

    /// The same with a single tenant.
    pub(crate) fn with_one_tenant(seed: u64, nodes: usize, rate_per_s: f64) -> Self {
        Self::new(seed, nodes, vec![quota("bureau", rate_per_s)])
    }

    fn new_gate(&mut self) -> QuotaGate {
        let mut gate = QuotaGate::new(BOUNDS, self.random.u64(..), self.now);
        gate.set_tenants(self.now, &self.quotas);
        gate
    }

    /// Adds the tenants to the leader's configuration, or removes them from it.
    pub(crate) fn configure_leader(&mut self, has_tenants: bool) {
        self.leader_has_tenants = has_tenants;
    }

    /// Adds the tenants to a node's configuration, or removes them from it.
    pub(crate) fn configure_node(&mut self, node: usize, has_tenants: bool) {
        let quotas = if has_tenants { self.quotas.as_slice() } else { &[] };
        self.gates[node].set_tenants(self.now, quotas);
        if has_tenants {
            self.nodes_without_tenants.remove(&node);
        } else {
            self.nodes_without_tenants.insert(node);
        }
    }

    /// Restarts a proxy, which loses its state.
    pub(crate) fn restart(&mut self, node: usize) {
        self.gates[node] = self.new_gate();
    }

    /// Restarts all proxies and the leader.
    pub(crate) fn restart_all(&mut self) {
        (0..self.gates.len()).for_each(|node| self.restart(node));
        self.in_transit.clear();
        self.elect_leader();
    }

    /// Starts a new leader, and returns the previous one.
    pub(crate) fn elect_leader(&mut self) -> Option<Leader> {
        self.term += 1;
        let allocator = Allocator::new(BOUNDS, self.term, self.now);
        self.leader.replace(Leader { allocator, term: self.term })
    }

    /// Simulates `seconds` in which the first tenant's demand is `demand_factor` times its rate, unevenly
    /// spread over the nodes. `is_reachable` tells which nodes reach the leader.
    pub(crate) fn run_for(&mut self, seconds: u64, demand_factor: f64, is_reachable: impl Fn(usize) -> bool) {
        self.run_until(self.now + seconds * SECOND, demand_factor, is_reachable);
    }

    /// The same until the time `end`.
    pub(crate) fn run_until(&mut self, end: u64, demand_factor: f64, is_reachable: impl Fn(usize) -> bool) {
        let weights: Vec<f64> = (0..self.gates.len()).map(|i| 1.0 + (i % 3) as f64).collect();
        let total: f64 = weights.iter().sum();
        let per_s = self.quotas[0].rate_per_s * demand_factor / REQUEST_UNITS;
        while self.now < end {
            self.now += TIME_STEP_US;
            for (node, weight) in weights.iter().enumerate() {
                if self.random.f64() < per_s * weight / total * TIME_STEP_US as f64 / SECOND as f64 {
                    self.request(0, node);
                }
            }
            self.step(&is_reachable);
        }
    }

    /// Simulates `seconds` with `per_s(i)` requests per second of tenant `i`, at random nodes.
    pub(crate) fn run_tenants_for(&mut self, seconds: u64, per_s: impl Fn(usize) -> f64) {
        let end = self.now + seconds * SECOND;
        while self.now < end {
            self.now += TIME_STEP_US;
            for tenant in 0..self.quotas.len() {
                if self.random.f64() < per_s(tenant) * TIME_STEP_US as f64 / SECOND as f64 {
                    let node = self.random.usize(..self.gates.len());
                    self.request(tenant, node);
                }
            }
            self.step(&|_| true);
        }
    }

    pub(crate) fn step(&mut self, is_reachable: &impl Fn(usize) -> bool) {
        self.send_due_retries();
        let now = self.now;
        let due: Vec<_> = self.delayed_grants.extract_if(.., |(at, _)| *at <= now).collect();
        due.into_iter().for_each(|(_, updates)| self.deliver(updates));
        if self.now.is_multiple_of(self.exchange_interval) {
            self.exchange(is_reachable);
        }
    }

    fn request(&mut self, tenant: usize, node: usize) {
        if self.nodes_without_tenants.contains(&node) {
            return;
        }
        match self.gates[node].admit(self.now, &self.quotas[tenant].name, REQUEST_UNITS) {
            Ok(()) => self.admitted_at.entry(tenant).or_default().push(self.now),
            Err(after) if self.clients_retry => self.retries_due.push(self.now + after.0),
            Err(_) => self.refused_count += 1,
        }
    }

    /// Sends the due retries of refused requests to random nodes.
    fn send_due_retries(&mut self) {
        let now = self.now;
        let due: Vec<u64> = self.retries_due.extract_if(.., |at| *at <= now).collect();
        for _ in due {
            let node = self.random.usize(..self.gates.len());
            match self.gates[node].admit(now, &self.quotas[0].name, REQUEST_UNITS) {
                Ok(()) => self.admitted_at.entry(0).or_default().push(now),
                Err(_) => self.refused_count += 1,
            }
        }
    }

    pub(crate) fn exchange(&mut self, is_reachable: &impl Fn(usize) -> bool) {
        for (node, update) in std::mem::take(&mut self.in_transit) {
            if is_reachable(node) {
                self.gates[node].apply(self.now, &update);
            }
        }
        let now = self.now;
        let Some(leader) = &mut self.leader else { return };
        let reports: Vec<(usize, NodeDemand)> = self
            .gates
            .iter_mut()
            .enumerate()
            .filter(|(node, _)| is_reachable(*node))
            .map(|(node, gate)| (node, gate.demand_report(now)))
            .collect();
        let quotas = if self.leader_has_tenants { self.quotas.as_slice() } else { &[] };
        self.in_transit = leader.exchange(now, quotas, reports);
    }

    /// Delivers grants at once, as those of a former leader that arrive late.
    pub(crate) fn deliver(&mut self, updates: Vec<(usize, GrantUpdate)>) {
        for (node, update) in updates {
            self.gates[node].apply(self.now, &update);
        }
    }

    /// Delivers grants after a delay.
    pub(crate) fn deliver_after(&mut self, delay: u64, updates: Vec<(usize, GrantUpdate)>) {
        self.delayed_grants.push((self.now + delay, updates));
    }

    pub(crate) fn reset_counts(&mut self) {
        self.admitted_at.clear();
        self.refused_count = 0;
    }

    /// Number of requests admitted.
    pub(crate) fn admitted_count(&self) -> usize {
        self.admitted_at.values().map(Vec::len).sum()
    }

    /// Units of a tenant admitted after a time.
    pub(crate) fn admitted_units_after(&self, tenant: usize, after: u64) -> f64 {
        let admitted_at = self.admitted_at.get(&tenant).map_or(&[][..], Vec::as_slice);
        admitted_at.iter().filter(|at| **at > after).count() as f64 * REQUEST_UNITS
    }

    pub(crate) fn refused_share(&self) -> f64 {
        self.refused_count as f64 / (self.refused_count + self.admitted_count()).max(1) as f64
    }

    /// Units of a tenant admitted in its worst window, as a share of the allowed units.
    pub(crate) fn worst_window_share(&self, tenant: usize) -> f64 {
        let window = (BOUNDS.window_s * SECOND as f64) as u64;
        let Some(admitted_at) = self.admitted_at.get(&tenant) else { return 0.0 };
        let (mut oldest, mut max_count) = (0, 0);
        for (newest, end) in admitted_at.iter().enumerate() {
            while admitted_at[oldest] + window <= *end {
                oldest += 1;
            }
            max_count = max_count.max(newest + 1 - oldest);
        }
        let quota = &self.quotas[tenant];
        let allowed =
            (quota.rate_per_s * BOUNDS.window_s + quota.burst) * (1.0 + BOUNDS.overshoot) + BOUNDS.slack;
        max_count as f64 * REQUEST_UNITS / allowed
    }

    /// Asserts that a tenant kept its quota in every window.
    pub(crate) fn assert_within_quota(&self, tenant: usize) {
        let share = self.worst_window_share(tenant);
        assert!(share <= 1.0, "{share} of the allowed units were admitted in a window");
    }
}

impl Leader {
    /// Takes in reports, and returns the grants.
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
        updates.into_iter().map(|(node, update)| (node.parse().expect("invalid node name"), update)).collect()
    }
}
