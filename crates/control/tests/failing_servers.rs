//! Servers that several nodes find failing are named, again and again while they fail.

use dunelink_control::reports::OutcomePool;
use dunelink_protocol::ServerObservation;

const SECOND: u64 = 1_000_000;

fn failing() -> Vec<ServerObservation> {
    vec![ServerObservation { server: "i-1".into(), served: 1, failed: 3 }]
}

#[test]
fn one_node_alone_names_nobody() {
    let mut pool = OutcomePool::default();
    pool.add(SECOND, "front-1", failing());
    assert_eq!(pool.changed_suspicions(SECOND), None);
}

#[test]
fn servers_that_go_on_failing_are_named_again_and_well_ones_once_no_more() {
    let mut pool = OutcomePool::default();
    pool.add(SECOND, "front-1", failing());
    pool.add(SECOND, "front-2", failing());
    let named = pool.changed_suspicions(SECOND).expect("two nodes saw it");
    assert_eq!(named.len(), 1);
    assert_eq!(pool.changed_suspicions(SECOND + SECOND / 2), None, "told half a second ago");
    assert_eq!(pool.changed_suspicions(2 * SECOND), Some(named), "those that heard of it forget it");
    assert_eq!(pool.changed_suspicions(10 * SECOND), Some(Vec::new()), "nothing was reported for long");
    assert_eq!(pool.changed_suspicions(20 * SECOND), None);
}
