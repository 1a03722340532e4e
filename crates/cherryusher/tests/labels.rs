//! The assignment of tenants and servers to labels, which both decision modules share.

use cherryusher::labels::{claim_servers, server_rank, tenant_label};

#[test]
fn tenant_label_is_stable_and_in_range() {
    for tenant in 0..1_000 {
        let own = tenant_label(tenant, 7, 5);
        assert!(own < 5);
        assert_eq!(own, tenant_label(tenant, 7, 5));
    }
    assert_eq!(tenant_label(3, 7, 0), 0, "without labels all tenants share the first");
}

#[test]
fn claim_takes_the_highest_ranks() {
    let mut free: Vec<u64> = (1..=20).collect();
    let claimed = claim_servers(&mut free, 2, 4, |id| *id);
    assert_eq!((claimed.len(), free.len()), (4, 16));
    let lowest = claimed.iter().map(|id| server_rank(2, *id)).min().expect("four claimed servers");
    assert!(free.iter().all(|id| server_rank(2, *id) < lowest && !claimed.contains(id)));
}

#[test]
fn claim_of_more_than_free_takes_all() {
    let mut free = vec![1u64, 2];
    assert_eq!(claim_servers(&mut free, 0, 4, |id| *id).len(), 2);
    assert!(free.is_empty());
}
