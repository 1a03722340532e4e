//! Label pools: disjoint, the same at every process, and never empty while a server is ready.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use dunelink_routing::*;
use support::*;

fn labels(router: &Router) -> BTreeMap<String, Option<usize>> {
    router.status(0).into_iter().map(|line| (line.id, line.label)).collect()
}

#[test]
fn pools_are_independent_of_list_order_and_history() {
    let list = servers("llm", 140);
    let first = labels(&router(1, &list));
    let mut random = fastrand::Rng::with_seed(7);
    for seed in 0..5 {
        let mut other = router(seed, &servers("llm", 30));
        let mut shuffled = list.clone();
        random.shuffle(&mut shuffled);
        other.update_servers(S, &shuffled);
        assert_eq!(labels(&other), first);
    }
}

#[test]
fn each_label_has_at_least_four_servers() {
    for count in [480, 1_000, 1_400, 4_300] {
        let router = router(1, &servers("llm", count));
        let mut sizes: BTreeMap<usize, usize> = BTreeMap::new();
        for label in labels(&router).into_values().flatten() {
            *sizes.entry(label).or_default() += 1;
        }
        assert!(sizes.len() > 1, "{count} servers must have several labels");
        assert!(sizes.values().all(|size| *size >= 4), "{count} servers: {sizes:?}");
    }
}

#[test]
fn tenant_keeps_to_its_pool() {
    let list = servers("llm", 960);
    let mut router = router(1, &list);
    let labels = labels(&router);
    for tenant in ["one", "two", "three", "four", "five", "six"] {
        let mut seen = BTreeSet::new();
        for document in 0..200 {
            let parts = prompt(document, document);
            let id = send_and_serve(
                &mut router,
                document * S,
                &RoutingRequest { tenant: Some(tenant), ..request(&parts) },
            );
            seen.insert(labels[&id]);
        }
        assert_eq!(seen.len(), 1, "requests of tenant {tenant} went to labels {seen:?}");
    }
}

#[test]
fn small_service_is_a_single_pool() {
    let mut router = router(1, &servers("llm", 12));
    let mut seen = BTreeSet::new();
    for document in 0..200 {
        let parts = prompt(document, document);
        seen.insert(send_and_serve(&mut router, document * S, &request(&parts)));
    }
    assert_eq!(seen.len(), 12);
}

#[test]
fn tenantless_requests_use_all_servers_of_a_small_service() {
    let mut router = router(1, &servers("api", 4));
    let mut seen = BTreeSet::new();
    for at in 0..100 {
        seen.insert(send_and_serve(&mut router, at * S, &RoutingRequest { tenant: None, ..plain_request() }));
    }
    assert_eq!(seen.len(), 4);
}

#[test]
fn tenantless_requests_avoid_labelled_servers() {
    let mut router = router(1, &servers("llm", 24));
    router.set_tenantless_services(&["llm"]);
    let labels = labels(&router);
    for document in 0..200 {
        let parts = prompt(document, document);
        let tenantless = RoutingRequest { tenant: None, ..request(&parts) };
        assert_eq!(labels[&send_and_serve(&mut router, document * S, &tenantless)], None);
        assert!(labels[&send_and_serve(&mut router, document * S, &request(&parts))].is_some());
    }
}

#[test]
fn draining_server_is_never_chosen() {
    let mut list = servers("llm", 12);
    let mut router = router(1, &list);
    let parts = prompt(3, 3);
    let (home, _) = expect_sent(router.choose(0, &request(&parts)));
    let id = router.server(home).expect("unlisted server").id.clone();
    list.iter_mut().filter(|info| info.id == id).for_each(|info| info.ready = false);
    router.update_servers(S, &list);
    assert!(!router.is_usable(home));
    assert!(router.server(home).is_some());
    for document in 0..300 {
        let parts = prompt(document, document);
        assert_ne!(send_and_serve(&mut router, 2 * S, &request(&parts)), id);
    }
}

#[test]
fn handle_of_removed_server_is_not_reused() {
    let mut router = router(1, &servers("llm", 1));
    let parts = prompt(1, 1);
    let (old, attempt) = expect_sent(router.choose(0, &request(&parts)));
    router.update_servers(S, &[server("llm", 77)]);
    assert!(router.server(old).is_none());
    assert!(!router.is_usable(old));
    router.record_outcome(S, attempt, Outcome::Broken);
    let (new, _) = expect_sent(router.choose(S, &request(&parts)));
    assert_ne!(new, old);
    assert_eq!(router.status(S)[0].in_flight, 1);
}

#[test]
fn no_ready_server_refuses_with_retry_time() {
    let mut router = router(1, &[]);
    let parts = prompt(1, 1);
    let refused = router.choose(0, &request(&parts));
    let expected = Decision::Refuse { retry_after: 300 * MS, reason: RefusalReason::NoServer };
    assert_eq!(refused, expected);
}
