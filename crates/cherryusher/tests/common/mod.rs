//! A small bench of hands for scenario tests: settings, servers and a node to talk to.
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

pub const SAFE: usize = 0;
pub const UNSAFE: usize = 1;
pub const BY_CELL: usize = 2;
pub const BY_ALL: usize = 3;

/// Four tenants with large quotas; one class of each kind.
pub fn settings() -> Settings {
    let keyed = |scope| Idempotency::Deduplicated { scope, window: 400 * MS };
    Settings {
        balancers: 2,
        rank: 0,
        zone: 0,
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::NonIdempotent),
            class(keyed(DedupScope::Cell)),
            class(keyed(DedupScope::All)),
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

/// A node with its own clock.
pub struct Node {
    pub balancer: Balancer,
    pub now: Micros,
    pub next: RequestId,
}

impl Node {
    pub fn new(settings: Settings, list: Vec<ServerEntry>) -> Node {
        let mut node = Node { balancer: Balancer::new(settings, 7).unwrap(), now: 10 * S, next: 0 };
        node.tell(Event::CachedServerList(list));
        node
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    pub fn arrive(&mut self, class: usize, tenant: Option<u32>) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = self.next;
        let request = Request { id, class, remaining: S, expected_work: None, key: None, tenant };
        (id, self.tell(Event::RequestArrived(request)))
    }

    pub fn end(
        &mut self,
        request: RequestId,
        attempt: AttemptNo,
        outcome: Outcome,
        elapsed: Micros,
    ) -> Vec<Action> {
        let request_finished = outcome == Outcome::Served;
        self.tell(Event::AttemptEnded(AttemptEnd { request, attempt, outcome, elapsed, request_finished }))
    }

    /// Lets time pass and wakes the node for this request.
    pub fn wake(&mut self, request: RequestId, after: Micros) -> Vec<Action> {
        self.now += after;
        self.tell(Event::TimerFired(request))
    }
}

/// Where the actions send the request, in order.
pub fn sends(actions: &[Action], of: RequestId) -> Vec<ServerId> {
    let to = |a: &Action| match a {
        Action::Send { request, server, .. } if *request == of => Some(*server),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

pub fn refused(actions: &[Action], of: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { request, .. } if *request == of))
}

pub fn failed(actions: &[Action], of: RequestId) -> bool {
    actions.contains(&Action::Fail(of))
}
