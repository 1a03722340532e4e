//! Scenarios of one node, told through the module's interface.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use cherryusher::*;
use common::*;

/// Serves many requests of each tenant and tells which servers each one reached.
fn reached(node: &mut Node, tenants: &[Option<u32>]) -> BTreeMap<Option<u32>, BTreeSet<ServerId>> {
    let mut seen: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
    for _ in 0..200 {
        for &tenant in tenants {
            let (id, actions) = node.arrive(SAFE, tenant);
            seen.entry(tenant).or_default().extend(sends(&actions, id));
            node.now += 10 * MS;
            node.end(id, 0, Outcome::Served, 10 * MS);
        }
    }
    seen
}

#[test]
fn tenants_keep_to_disjoint_pools_of_four_or_more() {
    let mut node = Node::new(settings(), servers(1..11));
    let seen = reached(&mut node, &[Some(0), Some(1), Some(2), Some(3)]);
    let pools: BTreeSet<_> = seen.values().cloned().collect();
    assert!(pools.len() > 1, "all tenants share one pool");
    for pool in &pools {
        assert!(pool.len() >= 4);
        assert!(pools.iter().all(|other| other == pool || other.is_disjoint(pool)));
    }
}

#[test]
fn tenantless_requests_keep_to_unlabelled_servers() {
    let mut half = settings();
    half.tenants.iter_mut().for_each(|t| t.share = 0.15);
    let mut node = Node::new(half, servers(1..21));
    let seen = reached(&mut node, &[None, Some(0), Some(1), Some(2), Some(3)]);
    let labelled: BTreeSet<_> = seen.iter().filter(|(t, _)| t.is_some()).flat_map(|(_, s)| s).collect();
    assert!(seen[&None].len() >= 4 && seen[&None].iter().all(|s| !labelled.contains(s)));
}

#[test]
fn an_empty_pool_borrows_from_all_ready_servers() {
    let mut node = Node::new(settings(), servers(1..4));
    let seen = reached(&mut node, &[None, Some(0), Some(1), Some(2), Some(3)]);
    assert!(seen.values().all(|servers| servers.len() == 3));
}

#[test]
fn refuses_for_want_of_servers_only_when_none_is_ready() {
    let mut node = Node::new(settings(), servers(1..2));
    let (id, actions) = node.arrive(SAFE, Some(0));
    assert_eq!(sends(&actions, id), [1]);
    let draining = ServerEntry { state: ServerState::Draining, ..server(1) };
    node.tell(Event::ServerChanges(vec![draining]));
    let (id, actions) = node.arrive(SAFE, Some(0));
    assert!(refused(&actions, id) && sends(&actions, id).is_empty());
}

#[test]
fn an_unsafe_request_goes_again_only_when_it_surely_never_ran() {
    let mut node = Node::new(settings(), servers(1..11));
    let (id, _) = node.arrive(UNSAFE, Some(0));
    let actions = node.end(id, 0, Outcome::Rejected, MS);
    assert_eq!(sends(&actions, id).len(), 1);
    let actions = node.end(id, 1, Outcome::Reset, MS);
    assert!(failed(&actions, id) && sends(&actions, id).is_empty());
}

#[test]
fn a_keyed_request_goes_again_within_its_group_and_window() {
    let mut node = Node::new(settings(), servers(1..41));
    let (id, first) = node.arrive(BY_CELL, Some(0));
    let first = sends(&first, id)[0];
    let again = node.end(id, 0, Outcome::Error, MS);
    let again = sends(&again, id);
    assert!(again.len() == 1 && again[0] % 3 == first % 3);
    let (id, _) = node.arrive(BY_CELL, Some(0));
    node.now += 500 * MS;
    let actions = node.end(id, 0, Outcome::Error, 500 * MS);
    assert!(failed(&actions, id), "its servers have forgotten it");
}

impl Node {
    /// A request that is passed on as it comes, for up to 20 s.
    fn arrive_in_part(&mut self, class: usize, tenant: Option<u32>) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = self.next;
        let request = Request { id, class, remaining: S, expected_work: None, key: None, tenant };
        let upload = Upload { expected_duration: 5 * S, max_duration: 20 * S };
        (id, self.tell(Event::StreamedRequestArrived(request, upload)))
    }
}

#[test]
fn a_request_that_is_passed_on_is_sent_once_unless_nothing_of_it_is_gone() {
    let mut node = Node::new(settings(), servers(1..11));
    let (id, _) = node.arrive_in_part(BY_ALL, Some(0));
    assert_eq!(sends(&node.end(id, 0, Outcome::ConnectFailed, MS), id).len(), 1, "all of it is there");
    node.tell(Event::BodyConsumed(id));
    let actions = node.end(id, 1, Outcome::ConnectFailed, MS);
    assert!(refused(&actions, id) && sends(&actions, id).is_empty(), "it has not run");
    let (id, _) = node.arrive_in_part(UNSAFE, Some(0));
    node.tell(Event::BodyReceived(id, S));
    node.tell(Event::BodyConsumed(id));
    assert!(failed(&node.end(id, 0, Outcome::Reset, MS), id), "it may have");
}

#[test]
fn a_request_that_is_passed_on_has_its_time_from_its_last_byte() {
    let mut node = Node::new(settings(), servers(1..11));
    let (id, first) = node.arrive_in_part(UNSAFE, Some(0));
    assert_eq!(sends(&first, id).len(), 1);
    // No copy, and no end, long after it would have been late.
    for _ in 0..10 {
        let actions = node.wake(id, S);
        assert!(matches!(actions[..], [] | [Action::SetTimer { .. }]), "{actions:?}");
    }
    node.tell(Event::BodyReceived(id, S));
    let actions = node.wake(id, 900 * MS);
    assert!(matches!(actions[..], [] | [Action::SetTimer { .. }]), "{actions:?}");
    let actions = node.wake(id, 95 * MS);
    assert!(failed(&actions, id), "{actions:?}");
}

/// Uploads of 64 kB a second took up all room for seconds, and what was whole waited behind them.
#[test]
fn what_is_still_coming_takes_no_room_at_servers() {
    let mut node = Node::new(settings(), servers(1..11));
    for n in 0..400 {
        let (id, actions) = node.arrive_in_part(UNSAFE, (n % 5 < 4).then_some(n % 5));
        assert_eq!(sends(&actions, id).len(), 1, "its server is not at work yet");
    }
    let (id, actions) = node.arrive(SAFE, Some(0));
    assert_eq!(sends(&actions, id).len(), 1);
    node.end(id, 0, Outcome::Served, 10 * MS);
    // Once they are whole, they do.
    for id in 1..=400 {
        node.tell(Event::BodyReceived(id, S));
    }
    let (id, actions) = node.arrive(SAFE, Some(0));
    assert_eq!(sends(&actions, id), []);
}

#[test]
fn every_request_is_answered_before_the_client_gives_up() {
    let mut node = Node::new(settings(), servers(1..11));
    for (class, refusable) in [(SAFE, true), (UNSAFE, false), (BY_CELL, false), (BY_ALL, true)] {
        let (id, _) = node.arrive(class, Some(1));
        let actions = node.wake(id, 995 * MS);
        assert_eq!((refused(&actions, id), failed(&actions, id)), (refusable, !refusable));
    }
}

#[test]
fn nothing_is_sent_after_the_client_left() {
    let mut node = Node::new(settings(), servers(1..11));
    let (id, _) = node.arrive(SAFE, Some(0));
    assert_eq!(node.tell(Event::ClientLeft(id)), [Action::Cancel(id, 0)]);
    assert_eq!(sends(&node.end(id, 0, Outcome::Cancelled, MS), id), []);
    assert_eq!(node.end(id, 0, Outcome::Cancelled, MS), [], "an unknown request's outcome is ignored");
}

#[test]
fn the_request_at_a_pausing_server_is_copied() {
    let mut node = Node::new(settings(), servers(1..11));
    let (id, first) = node.arrive(SAFE, Some(0));
    let paused = sends(&first, id)[0];
    let copy = node.wake(id, 250 * MS);
    assert!(sends(&copy, id).len() == 1 && sends(&copy, id)[0] != paused);
}

/// Copies of long requests lose to them and fill servers; copies past pausing servers win.
#[test]
fn copies_fill_a_pool_beyond_half_only_while_some_of_them_win() {
    for winner in [0, 1] {
        let mut node = Node::new(Settings { balancers: 1, ..settings() }, servers(1..11));
        for _ in 0..20 {
            reached(&mut node, &[Some(0)]);
            let (id, _) = node.arrive(SAFE, Some(0));
            assert_eq!(sends(&node.wake(id, 290 * MS), id).len(), 1, "an idle pool has room for a copy");
            node.end(id, winner, Outcome::Served, 250 * MS);
            node.end(id, 1 - winner, Outcome::Cancelled, 250 * MS);
        }
        let ids: Vec<_> = (0..7).map(|_| node.arrive(SAFE, Some(0)).0).collect();
        let copied = !sends(&node.wake(ids[0], 290 * MS), ids[0]).is_empty();
        assert_eq!(copied, winner == 1, "attempt {winner} had won the races");
    }
}

#[test]
fn a_quickly_failing_server_does_not_win_the_comparisons() {
    let mut node = Node::new(settings(), servers(1..9));
    let (mut bad, mut all) = (0, 0);
    for _ in 0..400 {
        node.now += 5 * MS;
        let (id, actions) = node.arrive(UNSAFE, Some(0));
        let to = sends(&actions, id)[0];
        all += 1;
        bad += u32::from(to % 4 == 1);
        node.end(id, 0, if to % 4 == 1 { Outcome::Error } else { Outcome::Served }, 5 * MS);
    }
    assert!(bad * 10 < all, "{bad} of {all} went to servers that fail");
}

/// Where most servers fail, avoiding them would leave the few others to be crowded: then none is avoided.
#[test]
fn failing_servers_are_avoided_only_while_they_are_at_most_half_of_the_pool() {
    for (bad, avoided) in [(1, true), (3, false)] {
        let mut alone = settings();
        alone.tenants.iter_mut().for_each(|t| t.share = 0.1);
        let mut node = Node::new(alone, servers(1..13));
        let pool: Vec<_> = reached(&mut node, &[Some(0)]).remove(&Some(0)).unwrap().into_iter().collect();
        assert_eq!(pool.len(), 4);
        let failing = &pool[..bad];
        for _ in 0..100 {
            let (id, actions) = node.arrive(UNSAFE, Some(0));
            let fails = failing.contains(&sends(&actions, id)[0]);
            node.now += MS;
            node.end(id, 0, if fails { Outcome::Error } else { Outcome::Served }, MS);
        }
        let met = (0..40).map(|_| {
            let (id, actions) = node.arrive(UNSAFE, Some(0));
            let to = sends(&actions, id)[0];
            node.end(id, 0, if failing.contains(&to) { Outcome::Error } else { Outcome::Served }, MS);
            failing.contains(&to)
        });
        assert_eq!(met.filter(|failing| *failing).count() == 0, avoided, "{bad} of 4 fail");
    }
}

#[test]
fn in_share_work_goes_before_work_beyond_the_share() {
    let mut tight = settings();
    tight.tenants = vec![Tenant { quota_per_s: 20.0, share: 1.0 }];
    let mut node = Node::new(tight, servers(1..5));
    let mut sent: Vec<RequestId> = Vec::new();
    let note = |actions: &[Action], sent: &mut Vec<RequestId>| {
        sent.extend(actions.iter().filter_map(|a| match a {
            Action::Send { request, .. } => Some(*request),
            _ => None,
        }));
    };
    for _ in 0..30 {
        note(&node.arrive(SAFE, Some(0)).1, &mut sent);
    }
    node.now += 110 * MS;
    let (late, actions) = node.arrive(SAFE, Some(0));
    note(&actions, &mut sent);
    for at in 0..12 {
        let actions = node.end(sent[at], 0, Outcome::Served, 20 * MS);
        note(&actions, &mut sent);
    }
    let place = |id| sent.iter().position(|s| *s == id);
    let beyond = sent.iter().position(|id| (11..=30).contains(id));
    assert!(place(late).is_some() && beyond.is_some(), "spare room goes to work beyond the share");
    assert!(place(late) < beyond, "{sent:?}");
}

#[test]
fn discovery_is_asked_at_the_start_and_again_after_a_failure() {
    let mut asked = settings();
    asked.discovery = Discovery::Subscribed { max_retry_interval: 10 * S };
    let mut node = Node::new(asked, vec![]);
    assert_eq!(node.tell(Event::CachedServerList(servers(1..3))), [Action::Subscribe]);
    for _ in 0..10 {
        let actions = node.tell(Event::DiscoveryFailed);
        let [Action::SetTimer { after, token }] = actions[..] else { panic!("{actions:?}") };
        assert!((100 * MS..=10 * S).contains(&after));
        assert_eq!(node.tell(Event::TimerFired(token)), [Action::Subscribe]);
    }
}

/// A change counts as told 6 s after discovery had it and could be reached, however long it was away before. A call may
/// wait 2 s for its turn.
#[test]
fn a_list_that_can_be_had_again_is_asked_for_in_time_however_often_calls_failed() {
    for (nodes, seed) in [(2, 1), (6, 2), (20, 3), (50, 4)] {
        let asked =
            Settings { discovery: Discovery::Subscribed { max_retry_interval: 10 * S }, ..many(nodes, 0) };
        let mut node = Node { balancer: Balancer::new(asked, seed).unwrap(), now: 10 * S, next: 0 };
        for failures in 0..200 {
            let actions = node.tell(Event::DiscoveryFailed);
            let [Action::SetTimer { after, .. }] = actions[..] else { panic!("{actions:?}") };
            assert!(after <= 4 * S, "{after} us after {failures} failures at {nodes} nodes");
        }
    }
}

/// A hundred nodes whose calls failed at one moment come back evenly over a second, and then over a longer span.
#[test]
fn nodes_that_failed_together_do_not_come_back_together() {
    let mut asked = settings();
    asked.discovery = Discovery::Subscribed { max_retry_interval: 10 * S };
    let mut waits = [Vec::new(), Vec::new(), Vec::new()];
    for seed in 0..100 {
        let mut node = Node { balancer: Balancer::new(asked.clone(), seed).unwrap(), now: 10 * S, next: 0 };
        for waits in &mut waits {
            let actions = node.tell(Event::DiscoveryFailed);
            let [Action::SetTimer { after, .. }] = actions[..] else { panic!("{actions:?}") };
            waits.push(after);
        }
    }
    for (waits, longest) in waits.iter().zip([S, 2 * S, 4 * S]) {
        for tenth in 2..10 {
            let from = longest / 10 * tenth;
            let there = waits.iter().filter(|w| (from..from + longest / 10).contains(*w)).count();
            assert!((3..25).contains(&there), "{there} of 100 from {from} us on");
        }
    }
}

/// A service that takes 50 ms for each call has time for 20 a second: a hundred nodes that come back faster keep it
/// at calls that have waited too long, for ever. Yet each has to ask every 10 s.
#[test]
fn a_hundred_nodes_leave_their_list_service_time_for_all_of_them() {
    let mut asked = many(100, 0);
    asked.discovery = Discovery::Subscribed { max_retry_interval: 10 * S };
    let mut calls = vec![0; 20];
    for seed in 0..100 {
        let mut node = Node { balancer: Balancer::new(asked.clone(), seed).unwrap(), now: 10 * S, next: 0 };
        let mut at = 0;
        while at < 20 * S {
            let actions = node.tell(Event::DiscoveryFailed);
            let [Action::SetTimer { after, .. }] = actions[..] else { panic!("{actions:?}") };
            assert!(after <= 8 * S);
            // Each call waits for 2 s in vain.
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
fn a_cold_server_gets_little() {
    let mut list = servers(1..9);
    list[0].ready_at = 10 * S;
    let mut node = Node::new(settings(), list);
    let mut cold = 0;
    for _ in 0..400 {
        node.now += 5 * MS;
        let (id, actions) = node.arrive(SAFE, Some((node.next % 4) as u32));
        cold += u32::from(sends(&actions, id) == [1]);
        node.end(id, 0, Outcome::Served, 5 * MS);
    }
    assert!(cold <= 400 / 8, "{cold} of 400 went to the cold server");
}

#[test]
fn nonsense_settings_are_turned_down() {
    let cases: [fn(&mut Settings); 4] =
        [|s| s.classes.clear(), |s| s.balancers = 0, |s| s.rank = 2, |s| s.cold_capacity = f64::NAN];
    for spoil in cases {
        let mut s = settings();
        spoil(&mut s);
        assert!(Balancer::new(s, 1).is_err());
    }
}

#[test]
fn a_started_stream_belongs_to_the_client() {
    let mut node = Node::new(settings(), servers(1..11));
    let (id, _) = node.arrive(SAFE, Some(0));
    let copy = node.wake(id, 250 * MS);
    assert_eq!(sends(&copy, id).len(), 1);
    assert_eq!(
        node.tell(Event::ResponseStreamStarted(id, 0)),
        [Action::Cancel(id, 1)],
        "its copy is not needed"
    );
    assert_eq!(node.wake(id, 5 * S), [], "its deadline has halted");
    node.end(id, 1, Outcome::Cancelled, S);
    node.end(id, 0, Outcome::Served, 5 * S);
    assert_eq!(node.balancer.tracked_requests(), 0);
}

#[test]
fn a_full_pool_is_helped_only_by_one_that_is_half_free() {
    let pools = |node: &mut Node| reached(node, &[Some(0), Some(1), Some(2), Some(3)]);
    let mut quiet = Node::new(settings(), servers(1..11));
    let own = pools(&mut quiet);
    let mut node = Node::new(settings(), servers(1..11));
    let mut lent = 0;
    for _ in 0..30 {
        let (id, actions) = node.arrive(SAFE, Some(0));
        lent += sends(&actions, id).iter().filter(|s| !own[&Some(0)].contains(s)).count();
    }
    let other = own.iter().find(|(_, pool)| **pool != own[&Some(0)]).unwrap();
    assert!(lent > 0, "the idle pool helps");
    assert!(lent * 2 <= other.1.len() + 1, "{lent} of its servers' places were lent");
    let (id, actions) = node.arrive(SAFE, *other.0);
    assert_eq!(sends(&actions, id).len(), 1, "its own tenants still find room");
}

/// All servers answer four times slower than they did, always late: the limit must not shrink to nothing.
#[test]
fn a_slowdown_of_all_servers_does_not_close_them() {
    let mut node = Node::new(settings(), servers(1..9));
    let mut out: Vec<(Micros, RequestId)> = Vec::new();
    let mut sent = [0, 0];
    for step in 0..4_000 {
        let slow = usize::from(step >= 2_000);
        node.now += 5 * MS;
        let mut actions = node.arrive(SAFE, Some((step % 4) as u32)).1;
        let due: Vec<_> = out.iter().filter(|(at, _)| *at <= node.now).map(|(_, id)| *id).collect();
        out.retain(|(at, _)| *at > node.now);
        for id in due {
            actions.extend(node.end(id, 0, Outcome::Served, if slow == 1 { 400 * MS } else { 100 * MS }));
        }
        for action in actions {
            if let Action::Send { request, .. } = action {
                out.push((node.now + if slow == 1 { 400 * MS } else { 100 * MS }, request));
                sent[slow] += 1;
            }
        }
    }
    assert!(sent[1] * 3 > sent[0], "{} sent before, {} while slow", sent[0], sent[1]);
}

#[test]
fn a_key_keeps_to_two_servers_only_where_they_are_warm_for_it() {
    for (warm, few) in [(true, true), (false, false)] {
        let mut node = Node::new(Settings { key_affinity: warm, ..settings() }, servers(1..11));
        let mut seen = BTreeSet::new();
        for id in 1..=200 {
            let request =
                Request { id, class: SAFE, remaining: S, expected_work: None, key: Some(9), tenant: Some(0) };
            seen.extend(sends(&node.tell(Event::RequestArrived(request)), id));
            node.now += 10 * MS;
            node.end(id, 0, Outcome::Served, 10 * MS);
        }
        assert_eq!(seen.len() <= 2, few, "warm {warm}: {seen:?}");
    }
}

/// Crossing needlessly was the largest price, and every server that more nodes share fills less evenly.
#[test]
fn work_stays_in_the_own_zone_while_that_has_room_and_only_where_crossing_is_priced() {
    for (price, stays) in [(0.01, true), (0.0, false)] {
        let list: Vec<_> =
            servers(1..11).into_iter().map(|s| ServerEntry { zone: (s.id % 2) as u8, ..s }).collect();
        let mut node = Node::new(Settings { cross_zone_price: price, balancers: 1, ..settings() }, list);
        let mut own = 0;
        let mut out = std::collections::VecDeque::new();
        for _ in 0..200 {
            let (id, actions) = node.arrive(SAFE, Some(0));
            own += usize::from(sends(&actions, id)[0].is_multiple_of(2));
            out.push_back(id);
            if out.len() > 1 {
                node.now += 10 * MS;
                node.end(out.pop_front().unwrap(), 0, Outcome::Served, 10 * MS);
            }
        }
        assert_eq!(own == 200, stays, "{own} of 200 stayed in the own zone at price {price}");
        let met = (0..200).flat_map(|_| {
            let (id, actions) = node.arrive(SAFE, Some(0));
            sends(&actions, id)
        });
        assert!(met.collect::<Vec<_>>().iter().any(|s| s % 2 == 1), "a full zone was never left");
    }
}

/// Servers of three times the size carry three times as much of this node's work once all are full.
#[test]
fn room_follows_weight() {
    let sized =
        |s: ServerEntry| ServerEntry { weight: if s.id.is_multiple_of(2) { 30.0 } else { 10.0 }, ..s };
    let list: Vec<_> = servers(1..13).into_iter().map(sized).collect();
    let mut node = Node::new(Settings { balancers: 1, ..settings() }, list);
    let mut in_flight = [0, 0];
    for n in 0..200 {
        let (id, actions) = node.arrive(SAFE, Some(n % 4));
        sends(&actions, id).iter().for_each(|s| in_flight[(s % 2) as usize] += 1);
    }
    let [large, small] = in_flight;
    assert!(small > 0 && large >= small * 2, "{large} at six large servers, {small} at six small ones");
}

#[test]
fn servers_that_state_no_weight_are_used_alike() {
    let list: Vec<_> = servers(1..9).into_iter().map(|s| ServerEntry { weight: 0.0, ..s }).collect();
    let mut node = Node::new(Settings { balancers: 1, ..settings() }, list);
    let arrivals = (0..100).map(|n| node.arrive(SAFE, Some(n % 4)));
    let used: BTreeSet<_> = arrivals.flat_map(|(id, actions)| sends(&actions, id)).collect();
    assert_eq!(used.len(), 8);
}

/// One server joins, then leaves again: few tenants' servers change.
#[test]
fn the_table_moves_little_on_a_list_change() {
    let tenants = [Some(0), Some(1), Some(2), Some(3)];
    let ten = reached(&mut Node::new(settings(), servers(1..11)), &tenants);
    let eleven = reached(&mut Node::new(settings(), servers(1..12)), &tenants);
    for tenant in tenants {
        let left = ten[&tenant].difference(&eleven[&tenant]).count();
        assert!(left <= 2, "tenant {tenant:?} lost {left} servers to one newcomer");
    }
}

/// Repeats of refused over-share work come back into the same overload; in-share work may return at once.
#[test]
fn only_refused_over_share_work_is_asked_to_stay_away() {
    let mut tight = Settings { max_retry_after: 2 * S, ..settings() };
    tight.tenants = vec![Tenant { quota_per_s: 4.0, share: 1.0 }];
    let mut node = Node::new(tight, servers(1..5));
    (0..20).for_each(|_| drop(node.arrive(SAFE, Some(0))));
    let stay = |actions: &[Action], id| {
        actions.iter().find_map(|a| match a {
            Action::Refuse { request, retry_after } if *request == id => Some(*retry_after),
            _ => None,
        })
    };
    node.now += 295 * MS;
    assert_eq!(stay(&node.tell(Event::TimerFired(20)), 20), Some(2 * S));
    node.now += 695 * MS;
    assert_eq!(stay(&node.tell(Event::TimerFired(1)), 1), Some(0));
}

/// Answers five times slower than usual, but in time, while more work waits than fits: holding more jams servers.
#[test]
fn the_limit_does_not_grow_while_servers_are_slowed() {
    let mut node = Node::new(settings(), servers(1..9));
    reached(&mut node, &[Some(0), Some(1), Some(2), Some(3)]);
    let (mut out, mut most) = (Vec::<(Micros, RequestId)>::new(), [0, 0]);
    for step in 0..600 {
        node.now += 5 * MS;
        let mut actions = node.arrive(SAFE, Some(step % 4)).1;
        actions.extend(node.arrive(SAFE, Some(step % 4)).1);
        let due: Vec<_> = out.iter().filter(|(at, _)| *at <= node.now).map(|(_, id)| *id).collect();
        out.retain(|(at, _)| *at > node.now);
        for id in due {
            actions.extend(node.end(id, 0, Outcome::Served, 50 * MS));
        }
        for action in actions {
            match action {
                Action::Send { request, .. } => out.push((node.now + 50 * MS, request)),
                Action::SetTimer { token, .. } if token > node.next => {
                    drop(node.tell(Event::TimerFired(token)))
                }
                _ => {}
            }
        }
        let part = usize::from(step >= 100);
        most[part] = out.len().max(most[part]);
    }
    assert!(most[1] <= most[0] * 2, "at most {} in flight at first, then {}", most[0], most[1]);
}

/// Sends some requests each 2 ms for 2 s to eight servers that take one at a time; tells how many are in
/// flight at the end. With `stops`, no server answers any more in the last 0.6 s.
fn in_flight_after(each: usize, work: Micros, stops: bool) -> usize {
    let mut node = Node::new(Settings { balancers: 1, ..settings() }, servers(1..9));
    let mut out: Vec<(Micros, Micros, RequestId)> = Vec::new();
    let mut free_at = [0; 9];
    for step in 0..1_000 {
        node.now += 2 * MS;
        let mut actions = Vec::new();
        for _ in 0..each {
            actions.extend(node.arrive(SAFE, Some(step % 4)).1);
        }
        let due = |o: &(Micros, Micros, RequestId)| o.0 <= node.now && !(stops && step >= 700);
        let (back, rest): (Vec<_>, Vec<_>) = out.into_iter().partition(due);
        out = rest;
        for (_, sent_at, id) in back {
            actions.extend(node.end(id, 0, Outcome::Served, node.now - sent_at));
        }
        for action in actions {
            if let Action::Send { request, server, .. } = action {
                let free = &mut free_at[server as usize];
                *free = node.now.max(*free) + work;
                out.push((*free, node.now, request));
            }
        }
    }
    out.len()
}

/// A node that has just started has seen little, but what it saw at once is its rate: it does not hold
/// back the first seconds' work.
#[test]
fn the_limit_fits_soon_after_the_start() {
    let out = in_flight_after(1, 14 * MS, true);
    assert!(out > 20, "{out} in flight where the arriving work alone keeps 7 busy");
}

/// The time of a class not met yet is a guess: counted for real, the first answers lifted the limit tenfold.
#[test]
fn a_guess_does_not_lift_the_limit() {
    let classes = vec![Class { target_latency: 40 * S, deadline: 50 * S, ..class(Idempotency::Idempotent) }];
    let mut node = Node::new(Settings { classes, balancers: 1, ..settings() }, servers(1..9));
    for _ in 0..3 {
        let id = node.arrive(SAFE, Some(0)).0;
        node.now += 10 * MS;
        node.end(id, 0, Outcome::Served, 10 * MS);
    }
    let arrivals = (0..100).map(|n| node.arrive(SAFE, Some(n % 4)));
    let sent = arrivals.filter(|(id, actions)| !sends(actions, *id).is_empty()).count();
    assert!((8..=24).contains(&sent), "{sent} in flight at eight servers");
}

/// More than servers can do arrives within all shares: the limit follows what they serve.
#[test]
fn a_burst_does_not_jam_the_servers() {
    let out = in_flight_after(4, 10 * MS, false);
    assert!(out <= 80, "{out} in flight at eight servers that take one at a time");
}

/// Held to the last moment at which half of the answers still came in time, the other half was late and had
/// taken room from work that could make it: in overload a fifth of all answers.
#[test]
fn held_work_is_refused_while_its_answer_might_just_be_in_time() {
    let classes = vec![Class { late_value_fraction: 0.0, ..class(Idempotency::Idempotent) }];
    let mut node = Node::new(Settings { classes, ..settings() }, servers(1..9));
    let arrivals = (0..100).map(|_| node.arrive(SAFE, Some(0)));
    let id = arrivals.collect::<Vec<_>>().iter().find(|(id, a)| sends(a, *id).is_empty()).unwrap().0;
    // A quarter of the aim is the first guess at the usual time: half of the aims are met if sent at 225 ms.
    assert!(!refused(&node.wake(id, 180 * MS), id));
    assert!(refused(&node.wake(id, 10 * MS), id));
}

/// A refusal late in a request's time, with nothing ever sent for it, leaves its client no time for anything.
#[test]
fn what_was_never_sent_is_given_up_within_half_of_its_time_and_asked_to_stay_away() {
    let stays =
        |actions: &[Action], id| actions.contains(&Action::Refuse { request: id, retry_after: 2 * S });
    let held = |node: &mut Node| {
        let arrivals: Vec<_> = (0..100).map(|_| node.arrive(SAFE, Some(0))).collect();
        arrivals.iter().rev().find(|(id, a)| sends(a, *id).is_empty() && !refused(a, *id)).unwrap().0
    };
    let mut node = Node::new(Settings { max_retry_after: 2 * S, ..settings() }, servers(1..9));
    let id = held(&mut node);
    // It may still be in time; then it is too late for its aim, but not yet for its client.
    assert!(!refused(&node.wake(id, 200 * MS), id));
    assert!(!refused(&node.wake(id, 100 * MS), id));
    assert!(stays(&node.wake(id, 151 * MS), id));
    // Beyond its tenant's share it does not wait for a miss of the aim.
    let tenants = vec![Tenant { quota_per_s: 4.0, share: 1.0 }];
    let classes = vec![Class { target_latency: 800 * MS, ..class(Idempotency::Idempotent) }];
    let tight = Settings { max_retry_after: 2 * S, tenants, classes, ..settings() };
    let mut node = Node::new(tight, servers(1..9));
    let id = held(&mut node);
    assert!(!refused(&node.wake(id, 400 * MS), id));
    assert!(stays(&node.wake(id, 51 * MS), id));
}

/// Where answers come spoilt from all servers alike, to avoid each for its part of them would only cost room.
#[test]
fn failures_that_befall_all_servers_alike_let_none_be_avoided() {
    let mut node = Node::new(settings(), servers(1..9));
    let one = |node: &mut Node, outcome| {
        let (id, actions) = node.arrive(UNSAFE, Some(0));
        node.now += MS;
        node.end(id, 0, outcome, MS);
        sends(&actions, id)[0]
    };
    for _ in 0..20 {
        one(&mut node, Outcome::Error);
    }
    node.now += S;
    let last = one(&mut node, Outcome::Error);
    node.now += 200 * MS;
    let open: Vec<_> = (0..12).map(|_| node.arrive(UNSAFE, Some(0))).collect();
    assert!(open.iter().any(|(id, actions)| sends(actions, *id).contains(&last)));
}

/// Many nodes: where each server's place in a pool is one of hundreds of nodes' choices.
fn many(nodes: u32, rank: u32) -> Settings {
    Settings { balancers: nodes, rank, ..settings() }
}

/// Serves one request after the other of one tenant and counts what each server got.
fn counts(node: &mut Node, requests: usize) -> BTreeMap<ServerId, usize> {
    let mut got = BTreeMap::new();
    for _ in 0..requests {
        let (id, actions) = node.arrive(UNSAFE, Some(0));
        sends(&actions, id).iter().for_each(|to| *got.entry(*to).or_default() += 1);
        node.now += 200 * MS;
        node.end(id, 0, Outcome::Served, 20 * MS);
    }
    got
}

/// Spread over a whole pool, a node of hundreds met a server once a minute: its counts told nothing, and each
/// request opened a connection.
#[test]
fn a_node_of_many_has_few_first_choices_and_all_nodes_together_use_all_servers() {
    let mut all: BTreeMap<ServerId, usize> = BTreeMap::new();
    for rank in 0..200 {
        let got = counts(&mut Node::new(many(200, rank), servers(1..41)), 20);
        assert!(got.len() <= 3, "node {rank} used {} servers", got.len());
        got.into_iter().for_each(|(to, n)| *all.entry(to).or_default() += n);
    }
    let (least, most) = (all.values().min().unwrap(), all.values().max().unwrap());
    assert!(all.len() >= 16 && most < &(least * 3), "{all:?}");
}

/// With nothing in flight at either of two members, the larger won every comparison: the largest machines were
/// full while small ones idled.
#[test]
fn idle_members_are_drawn_by_size_at_many_nodes() {
    let sized = |s: ServerEntry| ServerEntry { weight: if s.id.is_multiple_of(2) { 3.0 } else { 1.0 }, ..s };
    let (mut large, mut small) = (0, 0);
    for rank in 0..200 {
        let list: Vec<_> = servers(1..41).into_iter().map(sized).collect();
        for (to, n) in counts(&mut Node::new(many(200, rank), list), 10) {
            *(if to % 2 == 0 { &mut large } else { &mut small }) += n;
        }
    }
    assert!(small * 2 < large && large < small * 6, "{large} to large servers, {small} to small ones");
}

/// The server that has a node's only attempt in flight, and does not answer, is not chosen again.
#[test]
fn a_silent_first_choice_is_passed_over() {
    let mut node = Node::new(many(200, 3), servers(1..41));
    let (first, actions) = node.arrive(UNSAFE, Some(0));
    let silent = sends(&actions, first)[0];
    for _ in 0..20 {
        node.now += 100 * MS;
        let mut at = 0;
        let (id, actions) = node.arrive(UNSAFE, Some(0));
        for to in sends(&actions, id) {
            assert_ne!(to, silent);
            at += 1;
        }
        if at > 0 {
            node.end(id, 0, Outcome::Served, 20 * MS);
        }
    }
}

/// A live weight is a second old and the same at all nodes: drawn by it, they crowded what had been idle.
#[test]
fn a_live_weight_does_not_change_a_server_size() {
    let live = Settings { live_weights: true, ..many(200, 5) };
    let mut node = Node::new(live, servers(1..41));
    let before = counts(&mut node, 50);
    let busy: Vec<_> =
        servers(1..41).into_iter().map(|s| ServerEntry { weight: 1.0 / s.id as f64, ..s }).collect();
    node.tell(Event::ServerChanges(busy));
    let after = counts(&mut node, 50);
    assert_eq!(before.keys().collect::<Vec<_>>(), after.keys().collect::<Vec<_>>());
}

/// One attempt from each of hundreds of nodes at once pushed every restarted server over.
#[test]
fn a_cold_server_gets_the_cold_part_of_its_place_in_sum_over_many_nodes() {
    let mut cold = 0;
    for rank in 0..200 {
        let mut list = servers(1..41);
        list.iter_mut().filter(|s| s.id % 4 == 0).for_each(|s| s.ready_at = 10 * S);
        let got = counts(&mut Node::new(many(200, rank), list), 5);
        cold += got.iter().filter(|(to, _)| *to % 4 == 0).map(|(_, n)| n).sum::<usize>();
    }
    assert!(
        cold > 0 && cold < 1_000 / 4 / 2,
        "{cold} of 1000 requests to a quarter of the servers, all cold"
    );
}

/// Answers come so late that more work would make all of it late: work beyond a share is let in no more, and work
/// within it less. A node of few nodes holds requests instead.
#[test]
fn a_node_of_many_sheds_when_its_attempts_wait() {
    for (nodes, sheds) in [(200, true), (2, false)] {
        let mut node = Node::new(many(nodes, 0), servers(1..41));
        counts(&mut node, 30);
        let mut refusals = 0;
        for _ in 0..40 {
            let (id, actions) = node.arrive(UNSAFE, Some(0));
            if refused(&actions, id) {
                refusals += 1;
                continue;
            }
            node.now += 290 * MS;
            node.end(id, 0, Outcome::Served, 290 * MS);
        }
        assert_eq!(refusals > 5, sheds, "{refusals} of 40 refused at {nodes} nodes");
    }
}

/// One in five answers takes long, as where work varies: at idle servers that is no overload, and nothing within a
/// share may pay for it, nor for what a tenant sends beyond its own.
#[test]
fn a_node_of_many_keeps_work_within_the_shares_and_not_what_is_beyond() {
    let mut settings = many(100, 0);
    (settings.tenants[0].quota_per_s, settings.tenants[1].quota_per_s) = (100.0, 4_000.0);
    let mut node = Node::new(settings, servers(1..61));
    let mut let_in = [0; 2];
    for n in 0..400_usize {
        node.now += 50 * MS;
        for (tenant, count) in [0, 1].into_iter().zip(&mut let_in) {
            let (id, actions) = node.arrive(SAFE, Some(tenant));
            if !sends(&actions, id).is_empty() {
                *count += 1;
                node.end(id, 0, Outcome::Served, if n % 5 == 4 { 200 * MS } else { 25 * MS });
            }
        }
    }
    // Tenant 0 sends twenty times its part of a node; the first four are a node's allowance.
    assert!((20..60).contains(&let_in[0]), "{} of 400 beyond the share were let in", let_in[0]);
    assert!(let_in[1] > 390, "{} of 400 within the share were let in", let_in[1]);
}

/// What a node of many is offered varies: two at once in its own pool are within its part of the room on average, and
/// are not queued one behind the other. The third finds a place where a pool lends one.
#[test]
fn a_node_of_many_has_room_for_what_varies() {
    let mut node = Node::new(many(100, 0), servers(1..61));
    // Work that needs more than the limit at the start, so that the room grows towards half an attempt.
    counts(&mut node, 300);
    let at_once = |node: &mut Node| {
        let ids: Vec<_> = (0..4).map(|_| node.arrive(UNSAFE, Some(0))).collect();
        let sent: Vec<_> = ids.iter().filter(|(id, actions)| !sends(actions, *id).is_empty()).collect();
        sent.len()
    };
    assert_eq!(at_once(&mut node), 3);
}

/// Two servers in three have just started with a fifth of their capacity: together they carry 40 parts of 140.
#[test]
fn starting_servers_get_the_part_of_the_work_that_they_can_do() {
    let list: Vec<ServerEntry> = servers(1..61)
        .into_iter()
        .map(|s| ServerEntry { ready_at: if s.id.is_multiple_of(3) { 0 } else { 10 * S }, ..s })
        .collect();
    let (mut cold, mut all) = (0, 0);
    for rank in 0..100 {
        let mut node = Node::new(Settings { overload_factor: 3.0, ..many(100, rank) }, list.clone());
        for n in 0..40 {
            let (id, actions) = node.arrive(UNSAFE, Some(n % 4));
            let to = sends(&actions, id)[0];
            node.end(id, 0, Outcome::Served, 20 * MS);
            cold += u32::from(!to.is_multiple_of(3));
            all += 1;
        }
    }
    let part = f64::from(cold) / f64::from(all);
    assert!((0.22..0.35).contains(&part), "{part:.2} of the work went to starting servers");
}

/// After a lost zone or a release that the list does not tell of yet, most servers refuse connections to all nodes:
/// each is met once in a while, no request runs out of attempts at them, and one that is back is used again.
#[test]
fn servers_that_refuse_connections_are_left_alone_even_if_they_are_most_of_a_pool() {
    let mut nodes: Vec<Node> = (0..100).map(|rank| Node::new(many(100, rank), servers(1..61))).collect();
    let gone = |id: ServerId| id % 5 < 3;
    let mut play = |seconds: u64, back: bool| {
        let (mut refused_connects, mut unserved, mut used) = (0, 0, BTreeSet::new());
        for step in 0..seconds * 7 {
            for (rank, node) in (0_u64..).zip(&mut nodes) {
                let tenant = ((step + rank) % 4) as u32;
                let (id, mut actions) = node.arrive(SAFE, Some(tenant));
                let mut served = false;
                for attempt in 0..4 {
                    let Some(to) = sends(&actions, id).first().copied() else { break };
                    served = back || !gone(to);
                    let (outcome, elapsed) = match served {
                        true => (Outcome::Served, 20 * MS),
                        false => (Outcome::ConnectFailed, MS),
                    };
                    actions = node.end(id, attempt, outcome, elapsed);
                    refused_connects += u32::from(!served);
                    used.extend(served.then_some(to));
                }
                unserved += u32::from(!served);
                node.now += 140 * MS;
            }
        }
        (refused_connects, unserved, used.len())
    };
    let early = play(3, false);
    let late = play(5, false);
    assert!(late.0 < 900, "{early:?}, then {late:?} of 3500: connects refused, not served");
    assert!(late.1 < 40, "{early:?}, then {late:?} of 3500: connects refused, not served");
    let back = play(20, true);
    assert!(back.2 > 50, "{} servers of 60 are used", back.2);
}

/// Waits are forgotten: a node that has shed all work would otherwise never learn that the jam is over.
#[test]
fn shedding_ends_by_itself() {
    let mut node = Node::new(many(200, 0), servers(1..41));
    counts(&mut node, 30);
    for _ in 0..40 {
        let (id, actions) = node.arrive(UNSAFE, Some(0));
        if !refused(&actions, id) {
            node.now += 290 * MS;
            node.end(id, 0, Outcome::Served, 290 * MS);
        }
    }
    node.now += 4 * S;
    let (id, actions) = node.arrive(UNSAFE, Some(0));
    assert!(!refused(&actions, id));
}

#[test]
fn odd_but_legal_input_is_borne() {
    let mut node = Node::new(settings(), servers(1..5));
    node.now = 5 * S;
    let (id, _) = node.arrive(SAFE, Some(0));
    node.tell(Event::ServerChanges(vec![
        server(2),
        server(2),
        ServerEntry { ready_at: u64::MAX, ..server(3) },
    ]));
    node.now = 20 * S;
    node.end(id, 0, Outcome::Served, MS);
    node.end(id, 7, Outcome::Error, MS);
    let request =
        Request { id: 900, class: 99, remaining: 0, expected_work: None, key: None, tenant: Some(77) };
    assert!(refused(&node.tell(Event::RequestArrived(request)), 900), "an unknown class");
    let request = Request { id: 901, class: SAFE, expected_work: Some(u64::MAX), ..request };
    assert!(refused(&node.tell(Event::RequestArrived(request)), 901), "no time left");
    node.tell(Event::ResponseStreamStarted(12_345, 3));
    node.tell(Event::ClientLeft(12_345));
    node.tell(Event::TimerFired(12_345));
    assert_eq!(node.balancer.tracked_requests(), 0);
    let mut unlisted = Balancer::new(settings(), 1).unwrap();
    let mut actions = Vec::new();
    unlisted.handle(
        S,
        Event::RequestArrived(Request { id: 1, class: SAFE, remaining: S, ..request }),
        &mut actions,
    );
    assert!(refused(&actions, 1), "a request before any list");
}

/// What a starting server turns away is work that it was sent. It got each request again once its node had waited, from
/// each of many nodes.
#[test]
fn a_starting_server_gets_no_request_twice_from_one_of_many_nodes() {
    let list = servers(1..3).into_iter().map(|s| ServerEntry { ready_at: 10 * S, ..s }).collect();
    let classes = vec![Class { target_latency: 40 * S, deadline: 50 * S, ..class(Idempotency::Idempotent) }];
    let mut node = Node::new(Settings { classes, overload_factor: 4.0, ..many(9, 0) }, list);
    for _ in 0..20 {
        node.next += 1;
        let id = node.next;
        let request =
            Request { id, class: 0, remaining: 30 * S, expected_work: None, key: None, tenant: Some(0) };
        let actions = node.tell(Event::RequestArrived(request));
        let mut got = sends(&actions, id);
        for attempt in 0..2 {
            let mut actions = node.end(id, attempt, Outcome::Rejected, MS);
            // Longer than any server is left alone for one refusal.
            for _ in 0..20 {
                got.extend(sends(&actions, id));
                node.now += 300 * MS;
                actions = node.tell(Event::TimerFired(u64::MAX - 1));
            }
        }
        let met: BTreeSet<ServerId> = got.iter().copied().collect();
        assert_eq!(met.len(), got.len(), "{got:?}");
        node.now += 10 * S;
    }
}

/// One of many nodes, whose tenants have next to no share, so that each label's pool is as small as can be.
fn small(nodes: u32, rank: u32) -> Settings {
    let mut settings = Settings { overload_factor: 3.0, ..many(nodes, rank) };
    settings.tenants.iter_mut().for_each(|t| t.share = 0.01);
    settings
}

/// Hundreds of nodes whose own pool is full asked the first of the small ones for all that they had no room for: four
/// servers of 160 were sent what the whole fleet had too much of, and turned most of it away.
#[test]
fn a_small_pool_is_lent_to_hundreds_of_nodes_by_its_place_among_all() {
    let tenants = [Some(0), Some(1), Some(2), Some(3)];
    let pools = reached(&mut Node::new(small(1, 0), servers(1..161)), &tenants);
    let mut lent: BTreeMap<Option<u32>, usize> = BTreeMap::new();
    for rank in 0..200 {
        let mut node = Node::new(small(200, rank), servers(1..161));
        node.next = 1000 * RequestId::from(rank);
        // These are not answered, and fill the unlabelled pool; what comes then is answered at once.
        (0..3).for_each(|_| drop(node.arrive(UNSAFE, None)));
        for _ in 0..4 {
            let (id, actions) = node.arrive(UNSAFE, None);
            for to in sends(&actions, id) {
                let of = pools.iter().find(|(_, pool)| pool.contains(&to)).map(|(tenant, _)| *tenant);
                of.into_iter().for_each(|tenant| *lent.entry(tenant).or_default() += 1);
                node.end(id, 0, Outcome::Served, 20 * MS);
            }
        }
    }
    let most = lent.values().max().copied().unwrap_or(0);
    assert!(most > 0, "nothing was lent");
    assert!(most < 800 / 4, "{most} of 800 requests were lent to four servers of 160: {lent:?}");
}

/// Hundreds of nodes whose own pool is full each sent one attempt to a small pool that lends: its starting member fell,
/// just started or half warm.
#[test]
fn a_small_pool_lends_hardly_any_of_a_starting_server_to_hundreds_of_nodes() {
    let pool = reached(&mut Node::new(small(1, 0), servers(1..161)), &[Some(0)])[&Some(0)].clone();
    let starting = *pool.iter().next().unwrap();
    for age in [0, settings().warm_up / 10 * 9] {
        let (mut warm, mut cold) = (0, 0);
        for rank in 0..200 {
            let mut list = servers(1..161);
            list.iter_mut().filter(|s| s.id == starting).for_each(|s| s.ready_at = 100 * S - age);
            let mut node = Node::new(small(200, rank), list);
            (node.next, node.now) = (1000 * RequestId::from(rank), 100 * S);
            // None is answered: the unlabelled pool is full soon, and the others lend.
            for _ in 0..12 {
                let (id, actions) = node.arrive(UNSAFE, None);
                for to in sends(&actions, id).into_iter().filter(|to| pool.contains(to)) {
                    *(if to == starting { &mut cold } else { &mut warm }) += 1;
                }
            }
        }
        let each = warm / (pool.len() - 1);
        assert!(each > 20, "{warm} attempts were lent to {pool:?}");
        let part = if age == 0 { 20 } else { 4 };
        assert!(cold * part <= each, "{cold} to the one {age} us old, {each} to each other");
    }
}
