//! Requests of all nodes at the servers: summed up from changes and wholes, forgotten, told in parts.

use dunelink_control::loads::LoadSums;
use dunelink_feed::Roster;
use dunelink_protocol::{
    FleetLoads, NodeLoads, RosterOffset, RosterUpdate, ServerEntry, ServerLoad, server_key,
};

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
        .expect("a whole roster");
    roster
}

fn loads(is_whole: bool, servers: &[(usize, u32, u32)]) -> NodeLoads {
    let load = |(number, requests, unread): &(usize, u32, u32)| ServerLoad {
        server_key: server_key(&id(*number)),
        in_flight: *requests,
        pending_prompt_units: *unread,
    };
    NodeLoads { is_full: is_whole, servers: servers.iter().map(load).collect() }
}

fn told(sums: &mut LoadSums, now: u64, roster: &Roster) -> FleetLoads {
    sums.next_message(now, roster).expect("something to tell")
}

#[test]
fn changes_and_wholes_of_nodes_are_summed_up() {
    let (roster, mut sums) = (roster(3), LoadSums::new(0));
    sums.report(SECOND, "a", loads(true, &[(0, 2, 5), (1, 1, 0)]));
    sums.report(SECOND, "b", loads(true, &[(0, 3, 1)]));
    sums.report(2 * SECOND, "a", loads(false, &[(1, 4, 2)]));
    let first = told(&mut sums, 3 * SECOND, &roster);
    assert_eq!((first.in_flight, first.pending_prompt_units), (vec![5, 4, 0], vec![6, 2, 0]));
    sums.report(3 * SECOND, "a", loads(false, &[(0, 0, 0)]));
    sums.report(3 * SECOND, "b", loads(true, &[(2, 300, 0)]));
    let next = told(&mut sums, 4 * SECOND, &roster);
    assert_eq!((next.in_flight, next.pending_prompt_units), (vec![0, 4, 255], vec![0, 2, 0]));
}

#[test]
fn a_node_that_falls_silent_counts_for_nothing() {
    let (roster, mut sums) = (roster(1), LoadSums::new(0));
    sums.report(SECOND, "a", loads(true, &[(0, 7, 0)]));
    sums.report(3 * SECOND, "b", loads(true, &[(0, 2, 0)]));
    assert_eq!(told(&mut sums, 5 * SECOND, &roster).in_flight, [2]);
}

#[test]
fn a_leader_tells_nothing_before_it_has_heard_of_all() {
    let (roster, mut sums) = (roster(1), LoadSums::new(10 * SECOND));
    sums.report(10 * SECOND, "a", loads(false, &[(0, 7, 0)]));
    assert_eq!(sums.next_message(12 * SECOND, &roster), None);
    sums.report(12 * SECOND, "a", loads(true, &[(0, 7, 0)]));
    assert_eq!(told(&mut sums, 13 * SECOND, &roster).in_flight, [7]);
}

#[test]
fn a_long_roster_is_told_in_parts_of_a_bounded_size() {
    let (roster, mut sums) = (roster(400), LoadSums::new(0));
    sums.report(2 * SECOND, "a", loads(true, &[(0, 1, 0), (399, 9, 0)]));
    let mut all = Vec::new();
    for part in 0..3 {
        let told = told(&mut sums, 3 * SECOND + part * SECOND / 5, &roster);
        assert_eq!(told.first_server as usize, all.len());
        assert!(told.in_flight.len() + told.pending_prompt_units.len() <= 300);
        all.extend(told.in_flight);
    }
    assert_eq!((all.len(), all[0], all[399]), (400, 1, 9));
    sums.report(4 * SECOND, "a", loads(false, &[]));
    assert_eq!(told(&mut sums, 4 * SECOND, &roster).first_server, 0);
}

#[test]
fn what_a_node_told_before_stands_until_a_whole_replaces_it() {
    let mut all = loads(true, &[(0, 1, 0), (1, 2, 0)]);
    all.merge(loads(false, &[(1, 3, 1), (2, 1, 0)]));
    let mut expected = loads(true, &[(0, 1, 0), (1, 3, 1), (2, 1, 0)]);
    expected.servers.sort_by_key(|load| load.server_key);
    assert_eq!(all, expected);
    all.merge(loads(true, &[(2, 5, 0)]));
    assert_eq!(all, loads(true, &[(2, 5, 0)]));
}
