//! Outlier ejection: failing servers get no requests, are then probed, and never make up most of a pool.

mod support;

use std::collections::BTreeMap;

use dunelink_routing::*;
use support::*;

fn fail_request(router: &mut Router, now: Micros, parts: &[PromptPart], outcome: Outcome) -> ServerHandle {
    let (server, attempt) = expect_sent(router.choose(now, &request(parts)));
    router.record_sent(now, attempt);
    router.record_outcome(now, attempt, outcome);
    server
}

fn ejected_count(router: &Router, now: Micros) -> usize {
    router.status(now).iter().filter(|line| line.ejected_for > 0).count()
}

#[test]
fn two_connect_failures_eject_for_one_second() {
    let mut router = router(1, &servers("llm", 12));
    let parts = prompt(5, 1);
    let mut counts: BTreeMap<ServerHandle, u32> = BTreeMap::new();
    // After a single failure another server may be preferred.
    while ejected_count(&router, 0) == 0 {
        *counts.entry(fail_request(&mut router, 0, &parts, Outcome::ConnectFailed)).or_default() += 1;
    }
    assert_eq!(counts.values().max(), Some(&2));
    assert_eq!(ejected_count(&router, S - 1), 1);
    assert_eq!(ejected_count(&router, S), 0);
}

#[test]
fn single_failed_probe_doubles_the_ejection() {
    let mut router = router(1, &servers("llm", 2));
    let parts = prompt(5, 1);
    while ejected_count(&router, 1) == 0 {
        fail_request(&mut router, 0, &parts, Outcome::ConnectFailed);
    }
    let most_ejected = |router: &Router, now| {
        let lines = router.status(now);
        lines.into_iter().max_by_key(|line| line.ejected_for).expect("no servers")
    };
    let bad = most_ejected(&router, 0).id;
    // While the probe is in flight, no other request goes to the server.
    let now = 2 * S;
    let mut probe = None;
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for own in 0..40 {
        let parts = prompt(own, own);
        let (server, attempt) =
            expect_sent(router.choose(now, &RoutingRequest { prompt_tokens: 10, ..request(&parts) }));
        let id = router.server(server).expect("unlisted server").id.clone();
        if id == bad {
            probe = Some(attempt);
        }
        *counts.entry(id).or_default() += 1;
    }
    assert_eq!(counts[&bad], 1);
    router.record_outcome(now, probe.expect("no probe"), Outcome::ConnectFailed);
    assert_eq!(most_ejected(&router, now).ejected_for, 2 * S);
}

#[test]
fn successful_probe_readmits_the_server() {
    let mut router = router(1, &servers("llm", 2));
    let parts = prompt(5, 1);
    while ejected_count(&router, 1) == 0 {
        fail_request(&mut router, 0, &parts, Outcome::ConnectFailed);
    }
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for own in 0..100 {
        let parts = prompt(own, own);
        *counts.entry(send_and_serve(&mut router, 2 * S + own * S, &request(&parts))).or_default() += 1;
    }
    assert!(counts.len() == 2 && counts.values().all(|count| *count > 20), "{counts:?}");
}

#[test]
fn at_most_half_of_a_pool_is_ejected() {
    let mut router = router(1, &servers("llm", 12));
    for document in 0..2_000 {
        let parts = prompt(document, document);
        let outcomes = [Outcome::ConnectFailed, Outcome::Broken, Outcome::TimedOut, Outcome::ServerError];
        fail_request(&mut router, document, &parts, outcomes[document as usize % 4]);
        assert!(ejected_count(&router, document) <= 6);
    }
    assert_eq!(ejected_count(&router, 2_000), 6);
}

#[test]
fn fast_failing_server_is_ejected() {
    let mut router = router(1, &servers("api", 4));
    let bad = expect_sent(router.choose(0, &plain_request())).0;
    let mut bad_server_requests = 0;
    for now in 1..2_000 {
        let (server, attempt) = expect_sent(router.choose(now * MS / 2, &plain_request()));
        let outcome = if server == bad { Outcome::ServerError } else { Outcome::Served };
        bad_server_requests += u32::from(server == bad);
        router.record_outcome(now * MS / 2, attempt, outcome);
    }
    assert!(
        bad_server_requests < 20,
        "{bad_server_requests} requests of 2,000 in a second went to a server whose responses all fail"
    );
}

#[test]
fn silent_server_gets_no_new_requests() {
    let mut router = router(1, &servers("llm", 12));
    let parts = prompt(5, 1);
    let (home, attempt) = expect_sent(router.choose(0, &request(&parts)));
    router.record_sent(0, attempt);
    let (later, _) = expect_sent(router.choose(S, &request(&parts)));
    assert_ne!(later, home);
    assert!(router.silent_for(S, home) > 0);
    // A cancellation after such a silence counts as a timeout.
    router.record_outcome(2 * S, attempt, Outcome::Cancelled);
    assert_eq!(ejected_count(&router, 2 * S), 1);
}

#[test]
fn early_cancellations_do_not_eject() {
    let mut router = router(1, &servers("llm", 12));
    let parts = prompt(5, 1);
    for at in 0..50 {
        fail_request(&mut router, at * 10 * MS, &parts, Outcome::Cancelled);
    }
    assert_eq!(ejected_count(&router, S), 0);
}

#[test]
fn full_server_is_avoided_briefly() {
    let mut router = router(1, &servers("llm", 12));
    let parts = prompt(5, 1);
    let home = fail_request(&mut router, 0, &parts, Outcome::Rejected);
    let (next, attempt) = expect_sent(router.choose(1, &request(&parts)));
    assert_ne!(next, home);
    router.record_outcome(1, attempt, Outcome::Cancelled);
    assert_eq!(ejected_count(&router, 1), 0);
    let (server, _) = expect_sent(router.choose(S, &RoutingRequest { excluded: &[next], ..request(&parts) }));
    assert_eq!(server, home);
}

#[test]
fn cold_server_is_avoided_until_warm() {
    let mut list = servers("api", 2);
    list[1].cold_remaining_ms = 5_000;
    let mut router = router(1, &list);
    // The cold server gets one request, by which the model learns the service time.
    let warm_count =
        (0..20).filter(|at| send_and_serve(&mut router, at * MS, &plain_request()) == list[0].id).count();
    assert!(warm_count >= 19, "{warm_count} of 20 went to the warm server");
    list[1].cold_remaining_ms = 0;
    router.update_servers(6 * S, &list);
    let seen: std::collections::BTreeSet<String> =
        (0..50).map(|at| send_and_serve(&mut router, 6 * S + at * S, &plain_request())).collect();
    assert_eq!(seen.len(), 2);
}

/// The number of requests at `now`, of 200 with different prompts, that go to the server `id`.
fn requests_sent_to(router: &mut Router, now: Micros, id: &str) -> usize {
    let mut count = 0;
    for own in 0..200 {
        let parts = prompt(own, own);
        count += usize::from(send_and_serve(router, now, &request(&parts)) == id);
    }
    count
}

#[test]
fn suspected_server_gets_less_for_three_seconds() {
    let list = servers("llm", 4);
    let usual = requests_sent_to(&mut router(1, &list), S, &list[0].id);
    let mut router = router(1, &list);
    router.observe_suspicion(0, &list[0].id, 1.0);
    // An unlisted server is ignored, and NaN counts as no failures.
    router.observe_suspicion(0, "i-gone", 1.0);
    router.observe_suspicion(0, &list[1].id, f32::NAN);
    let suspected = requests_sent_to(&mut router, S, &list[0].id);
    assert!(usual > 20 && suspected * 4 < usual, "{suspected} requests with a suspicion, {usual} without");
    assert_eq!(ejected_count(&router, S), 0);
    let renewed = 2 * S;
    router.observe_suspicion(renewed, &list[0].id, 1.0);
    assert!(requests_sent_to(&mut router, renewed + 2 * S, &list[0].id) * 4 < usual);
    let after = requests_sent_to(&mut router, renewed + 3 * S, &list[0].id);
    assert!(after * 2 > usual, "{after} requests after the suspicion, {usual} without");
}

#[test]
fn suspicion_of_all_servers_blocks_no_request() {
    let list = servers("llm", 3);
    let mut router = router(1, &list);
    list.iter().for_each(|server| router.observe_suspicion(0, &server.id, 1.0));
    for own in 0..50 {
        let parts = prompt(own, own);
        send_and_serve(&mut router, S, &request(&parts));
    }
    assert_eq!(ejected_count(&router, S), 0);
}
