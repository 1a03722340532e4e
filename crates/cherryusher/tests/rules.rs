//! Random valid event sequences against the safety rules, checked without the module's own bookkeeping: no
//! attempt at a server that drains or is gone, no second run of a request that must not run twice, one final
//! answer in time, and no overload of a cold server.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use cherryusher::*;
use common::*;

/// One attempt, as the simulation saw it.
struct SentAttempt {
    server: ServerEntry,
    sent_at: Micros,
    outcome: Option<Outcome>,
}

/// One request, as the simulation saw it.
struct SimulatedRequest {
    class: usize,
    give_up_at: Micros,
    finished: bool,
    /// The time that its client waits after the last byte, while the body of a streamed request is still
    /// arriving.
    uploading: Option<Micros>,
    streamed: bool,
    body_consumed: bool,
    attempts: Vec<SentAttempt>,
}

/// A simulation that draws random events and checks every action.
struct World {
    node: Node,
    rng: fastrand::Rng,
    servers_by_id: BTreeMap<ServerId, ServerEntry>,
    requests: BTreeMap<RequestId, SimulatedRequest>,
    timers: BTreeSet<(Micros, u64)>,
    final_answers: usize,
    cold_sends: BTreeMap<ServerId, Vec<Micros>>,
    warm_sends: usize,
    action_log: Vec<Vec<Action>>,
}

fn random_settings(rng: &mut fastrand::Rng) -> Settings {
    let mut s = settings();
    s.cancelling = rng.bool();
    s.hedging = rng.bool();
    s.max_attempts = rng.u16(1..5);
    s.balancers = rng.u32(1..4);
    s.tenants.truncate(rng.usize(..5));
    s.tenants.iter_mut().for_each(|t| t.quota_per_s = 20.0);
    s.cross_zone_price = if rng.bool() { 0.05 } else { 0.0 };
    if rng.bool() {
        s.discovery = Discovery::Subscribed { max_retry_interval: 10 * S };
    }
    s
}

impl World {
    fn new(seed: u64) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = random_settings(&mut rng);
        let list = servers(1..rng.u64(1..14));
        let node = Node { balancer: Balancer::new(settings, seed).unwrap(), now: 50 * S, last_id: 0 };
        let mut world = World {
            node,
            rng,
            servers_by_id: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            final_answers: 0,
            cold_sends: BTreeMap::new(),
            warm_sends: 0,
            action_log: Vec::new(),
        };
        world.servers_by_id = list.iter().map(|s| (s.id, *s)).collect();
        world.handle(Event::CachedServerList(list));
        world
    }

    fn handle(&mut self, event: Event) {
        let actions = self.node.handle(event);
        for action in &actions {
            self.check_action(action);
        }
        self.action_log.push(actions);
    }

    fn check_action(&mut self, action: &Action) {
        let now = self.node.now;
        match *action {
            Action::Send { request, server, .. } => {
                let simulated = self.requests.get_mut(&request).expect("a request that arrived");
                assert!(!simulated.finished, "sent after its final answer");
                assert!(!simulated.body_consumed, "sent without its complete body");
                let in_flight = simulated.attempts.iter().any(|a| a.outcome.is_none());
                assert!(
                    !(simulated.streamed && in_flight),
                    "a streamed body was sent in two attempts at once"
                );
                let entry = self.servers_by_id[&server];
                assert_eq!(entry.state, ServerState::Ready, "sent to a server that is not ready");
                let s = settings();
                for earlier in &simulated.attempts {
                    if earlier.outcome.is_some_and(Outcome::never_ran) {
                        continue;
                    }
                    let harmless = match s.classes[simulated.class].idempotency {
                        Idempotency::Idempotent => true,
                        Idempotency::NonIdempotent => false,
                        Idempotency::Deduplicated { scope, window } => {
                            now < earlier.sent_at + window
                                && (scope == DedupScope::All || earlier.server.cell == entry.cell)
                        }
                    };
                    assert!(harmless, "a request could run twice");
                }
                simulated.attempts.push(SentAttempt { server: entry, sent_at: now, outcome: None });
                if entry.ready_at == 0 || now - entry.ready_at >= s.warm_up {
                    self.warm_sends += 1;
                } else {
                    self.cold_sends.entry(server).or_default().push(now);
                }
            }
            Action::Refuse { request, .. } | Action::Fail(request) => {
                let simulated = self.requests.get_mut(&request).expect("a request that arrived");
                assert!(!simulated.finished, "answered twice");
                assert!(now <= simulated.give_up_at, "answered too late");
                let never_ran = simulated.attempts.iter().all(|a| a.outcome.is_some_and(Outcome::never_ran));
                let class = simulated.class;
                if matches!(action, Action::Refuse { .. }) {
                    assert!(
                        never_ran || class == IDEMPOTENT || class == DEDUP_ALL,
                        "refused although it may have run and a repeat may run again"
                    );
                }
                simulated.finished = true;
                self.final_answers += 1;
            }
            Action::Cancel(request, attempt) => {
                assert!(
                    self.requests[&request].attempts.len() > usize::from(attempt),
                    "cancelled an attempt that was never sent"
                );
            }
            Action::SetTimer { after, token } => {
                self.timers.insert((now + after, token));
            }
            Action::Subscribe => {}
        }
    }

    /// Advances the clock to `until` and fires every timer at its time.
    fn advance_to(&mut self, until: Micros) {
        while let Some(&(at, token)) = self.timers.first().filter(|(at, _)| *at <= until) {
            self.timers.remove(&(at, token));
            self.node.now = self.node.now.max(at);
            self.handle(Event::TimerFired(token));
        }
        self.node.now = until;
        let overdue = self.requests.values().find(|a| !a.finished && a.give_up_at < until);
        assert!(overdue.is_none(), "a request was not answered before its client gave up");
    }

    fn arrive(&mut self) {
        self.node.last_id += 1;
        let id = self.node.last_id;
        let (class, remaining) = (self.rng.usize(..4), self.rng.u64(20 * MS..S));
        let tenant = self.rng.bool().then(|| self.rng.u32(..6));
        let streamed = self.rng.u32(..4) == 0;
        let upload = Upload { expected_duration: self.rng.u64(..S), max_duration: self.rng.u64(S..3 * S) };
        let give_up_at = self.node.now + remaining + if streamed { upload.max_duration } else { 0 };
        let uploading = streamed.then_some(remaining);
        let simulated = SimulatedRequest {
            class,
            give_up_at,
            finished: false,
            uploading,
            streamed,
            body_consumed: false,
            attempts: Vec::new(),
        };
        self.requests.insert(id, simulated);
        let request = Request { id, class, remaining, expected_work: None, key: Some(id % 7), tenant };
        self.handle(if streamed {
            Event::StreamedRequestArrived(request, upload)
        } else {
            Event::RequestArrived(request)
        });
    }

    /// Delivers the last byte of a random streamed request that is still arriving.
    fn finish_upload(&mut self) {
        let uploading =
            self.requests.iter().filter_map(|(id, a)| Some((*id, a.uploading.filter(|_| !a.finished)?)));
        let uploading: Vec<(RequestId, Micros)> = uploading.collect();
        let Some(&(id, patience)) = self.rng.choice(&uploading) else { return };
        if let Some(simulated) = self.requests.get_mut(&id) {
            (simulated.uploading, simulated.give_up_at) = (None, self.node.now + patience);
        }
        self.handle(Event::BodyReceived(id, patience));
    }

    /// Ends a random attempt in flight; returns whether there was one.
    fn end_random_attempt(&mut self) -> bool {
        let in_flight: Vec<(RequestId, usize)> = self
            .requests
            .iter()
            .flat_map(|(id, a)| a.attempts.iter().enumerate().map(move |(n, s)| (*id, n, s)))
            .filter(|(_, _, s)| s.outcome.is_none())
            .map(|(id, n, _)| (id, n))
            .collect();
        let Some(&(request, n)) = self.rng.choice(&in_flight) else { return false };
        let outcomes = [
            Outcome::Served,
            Outcome::Served,
            Outcome::Served,
            Outcome::Error,
            Outcome::Rejected,
            Outcome::TimedOut,
            Outcome::ConnectFailed,
            Outcome::Reset,
            Outcome::Cancelled,
            Outcome::NotSent,
        ];
        let outcome = *self.rng.choice(&outcomes).unwrap();
        let now = self.node.now;
        let simulated = self.requests.get_mut(&request).unwrap();
        simulated.attempts[n].outcome = Some(outcome);
        simulated.finished |= outcome == Outcome::Served;
        let (finished, body_consumed) =
            (simulated.finished, simulated.streamed && (!outcome.never_ran() || n % 2 == 0));
        simulated.body_consumed |= body_consumed;
        if body_consumed {
            self.handle(Event::BodyConsumed(request));
        }
        let (elapsed, request_finished) = (now - self.requests[&request].attempts[n].sent_at, finished);
        let attempt = n as AttemptNo;
        self.handle(Event::AttemptEnded(AttemptEnd { request, attempt, outcome, elapsed, request_finished }));
        true
    }

    fn change_server_list(&mut self) {
        let id = self.rng.u64(1..16);
        let state = *self
            .rng
            .choice(&[ServerState::Ready, ServerState::Ready, ServerState::Draining, ServerState::Gone])
            .unwrap();
        let old = self.servers_by_id.get(&id).map_or(0, |s| s.ready_at);
        let ready_at = if self.rng.bool() { old } else { self.node.now };
        let entry = ServerEntry { state, ready_at, ..server(id) };
        self.servers_by_id.insert(id, entry);
        if self.rng.bool() {
            self.handle(Event::ServerChanges(vec![entry]));
        } else {
            let list =
                self.servers_by_id.values().copied().filter(|s| s.state != ServerState::Gone).collect();
            self.handle(Event::ServerList(list));
        }
    }

    /// Other nodes report suspicions, or the number of nodes changes.
    fn change_peers(&mut self) {
        if self.rng.bool() {
            let doubt =
                |rng: &mut fastrand::Rng| PeerSuspicion { server: rng.u64(1..16), level: rng.f64() * 1.2 };
            let doubts = (0..self.rng.u64(..6)).map(|_| doubt(&mut self.rng)).collect();
            self.handle(Event::PeerSuspicions(doubts));
        } else {
            let (balancers, rank) = (self.rng.u32(..12), self.rng.u32(..12));
            self.handle(Event::FleetChanged { balancers, rank });
        }
    }

    fn run(seed: u64, steps: usize) -> World {
        let mut world = World::new(seed);
        for _ in 0..steps {
            match world.rng.u32(..100) {
                0..45 => world.arrive(),
                45..50 => world.finish_upload(),
                50..85 => drop(world.end_random_attempt()),
                85..88 => world.change_server_list(),
                88 => world.handle(Event::DiscoveryFailed),
                89..91 => {
                    let id = world.rng.u64(..world.node.last_id + 2);
                    if let Some(simulated) = world.requests.get_mut(&id) {
                        simulated.finished = true;
                    }
                    world.handle(Event::ClientLeft(id));
                }
                91 => world.change_peers(),
                _ => {
                    let until = world.node.now + world.rng.u64(..40 * MS);
                    world.advance_to(until);
                }
            }
        }
        world.advance_to(world.node.now + 5 * S);
        while world.end_random_attempt() {}
        world
    }
}

#[test]
fn safety_rules_hold_on_random_sequences() {
    let mut final_answers = 0;
    for seed in 0..150 {
        let world = World::run(seed, 600);
        assert!(world.requests.values().all(|a| a.finished), "seed {seed}: a request got no answer");
        final_answers += world.final_answers;
    }
    assert!(final_answers > 1_000, "only {final_answers} final answers were checked");
}

#[test]
fn same_events_give_same_actions() {
    for seed in 0..10 {
        assert_eq!(World::run(seed, 400).action_log, World::run(seed, 400).action_log);
    }
}

#[test]
fn ended_requests_leave_no_state() {
    for seed in 0..20 {
        let world = World::run(seed, 600);
        assert_eq!(world.node.balancer.tracked_requests(), 0, "seed {seed}");
    }
}

/// A cold server must not be overloaded: in any window, its part of the requests that warm servers of the
/// same node get stays below the overload factor times its current part of the full capacity.
#[test]
fn cold_server_is_never_overloaded() {
    const WINDOW: Micros = 2 * S;
    const OVERLOAD_FACTOR: f64 = 3.0;
    for seed in 0..10 {
        let s = settings();
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut node = Node::new(s.clone(), servers(1..11));
        let mut attempts: BTreeMap<ServerId, Vec<Micros>> = BTreeMap::new();
        let mut due: BTreeSet<(Micros, RequestId)> = BTreeSet::new();
        let started = node.now + 5 * S;
        for step in 0..4_000 {
            node.now += 5 * MS;
            if step == 1_000 {
                node.handle(Event::ServerChanges(vec![ServerEntry { ready_at: started, ..server(3) }]));
            }
            let mut actions = node.arrive(IDEMPOTENT, Some(rng.u32(..4))).1;
            while let Some(&(at, id)) = due.first().filter(|(at, _)| *at <= node.now) {
                due.remove(&(at, id));
                actions.extend(node.end_attempt(id, 0, Outcome::Served, 20 * MS));
            }
            for action in actions {
                if let Action::Send { request, server, .. } = action {
                    attempts.entry(server).or_default().push(node.now);
                    due.insert((node.now + 20 * MS, request));
                }
            }
        }
        let all: usize = attempts.values().map(|times| times.iter().filter(|t| **t >= started).count()).sum();
        let duration = (node.now - started) as f64;
        let warm_rate = all as f64 / duration / 10.0;
        let cold_sends: Vec<Micros> = attempts[&3].iter().copied().filter(|t| *t >= started).collect();
        assert!(!cold_sends.is_empty(), "the cold server got no request");
        for &from in &cold_sends {
            let in_window = cold_sends.iter().filter(|t| (from..from + WINDOW).contains(t)).count() as f64;
            let age = (from - started) as f64 / s.warm_up as f64;
            let capacity =
                warm_rate * WINDOW as f64 * (s.cold_capacity + (1.0 - s.cold_capacity) * age.min(1.0));
            assert!(
                in_window <= OVERLOAD_FACTOR * capacity + 2.0,
                "seed {seed}: {in_window} requests in a window, capacity for {capacity}"
            );
        }
    }
}
