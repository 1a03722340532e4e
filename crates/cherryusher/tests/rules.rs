//! Random legal sequences against the four rules, judged without the module's own bookkeeping.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use cherryusher::*;
use common::*;

/// What the world knows of one attempt.
struct Sent {
    to: ServerEntry,
    at: Micros,
    outcome: Option<Outcome>,
}

/// What the world knows of one request.
struct Asked {
    class: usize,
    give_up_at: Micros,
    closed: bool,
    /// Its patience, if it is passed on as it comes and its last byte has not come; whether some of it is gone.
    coming: Option<Micros>,
    in_part: bool,
    spent: bool,
    sent: Vec<Sent>,
}

/// A world that draws what happens next, and judges every action.
struct World {
    node: Node,
    dice: fastrand::Rng,
    told: BTreeMap<ServerId, ServerEntry>,
    asked: BTreeMap<RequestId, Asked>,
    wakes: BTreeSet<(Micros, u64)>,
    answers: usize,
    cold: BTreeMap<ServerId, Vec<Micros>>,
    warm_sends: usize,
    log: Vec<Vec<Action>>,
}

fn drawn_settings(dice: &mut fastrand::Rng) -> Settings {
    let mut s = settings();
    s.cancelling = dice.bool();
    s.hedging = dice.bool();
    s.max_attempts = dice.u16(1..5);
    s.balancers = dice.u32(1..4);
    s.tenants.truncate(dice.usize(..5));
    s.tenants.iter_mut().for_each(|t| t.quota_per_s = 20.0);
    s.cross_zone_price = if dice.bool() { 0.05 } else { 0.0 };
    if dice.bool() {
        s.discovery = Discovery::Subscribed { max_retry_interval: 10 * S };
    }
    s
}

impl World {
    fn new(seed: u64) -> World {
        let mut dice = fastrand::Rng::with_seed(seed);
        let settings = drawn_settings(&mut dice);
        let list = servers(1..dice.u64(1..14));
        let node = Node { balancer: Balancer::new(settings, seed).unwrap(), now: 50 * S, next: 0 };
        let mut world = World {
            node,
            dice,
            told: BTreeMap::new(),
            asked: BTreeMap::new(),
            wakes: BTreeSet::new(),
            answers: 0,
            cold: BTreeMap::new(),
            warm_sends: 0,
            log: Vec::new(),
        };
        world.told = list.iter().map(|s| (s.id, *s)).collect();
        world.tell(Event::CachedServerList(list));
        world
    }

    fn tell(&mut self, event: Event) {
        let actions = self.node.tell(event);
        for action in &actions {
            self.judge(action);
        }
        self.log.push(actions);
    }

    fn judge(&mut self, action: &Action) {
        let now = self.node.now;
        match *action {
            Action::Send { request, server, .. } => {
                let asked = self.asked.get_mut(&request).expect("a request that was asked");
                assert!(!asked.closed, "sent after its end");
                assert!(!asked.spent, "sent without a part of its body");
                let out = asked.sent.iter().any(|a| a.outcome.is_none());
                assert!(!(asked.in_part && out), "a body can't go two ways");
                let to = self.told[&server];
                assert_eq!(to.state, ServerState::Ready, "sent to a server that drains or is gone");
                let s = settings();
                for earlier in &asked.sent {
                    if earlier.outcome.is_some_and(Outcome::never_ran) {
                        continue;
                    }
                    let harmless = match s.classes[asked.class].idempotency {
                        Idempotency::Idempotent => true,
                        Idempotency::NonIdempotent => false,
                        Idempotency::Deduplicated { scope, window } => {
                            now < earlier.at + window
                                && (scope == DedupScope::All || earlier.to.cell == to.cell)
                        }
                    };
                    assert!(harmless, "an effect could happen twice");
                }
                asked.sent.push(Sent { to, at: now, outcome: None });
                if to.ready_at == 0 || now - to.ready_at >= s.warm_up {
                    self.warm_sends += 1;
                } else {
                    self.cold.entry(server).or_default().push(now);
                }
            }
            Action::Refuse { request, .. } | Action::Fail(request) => {
                let asked = self.asked.get_mut(&request).expect("a request that was asked");
                assert!(!asked.closed, "answered twice");
                assert!(now <= asked.give_up_at, "answered too late");
                let unrun = asked.sent.iter().all(|a| a.outcome.is_some_and(Outcome::never_ran));
                let class = asked.class;
                if matches!(action, Action::Refuse { .. }) {
                    assert!(unrun || class == SAFE || class == BY_ALL, "called harmless what may have run");
                }
                asked.closed = true;
                self.answers += 1;
            }
            Action::Cancel(request, attempt) => {
                assert!(
                    self.asked[&request].sent.len() > usize::from(attempt),
                    "cancelled what was never sent"
                );
            }
            Action::SetTimer { after, token } => {
                self.wakes.insert((now + after, token));
            }
            Action::Subscribe => {}
        }
    }

    /// Lets time pass up to `until`, with every wake-up at its time.
    fn pass(&mut self, until: Micros) {
        while let Some(&(at, token)) = self.wakes.first().filter(|(at, _)| *at <= until) {
            self.wakes.remove(&(at, token));
            self.node.now = self.node.now.max(at);
            self.tell(Event::TimerFired(token));
        }
        self.node.now = until;
        let late = self.asked.values().find(|a| !a.closed && a.give_up_at < until);
        assert!(late.is_none(), "a request was not answered before its client gave up");
    }

    fn arrive(&mut self) {
        self.node.next += 1;
        let id = self.node.next;
        let (class, remaining) = (self.dice.usize(..4), self.dice.u64(20 * MS..S));
        let tenant = self.dice.bool().then(|| self.dice.u32(..6));
        let in_part = self.dice.u32(..4) == 0;
        let upload = Upload { expected_duration: self.dice.u64(..S), max_duration: self.dice.u64(S..3 * S) };
        let give_up_at = self.node.now + remaining + if in_part { upload.max_duration } else { 0 };
        let coming = in_part.then_some(remaining);
        let asked =
            Asked { class, give_up_at, closed: false, coming, in_part, spent: false, sent: Vec::new() };
        self.asked.insert(id, asked);
        let request = Request { id, class, remaining, expected_work: None, key: Some(id % 7), tenant };
        self.tell(if in_part {
            Event::StreamedRequestArrived(request, upload)
        } else {
            Event::RequestArrived(request)
        });
    }

    /// The last byte of a random request that is still coming.
    fn come_whole(&mut self) {
        let coming = self.asked.iter().filter_map(|(id, a)| Some((*id, a.coming.filter(|_| !a.closed)?)));
        let coming: Vec<(RequestId, Micros)> = coming.collect();
        let Some(&(id, patience)) = self.dice.choice(&coming) else { return };
        if let Some(asked) = self.asked.get_mut(&id) {
            (asked.coming, asked.give_up_at) = (None, self.node.now + patience);
        }
        self.tell(Event::BodyReceived(id, patience));
    }

    /// Ends a random attempt that is out.
    fn end_one(&mut self) -> bool {
        let out: Vec<(RequestId, usize)> = self
            .asked
            .iter()
            .flat_map(|(id, a)| a.sent.iter().enumerate().map(move |(n, s)| (*id, n, s)))
            .filter(|(_, _, s)| s.outcome.is_none())
            .map(|(id, n, _)| (id, n))
            .collect();
        let Some(&(request, n)) = self.dice.choice(&out) else { return false };
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
        let outcome = *self.dice.choice(&outcomes).unwrap();
        let now = self.node.now;
        let asked = self.asked.get_mut(&request).unwrap();
        asked.sent[n].outcome = Some(outcome);
        asked.closed |= outcome == Outcome::Served;
        let (closed, spent) = (asked.closed, asked.in_part && (!outcome.never_ran() || n % 2 == 0));
        asked.spent |= spent;
        if spent {
            self.tell(Event::BodyConsumed(request));
        }
        let (elapsed, request_finished) = (now - self.asked[&request].sent[n].at, closed);
        let attempt = n as AttemptNo;
        self.tell(Event::AttemptEnded(AttemptEnd { request, attempt, outcome, elapsed, request_finished }));
        true
    }

    fn change_list(&mut self) {
        let id = self.dice.u64(1..16);
        let state = *self
            .dice
            .choice(&[ServerState::Ready, ServerState::Ready, ServerState::Draining, ServerState::Gone])
            .unwrap();
        let old = self.told.get(&id).map_or(0, |s| s.ready_at);
        let ready_at = if self.dice.bool() { old } else { self.node.now };
        let entry = ServerEntry { state, ready_at, ..server(id) };
        self.told.insert(id, entry);
        if self.dice.bool() {
            self.tell(Event::ServerChanges(vec![entry]));
        } else {
            let list = self.told.values().copied().filter(|s| s.state != ServerState::Gone).collect();
            self.tell(Event::ServerList(list));
        }
    }

    /// Other nodes say something, or there are more or fewer of them.
    fn hear(&mut self) {
        if self.dice.bool() {
            let doubt =
                |dice: &mut fastrand::Rng| PeerSuspicion { server: dice.u64(1..16), level: dice.f64() * 1.2 };
            let doubts = (0..self.dice.u64(..6)).map(|_| doubt(&mut self.dice)).collect();
            self.tell(Event::PeerSuspicions(doubts));
        } else {
            let (balancers, rank) = (self.dice.u32(..12), self.dice.u32(..12));
            self.tell(Event::FleetChanged { balancers, rank });
        }
    }

    fn run(seed: u64, steps: usize) -> World {
        let mut world = World::new(seed);
        for _ in 0..steps {
            match world.dice.u32(..100) {
                0..45 => world.arrive(),
                45..50 => world.come_whole(),
                50..85 => drop(world.end_one()),
                85..88 => world.change_list(),
                88 => world.tell(Event::DiscoveryFailed),
                89..91 => {
                    let id = world.dice.u64(..world.node.next + 2);
                    if let Some(asked) = world.asked.get_mut(&id) {
                        asked.closed = true;
                    }
                    world.tell(Event::ClientLeft(id));
                }
                91 => world.hear(),
                _ => {
                    let until = world.node.now + world.dice.u64(..40 * MS);
                    world.pass(until);
                }
            }
        }
        world.pass(world.node.now + 5 * S);
        while world.end_one() {}
        world
    }
}

#[test]
fn the_rules_hold_on_random_days() {
    let mut answers = 0;
    for seed in 0..150 {
        let world = World::run(seed, 600);
        assert!(world.asked.values().all(|a| a.closed), "seed {seed}: a request got no answer");
        answers += world.answers;
    }
    assert!(answers > 1_000, "only {answers} final answers were put to the test");
}

#[test]
fn the_same_events_give_the_same_actions() {
    for seed in 0..10 {
        assert_eq!(World::run(seed, 400).log, World::run(seed, 400).log);
    }
}

#[test]
fn nothing_is_kept_of_requests_that_have_ended() {
    for seed in 0..20 {
        let world = World::run(seed, 600);
        assert_eq!(world.node.balancer.tracked_requests(), 0, "seed {seed}");
    }
}

/// The budget of rule four: a cold server's part of what warm servers of the same node get, over any
/// window, stays under the fall's multiple of the ramp at the window's end.
#[test]
fn a_cold_server_is_never_pushed_over() {
    const WINDOW: Micros = 2 * S;
    const FALLS_AT: f64 = 3.0;
    for seed in 0..10 {
        let s = settings();
        let mut dice = fastrand::Rng::with_seed(seed);
        let mut node = Node::new(s.clone(), servers(1..11));
        let mut sent: BTreeMap<ServerId, Vec<Micros>> = BTreeMap::new();
        let mut due: BTreeSet<(Micros, RequestId)> = BTreeSet::new();
        let started = node.now + 5 * S;
        for step in 0..4_000 {
            node.now += 5 * MS;
            if step == 1_000 {
                node.tell(Event::ServerChanges(vec![ServerEntry { ready_at: started, ..server(3) }]));
            }
            let mut actions = node.arrive(SAFE, Some(dice.u32(..4))).1;
            while let Some(&(at, id)) = due.first().filter(|(at, _)| *at <= node.now) {
                due.remove(&(at, id));
                actions.extend(node.end(id, 0, Outcome::Served, 20 * MS));
            }
            for action in actions {
                if let Action::Send { request, server, .. } = action {
                    sent.entry(server).or_default().push(node.now);
                    due.insert((node.now + 20 * MS, request));
                }
            }
        }
        let all: usize = sent.values().map(|times| times.iter().filter(|t| **t >= started).count()).sum();
        let spell = (node.now - started) as f64;
        let warm_rate = all as f64 / spell / 10.0;
        let cold: Vec<Micros> = sent[&3].iter().copied().filter(|t| *t >= started).collect();
        assert!(!cold.is_empty(), "a cold server is tried");
        for &from in &cold {
            let within = cold.iter().filter(|t| (from..from + WINDOW).contains(t)).count() as f64;
            let age = (from - started) as f64 / s.warm_up as f64;
            let able = warm_rate * WINDOW as f64 * (s.cold_capacity + (1.0 - s.cold_capacity) * age.min(1.0));
            assert!(within <= FALLS_AT * able + 2.0, "seed {seed}: {within} against {able}");
        }
    }
}
