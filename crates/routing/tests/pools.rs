//! Label pools: disjoint, the same at every process, and never empty while a server is ready.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use dunelink_routing::*;
use support::*;

fn labels(router: &Router) -> BTreeMap<String, Option<usize>> {
    router.status(0).into_iter().map(|line| (line.id, line.label)).collect()
}

#[test]
fn pools_are_the_same_for_any_order_of_the_list_and_any_history() {
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
fn a_server_carries_one_label_and_each_label_has_four_servers_or_more() {
    for count in [480, 1_000, 1_400, 4_300] {
        let router = router(1, &servers("llm", count));
        let mut sizes: BTreeMap<usize, usize> = BTreeMap::new();
        for label in labels(&router).into_values().flatten() {
            *sizes.entry(label).or_default() += 1;
        }
        assert!(sizes.len() > 1, "{count} servers have several labels");
        assert!(sizes.values().all(|size| *size >= 4), "{count} servers: {sizes:?}");
    }
}

#[test]
fn a_tenant_keeps_to_its_pool_and_tenants_of_other_labels_to_theirs() {
    let list = servers("llm", 960);
    let mut router = router(1, &list);
    let labels = labels(&router);
    for tenant in ["one", "two", "three", "four", "five", "six"] {
        let mut seen = BTreeSet::new();
        for subject in 0..200 {
            let parts = prompt(subject, subject);
            let id =
                served(&mut router, subject * S, &RoutingRequest { tenant: Some(tenant), ..request(&parts) });
            seen.insert(labels[&id]);
        }
        assert_eq!(seen.len(), 1, "{tenant} went to {seen:?}");
    }
}

#[test]
fn a_small_service_is_one_pool_that_each_tenant_uses_nearly_all_of() {
    let mut router = router(1, &servers("llm", 12));
    let mut seen = BTreeSet::new();
    for subject in 0..200 {
        let parts = prompt(subject, subject);
        seen.insert(served(&mut router, subject * S, &request(&parts)));
    }
    assert_eq!(seen.len(), 12);
}

#[test]
fn tenantless_requests_borrow_from_all_while_no_server_is_unlabelled() {
    let mut router = router(1, &servers("api", 4));
    let mut seen = BTreeSet::new();
    for at in 0..100 {
        seen.insert(served(&mut router, at * S, &RoutingRequest { tenant: None, ..plain() }));
    }
    assert_eq!(seen.len(), 4);
}

#[test]
fn tenantless_requests_of_a_large_service_stay_off_labelled_servers() {
    let mut router = router(1, &servers("llm", 24));
    router.set_tenantless_services(&["llm"]);
    let labels = labels(&router);
    for subject in 0..200 {
        let parts = prompt(subject, subject);
        let tenantless = RoutingRequest { tenant: None, ..request(&parts) };
        assert_eq!(labels[&served(&mut router, subject * S, &tenantless)], None);
        assert!(labels[&served(&mut router, subject * S, &request(&parts))].is_some());
    }
}

#[test]
fn a_draining_server_is_never_chosen_and_not_usable() {
    let mut list = servers("llm", 12);
    let mut router = router(1, &list);
    let parts = prompt(3, 3);
    let (home, _) = sent(router.choose(0, &request(&parts)));
    let id = router.server(home).expect("listed").id.clone();
    list.iter_mut().filter(|info| info.id == id).for_each(|info| info.ready = false);
    router.update_servers(S, &list);
    assert!(!router.is_usable(home));
    assert!(router.server(home).is_some());
    for subject in 0..300 {
        let parts = prompt(subject, subject);
        assert_ne!(served(&mut router, 2 * S, &request(&parts)), id);
    }
}

#[test]
fn a_handle_of_a_server_that_is_gone_names_no_other_one() {
    let mut router = router(1, &servers("llm", 1));
    let parts = prompt(1, 1);
    let (old, attempt) = sent(router.choose(0, &request(&parts)));
    router.update_servers(S, &[server("llm", 77)]);
    assert!(router.server(old).is_none());
    assert!(!router.is_usable(old));
    router.record_outcome(S, attempt, Outcome::Broken);
    let (new, _) = sent(router.choose(S, &request(&parts)));
    assert_ne!(new, old);
    assert_eq!(router.status(S)[0].in_flight, 1);
}

#[test]
fn without_a_ready_server_a_request_is_refused_with_a_time_to_come_back() {
    let mut router = router(1, &[]);
    let parts = prompt(1, 1);
    let refused = router.choose(0, &request(&parts));
    let expected = Decision::Refuse { retry_after: 300 * MS, reason: RefusalReason::NoServer };
    assert_eq!(refused, expected);
}
