//! `SourceSelector` as a state machine with simulated times and no sockets.

use std::net::SocketAddr;

use dunelink_agent::directory::AddressDirectory;
use dunelink_agent::sources::{
    Action, HEARTBEAT_TIMEOUT_US, LinkId, MAX_CONFIRMATION_AGE_US, STALE_TIMEOUT_US, SourceSelector,
};
use dunelink_protocol::{Heartbeat, RosterOffset};

const START: u64 = 1_000_000;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn sources(seeds: u8) -> SourceSelector {
    let mut directory = AddressDirectory::default();
    directory.set_seeds((1..=seeds).map(address).collect());
    SourceSelector::new(directory, fastrand::Rng::with_seed(7))
}

fn heartbeat(confirmed_age_ms: u64) -> Heartbeat {
    let roster = RosterOffset::default();
    Heartbeat { confirmed_age_ms, configuration_version: 1, roster, roster_age_ms: 0 }
}

fn dialed_link(actions: &[Action]) -> Option<(LinkId, SocketAddr)> {
    actions.iter().find_map(|action| match action {
        Action::Dial { link, address } => Some((*link, *address)),
        Action::Close(_) => None,
    })
}

fn closed_links(actions: &[Action]) -> Vec<LinkId> {
    let close = |action: &Action| match action {
        Action::Close(link) => Some(*link),
        Action::Dial { .. } => None,
    };
    actions.iter().filter_map(close).collect()
}

/// Opens the first connection and makes it current at `START`.
fn connect_current(sources: &mut SourceSelector) -> (LinkId, SocketAddr) {
    let (link, address) = dialed_link(&sources.poll(START)).expect("the first attempt is due immediately");
    sources.record_opened(link, START);
    sources.record_heartbeat(link, &heartbeat(0), START);
    assert_eq!(sources.poll(START), []);
    (link, address)
}

/// Time, link and address of the next dial at or after `from`.
fn next_dial(sources: &mut SourceSelector, from: u64) -> (u64, LinkId, SocketAddr) {
    let mut now = from;
    for _ in 0..100 {
        let actions = sources.poll(now);
        if let Some((link, address)) = dialed_link(&actions) {
            return (now, link, address);
        }
        now = sources.next_poll(now).expect("an action is due").max(now + 1);
    }
    panic!("no attempt within 100 steps");
}

#[test]
fn one_current_source_is_enough() {
    let mut sources = sources(3);
    let (link, _) = connect_current(&mut sources);
    let mut now = START;
    for _ in 0..100 {
        now += 250_000;
        assert!(!sources.record_heartbeat(link, &heartbeat(20), now), "a regular heartbeat changes nothing");
        assert_eq!(sources.poll(now), []);
    }
    assert_eq!(sources.active(), Some(link));
}

#[test]
fn silent_source_is_replaced() {
    let mut sources = sources(3);
    let (link, first) = connect_current(&mut sources);
    let (at, other, address) = next_dial(&mut sources, START);
    assert_eq!(at, START + HEARTBEAT_TIMEOUT_US + STALE_TIMEOUT_US);
    assert_ne!(address, first);
    sources.record_opened(other, at);
    assert_eq!(sources.active(), Some(link), "the old source stays active until a better one is found");
    assert!(sources.record_heartbeat(other, &heartbeat(0), at));
    assert_eq!(closed_links(&sources.poll(at)), [link]);
    assert_eq!(sources.active(), Some(other));
}

#[test]
fn source_with_old_confirmation_is_replaced() {
    let mut sources = sources(3);
    let (link, _) = connect_current(&mut sources);
    let mut age_ms = 0;
    let mut now = START;
    while now < START + MAX_CONFIRMATION_AGE_US + STALE_TIMEOUT_US - 100_000 {
        now += 100_000;
        age_ms += 100;
        sources.record_heartbeat(link, &heartbeat(age_ms), now);
        assert_eq!(sources.poll(now), []);
    }
    let (at, _, _) = next_dial(&mut sources, now);
    assert!(at <= START + MAX_CONFIRMATION_AGE_US + STALE_TIMEOUT_US);
}

/// A former leader was last confirmed by another leader before its own term, so its confirmed age is large as
/// soon as it loses its lease.
#[test]
fn former_leader_is_replaced_without_waiting() {
    let mut sources = sources(3);
    let (link, _) = connect_current(&mut sources);
    let mut now = START;
    while now < START + 10 * MAX_CONFIRMATION_AGE_US {
        now += 250_000;
        assert!(!sources.record_heartbeat(link, &heartbeat(0), now));
    }
    now += 250_000;
    assert!(
        sources.record_heartbeat(link, &heartbeat(u64::MAX), now),
        "the selection is reconsidered at once"
    );
    let (at, other, _) = next_dial(&mut sources, now);
    assert_eq!(at, now);
    assert_eq!(sources.active(), Some(link), "it stays active until a better one is found");
    sources.record_opened(other, at);
    assert!(sources.record_heartbeat(other, &heartbeat(20), at));
    assert_eq!(closed_links(&sources.poll(at)), [link]);
}

#[test]
fn recovered_source_is_kept() {
    let mut sources = sources(3);
    let (link, _) = connect_current(&mut sources);
    let (at, other, _) = next_dial(&mut sources, START);
    assert!(sources.record_heartbeat(link, &heartbeat(0), at));
    assert_eq!(closed_links(&sources.poll(at)), [other]);
    assert_eq!(sources.active(), Some(link));
}

#[test]
fn worse_of_two_connections_is_closed() {
    let mut sources = sources(5);
    let (first, _) = connect_current(&mut sources);
    let (at, second, _) = next_dial(&mut sources, START);
    sources.record_opened(second, at);
    let actions = sources.poll(at + STALE_TIMEOUT_US);
    assert_eq!(closed_links(&actions), [second], "it never sent a heartbeat");
    let (later, third, _) = next_dial(&mut sources, at + STALE_TIMEOUT_US);
    sources.record_opened(third, later);
    sources.record_heartbeat(third, &heartbeat(900), later);
    assert_eq!(closed_links(&sources.poll(later)), [first]);
    assert_eq!(sources.active(), Some(third));
}

#[test]
fn slow_dial_starts_a_parallel_one() {
    let mut sources = sources(3);
    let (_, first) = dialed_link(&sources.poll(START)).expect("the first attempt");
    let (at, _, second) = next_dial(&mut sources, START);
    assert!(at < START + 500_000);
    assert_ne!(first, second);
    assert_eq!(sources.next_poll(at), None, "both are being opened: only events can change anything");
}

#[test]
fn failures_try_all_machines_with_backoff_up_to_one_second() {
    let mut sources = sources(3);
    let mut dialed = std::collections::BTreeSet::new();
    let (mut at, mut link, mut address) = next_dial(&mut sources, START);
    let mut pauses = Vec::new();
    for _ in 0..40 {
        dialed.insert(address);
        sources.record_closed(link, at);
        let before = at;
        (at, link, address) = next_dial(&mut sources, before);
        pauses.push(at - before);
    }
    assert_eq!(dialed.len(), 3);
    assert!(pauses[0] <= 100_000);
    assert!(pauses.iter().all(|pause| (50_000..=1_000_000).contains(pause)));
    assert!(pauses[30..].iter().all(|pause| *pause >= 500_000), "long pauses after many failures");
}

#[test]
fn nothing_is_due_without_addresses() {
    let mut sources = sources(0);
    assert_eq!(sources.poll(START), []);
    assert_eq!(sources.next_poll(START), None);
    sources.directory.set_seeds(vec![address(1)]);
    next_dial(&mut sources, START);
}

#[test]
fn any_events_leave_at_most_two_connections() {
    bolero::check!().with_type::<Vec<(u8, u8, u16)>>().for_each(|events| {
        let mut sources = sources(4);
        let mut open: Vec<LinkId> = Vec::new();
        let mut now = START;
        for (kind, which, pause) in events {
            now += u64::from(*pause) * 50;
            let link = open.get(usize::from(*which) % open.len().max(1)).copied().unwrap_or(99);
            match kind % 4 {
                0 => sources.record_opened(link, now),
                1 => drop(sources.record_heartbeat(link, &heartbeat(u64::from(*which) * 10), now)),
                2 => {
                    sources.record_closed(link, now);
                    open.retain(|known| *known != link);
                }
                _ => {}
            }
            for action in sources.poll(now) {
                match action {
                    Action::Dial { link, .. } => open.push(link),
                    Action::Close(link) => open.retain(|known| *known != link),
                }
            }
            assert!(open.len() <= 2);
            assert!(sources.active().is_none_or(|active| open.contains(&active)));
            if let Some(next) = sources.next_poll(now) {
                assert!(next <= now + 3_000_000, "the next poll is due within three seconds");
            }
        }
    });
}

#[test]
fn only_a_current_source_removes_members() {
    let mut directory = AddressDirectory::default();
    directory.update_members(vec![address(1), address(2)], true);
    directory.update_members(vec![address(3)], false);
    assert_eq!(directory.len(), 3, "a source that is not current may send an outdated list");
    directory.update_members(vec![address(3)], true);
    assert_eq!(directory.len(), 1);
    directory.update_members(Vec::new(), true);
    assert_eq!(directory.len(), 1, "an empty list is ignored");
    directory.set_seeds(vec![address(4)]);
    directory.set_seeds(vec![address(5)]);
    assert_eq!(directory.len(), 2, "new seeds do not remove learned members");
}
