//! The labelling rule that both decision modules share.

use cherryusher::labels::{claim_servers, server_rank, tenant_label};

#[test]
fn a_tenant_has_one_label_below_their_number() {
    for tenant in 0..1_000 {
        let own = tenant_label(tenant, 7, 5);
        assert!(own < 5);
        assert_eq!(own, tenant_label(tenant, 7, 5));
    }
    assert_eq!(tenant_label(3, 7, 0), 0, "without labels all share the first");
}

#[test]
fn a_claim_takes_the_highest_ranking_and_leaves_the_rest() {
    let mut free: Vec<u64> = (1..=20).collect();
    let claimed = claim_servers(&mut free, 2, 4, |id| *id);
    assert_eq!((claimed.len(), free.len()), (4, 16));
    let least = claimed.iter().map(|id| server_rank(2, *id)).min().expect("four");
    assert!(free.iter().all(|id| server_rank(2, *id) < least && !claimed.contains(id)));
}

#[test]
fn a_claim_beyond_what_is_free_takes_all() {
    let mut free = vec![1u64, 2];
    assert_eq!(claim_servers(&mut free, 0, 4, |id| *id).len(), 2);
    assert!(free.is_empty());
}
