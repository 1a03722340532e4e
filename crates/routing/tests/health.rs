//! Servers that fail: left alone, probed, never most of a pool.

mod support;

use std::collections::BTreeMap;

use dunelink_routing::*;
use support::*;

fn fail(router: &mut Router, now: Micros, parts: &[PromptPart], outcome: Outcome) -> ServerHandle {
    let (server, attempt) = sent(router.choose(now, &request(parts)));
    router.record_sent(now, attempt);
    router.record_outcome(now, attempt, outcome);
    server
}

fn ejected(router: &Router, now: Micros) -> usize {
    router.status(now).iter().filter(|line| line.ejected_for > 0).count()
}

#[test]
fn two_failed_connections_in_a_row_eject_for_a_second() {
    let mut router = router(1, &servers("llm", 12));
    let parts = prompt(5, 1);
    let mut counts: BTreeMap<ServerHandle, u32> = BTreeMap::new();
    // After one failure another server may be asked first.
    while ejected(&router, 0) == 0 {
        *counts.entry(fail(&mut router, 0, &parts, Outcome::ConnectFailed)).or_default() += 1;
    }
    assert_eq!(counts.values().max(), Some(&2));
    assert_eq!(ejected(&router, S - 1), 1);
    assert_eq!(ejected(&router, S), 0);
}

#[test]
fn a_probe_is_one_request_and_a_failed_one_doubles_the_cool_down() {
    let mut router = router(1, &servers("llm", 2));
    let parts = prompt(5, 1);
    while ejected(&router, 1) == 0 {
        fail(&mut router, 0, &parts, Outcome::ConnectFailed);
    }
    let line = |router: &Router, now| {
        let lines = router.status(now);
        lines.into_iter().max_by_key(|line| line.ejected_for).expect("two servers")
    };
    let bad = line(&router, 0).id;
    // While the probe is out, nothing else goes there.
    let now = 2 * S;
    let mut probe = None;
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for own in 0..40 {
        let parts = prompt(own, own);
        let (server, attempt) =
            sent(router.choose(now, &RoutingRequest { prompt_tokens: 10, ..request(&parts) }));
        let id = router.server(server).expect("listed").id.clone();
        if id == bad {
            probe = Some(attempt);
        }
        *counts.entry(id).or_default() += 1;
    }
    assert_eq!(counts[&bad], 1);
    router.record_outcome(now, probe.expect("one probe"), Outcome::ConnectFailed);
    assert_eq!(line(&router, now).ejected_for, 2 * S);
}

#[test]
fn a_good_probe_brings_a_server_back() {
    let mut router = router(1, &servers("llm", 2));
    let parts = prompt(5, 1);
    while ejected(&router, 1) == 0 {
        fail(&mut router, 0, &parts, Outcome::ConnectFailed);
    }
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for own in 0..100 {
        let parts = prompt(own, own);
        *counts.entry(served(&mut router, 2 * S + own * S, &request(&parts))).or_default() += 1;
    }
    assert!(counts.len() == 2 && counts.values().all(|count| *count > 20), "{counts:?}");
}

#[test]
fn at_most_half_of_a_pool_is_ejected_and_requests_are_still_sent() {
    let mut router = router(1, &servers("llm", 12));
    for subject in 0..2_000 {
        let parts = prompt(subject, subject);
        let outcomes = [Outcome::ConnectFailed, Outcome::Broken, Outcome::TimedOut, Outcome::ServerError];
        fail(&mut router, subject, &parts, outcomes[subject as usize % 4]);
        assert!(ejected(&router, subject) <= 6);
    }
    assert_eq!(ejected(&router, 2_000), 6);
}

#[test]
fn a_server_that_answers_with_failures_quickly_is_ejected() {
    let mut router = router(1, &servers("api", 4));
    let bad = sent(router.choose(0, &plain())).0;
    let mut drawn = 0;
    for now in 1..2_000 {
        let (server, attempt) = sent(router.choose(now * MS / 2, &plain()));
        let outcome = if server == bad { Outcome::ServerError } else { Outcome::Served };
        drawn += u32::from(server == bad);
        router.record_outcome(now * MS / 2, attempt, outcome);
    }
    assert!(drawn < 20, "{drawn} requests of 2,000 in a second went to a server that fails all");
}

#[test]
fn a_silent_server_loses_its_requests_before_any_of_them_ends() {
    let mut router = router(1, &servers("llm", 12));
    let parts = prompt(5, 1);
    let (home, attempt) = sent(router.choose(0, &request(&parts)));
    router.record_sent(0, attempt);
    let (later, _) = sent(router.choose(S, &request(&parts)));
    assert_ne!(later, home);
    assert!(router.silent_for(S, home) > 0);
    // The client leaves: that says as much as a time-out.
    router.record_outcome(2 * S, attempt, Outcome::Cancelled);
    assert_eq!(ejected(&router, 2 * S), 1);
}

#[test]
fn a_client_that_leaves_early_says_nothing_against_the_server() {
    let mut router = router(1, &servers("llm", 12));
    let parts = prompt(5, 1);
    for at in 0..50 {
        fail(&mut router, at * 10 * MS, &parts, Outcome::Cancelled);
    }
    assert_eq!(ejected(&router, S), 0);
}

#[test]
fn a_server_that_says_it_is_full_is_left_alone_for_a_moment_only() {
    let mut router = router(1, &servers("llm", 12));
    let parts = prompt(5, 1);
    let home = fail(&mut router, 0, &parts, Outcome::Rejected);
    let (next, attempt) = sent(router.choose(1, &request(&parts)));
    assert_ne!(next, home);
    router.record_outcome(1, attempt, Outcome::Cancelled);
    assert_eq!(ejected(&router, 1), 0);
    let (server, _) = sent(router.choose(S, &RoutingRequest { excluded: &[next], ..request(&parts) }));
    assert_eq!(server, home);
}

#[test]
fn a_cold_server_is_spared_until_it_is_warm() {
    let mut list = servers("api", 2);
    list[1].cold_remaining_ms = 5_000;
    let mut router = router(1, &list);
    // It is asked once, to learn how long it takes.
    let spared = (0..20).filter(|at| served(&mut router, at * MS, &plain()) == list[0].id).count();
    assert!(spared >= 19, "{spared} of 20 went to the warm one");
    list[1].cold_remaining_ms = 0;
    router.update_servers(6 * S, &list);
    let seen: std::collections::BTreeSet<String> =
        (0..50).map(|at| served(&mut router, 6 * S + at * S, &plain())).collect();
    assert_eq!(seen.len(), 2);
}

/// How many of 200 requests of different prompts go to this server at `now`.
fn share(router: &mut Router, now: Micros, id: &str) -> usize {
    let mut at = 0;
    for own in 0..200 {
        let parts = prompt(own, own);
        at += usize::from(served(router, now, &request(&parts)) == id);
    }
    at
}

#[test]
fn a_server_that_others_find_failing_gets_less_for_three_seconds() {
    let list = servers("llm", 4);
    let usual = share(&mut router(1, &list), S, &list[0].id);
    let mut router = router(1, &list);
    router.observe_suspicion(0, &list[0].id, 1.0);
    // Others are not listed any more, and a share may be none.
    router.observe_suspicion(0, "i-gone", 1.0);
    router.observe_suspicion(0, &list[1].id, f32::NAN);
    let suspected = share(&mut router, S, &list[0].id);
    assert!(usual > 20 && suspected * 4 < usual, "{suspected} of {usual}");
    assert_eq!(ejected(&router, S), 0);
    let renewed = 2 * S;
    router.observe_suspicion(renewed, &list[0].id, 1.0);
    assert!(share(&mut router, renewed + 2 * S, &list[0].id) * 4 < usual);
    let after = share(&mut router, renewed + 3 * S, &list[0].id);
    assert!(after * 2 > usual, "{after} of {usual}");
}

#[test]
fn suspicion_of_all_servers_keeps_nobody_away() {
    let list = servers("llm", 3);
    let mut router = router(1, &list);
    list.iter().for_each(|server| router.observe_suspicion(0, &server.id, 1.0));
    for own in 0..50 {
        let parts = prompt(own, own);
        served(&mut router, S, &request(&parts));
    }
    assert_eq!(ejected(&router, S), 0);
}
