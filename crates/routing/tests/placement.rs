//! Selection of servers: homes of prefixes, comparison of two servers, hot keys, limits.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use dunelink_routing::*;
use support::*;

#[test]
fn document_has_same_home_at_every_process() {
    let list = servers("llm", 12);
    let (mut one, mut other) = (router(1, &list), router(99, &list));
    for document in 0..100 {
        let now = document * S;
        let (parts, again) = (prompt(document, document * 2), prompt(document, document * 2 + 1));
        let home = send_and_serve(&mut one, now, &request(&parts));
        assert_eq!(send_and_serve(&mut one, now + S / 2, &request(&again)), home);
        assert_eq!(send_and_serve(&mut other, now, &request(&again)), home);
    }
}

#[test]
fn session_without_long_prefix_returns_to_its_server() {
    let mut router = router(1, &servers("llm", 12));
    for session in 1..100u64 {
        let small = PromptPart { id: 7, tokens: 198 };
        let own = PromptPart { id: session.wrapping_mul(0x9e37_79b9_7f4a_7c15), tokens: 628 };
        let home = send_and_serve(&mut router, session * S, &request(&[small, own]));
        assert_eq!(send_and_serve(&mut router, session * S + S / 2, &request(&[small, own])), home);
    }
}

#[test]
fn documents_are_spread_over_servers() {
    let mut router = router(1, &servers("llm", 12));
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for document in 0..1_200 {
        let parts = prompt(document, document);
        *counts.entry(send_and_serve(&mut router, document * S, &request(&parts))).or_default() += 1;
    }
    assert_eq!(counts.len(), 12);
    assert!(counts.values().all(|count| (60..150).contains(count)), "{counts:?}");
}

#[test]
fn busy_home_yields_to_the_next() {
    let mut router = router(1, &servers("llm", 12));
    let mut seen = BTreeSet::new();
    for own in 0..20 {
        let parts = prompt(5, own);
        let (server, _) = expect_sent(router.choose(own, &request(&parts)));
        seen.insert(server);
    }
    assert!(seen.len() >= 2, "twenty concurrent requests went to {} server(s)", seen.len());
}

#[test]
fn only_a_hot_key_gets_more_homes() {
    let list = servers("llm", 12);
    let homes = |interval: Micros| {
        let mut router = router(1, &list);
        router.set_fleet_size(8);
        let mut seen = BTreeSet::new();
        for own in 0..200 {
            let parts = prompt(5, own);
            let id = send_and_serve(&mut router, own * interval, &request(&parts));
            if own >= 100 {
                seen.insert(id);
            }
        }
        seen.len()
    };
    assert_eq!(homes(4 * S), 1);
    let hot = homes(S / 4);
    assert!((3..=8).contains(&hot), "32 requests per second have {hot} homes");
}

#[test]
fn excluded_servers_are_not_chosen() {
    let mut router = router(1, &servers("llm", 4));
    let parts = prompt(5, 1);
    let mut excluded = Vec::new();
    for _ in 0..4 {
        let (server, _) =
            expect_sent(router.choose(0, &RoutingRequest { excluded: &excluded, ..request(&parts) }));
        assert!(!excluded.contains(&server));
        excluded.push(server);
    }
    let refused = router.choose(0, &RoutingRequest { excluded: &excluded, ..request(&parts) });
    assert!(matches!(refused, Decision::Refuse { reason: RefusalReason::AllTried, .. }), "{refused:?}");
}

#[test]
fn plain_server_with_fewer_requests_is_chosen() {
    let mut router = router(1, &servers("api", 2));
    let mut counts: BTreeMap<ServerHandle, u32> = BTreeMap::new();
    for _ in 0..100 {
        *counts.entry(expect_sent(router.choose(0, &plain_request())).0).or_default() += 1;
    }
    assert_eq!(counts.into_values().collect::<Vec<_>>(), vec![50, 50]);
}

#[test]
fn plain_server_queue_is_bounded() {
    let mut list = servers("api", 4);
    list.iter_mut().for_each(|info| info.slots = 6);
    let mut router = router(1, &list);
    let mut not_sent = 0;
    for _ in 0..500 {
        let decision = router.choose(0, &plain_request());
        not_sent += u32::from(!matches!(decision, Decision::Send { .. }));
    }
    assert_eq!(not_sent, 500 - 4 * 24);
    assert!(router.status(0).iter().all(|line| line.in_flight == 24));
}

#[test]
fn reported_load_counts_and_decays() {
    let mut router = router(1, &servers("api", 2));
    router.set_fleet_size(8);
    let (busy, attempt) = expect_sent(router.choose(0, &plain_request()));
    router.record_outcome(0, attempt, Outcome::Cancelled);
    router.observe_load(0, busy, 64, 30, 64);
    for at in 0..10 {
        let (server, attempt) = expect_sent(router.choose(at * 10 * MS, &plain_request()));
        assert_ne!(server, busy);
        router.record_outcome(at * 10 * MS + 30 * MS, attempt, Outcome::Served);
    }
    let mut seen = BTreeSet::new();
    for _ in 0..20 {
        let (server, _) = expect_sent(router.choose(20 * S, &plain_request()));
        seen.insert(server);
    }
    assert!(seen.contains(&busy));
}

#[test]
fn full_memory_diverts_requests() {
    let mut router = router(1, &servers("llm", 12));
    let mut sizes: BTreeMap<ServerHandle, u64> = BTreeMap::new();
    for own in 0..100u64 {
        let part = [PromptPart { id: own.wrapping_mul(0x9e37_79b9_7f4a_7c15), tokens: 30_000 }];
        let big = RoutingRequest { max_output_tokens: 2_000, ..request(&part) };
        // Long intervals, so that queued prefill is no reason to choose another server.
        let (server, attempt) = expect_sent(router.choose(own * 10 * S, &big));
        router.record_first_event(own * 10 * S + 600 * MS, attempt);
        *sizes.entry(server).or_default() += 32_000;
    }
    assert!(sizes.values().all(|tokens| *tokens <= 380_000), "{sizes:?}");
}

#[test]
fn process_keeps_to_its_connection_share() {
    let mut router = router(1, &servers("llm", 1));
    router.set_fleet_size(8);
    let parts = prompt(5, 1);
    let short_request = RoutingRequest { prompt_tokens: 10, ..request(&parts) };
    let mut sent_count = 0;
    while let Decision::Send { .. } = router.choose(0, &short_request) {
        sent_count += 1;
    }
    assert_eq!(sent_count, 400 / 8);
    assert_eq!(router.choose(0, &short_request), Decision::Wait { retry_in: 20 * MS });
}

#[test]
fn queue_refuses_but_one_long_prompt_does_not() {
    let mut router = router(1, &servers("llm", 1));
    let mut admitted = 0;
    let reason = loop {
        let own = [PromptPart { id: admitted, tokens: 40_000 }];
        match router.choose(0, &request(&own)) {
            Decision::Send { .. } => admitted += 1,
            Decision::Refuse { reason, retry_after } => {
                assert!(
                    retry_after <= S,
                    "the retry time must be within a third of the four seconds remaining"
                );
                break reason;
            }
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(reason, RefusalReason::Overloaded);
    assert!((8..32).contains(&admitted), "refused with {admitted} of 64 slots taken");
}

#[test]
fn overload_admits_what_can_be_in_time() {
    let mut router = router(1, &servers("llm", 4));
    let mut admitted_at = Vec::new();
    for own in 0..400u64 {
        let parts = prompt(own % 20, own);
        // In 100 ms four servers process some 20,000 prompt tokens. More than twice as many are requested.
        let now = own / 20 * 100 * MS;
        if let Decision::Send { .. } = router.choose(now, &request(&parts)) {
            admitted_at.push(now);
        }
    }
    assert!((100..350).contains(&admitted_at.len()), "{} of 400 admitted", admitted_at.len());
}

#[test]
fn urgent_request_bypasses_less_urgent_ones() {
    let mut router = router(1, &servers("llm", 1));
    for own in 0..40 {
        let part = [PromptPart { id: own, tokens: 30_000 }];
        router.choose(0, &RoutingRequest { priority: 3, ..request(&part) });
    }
    let part = [PromptPart { id: 1_000, tokens: 500 }];
    let urgent = router.choose(0, &RoutingRequest { priority: 0, ..request(&part) });
    assert!(matches!(urgent, Decision::Send { .. }), "{urgent:?}");
    let late = router.choose(0, &RoutingRequest { priority: 5, ..request(&part) });
    assert!(matches!(late, Decision::Refuse { .. }), "{late:?}");
}
