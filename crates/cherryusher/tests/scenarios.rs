//! Scenarios of one node, or of several independent ones, through the module's interface.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use cherryusher::*;
use common::*;

/// Serves many requests of each tenant, and returns the servers that each tenant reached.
fn servers_reached(node: &mut Node, tenants: &[Option<u32>]) -> BTreeMap<Option<u32>, BTreeSet<ServerId>> {
    let mut seen: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
    for _ in 0..200 {
        for &tenant in tenants {
            let (id, actions) = node.arrive(IDEMPOTENT, tenant);
            seen.entry(tenant).or_default().extend(targets(&actions, id));
            node.now += 10 * MS;
            node.end_attempt(id, 0, Outcome::Served, 10 * MS);
        }
    }
    seen
}

#[test]
fn tenants_use_disjoint_pools_of_at_least_four() {
    let mut node = Node::new(settings(), servers(1..11));
    let seen = servers_reached(&mut node, &[Some(0), Some(1), Some(2), Some(3)]);
    let pools: BTreeSet<_> = seen.values().cloned().collect();
    assert!(pools.len() > 1, "all tenants share one pool");
    for pool in &pools {
        assert!(pool.len() >= 4);
        assert!(pools.iter().all(|other| other == pool || other.is_disjoint(pool)));
    }
}

#[test]
fn requests_without_tenant_use_unlabelled_servers() {
    let mut half = settings();
    half.tenants.iter_mut().for_each(|t| t.share = 0.15);
    let mut node = Node::new(half, servers(1..21));
    let seen = servers_reached(&mut node, &[None, Some(0), Some(1), Some(2), Some(3)]);
    let labelled: BTreeSet<_> = seen.iter().filter(|(t, _)| t.is_some()).flat_map(|(_, s)| s).collect();
    assert!(seen[&None].len() >= 4 && seen[&None].iter().all(|s| !labelled.contains(s)));
}

#[test]
fn empty_pool_uses_all_ready_servers() {
    let mut node = Node::new(settings(), servers(1..4));
    let seen = servers_reached(&mut node, &[None, Some(0), Some(1), Some(2), Some(3)]);
    assert!(seen.values().all(|servers| servers.len() == 3));
}

#[test]
fn refuses_without_ready_servers() {
    let mut node = Node::new(settings(), servers(1..2));
    let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
    assert_eq!(targets(&actions, id), [1]);
    let draining = ServerEntry { state: ServerState::Draining, ..server(1) };
    node.handle(Event::ServerChanges(vec![draining]));
    let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
    assert!(is_refused(&actions, id) && targets(&actions, id).is_empty());
}

#[test]
fn non_idempotent_request_is_retried_only_if_it_never_ran() {
    let mut node = Node::new(settings(), servers(1..11));
    let (id, _) = node.arrive(NON_IDEMPOTENT, Some(0));
    let actions = node.end_attempt(id, 0, Outcome::Rejected, MS);
    assert_eq!(targets(&actions, id).len(), 1);
    let actions = node.end_attempt(id, 1, Outcome::Reset, MS);
    assert!(is_failed(&actions, id) && targets(&actions, id).is_empty());
}

#[test]
fn deduplicated_request_is_retried_within_scope_and_window() {
    let mut node = Node::new(settings(), servers(1..41));
    let (id, first) = node.arrive(DEDUP_CELL, Some(0));
    let first = targets(&first, id)[0];
    let again = node.end_attempt(id, 0, Outcome::Error, MS);
    let again = targets(&again, id);
    assert!(again.len() == 1 && again[0] % 3 == first % 3);
    let (id, _) = node.arrive(DEDUP_CELL, Some(0));
    node.now += 500 * MS;
    let actions = node.end_attempt(id, 0, Outcome::Error, 500 * MS);
    assert!(is_failed(&actions, id), "the deduplication window is over");
}

impl Node {
    /// A streamed request whose upload takes up to 20 s.
    fn arrive_streamed(&mut self, class: usize, tenant: Option<u32>) -> (RequestId, Vec<Action>) {
        self.last_id += 1;
        let id = self.last_id;
        let request = Request { id, class, remaining: S, expected_work: None, key: None, tenant };
        let upload = Upload { expected_duration: 5 * S, max_duration: 20 * S };
        (id, self.handle(Event::StreamedRequestArrived(request, upload)))
    }
}

#[test]
fn streamed_request_is_retried_only_with_its_complete_body() {
    let mut node = Node::new(settings(), servers(1..11));
    let (id, _) = node.arrive_streamed(DEDUP_ALL, Some(0));
    assert_eq!(
        targets(&node.end_attempt(id, 0, Outcome::ConnectFailed, MS), id).len(),
        1,
        "the body is complete"
    );
    node.handle(Event::BodyConsumed(id));
    let actions = node.end_attempt(id, 1, Outcome::ConnectFailed, MS);
    assert!(is_refused(&actions, id) && targets(&actions, id).is_empty(), "the request has not run");
    let (id, _) = node.arrive_streamed(NON_IDEMPOTENT, Some(0));
    node.handle(Event::BodyReceived(id, S));
    node.handle(Event::BodyConsumed(id));
    assert!(is_failed(&node.end_attempt(id, 0, Outcome::Reset, MS), id), "the request may have run");
}

#[test]
fn streamed_request_deadline_starts_at_the_last_byte() {
    let mut node = Node::new(settings(), servers(1..11));
    let (id, first) = node.arrive_streamed(NON_IDEMPOTENT, Some(0));
    assert_eq!(targets(&first, id).len(), 1);
    // There is neither a hedged request nor a final answer, long after the target latency.
    for _ in 0..10 {
        let actions = node.fire_timer(id, S);
        assert!(matches!(actions[..], [] | [Action::SetTimer { .. }]), "{actions:?}");
    }
    node.handle(Event::BodyReceived(id, S));
    let actions = node.fire_timer(id, 900 * MS);
    assert!(matches!(actions[..], [] | [Action::SetTimer { .. }]), "{actions:?}");
    let actions = node.fire_timer(id, 95 * MS);
    assert!(is_failed(&actions, id), "{actions:?}");
}

/// Slow uploads must not occupy all capacity for seconds, while complete requests wait behind them.
#[test]
fn uploads_take_no_server_capacity() {
    let mut node = Node::new(settings(), servers(1..11));
    for n in 0..400 {
        let (id, actions) = node.arrive_streamed(NON_IDEMPOTENT, (n % 5 < 4).then_some(n % 5));
        assert_eq!(targets(&actions, id).len(), 1, "the server does not work on the request yet");
    }
    let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
    assert_eq!(targets(&actions, id).len(), 1);
    node.end_attempt(id, 0, Outcome::Served, 10 * MS);
    // Complete requests take capacity.
    for id in 1..=400 {
        node.handle(Event::BodyReceived(id, S));
    }
    let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
    assert_eq!(targets(&actions, id), []);
}

#[test]
fn requests_are_answered_before_the_client_gives_up() {
    let mut node = Node::new(settings(), servers(1..11));
    for (class, repeatable) in
        [(IDEMPOTENT, true), (NON_IDEMPOTENT, false), (DEDUP_CELL, false), (DEDUP_ALL, true)]
    {
        let (id, _) = node.arrive(class, Some(1));
        let actions = node.fire_timer(id, 995 * MS);
        assert_eq!((is_refused(&actions, id), is_failed(&actions, id)), (repeatable, !repeatable));
    }
}

#[test]
fn no_attempt_after_the_client_left() {
    let mut node = Node::new(settings(), servers(1..11));
    let (id, _) = node.arrive(IDEMPOTENT, Some(0));
    assert_eq!(node.handle(Event::ClientLeft(id)), [Action::Cancel(id, 0)]);
    assert_eq!(targets(&node.end_attempt(id, 0, Outcome::Cancelled, MS), id), []);
    assert_eq!(
        node.end_attempt(id, 0, Outcome::Cancelled, MS),
        [],
        "the outcome of an unknown request is not ignored"
    );
}

#[test]
fn request_at_a_pausing_server_is_hedged() {
    let mut node = Node::new(settings(), servers(1..11));
    let (id, first) = node.arrive(IDEMPOTENT, Some(0));
    let pausing = targets(&first, id)[0];
    let hedge = node.fire_timer(id, 250 * MS);
    assert!(targets(&hedge, id).len() == 1 && targets(&hedge, id)[0] != pausing);
}

/// Hedges of long requests lose the race and fill servers; hedges of requests at pausing servers win.
#[test]
fn hedges_exceed_half_a_pool_only_if_some_win() {
    for winner in [0, 1] {
        let mut node = Node::new(Settings { balancers: 1, ..settings() }, servers(1..11));
        for _ in 0..20 {
            servers_reached(&mut node, &[Some(0)]);
            let (id, _) = node.arrive(IDEMPOTENT, Some(0));
            assert_eq!(
                targets(&node.fire_timer(id, 290 * MS), id).len(),
                1,
                "an idle pool has capacity for a hedge"
            );
            node.end_attempt(id, winner, Outcome::Served, 250 * MS);
            node.end_attempt(id, 1 - winner, Outcome::Cancelled, 250 * MS);
        }
        let ids: Vec<_> = (0..7).map(|_| node.arrive(IDEMPOTENT, Some(0)).0).collect();
        let hedged = !targets(&node.fire_timer(ids[0], 290 * MS), ids[0]).is_empty();
        assert_eq!(hedged, winner == 1, "attempt {winner} had won the races");
    }
}

#[test]
fn quickly_failing_server_gets_little() {
    let mut node = Node::new(settings(), servers(1..9));
    let (mut failing_count, mut all) = (0, 0);
    for _ in 0..400 {
        node.now += 5 * MS;
        let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
        let to = targets(&actions, id)[0];
        all += 1;
        failing_count += u32::from(to % 4 == 1);
        node.end_attempt(id, 0, if to % 4 == 1 { Outcome::Error } else { Outcome::Served }, 5 * MS);
    }
    assert!(failing_count * 10 < all, "{failing_count} of {all} went to servers that fail");
}

/// If most servers of a pool fail, ejecting them would overload the others: then none is ejected.
#[test]
fn at_most_half_of_a_pool_is_ejected() {
    for (failing_count, ejected) in [(1, true), (3, false)] {
        let mut small_share = settings();
        small_share.tenants.iter_mut().for_each(|t| t.share = 0.1);
        let mut node = Node::new(small_share, servers(1..13));
        let pool: Vec<_> =
            servers_reached(&mut node, &[Some(0)]).remove(&Some(0)).unwrap().into_iter().collect();
        assert_eq!(pool.len(), 4);
        let failing = &pool[..failing_count];
        for _ in 0..100 {
            let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
            let fails = failing.contains(&targets(&actions, id)[0]);
            node.now += MS;
            node.end_attempt(id, 0, if fails { Outcome::Error } else { Outcome::Served }, MS);
        }
        let reached_failing = (0..40).map(|_| {
            let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
            let to = targets(&actions, id)[0];
            node.end_attempt(id, 0, if failing.contains(&to) { Outcome::Error } else { Outcome::Served }, MS);
            failing.contains(&to)
        });
        assert_eq!(
            reached_failing.filter(|failing| *failing).count() == 0,
            ejected,
            "{failing_count} of 4 fail"
        );
    }
}

#[test]
fn requests_within_quota_go_first() {
    let mut tight = settings();
    tight.tenants = vec![Tenant { quota_per_s: 20.0, share: 1.0 }];
    let mut node = Node::new(tight, servers(1..5));
    let mut sent: Vec<RequestId> = Vec::new();
    let record_sends = |actions: &[Action], sent: &mut Vec<RequestId>| {
        sent.extend(actions.iter().filter_map(|a| match a {
            Action::Send { request, .. } => Some(*request),
            _ => None,
        }));
    };
    for _ in 0..30 {
        record_sends(&node.arrive(IDEMPOTENT, Some(0)).1, &mut sent);
    }
    node.now += 110 * MS;
    let (late, actions) = node.arrive(IDEMPOTENT, Some(0));
    record_sends(&actions, &mut sent);
    for at in 0..12 {
        let actions = node.end_attempt(sent[at], 0, Outcome::Served, 20 * MS);
        record_sends(&actions, &mut sent);
    }
    let position_of = |id| sent.iter().position(|s| *s == id);
    let beyond = sent.iter().position(|id| (11..=30).contains(id));
    assert!(
        position_of(late).is_some() && beyond.is_some(),
        "spare capacity is not used for requests beyond the quota"
    );
    assert!(position_of(late) < beyond, "{sent:?}");
}

#[test]
fn subscribes_at_start_and_after_failures() {
    let mut subscribed = settings();
    subscribed.discovery = Discovery::Subscribed { max_retry_interval: 10 * S };
    let mut node = Node::new(subscribed, vec![]);
    assert_eq!(node.handle(Event::CachedServerList(servers(1..3))), [Action::Subscribe]);
    for _ in 0..10 {
        let actions = node.handle(Event::DiscoveryFailed);
        let [Action::SetTimer { after, token }] = actions[..] else { panic!("{actions:?}") };
        assert!((100 * MS..=10 * S).contains(&after));
        assert_eq!(node.handle(Event::TimerFired(token)), [Action::Subscribe]);
    }
}

/// A change counts as delivered in time within 6 s after discovery can be reached, however long it was
/// unreachable before. A call may wait 2 s for its turn.
#[test]
fn discovery_backoff_is_bounded() {
    for (nodes, seed) in [(2, 1), (6, 2), (20, 3), (50, 4)] {
        let subscribed = Settings {
            discovery: Discovery::Subscribed { max_retry_interval: 10 * S },
            ..settings_at_many_nodes(nodes, 0)
        };
        let mut node = Node { balancer: Balancer::new(subscribed, seed).unwrap(), now: 10 * S, last_id: 0 };
        for failures in 0..200 {
            let actions = node.handle(Event::DiscoveryFailed);
            let [Action::SetTimer { after, .. }] = actions[..] else { panic!("{actions:?}") };
            assert!(after <= 4 * S, "{after} us after {failures} failures at {nodes} nodes");
        }
    }
}

/// A hundred nodes whose calls failed at the same time retry evenly over a second, and then over a longer
/// time.
#[test]
fn discovery_retries_are_spread() {
    let mut subscribed = settings();
    subscribed.discovery = Discovery::Subscribed { max_retry_interval: 10 * S };
    let mut waits = [Vec::new(), Vec::new(), Vec::new()];
    for seed in 0..100 {
        let mut node =
            Node { balancer: Balancer::new(subscribed.clone(), seed).unwrap(), now: 10 * S, last_id: 0 };
        for waits in &mut waits {
            let actions = node.handle(Event::DiscoveryFailed);
            let [Action::SetTimer { after, .. }] = actions[..] else { panic!("{actions:?}") };
            waits.push(after);
        }
    }
    for (waits, longest) in waits.iter().zip([S, 2 * S, 4 * S]) {
        for tenth in 2..10 {
            let from = longest / 10 * tenth;
            let retries = waits.iter().filter(|w| (from..from + longest / 10).contains(*w)).count();
            assert!(
                (3..25).contains(&retries),
                "{retries} of 100 nodes retry in the tenth from {from} us on"
            );
        }
    }
}

/// A service that takes 50 ms per call can answer 20 calls per second. If a hundred nodes retry faster, it
/// only ever works on calls that have already timed out. Yet each node has to call every 10 s.
#[test]
fn hundred_nodes_do_not_overload_discovery() {
    let mut subscribed = settings_at_many_nodes(100, 0);
    subscribed.discovery = Discovery::Subscribed { max_retry_interval: 10 * S };
    let mut calls = vec![0; 20];
    for seed in 0..100 {
        let mut node =
            Node { balancer: Balancer::new(subscribed.clone(), seed).unwrap(), now: 10 * S, last_id: 0 };
        let mut at = 0;
        while at < 20 * S {
            let actions = node.handle(Event::DiscoveryFailed);
            let [Action::SetTimer { after, .. }] = actions[..] else { panic!("{actions:?}") };
            assert!(after <= 8 * S);
            // Each call times out after 2 s.
            at += after + 2 * S;
            if let Some(calls) = calls.get_mut((at / S) as usize) {
                *calls += 1;
            }
        }
    }
    let busiest = calls.chunks(5).map(|five| five.iter().sum::<u32>()).max();
    assert!(busiest < Some(100), "{calls:?}");
}

#[test]
fn cold_server_gets_little() {
    let mut list = servers(1..9);
    list[0].ready_at = 10 * S;
    let mut node = Node::new(settings(), list);
    let mut cold = 0;
    for _ in 0..400 {
        node.now += 5 * MS;
        let (id, actions) = node.arrive(IDEMPOTENT, Some((node.last_id % 4) as u32));
        cold += u32::from(targets(&actions, id) == [1]);
        node.end_attempt(id, 0, Outcome::Served, 5 * MS);
    }
    assert!(cold <= 400 / 8, "{cold} of 400 went to the cold server");
}

/// Guards against a cold server that gets nearly no work while the others are idle, though its place in the draw
/// follows its capacity.
#[test]
fn cold_server_gets_its_part_of_the_work() {
    const REQUESTS: u32 = 4_000;
    let mut list = servers(1..9);
    list[0].ready_at = 10 * S;
    let settings = Settings { warm_up: 1_000 * S, ..settings() };
    let part = settings.cold_capacity / (7.0 + settings.cold_capacity);
    let mut node = Node::new(settings, list);
    let mut cold = 0;
    for _ in 0..REQUESTS {
        node.now += 5 * MS;
        let (id, actions) = node.arrive(IDEMPOTENT, Some((node.last_id % 4) as u32));
        cold += u32::from(targets(&actions, id) == [1]);
        node.end_attempt(id, 0, Outcome::Served, 5 * MS);
    }
    assert!(2.0 * f64::from(cold) >= part * f64::from(REQUESTS), "{cold} of {REQUESTS}");
}

#[test]
fn invalid_settings_are_rejected() {
    let cases: [fn(&mut Settings); 4] =
        [|s| s.classes.clear(), |s| s.balancers = 0, |s| s.rank = 2, |s| s.cold_capacity = f64::NAN];
    for invalidate in cases {
        let mut s = settings();
        invalidate(&mut s);
        assert!(Balancer::new(s, 1).is_err());
    }
}

#[test]
fn started_response_stream_has_no_deadline() {
    let mut node = Node::new(settings(), servers(1..11));
    let (id, _) = node.arrive(IDEMPOTENT, Some(0));
    let hedge = node.fire_timer(id, 250 * MS);
    assert_eq!(targets(&hedge, id).len(), 1);
    assert_eq!(
        node.handle(Event::ResponseStreamStarted(id, 0)),
        [Action::Cancel(id, 1)],
        "the hedge is cancelled"
    );
    assert_eq!(node.fire_timer(id, 5 * S), [], "a started stream has no deadline");
    node.end_attempt(id, 1, Outcome::Cancelled, S);
    node.end_attempt(id, 0, Outcome::Served, 5 * S);
    assert_eq!(node.balancer.tracked_requests(), 0);
}

#[test]
fn full_pool_borrows_only_from_half_free_pools() {
    let pools = |node: &mut Node| servers_reached(node, &[Some(0), Some(1), Some(2), Some(3)]);
    let mut idle_node = Node::new(settings(), servers(1..11));
    let own = pools(&mut idle_node);
    let mut node = Node::new(settings(), servers(1..11));
    let mut lent = 0;
    for _ in 0..30 {
        let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
        lent += targets(&actions, id).iter().filter(|s| !own[&Some(0)].contains(s)).count();
    }
    let other = own.iter().find(|(_, pool)| **pool != own[&Some(0)]).unwrap();
    assert!(lent > 0, "the idle pool lends nothing");
    assert!(lent * 2 <= other.1.len() + 1, "{lent} requests were lent to the other pool");
    let (id, actions) = node.arrive(IDEMPOTENT, *other.0);
    assert_eq!(targets(&actions, id).len(), 1, "the other pool has no capacity left for its own tenants");
}

/// All servers become four times slower, and every answer is late: the limit must not shrink to its minimum.
#[test]
fn limit_survives_a_slowdown_of_all_servers() {
    let mut node = Node::new(settings(), servers(1..9));
    let mut in_flight: Vec<(Micros, RequestId)> = Vec::new();
    let mut sent = [0, 0];
    for step in 0..4_000 {
        let slow = usize::from(step >= 2_000);
        node.now += 5 * MS;
        let mut actions = node.arrive(IDEMPOTENT, Some((step % 4) as u32)).1;
        let due: Vec<_> = in_flight.iter().filter(|(at, _)| *at <= node.now).map(|(_, id)| *id).collect();
        in_flight.retain(|(at, _)| *at > node.now);
        for id in due {
            actions.extend(node.end_attempt(
                id,
                0,
                Outcome::Served,
                if slow == 1 { 400 * MS } else { 100 * MS },
            ));
        }
        for action in actions {
            if let Action::Send { request, .. } = action {
                in_flight.push((node.now + if slow == 1 { 400 * MS } else { 100 * MS }, request));
                sent[slow] += 1;
            }
        }
    }
    assert!(sent[1] * 3 > sent[0], "{} sent before, {} while slow", sent[0], sent[1]);
}

#[test]
fn key_affinity_keeps_a_key_on_two_servers() {
    for (warm, few) in [(true, true), (false, false)] {
        let mut node = Node::new(Settings { key_affinity: warm, ..settings() }, servers(1..11));
        let mut seen = BTreeSet::new();
        for id in 1..=200 {
            let request = Request {
                id,
                class: IDEMPOTENT,
                remaining: S,
                expected_work: None,
                key: Some(9),
                tenant: Some(0),
            };
            seen.extend(targets(&node.handle(Event::RequestArrived(request)), id));
            node.now += 10 * MS;
            node.end_attempt(id, 0, Outcome::Served, 10 * MS);
        }
        assert_eq!(seen.len() <= 2, few, "warm {warm}: {seen:?}");
    }
}

/// Needless zone crossings are costly, and a server that more nodes share is loaded less evenly.
#[test]
fn requests_stay_in_their_zone_if_crossing_has_a_price() {
    for (price, stay_in_zone) in [(0.01, true), (0.0, false)] {
        let list: Vec<_> =
            servers(1..11).into_iter().map(|s| ServerEntry { zone: (s.id % 2) as u8, ..s }).collect();
        let mut node = Node::new(Settings { cross_zone_price: price, balancers: 1, ..settings() }, list);
        let mut in_zone = 0;
        let mut in_flight = std::collections::VecDeque::new();
        for _ in 0..200 {
            let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
            in_zone += usize::from(targets(&actions, id)[0].is_multiple_of(2));
            in_flight.push_back(id);
            if in_flight.len() > 1 {
                node.now += 10 * MS;
                node.end_attempt(in_flight.pop_front().unwrap(), 0, Outcome::Served, 10 * MS);
            }
        }
        assert_eq!(
            in_zone == 200,
            stay_in_zone,
            "{in_zone} of 200 requests stayed in the zone at price {price}"
        );
        let picked = (0..200).flat_map(|_| {
            let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
            targets(&actions, id)
        });
        assert!(picked.collect::<Vec<_>>().iter().any(|s| s % 2 == 1), "no request left the full zone");
    }
}

/// Servers of three times the size take three times as much of this node's work once all are full.
#[test]
fn capacity_follows_weight() {
    let sized =
        |s: ServerEntry| ServerEntry { weight: if s.id.is_multiple_of(2) { 30.0 } else { 10.0 }, ..s };
    let list: Vec<_> = servers(1..13).into_iter().map(sized).collect();
    let mut node = Node::new(Settings { balancers: 1, ..settings() }, list);
    let mut in_flight = [0, 0];
    for n in 0..200 {
        let (id, actions) = node.arrive(IDEMPOTENT, Some(n % 4));
        targets(&actions, id).iter().for_each(|s| in_flight[(s % 2) as usize] += 1);
    }
    let [large, small] = in_flight;
    assert!(small > 0 && large >= small * 2, "{large} at six large servers, {small} at six small ones");
}

#[test]
fn servers_without_weight_are_used_equally() {
    let list: Vec<_> = servers(1..9).into_iter().map(|s| ServerEntry { weight: 0.0, ..s }).collect();
    let mut node = Node::new(Settings { balancers: 1, ..settings() }, list);
    let arrivals = (0..100).map(|n| node.arrive(IDEMPOTENT, Some(n % 4)));
    let used: BTreeSet<_> = arrivals.flat_map(|(id, actions)| targets(&actions, id)).collect();
    assert_eq!(used.len(), 8);
}

/// If a server joins, only few servers of each tenant change.
#[test]
fn list_change_moves_few_servers() {
    let tenants = [Some(0), Some(1), Some(2), Some(3)];
    let ten = servers_reached(&mut Node::new(settings(), servers(1..11)), &tenants);
    let eleven = servers_reached(&mut Node::new(settings(), servers(1..12)), &tenants);
    for tenant in tenants {
        let left = ten[&tenant].difference(&eleven[&tenant]).count();
        assert!(left <= 2, "tenant {tenant:?} lost {left} servers when one joined");
    }
}

/// Repeats of refused requests beyond the quota come back into the same overload; requests within it may be
/// repeated at once.
#[test]
fn retry_after_only_beyond_the_quota() {
    let mut tight = Settings { max_retry_after: 2 * S, ..settings() };
    tight.tenants = vec![Tenant { quota_per_s: 4.0, share: 1.0 }];
    let mut node = Node::new(tight, servers(1..5));
    (0..20).for_each(|_| drop(node.arrive(IDEMPOTENT, Some(0))));
    let retry_after_of = |actions: &[Action], id| {
        actions.iter().find_map(|a| match a {
            Action::Refuse { request, retry_after } if *request == id => Some(*retry_after),
            _ => None,
        })
    };
    node.now += 295 * MS;
    assert_eq!(retry_after_of(&node.handle(Event::TimerFired(20)), 20), Some(2 * S));
    node.now += 695 * MS;
    assert_eq!(retry_after_of(&node.handle(Event::TimerFired(1)), 1), Some(0));
}

/// Answers take five times as long as usual, but are in time, while more requests wait than fit: more
/// attempts in flight would overload the servers.
#[test]
fn limit_does_not_grow_while_servers_are_slow() {
    let mut node = Node::new(settings(), servers(1..9));
    servers_reached(&mut node, &[Some(0), Some(1), Some(2), Some(3)]);
    let (mut in_flight, mut max_in_flight) = (Vec::<(Micros, RequestId)>::new(), [0, 0]);
    for step in 0..600 {
        node.now += 5 * MS;
        let mut actions = node.arrive(IDEMPOTENT, Some(step % 4)).1;
        actions.extend(node.arrive(IDEMPOTENT, Some(step % 4)).1);
        let due: Vec<_> = in_flight.iter().filter(|(at, _)| *at <= node.now).map(|(_, id)| *id).collect();
        in_flight.retain(|(at, _)| *at > node.now);
        for id in due {
            actions.extend(node.end_attempt(id, 0, Outcome::Served, 50 * MS));
        }
        for action in actions {
            match action {
                Action::Send { request, .. } => in_flight.push((node.now + 50 * MS, request)),
                Action::SetTimer { token, .. } if token > node.last_id => {
                    drop(node.handle(Event::TimerFired(token)))
                }
                _ => {}
            }
        }
        let part = usize::from(step >= 100);
        max_in_flight[part] = in_flight.len().max(max_in_flight[part]);
    }
    assert!(
        max_in_flight[1] <= max_in_flight[0] * 2,
        "at most {} in flight at first, then {}",
        max_in_flight[0],
        max_in_flight[1]
    );
}

/// Sends `each` requests every 2 ms for 2 s to eight servers that process one request at a time, and returns
/// how many are in flight at the end. With `stops`, no server answers in the last 0.6 s.
fn in_flight_at_the_end(each: usize, work: Micros, stops: bool) -> usize {
    let mut node = Node::new(Settings { balancers: 1, ..settings() }, servers(1..9));
    let mut in_flight: Vec<(Micros, Micros, RequestId)> = Vec::new();
    let mut idle_at = [0; 9];
    for step in 0..1_000 {
        node.now += 2 * MS;
        let mut actions = Vec::new();
        for _ in 0..each {
            actions.extend(node.arrive(IDEMPOTENT, Some(step % 4)).1);
        }
        let due = |o: &(Micros, Micros, RequestId)| o.0 <= node.now && !(stops && step >= 700);
        let (back, rest): (Vec<_>, Vec<_>) = in_flight.into_iter().partition(due);
        in_flight = rest;
        for (_, sent_at, id) in back {
            actions.extend(node.end_attempt(id, 0, Outcome::Served, node.now - sent_at));
        }
        for action in actions {
            if let Action::Send { request, server, .. } = action {
                let idle = &mut idle_at[server as usize];
                *idle = node.now.max(*idle) + work;
                in_flight.push((*idle, node.now, request));
            }
        }
    }
    in_flight.len()
}

/// A node that has just started has seen few requests, but takes their rate at once: it does not queue the
/// requests of its first seconds.
#[test]
fn limit_adapts_soon_after_the_start() {
    let in_flight = in_flight_at_the_end(1, 14 * MS, true);
    assert!(in_flight > 20, "{in_flight} in flight although the arriving requests need 7");
}

/// The latency of a class without answers is a guess. Counting it for the first answers would raise the limit
/// tenfold.
#[test]
fn latency_guess_does_not_raise_the_limit() {
    let classes = vec![Class { target_latency: 40 * S, deadline: 50 * S, ..class(Idempotency::Idempotent) }];
    let mut node = Node::new(Settings { classes, balancers: 1, ..settings() }, servers(1..9));
    for _ in 0..3 {
        let id = node.arrive(IDEMPOTENT, Some(0)).0;
        node.now += 10 * MS;
        node.end_attempt(id, 0, Outcome::Served, 10 * MS);
    }
    let arrivals = (0..100).map(|n| node.arrive(IDEMPOTENT, Some(n % 4)));
    let sent = arrivals.filter(|(id, actions)| !targets(actions, *id).is_empty()).count();
    assert!((8..=24).contains(&sent), "{sent} in flight at eight servers");
}

/// More requests arrive within quotas than servers can process: the limit follows the served requests.
#[test]
fn burst_does_not_overload_servers() {
    let in_flight = in_flight_at_the_end(4, 10 * MS, false);
    assert!(in_flight <= 80, "{in_flight} in flight at eight servers that take one at a time");
}

/// A queued request is refused before the last moment at which half of the answers would be in time.
/// Otherwise the other half is late and takes capacity from requests that could be in time: under overload a
/// fifth of all answers.
#[test]
fn queued_request_is_refused_once_probably_late() {
    let classes = vec![Class { late_value_fraction: 0.0, ..class(Idempotency::Idempotent) }];
    let mut node = Node::new(Settings { classes, ..settings() }, servers(1..9));
    let arrivals = (0..100).map(|_| node.arrive(IDEMPOTENT, Some(0)));
    let id = arrivals.collect::<Vec<_>>().iter().find(|(id, a)| targets(a, *id).is_empty()).unwrap().0;
    // A quarter of the target latency is the first guess of the median: half of the answers to requests sent
    // at 225 ms are in time.
    assert!(!is_refused(&node.fire_timer(id, 180 * MS), id));
    assert!(is_refused(&node.fire_timer(id, 10 * MS), id));
}

/// A late refusal of a request that was never sent leaves its client no time for an alternative.
#[test]
fn unsent_request_is_refused_within_half_its_time() {
    let refused_with_delay =
        |actions: &[Action], id| actions.contains(&Action::Refuse { request: id, retry_after: 2 * S });
    let queued_request = |node: &mut Node| {
        let arrivals: Vec<_> = (0..100).map(|_| node.arrive(IDEMPOTENT, Some(0))).collect();
        arrivals.iter().rev().find(|(id, a)| targets(a, *id).is_empty() && !is_refused(a, *id)).unwrap().0
    };
    let mut node = Node::new(Settings { max_retry_after: 2 * S, ..settings() }, servers(1..9));
    let id = queued_request(&mut node);
    // First it may still be in time, then it misses the target latency, but the client still waits.
    assert!(!is_refused(&node.fire_timer(id, 200 * MS), id));
    assert!(!is_refused(&node.fire_timer(id, 100 * MS), id));
    assert!(refused_with_delay(&node.fire_timer(id, 151 * MS), id));
    // Beyond its tenant's quota, it is refused before it misses the target latency.
    let tenants = vec![Tenant { quota_per_s: 4.0, share: 1.0 }];
    let classes = vec![Class { target_latency: 800 * MS, ..class(Idempotency::Idempotent) }];
    let tight = Settings { max_retry_after: 2 * S, tenants, classes, ..settings() };
    let mut node = Node::new(tight, servers(1..9));
    let id = queued_request(&mut node);
    assert!(!is_refused(&node.fire_timer(id, 400 * MS), id));
    assert!(refused_with_delay(&node.fire_timer(id, 51 * MS), id));
}

/// If all servers fail alike, ejecting each for its part of the failures would only cost capacity.
#[test]
fn failures_of_all_servers_eject_none() {
    let mut node = Node::new(settings(), servers(1..9));
    let one = |node: &mut Node, outcome| {
        let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
        node.now += MS;
        node.end_attempt(id, 0, outcome, MS);
        targets(&actions, id)[0]
    };
    for _ in 0..20 {
        one(&mut node, Outcome::Error);
    }
    node.now += S;
    let last = one(&mut node, Outcome::Error);
    node.now += 200 * MS;
    let requests: Vec<_> = (0..12).map(|_| node.arrive(NON_IDEMPOTENT, Some(0))).collect();
    assert!(requests.iter().any(|(id, actions)| targets(actions, *id).contains(&last)));
}

/// The settings of one of many nodes.
fn settings_at_many_nodes(nodes: u32, rank: u32) -> Settings {
    Settings { balancers: nodes, rank, ..settings() }
}

/// Serves requests of one tenant one after the other, and counts them by server.
fn requests_by_server(node: &mut Node, requests: usize) -> BTreeMap<ServerId, usize> {
    let mut received = BTreeMap::new();
    for _ in 0..requests {
        let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
        targets(&actions, id).iter().for_each(|to| *received.entry(*to).or_default() += 1);
        node.now += 200 * MS;
        node.end_attempt(id, 0, Outcome::Served, 20 * MS);
    }
    received
}

/// If one of hundreds of nodes spread its requests over a whole pool, it would send one per minute to each
/// server: its own counts would not tell their load, and each request would open a connection.
#[test]
fn each_of_many_nodes_prefers_few_servers() {
    let mut all: BTreeMap<ServerId, usize> = BTreeMap::new();
    for rank in 0..200 {
        let received =
            requests_by_server(&mut Node::new(settings_at_many_nodes(200, rank), servers(1..41)), 20);
        assert!(received.len() <= 3, "node {rank} used {} servers", received.len());
        received.into_iter().for_each(|(to, n)| *all.entry(to).or_default() += n);
    }
    let (fewest, most) = (all.values().min().unwrap(), all.values().max().unwrap());
    assert!(all.len() >= 16 && most < &(fewest * 3), "{all:?}");
}

/// If the larger of two idle servers won every comparison, the largest machines would be full while small
/// ones are idle.
#[test]
fn idle_servers_are_drawn_by_size_at_many_nodes() {
    let sized = |s: ServerEntry| ServerEntry { weight: if s.id.is_multiple_of(2) { 3.0 } else { 1.0 }, ..s };
    let (mut large, mut small) = (0, 0);
    for rank in 0..200 {
        let list: Vec<_> = servers(1..41).into_iter().map(sized).collect();
        for (to, n) in requests_by_server(&mut Node::new(settings_at_many_nodes(200, rank), list), 10) {
            *(if to % 2 == 0 { &mut large } else { &mut small }) += n;
        }
    }
    assert!(small * 2 < large && large < small * 6, "{large} to large servers, {small} to small ones");
}

/// A server that does not answer the node's only attempt is not picked again.
#[test]
fn silent_preferred_server_is_skipped() {
    let mut node = Node::new(settings_at_many_nodes(200, 3), servers(1..41));
    let (first, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
    let silent = targets(&actions, first)[0];
    for _ in 0..20 {
        node.now += 100 * MS;
        let mut at = 0;
        let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
        for to in targets(&actions, id) {
            assert_ne!(to, silent);
            at += 1;
        }
        if at > 0 {
            node.end_attempt(id, 0, Outcome::Served, 20 * MS);
        }
    }
}

/// A live weight is a second old and the same at all nodes: if they drew by it, all would overload the
/// servers that were idle a second ago.
#[test]
fn live_weight_does_not_change_the_size() {
    let live = Settings { live_weights: true, ..settings_at_many_nodes(200, 5) };
    let mut node = Node::new(live, servers(1..41));
    let before = requests_by_server(&mut node, 50);
    let busy: Vec<_> =
        servers(1..41).into_iter().map(|s| ServerEntry { weight: 1.0 / s.id as f64, ..s }).collect();
    node.handle(Event::ServerChanges(busy));
    let after = requests_by_server(&mut node, 50);
    assert_eq!(before.keys().collect::<Vec<_>>(), after.keys().collect::<Vec<_>>());
}

/// One attempt from each of hundreds of nodes at once would overload a restarted server.
#[test]
fn cold_servers_get_little_from_many_nodes() {
    let mut cold = 0;
    for rank in 0..200 {
        let mut list = servers(1..41);
        list.iter_mut().filter(|s| s.id % 4 == 0).for_each(|s| s.ready_at = 10 * S);
        let received = requests_by_server(&mut Node::new(settings_at_many_nodes(200, rank), list), 5);
        cold += received.iter().filter(|(to, _)| *to % 4 == 0).map(|(_, n)| n).sum::<usize>();
    }
    assert!(
        cold > 0 && cold < 1_000 / 4 / 2,
        "{cold} of 1000 requests to a quarter of the servers, all cold"
    );
}

/// Answers come so late that more requests would make all answers late: requests beyond a quota are not
/// admitted any more, and fewer within it. One of few nodes queues requests instead.
#[test]
fn one_of_many_nodes_sheds_when_attempts_wait() {
    for (nodes, sheds) in [(200, true), (2, false)] {
        let mut node = Node::new(settings_at_many_nodes(nodes, 0), servers(1..41));
        requests_by_server(&mut node, 30);
        let mut refusals = 0;
        for _ in 0..40 {
            let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
            if is_refused(&actions, id) {
                refusals += 1;
                continue;
            }
            node.now += 290 * MS;
            node.end_attempt(id, 0, Outcome::Served, 290 * MS);
        }
        assert_eq!(refusals > 5, sheds, "{refusals} of 40 refused at {nodes} nodes");
    }
}

/// One in five answers takes long because work varies: at idle servers that is no overload, and no request
/// within a quota may be refused for it, nor for what another tenant sends beyond its quota.
#[test]
fn one_of_many_nodes_admits_requests_within_quota() {
    let mut settings = settings_at_many_nodes(100, 0);
    (settings.tenants[0].quota_per_s, settings.tenants[1].quota_per_s) = (100.0, 4_000.0);
    let mut node = Node::new(settings, servers(1..61));
    let mut admitted = [0; 2];
    for n in 0..400_usize {
        node.now += 50 * MS;
        for (tenant, count) in [0, 1].into_iter().zip(&mut admitted) {
            let (id, actions) = node.arrive(IDEMPOTENT, Some(tenant));
            if !targets(&actions, id).is_empty() {
                *count += 1;
                node.end_attempt(id, 0, Outcome::Served, if n % 5 == 4 { 200 * MS } else { 25 * MS });
            }
        }
    }
    // Tenant 0 sends twenty times its quota at this node; the first four requests are the burst.
    assert!((20..60).contains(&admitted[0]), "{} of 400 beyond the quota were admitted", admitted[0]);
    assert!(admitted[1] > 390, "{} of 400 within the quota were admitted", admitted[1]);
}

/// Arrivals at one of many nodes vary: two requests at once in the node's own pool are within its part of the
/// capacity on average, and are not queued. The third one uses capacity that another pool lends.
#[test]
fn one_of_many_nodes_admits_small_bursts() {
    let mut node = Node::new(settings_at_many_nodes(100, 0), servers(1..61));
    // These requests need more than the initial limit, so that the capacity grows towards half an attempt.
    requests_by_server(&mut node, 300);
    let sent_at_once = |node: &mut Node| {
        let ids: Vec<_> = (0..4).map(|_| node.arrive(NON_IDEMPOTENT, Some(0))).collect();
        let sent: Vec<_> = ids.iter().filter(|(id, actions)| !targets(actions, *id).is_empty()).collect();
        sent.len()
    };
    assert_eq!(sent_at_once(&mut node), 3);
}

/// Two servers in three have just started with a fifth of their capacity: together they have 40 parts of 140.
#[test]
fn starting_servers_get_work_by_capacity() {
    let list: Vec<ServerEntry> = servers(1..61)
        .into_iter()
        .map(|s| ServerEntry { ready_at: if s.id.is_multiple_of(3) { 0 } else { 10 * S }, ..s })
        .collect();
    let (mut cold, mut all) = (0, 0);
    for rank in 0..100 {
        let mut node =
            Node::new(Settings { overload_factor: 3.0, ..settings_at_many_nodes(100, rank) }, list.clone());
        for n in 0..40 {
            let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(n % 4));
            let to = targets(&actions, id)[0];
            node.end_attempt(id, 0, Outcome::Served, 20 * MS);
            cold += u32::from(!to.is_multiple_of(3));
            all += 1;
        }
    }
    let part = f64::from(cold) / f64::from(all);
    assert!((0.22..0.35).contains(&part), "a part of {part:.2} went to starting servers");
}

/// After the loss of a zone, or a release that the list does not show yet, most servers refuse connections
/// from all nodes. Each is tried rarely, no request uses up its attempts at them, and a server that is back
/// is used again.
#[test]
fn refusing_servers_back_off_even_as_a_majority() {
    let mut nodes: Vec<Node> =
        (0..100).map(|rank| Node::new(settings_at_many_nodes(100, rank), servers(1..61))).collect();
    let is_gone = |id: ServerId| id % 5 < 3;
    let mut run = |seconds: u64, back: bool| {
        let (mut refused_connects, mut unserved, mut used) = (0, 0, BTreeSet::new());
        for step in 0..seconds * 7 {
            for (rank, node) in (0_u64..).zip(&mut nodes) {
                let tenant = ((step + rank) % 4) as u32;
                let (id, mut actions) = node.arrive(IDEMPOTENT, Some(tenant));
                let mut served = false;
                for attempt in 0..4 {
                    let Some(to) = targets(&actions, id).first().copied() else { break };
                    served = back || !is_gone(to);
                    let (outcome, elapsed) = match served {
                        true => (Outcome::Served, 20 * MS),
                        false => (Outcome::ConnectFailed, MS),
                    };
                    actions = node.end_attempt(id, attempt, outcome, elapsed);
                    refused_connects += u32::from(!served);
                    used.extend(served.then_some(to));
                }
                unserved += u32::from(!served);
                node.now += 140 * MS;
            }
        }
        (refused_connects, unserved, used.len())
    };
    let early = run(3, false);
    let late = run(5, false);
    assert!(
        late.0 < 900,
        "{early:?}, then {late:?} of 3500 requests: refused connections, requests not served, servers used"
    );
    assert!(
        late.1 < 40,
        "{early:?}, then {late:?} of 3500 requests: refused connections, requests not served, servers used"
    );
    let back = run(20, true);
    assert!(back.2 > 50, "only {} servers of 60 are used", back.2);
}

/// Queueing delays decay: a node that sheds all requests would otherwise never learn that the overload is
/// over.
#[test]
fn shedding_ends_without_attempts() {
    let mut node = Node::new(settings_at_many_nodes(200, 0), servers(1..41));
    requests_by_server(&mut node, 30);
    for _ in 0..40 {
        let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
        if !is_refused(&actions, id) {
            node.now += 290 * MS;
            node.end_attempt(id, 0, Outcome::Served, 290 * MS);
        }
    }
    node.now += 4 * S;
    let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
    assert!(!is_refused(&actions, id));
}

#[test]
fn unusual_valid_input_is_handled() {
    let mut node = Node::new(settings(), servers(1..5));
    node.now = 5 * S;
    let (id, _) = node.arrive(IDEMPOTENT, Some(0));
    node.handle(Event::ServerChanges(vec![
        server(2),
        server(2),
        ServerEntry { ready_at: u64::MAX, ..server(3) },
    ]));
    node.now = 20 * S;
    node.end_attempt(id, 0, Outcome::Served, MS);
    node.end_attempt(id, 7, Outcome::Error, MS);
    let request =
        Request { id: 900, class: 99, remaining: 0, expected_work: None, key: None, tenant: Some(77) };
    assert!(is_refused(&node.handle(Event::RequestArrived(request)), 900), "an unknown class is refused");
    let request = Request { id: 901, class: IDEMPOTENT, expected_work: Some(u64::MAX), ..request };
    assert!(
        is_refused(&node.handle(Event::RequestArrived(request)), 901),
        "a request without time left is refused"
    );
    node.handle(Event::ResponseStreamStarted(12_345, 3));
    node.handle(Event::ClientLeft(12_345));
    node.handle(Event::TimerFired(12_345));
    assert_eq!(node.balancer.tracked_requests(), 0);
    let mut unlisted = Balancer::new(settings(), 1).unwrap();
    let mut actions = Vec::new();
    unlisted.handle(
        S,
        Event::RequestArrived(Request { id: 1, class: IDEMPOTENT, remaining: S, ..request }),
        &mut actions,
    );
    assert!(is_refused(&actions, 1), "a request before any server list is refused");
}

/// A request that a starting server rejects is work for it too. Without a rule against it, the server would
/// get each request again from each of many nodes once they have waited.
#[test]
fn starting_server_gets_no_request_twice() {
    let list = servers(1..3).into_iter().map(|s| ServerEntry { ready_at: 10 * S, ..s }).collect();
    let classes = vec![Class { target_latency: 40 * S, deadline: 50 * S, ..class(Idempotency::Idempotent) }];
    let mut node =
        Node::new(Settings { classes, overload_factor: 4.0, ..settings_at_many_nodes(9, 0) }, list);
    for _ in 0..20 {
        node.last_id += 1;
        let id = node.last_id;
        let request =
            Request { id, class: 0, remaining: 30 * S, expected_work: None, key: None, tenant: Some(0) };
        let actions = node.handle(Event::RequestArrived(request));
        let mut received = targets(&actions, id);
        for attempt in 0..2 {
            let mut actions = node.end_attempt(id, attempt, Outcome::Rejected, MS);
            // The wait is longer than the backoff after any refusal.
            for _ in 0..20 {
                received.extend(targets(&actions, id));
                node.now += 300 * MS;
                actions = node.handle(Event::TimerFired(u64::MAX - 1));
            }
        }
        let distinct: BTreeSet<ServerId> = received.iter().copied().collect();
        assert_eq!(distinct.len(), received.len(), "{received:?}");
        node.now += 10 * S;
    }
}

/// The settings of one of many nodes whose tenants have hardly any share, so that each label's pool has the
/// minimum size.
fn settings_with_small_pools(nodes: u32, rank: u32) -> Settings {
    let mut settings = Settings { overload_factor: 3.0, ..settings_at_many_nodes(nodes, rank) };
    settings.tenants.iter_mut().for_each(|t| t.share = 0.01);
    settings
}

/// If hundreds of nodes whose own pool is full sent all excess requests to the first small pool, its four
/// servers of 160 would get the excess of the whole fleet, and reject most of it.
#[test]
fn small_pool_lends_by_its_size() {
    let tenants = [Some(0), Some(1), Some(2), Some(3)];
    let pools = servers_reached(&mut Node::new(settings_with_small_pools(1, 0), servers(1..161)), &tenants);
    let mut lent: BTreeMap<Option<u32>, usize> = BTreeMap::new();
    for rank in 0..200 {
        let mut node = Node::new(settings_with_small_pools(200, rank), servers(1..161));
        node.last_id = 1000 * RequestId::from(rank);
        // These requests are not answered, and fill the unlabelled pool; the following ones are answered at
        // once.
        (0..3).for_each(|_| drop(node.arrive(NON_IDEMPOTENT, None)));
        for _ in 0..4 {
            let (id, actions) = node.arrive(NON_IDEMPOTENT, None);
            for to in targets(&actions, id) {
                let of = pools.iter().find(|(_, pool)| pool.contains(&to)).map(|(tenant, _)| *tenant);
                of.into_iter().for_each(|tenant| *lent.entry(tenant).or_default() += 1);
                node.end_attempt(id, 0, Outcome::Served, 20 * MS);
            }
        }
    }
    let most = lent.values().max().copied().unwrap_or(0);
    assert!(most > 0, "nothing was lent");
    assert!(most < 800 / 4, "{most} of 800 requests were lent to four servers of 160: {lent:?}");
}

/// If hundreds of nodes whose own pool is full each sent one attempt to a small pool that lends, its member
/// that warms up would be overloaded, whether it has just started or is nearly warm.
#[test]
fn small_pool_lends_little_of_a_starting_server() {
    let pool = servers_reached(&mut Node::new(settings_with_small_pools(1, 0), servers(1..161)), &[Some(0)])
        [&Some(0)]
        .clone();
    let starting = *pool.iter().next().unwrap();
    for age in [0, settings().warm_up / 10 * 9] {
        let (mut warm, mut cold) = (0, 0);
        for rank in 0..200 {
            let mut list = servers(1..161);
            list.iter_mut().filter(|s| s.id == starting).for_each(|s| s.ready_at = 100 * S - age);
            let mut node = Node::new(settings_with_small_pools(200, rank), list);
            (node.last_id, node.now) = (1000 * RequestId::from(rank), 100 * S);
            // No request is answered: the unlabelled pool is soon full, and the others lend.
            for _ in 0..12 {
                let (id, actions) = node.arrive(NON_IDEMPOTENT, None);
                for to in targets(&actions, id).into_iter().filter(|to| pool.contains(to)) {
                    *(if to == starting { &mut cold } else { &mut warm }) += 1;
                }
            }
        }
        let each = warm / (pool.len() - 1);
        assert!(each > 20, "{warm} attempts were lent to {pool:?}");
        let part = if age == 0 { 20 } else { 4 };
        assert!(
            cold * part <= each,
            "{cold} attempts to the server that is {age} us old, {each} to each other one"
        );
    }
}
