//! Helpers for scenario tests: settings, servers, and a node with a clock of its own.
#![allow(dead_code, unreachable_pub)]

use cherryusher::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

pub fn class(idempotency: Idempotency) -> Class {
    Class {
        target_latency: 300 * MS,
        target_latency_per_work: 0.0,
        deadline: S,
        value: 1.0,
        late_value_fraction: 0.2,
        idempotency,
    }
}

pub const IDEMPOTENT: usize = 0;
pub const NON_IDEMPOTENT: usize = 1;
pub const DEDUP_CELL: usize = 2;
pub const DEDUP_ALL: usize = 3;

/// Settings with four tenants with large quotas and one class per kind of idempotency.
pub fn settings() -> Settings {
    let deduplicated = |scope| Idempotency::Deduplicated { scope, window: 400 * MS };
    Settings {
        balancers: 2,
        rank: 0,
        zone: 0,
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::NonIdempotent),
            class(deduplicated(DedupScope::Cell)),
            class(deduplicated(DedupScope::All)),
        ],
        tenants: vec![Tenant { quota_per_s: 1_000.0, share: 0.25 }; 4],
        over_quota_value: 0.05,
        max_attempts: 4,
        cancelling: true,
        hedging: true,
        key_affinity: false,
        cross_zone_price: 0.0,
        live_weights: false,
        discovery: Discovery::Pushed,
        cold_capacity: 0.2,
        warm_up: 20 * S,
        overload_factor: 2.0,
        timer_resolution: 5 * MS,
        max_retry_after: 0,
        labels: 2,
        min_pool_size: 4,
    }
}

pub fn server(id: ServerId) -> ServerEntry {
    ServerEntry {
        id,
        state: ServerState::Ready,
        ready_at: 0,
        zone: 0,
        cell: (id % 3) as u16,
        weight: 1.0,
        kind: 0,
    }
}

pub fn servers(ids: std::ops::Range<u64>) -> Vec<ServerEntry> {
    ids.map(server).collect()
}

/// A balancer with a simulated clock.
pub struct Node {
    pub balancer: Balancer,
    pub now: Micros,
    pub last_id: RequestId,
}

impl Node {
    pub fn new(settings: Settings, list: Vec<ServerEntry>) -> Node {
        let mut node = Node { balancer: Balancer::new(settings, 7).unwrap(), now: 10 * S, last_id: 0 };
        node.handle(Event::CachedServerList(list));
        node
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    pub fn arrive(&mut self, class: usize, tenant: Option<u32>) -> (RequestId, Vec<Action>) {
        self.last_id += 1;
        let id = self.last_id;
        let request = Request { id, class, remaining: S, expected_work: None, key: None, tenant };
        (id, self.handle(Event::RequestArrived(request)))
    }

    pub fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: AttemptNo,
        outcome: Outcome,
        elapsed: Micros,
    ) -> Vec<Action> {
        let request_finished = outcome == Outcome::Served;
        self.handle(Event::AttemptEnded(AttemptEnd { request, attempt, outcome, elapsed, request_finished }))
    }

    /// Advances the clock and fires the timer of a request.
    pub fn fire_timer(&mut self, request: RequestId, after: Micros) -> Vec<Action> {
        self.now += after;
        self.handle(Event::TimerFired(request))
    }
}

/// The servers to which the actions send a request, in order.
pub fn targets(actions: &[Action], id: RequestId) -> Vec<ServerId> {
    let to = |a: &Action| match a {
        Action::Send { request, server, .. } if *request == id => Some(*server),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

pub fn is_refused(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { request, .. } if *request == id))
}

pub fn is_failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail(id))
}
