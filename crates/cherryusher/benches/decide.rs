//! The cost of decisions by the number of servers: `cargo bench -p cherryusher`.
#![allow(missing_docs)] // The macro generates a public function.

use std::collections::VecDeque;
use std::hint::black_box;

use cherryusher::*;
use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};

const S: Micros = 1_000_000;
const FLEETS: [u64; 4] = [10, 100, 1_000, 10_000];
/// The number of requests open at any time.
const OPEN_REQUESTS: usize = 64;

fn settings() -> Settings {
    Settings {
        classes: vec![Class {
            target_latency: S,
            target_latency_per_work: 0.0,
            deadline: 10 * S,
            value: 1.0,
            late_value_fraction: 0.2,
            idempotency: Idempotency::Idempotent,
        }],
        tenants: vec![Tenant { quota_per_s: 1e9, share: 0.25 }; 4],
        max_attempts: 3,
        cancelling: true,
        hedging: true,
        ..Settings::default()
    }
}

fn entry(id: ServerId) -> ServerEntry {
    ServerEntry { id, state: ServerState::Ready, weight: 1.0, ..ServerEntry::default() }
}

/// A node with open requests, the oldest of which ends when another one arrives.
struct Node {
    balancer: Balancer,
    now: Micros,
    last_id: RequestId,
    open: VecDeque<RequestId>,
    actions: Vec<Action>,
}

impl Node {
    fn new(servers: u64) -> Node {
        let balancer = Balancer::new(settings(), 7).expect("valid settings");
        let (open, actions) = (VecDeque::new(), Vec::new());
        let mut node = Node { balancer, now: 100 * S, last_id: 0, open, actions };
        node.handle(Event::CachedServerList((1..=servers).map(entry).collect()));
        while node.open.len() < OPEN_REQUESTS {
            node.arrive();
        }
        node
    }

    fn handle(&mut self, event: Event) {
        self.now += 10;
        self.balancer.handle(self.now, event, &mut self.actions);
        self.actions.clear();
    }

    fn arrive(&mut self) {
        self.last_id += 1;
        let (id, tenant) = (self.last_id, Some((self.last_id % 4) as u32));
        let request = Request { id, class: 0, remaining: 9 * S, expected_work: None, key: Some(id), tenant };
        self.handle(Event::RequestArrived(request));
        self.open.push_back(id);
    }

    /// One request arrives and the oldest one ends.
    fn replace_oldest(&mut self) {
        self.arrive();
        let Some(request) = self.open.pop_front() else { return };
        let ended = AttemptEnd {
            request,
            attempt: 0,
            outcome: Outcome::Served,
            elapsed: 2_000,
            request_finished: true,
        };
        self.handle(Event::AttemptEnded(ended));
    }
}

fn requests(c: &mut Criterion) {
    let mut group = c.benchmark_group("request");
    for servers in FLEETS {
        let mut node = Node::new(servers);
        (0..10_000).for_each(|_| node.replace_oldest());
        group.bench_function(BenchmarkId::from_parameter(servers), |b| b.iter(|| node.replace_oldest()));
        black_box(node.balancer.tracked_requests());
    }
    group.finish();
}

fn list_changes(c: &mut Criterion) {
    let mut group = c.benchmark_group("list change");
    for servers in FLEETS {
        let mut node = Node::new(servers);
        let mut step = 0;
        group.bench_function(BenchmarkId::from_parameter(servers), |b| {
            b.iter(|| {
                step += 1;
                let state = if step % 2 == 0 { ServerState::Ready } else { ServerState::Draining };
                node.handle(Event::ServerChanges(vec![ServerEntry { state, ..entry(1) }]));
            });
        });
    }
    group.finish();
}

fn half_of_the_servers_drain(c: &mut Criterion) {
    c.bench_function("half of 10000 drain, 5000 open", |b| {
        let set_up = || {
            let mut node = Node::new(10_000);
            while node.open.len() < 5_000 {
                node.arrive();
            }
            node
        };
        let draining_entries =
            || (1..=5_000).map(|id| ServerEntry { state: ServerState::Draining, ..entry(id) }).collect();
        b.iter_batched_ref(
            || (set_up(), Some(Event::ServerChanges(draining_entries()))),
            |(node, event)| event.take().into_iter().for_each(|event| node.handle(event)),
            BatchSize::LargeInput,
        );
    });
}

criterion_group!(benches, requests, list_changes, half_of_the_servers_drain);
criterion_main!(benches);
