//! Where requests go: homes of prefixes, two choices, hot keys, room.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use dunelink_routing::*;
use support::*;

#[test]
fn a_subject_has_the_same_home_at_every_process() {
    let list = servers("llm", 12);
    let (mut one, mut other) = (router(1, &list), router(99, &list));
    for subject in 0..100 {
        let now = subject * S;
        let (parts, again) = (prompt(subject, subject * 2), prompt(subject, subject * 2 + 1));
        let home = served(&mut one, now, &request(&parts));
        assert_eq!(served(&mut one, now + S / 2, &request(&again)), home);
        assert_eq!(served(&mut other, now, &request(&again)), home);
    }
}

#[test]
fn a_session_without_a_long_shared_prefix_comes_back_to_its_server() {
    let mut router = router(1, &servers("llm", 12));
    for session in 1..100u64 {
        let small = PromptPart { id: 7, tokens: 198 };
        let own = PromptPart { id: session.wrapping_mul(0x9e37_79b9_7f4a_7c15), tokens: 628 };
        let home = served(&mut router, session * S, &request(&[small, own]));
        assert_eq!(served(&mut router, session * S + S / 2, &request(&[small, own])), home);
    }
}

#[test]
fn subjects_are_spread_over_the_servers() {
    let mut router = router(1, &servers("llm", 12));
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for subject in 0..1_200 {
        let parts = prompt(subject, subject);
        *counts.entry(served(&mut router, subject * S, &request(&parts))).or_default() += 1;
    }
    assert_eq!(counts.len(), 12);
    assert!(counts.values().all(|count| (60..150).contains(count)), "{counts:?}");
}

#[test]
fn a_home_that_is_busy_gives_way_to_the_next_one() {
    let mut router = router(1, &servers("llm", 12));
    let mut seen = BTreeSet::new();
    for own in 0..20 {
        let parts = prompt(5, own);
        let (server, _) = sent(router.choose(own, &request(&parts)));
        seen.insert(server);
    }
    assert!(seen.len() >= 2, "twenty requests at once stay at {} server", seen.len());
}

#[test]
fn a_hot_key_gets_more_homes_and_a_cool_one_keeps_one() {
    let list = servers("llm", 12);
    let homes = |every: Micros| {
        let mut router = router(1, &list);
        router.set_fleet_size(8);
        let mut seen = BTreeSet::new();
        for own in 0..200 {
            let parts = prompt(5, own);
            let id = served(&mut router, own * every, &request(&parts));
            if own >= 100 {
                seen.insert(id);
            }
        }
        seen.len()
    };
    assert_eq!(homes(4 * S), 1);
    let hot = homes(S / 4);
    assert!((3..=8).contains(&hot), "32 requests a second have {hot} homes");
}

#[test]
fn excluded_servers_are_not_chosen_and_a_request_that_tried_all_is_refused() {
    let mut router = router(1, &servers("llm", 4));
    let parts = prompt(5, 1);
    let mut excluded = Vec::new();
    for _ in 0..4 {
        let (server, _) = sent(router.choose(0, &RoutingRequest { excluded: &excluded, ..request(&parts) }));
        assert!(!excluded.contains(&server));
        excluded.push(server);
    }
    let refused = router.choose(0, &RoutingRequest { excluded: &excluded, ..request(&parts) });
    assert!(matches!(refused, Decision::Refuse { reason: RefusalReason::AllTried, .. }), "{refused:?}");
}

#[test]
fn of_two_plain_servers_the_one_with_less_in_flight_is_taken() {
    let mut router = router(1, &servers("api", 2));
    let mut counts: BTreeMap<ServerHandle, u32> = BTreeMap::new();
    for _ in 0..100 {
        *counts.entry(sent(router.choose(0, &plain())).0).or_default() += 1;
    }
    assert_eq!(counts.into_values().collect::<Vec<_>>(), vec![50, 50]);
}

#[test]
fn a_plain_server_never_gets_more_than_fits() {
    let mut list = servers("api", 4);
    list.iter_mut().for_each(|info| info.slots = 6);
    let mut router = router(1, &list);
    let mut kept_off = 0;
    for _ in 0..500 {
        let decision = router.choose(0, &plain());
        kept_off += u32::from(!matches!(decision, Decision::Send { .. }));
    }
    assert_eq!(kept_off, 500 - 4 * 24);
    assert!(router.status(0).iter().all(|line| line.in_flight == 24));
}

#[test]
fn reported_load_of_other_processes_counts_and_fades() {
    let mut router = router(1, &servers("api", 2));
    router.set_fleet_size(8);
    let (busy, attempt) = sent(router.choose(0, &plain()));
    router.record_outcome(0, attempt, Outcome::Cancelled);
    router.observe_load(0, busy, 64, 30, 64);
    for at in 0..10 {
        let (server, attempt) = sent(router.choose(at * 10 * MS, &plain()));
        assert_ne!(server, busy);
        router.record_outcome(at * 10 * MS + 30 * MS, attempt, Outcome::Served);
    }
    let mut seen = BTreeSet::new();
    for _ in 0..20 {
        let (server, _) = sent(router.choose(20 * S, &plain()));
        seen.insert(server);
    }
    assert!(seen.contains(&busy));
}

#[test]
fn a_server_whose_memory_is_full_is_left_for_one_that_has_room() {
    let mut router = router(1, &servers("llm", 12));
    let mut sizes: BTreeMap<ServerHandle, u64> = BTreeMap::new();
    for own in 0..100u64 {
        let part = [PromptPart { id: own.wrapping_mul(0x9e37_79b9_7f4a_7c15), tokens: 30_000 }];
        let big = RoutingRequest { max_output_tokens: 2_000, ..request(&part) };
        // Far apart, so that reading the prompts is no reason to go elsewhere.
        let (server, attempt) = sent(router.choose(own * 10 * S, &big));
        router.record_first_event(own * 10 * S + 600 * MS, attempt);
        *sizes.entry(server).or_default() += 32_000;
    }
    assert!(sizes.values().all(|tokens| *tokens <= 380_000), "{sizes:?}");
}

#[test]
fn a_process_keeps_to_its_part_of_the_connections() {
    let mut router = router(1, &servers("llm", 1));
    router.set_fleet_size(8);
    let parts = prompt(5, 1);
    let quiet = RoutingRequest { prompt_tokens: 10, ..request(&parts) };
    let mut out = 0;
    while let Decision::Send { .. } = router.choose(0, &quiet) {
        out += 1;
    }
    assert_eq!(out, 400 / 8);
    assert_eq!(router.choose(0, &quiet), Decision::Wait { retry_in: 20 * MS });
}

#[test]
fn a_long_prompt_in_front_is_no_reason_to_refuse_but_a_queue_is() {
    let mut router = router(1, &servers("llm", 1));
    let mut let_in = 0;
    let reason = loop {
        let own = [PromptPart { id: let_in, tokens: 40_000 }];
        match router.choose(0, &request(&own)) {
            Decision::Send { .. } => let_in += 1,
            Decision::Refuse { reason, retry_after } => {
                assert!(retry_after <= S, "within a third of the four seconds that the client has");
                break reason;
            }
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(reason, RefusalReason::Overloaded);
    assert!((8..32).contains(&let_in), "refused with {let_in} of 64 places taken");
}

#[test]
fn what_is_let_in_under_overload_is_what_can_be_in_time() {
    let mut router = router(1, &servers("llm", 4));
    let mut estimates = Vec::new();
    for own in 0..400u64 {
        let parts = prompt(own % 20, own);
        // In a hundred milliseconds four servers read some 20,000 tokens, and twice that and more is asked for.
        let now = own / 20 * 100 * MS;
        if let Decision::Send { .. } = router.choose(now, &request(&parts)) {
            estimates.push(now);
        }
    }
    assert!((100..350).contains(&estimates.len()), "{} of 400 let in", estimates.len());
}

#[test]
fn an_urgent_request_does_not_wait_for_less_urgent_ones() {
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
