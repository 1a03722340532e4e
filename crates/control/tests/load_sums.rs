//! Fleet-wide in-flight requests for each server: summed from full and partial node reports, expired, and
//! sent in parts.

use dunelink_control::loads::LoadSums;
use dunelink_feed::Roster;
use dunelink_protocol::{
    FleetLoads, NodeLoads, RosterOffset, RosterUpdate, ServerEntry, ServerLoad, server_key,
};

/// Microseconds in a second.
const SECOND: u64 = 1_000_000;

fn id(number: usize) -> String {
    format!("i-{number:05}")
}

fn roster(servers: usize) -> Roster {
    let entry = |number| ServerEntry {
        id: id(number),
        service: "llm".into(),
        address: "10.0.0.1:80".into(),
        zone: "a".into(),
        slots: 12,
        ready: true,
        cold_remaining_ms: 0,
        software_version: "v1".into(),
        weights_version: None,
    };
    let changed = (0..servers).map(entry).collect();
    let offset = RosterOffset { epoch: 1, sequence: 0 };
    let mut roster = Roster::default();
    roster
        .apply(RosterUpdate { base: None, offset, changed, removed: Vec::new() }, 0)
        .expect("a full roster");
    roster
}

/// A report of (server number, in-flight requests, pending prompt units).
fn loads(full: bool, servers: &[(usize, u32, u32)]) -> NodeLoads {
    let load = |(number, in_flight, pending_prompt_units): &(usize, u32, u32)| ServerLoad {
        server_key: server_key(&id(*number)),
        in_flight: *in_flight,
        pending_prompt_units: *pending_prompt_units,
    };
    NodeLoads { is_full: full, servers: servers.iter().map(load).collect() }
}

/// The next message to the agents.
fn next_message(sums: &mut LoadSums, now: u64, roster: &Roster) -> FleetLoads {
    sums.next_message(now, roster).expect("a message is due")
}

#[test]
fn full_and_partial_reports_are_summed() {
    let (roster, mut sums) = (roster(3), LoadSums::new(0));
    sums.report(SECOND, "a", loads(true, &[(0, 2, 5), (1, 1, 0)]));
    sums.report(SECOND, "b", loads(true, &[(0, 3, 1)]));
    sums.report(2 * SECOND, "a", loads(false, &[(1, 4, 2)]));
    let first = next_message(&mut sums, 3 * SECOND, &roster);
    assert_eq!((first.in_flight, first.pending_prompt_units), (vec![5, 4, 0], vec![6, 2, 0]));
    sums.report(3 * SECOND, "a", loads(false, &[(0, 0, 0)]));
    sums.report(3 * SECOND, "b", loads(true, &[(2, 300, 0)]));
    let next = next_message(&mut sums, 4 * SECOND, &roster);
    assert_eq!((next.in_flight, next.pending_prompt_units), (vec![0, 4, 255], vec![0, 2, 0]));
}

#[test]
fn silent_node_expires_from_the_sums() {
    let (roster, mut sums) = (roster(1), LoadSums::new(0));
    sums.report(SECOND, "a", loads(true, &[(0, 7, 0)]));
    sums.report(3 * SECOND, "b", loads(true, &[(0, 2, 0)]));
    assert_eq!(next_message(&mut sums, 5 * SECOND, &roster).in_flight, [2]);
}

#[test]
fn new_leader_sends_nothing_before_a_full_report() {
    let (roster, mut sums) = (roster(1), LoadSums::new(10 * SECOND));
    sums.report(10 * SECOND, "a", loads(false, &[(0, 7, 0)]));
    assert_eq!(sums.next_message(12 * SECOND, &roster), None);
    sums.report(12 * SECOND, "a", loads(true, &[(0, 7, 0)]));
    assert_eq!(next_message(&mut sums, 13 * SECOND, &roster).in_flight, [7]);
}

#[test]
fn long_roster_is_sent_in_bounded_parts() {
    let (roster, mut sums) = (roster(400), LoadSums::new(0));
    sums.report(2 * SECOND, "a", loads(true, &[(0, 1, 0), (399, 9, 0)]));
    let mut all = Vec::new();
    for part in 0..3 {
        let message = next_message(&mut sums, 3 * SECOND + part * SECOND / 5, &roster);
        assert_eq!(message.first_server as usize, all.len());
        assert!(message.in_flight.len() + message.pending_prompt_units.len() <= 300);
        all.extend(message.in_flight);
    }
    assert_eq!((all.len(), all[0], all[399]), (400, 1, 9));
    sums.report(4 * SECOND, "a", loads(false, &[]));
    assert_eq!(next_message(&mut sums, 4 * SECOND, &roster).first_server, 0);
}

#[test]
fn merged_loads_persist_until_a_full_report() {
    let mut all = loads(true, &[(0, 1, 0), (1, 2, 0)]);
    all.merge(loads(false, &[(1, 3, 1), (2, 1, 0)]));
    let mut expected = loads(true, &[(0, 1, 0), (1, 3, 1), (2, 1, 0)]);
    expected.servers.sort_by_key(|load| load.server_key);
    assert_eq!(all, expected);
    all.merge(loads(true, &[(2, 5, 0)]));
    assert_eq!(all, loads(true, &[(2, 5, 0)]));
}
