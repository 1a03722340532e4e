//! Servers that several nodes report as failing are suspected, and the suspicion is repeated while they fail.

use dunelink_control::reports::OutcomePool;
use dunelink_protocol::ServerObservation;

/// Microseconds in a second.
const SECOND: u64 = 1_000_000;

/// Outcomes of a server most of whose requests failed.
fn failing_observations() -> Vec<ServerObservation> {
    vec![ServerObservation { server: "i-1".into(), served: 1, failed: 3 }]
}

#[test]
fn reports_of_one_node_suspect_no_server() {
    let mut pool = OutcomePool::default();
    pool.add(SECOND, "front-1", failing_observations());
    assert_eq!(pool.changed_suspicions(SECOND), None);
}

#[test]
fn suspicions_repeat_while_servers_fail_and_are_cleared_once() {
    let mut pool = OutcomePool::default();
    pool.add(SECOND, "front-1", failing_observations());
    pool.add(SECOND, "front-2", failing_observations());
    let suspicions = pool.changed_suspicions(SECOND).expect("two nodes reported the failures");
    assert_eq!(suspicions.len(), 1);
    assert_eq!(pool.changed_suspicions(SECOND + SECOND / 2), None, "sent half a second ago");
    assert_eq!(
        pool.changed_suspicions(2 * SECOND),
        Some(suspicions),
        "sent again, since recipients forget a suspicion"
    );
    assert_eq!(
        pool.changed_suspicions(10 * SECOND),
        Some(Vec::new()),
        "no failure was reported for a long time"
    );
    assert_eq!(pool.changed_suspicions(20 * SECOND), None);
}
