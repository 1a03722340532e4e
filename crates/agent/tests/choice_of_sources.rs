//! The choice of sources as a state machine: times are given, no sockets.

use std::net::SocketAddr;

use dunelink_agent::directory::Directory;
use dunelink_agent::sources::{Action, CONFIRMED, DOUBT, LinkId, SILENCE, Sources};
use dunelink_protocol::{Heartbeat, RosterOffset};

const START: u64 = 1_000_000;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn sources(seeds: u8) -> Sources {
    let mut directory = Directory::default();
    directory.set_seeds((1..=seeds).map(address).collect());
    Sources::new(directory, fastrand::Rng::with_seed(7))
}

fn tick(confirmed_age_ms: u64) -> Heartbeat {
    let roster = RosterOffset::default();
    Heartbeat { confirmed_age_ms, configuration_version: 1, roster, roster_age_ms: 0 }
}

fn dialed(actions: &[Action]) -> Option<(LinkId, SocketAddr)> {
    actions.iter().find_map(|action| match action {
        Action::Dial { link, address } => Some((*link, *address)),
        Action::Close(_) => None,
    })
}

fn closed(actions: &[Action]) -> Vec<LinkId> {
    let close = |action: &Action| match action {
        Action::Close(link) => Some(*link),
        Action::Dial { .. } => None,
    };
    actions.iter().filter_map(close).collect()
}

/// Opens the first connection and makes it current at `START`.
fn connected(sources: &mut Sources) -> (LinkId, SocketAddr) {
    let (link, address) = dialed(&sources.poll(START)).expect("the first attempt is due at once");
    sources.opened(link, START);
    sources.ticked(link, &tick(0), START);
    assert_eq!(sources.poll(START), []);
    (link, address)
}

/// The next dial at or after `from`, with its time.
fn next_dial(sources: &mut Sources, from: u64) -> (u64, LinkId, SocketAddr) {
    let mut now = from;
    for _ in 0..100 {
        let actions = sources.poll(now);
        if let Some((link, address)) = dialed(&actions) {
            return (now, link, address);
        }
        now = sources.next_poll(now).expect("something is due").max(now + 1);
    }
    panic!("no attempt within 100 steps");
}

#[test]
fn one_current_source_is_enough() {
    let mut sources = sources(3);
    let (link, _) = connected(&mut sources);
    let mut now = START;
    for _ in 0..100 {
        now += 250_000;
        assert!(!sources.ticked(link, &tick(20), now), "an ordinary sign of life changes nothing");
        assert_eq!(sources.poll(now), []);
    }
    assert_eq!(sources.active(), Some(link));
}

#[test]
fn a_silent_source_is_doubted_and_another_one_is_tried() {
    let mut sources = sources(3);
    let (link, first) = connected(&mut sources);
    let (at, other, address) = next_dial(&mut sources, START);
    assert_eq!(at, START + SILENCE + DOUBT);
    assert_ne!(address, first);
    sources.opened(other, at);
    assert_eq!(sources.active(), Some(link), "the old one stays until a better one is found");
    assert!(sources.ticked(other, &tick(0), at));
    assert_eq!(closed(&sources.poll(at)), [link]);
    assert_eq!(sources.active(), Some(other));
}

#[test]
fn a_source_cut_off_from_the_leader_is_doubted_by_the_age_of_its_proof() {
    let mut sources = sources(3);
    let (link, _) = connected(&mut sources);
    let mut age_ms = 0;
    let mut now = START;
    while now < START + CONFIRMED + DOUBT - 100_000 {
        now += 100_000;
        age_ms += 100;
        sources.ticked(link, &tick(age_ms), now);
        assert_eq!(sources.poll(now), []);
    }
    let (at, _, _) = next_dial(&mut sources, now);
    assert!(at <= START + CONFIRMED + DOUBT);
}

/// A leader that loses its lease has had no proof from another one for long.
#[test]
fn a_leader_that_was_cut_off_is_doubted_as_soon_as_it_tells_that_it_proves_nothing() {
    let mut sources = sources(3);
    let (link, _) = connected(&mut sources);
    let mut now = START;
    while now < START + 10 * CONFIRMED {
        now += 250_000;
        assert!(!sources.ticked(link, &tick(0), now));
    }
    now += 250_000;
    assert!(sources.ticked(link, &tick(u64::MAX), now), "its time is not waited for");
    let (at, other, _) = next_dial(&mut sources, now);
    assert_eq!(at, now);
    assert_eq!(sources.active(), Some(link), "until a better one is found");
    sources.opened(other, at);
    assert!(sources.ticked(other, &tick(20), at));
    assert_eq!(closed(&sources.poll(at)), [link]);
}

#[test]
fn a_source_that_recovers_is_kept() {
    let mut sources = sources(3);
    let (link, _) = connected(&mut sources);
    let (at, other, _) = next_dial(&mut sources, START);
    assert!(sources.ticked(link, &tick(0), at));
    assert_eq!(closed(&sources.poll(at)), [other]);
    assert_eq!(sources.active(), Some(link));
}

#[test]
fn at_most_two_connections_and_the_worse_one_goes() {
    let mut sources = sources(5);
    let (first, _) = connected(&mut sources);
    let (at, second, _) = next_dial(&mut sources, START);
    sources.opened(second, at);
    let actions = sources.poll(at + DOUBT);
    assert_eq!(closed(&actions), [second], "it never gave a sign of life");
    let (later, third, _) = next_dial(&mut sources, at + DOUBT);
    sources.opened(third, later);
    sources.ticked(third, &tick(900), later);
    assert_eq!(closed(&sources.poll(later)), [first]);
    assert_eq!(sources.active(), Some(third));
}

#[test]
fn a_slow_dial_is_tried_in_parallel_with_another() {
    let mut sources = sources(3);
    let (_, first) = dialed(&sources.poll(START)).expect("the first attempt");
    let (at, _, second) = next_dial(&mut sources, START);
    assert!(at < START + 500_000);
    assert_ne!(first, second);
    assert_eq!(sources.next_poll(at), None, "two are being opened: only their ends matter");
}

#[test]
fn all_machines_are_tried_and_the_pause_grows_to_a_second() {
    let mut sources = sources(3);
    let mut tried = std::collections::BTreeSet::new();
    let (mut at, mut link, mut address) = next_dial(&mut sources, START);
    let mut pauses = Vec::new();
    for _ in 0..40 {
        tried.insert(address);
        sources.closed(link, at);
        let before = at;
        (at, link, address) = next_dial(&mut sources, before);
        pauses.push(at - before);
    }
    assert_eq!(tried.len(), 3);
    assert!(pauses[0] <= 100_000);
    assert!(pauses.iter().all(|pause| (50_000..=1_000_000).contains(pause)));
    assert!(pauses[30..].iter().all(|pause| *pause >= 500_000), "gentle after many failures");
}

#[test]
fn without_any_address_nothing_is_due() {
    let mut sources = sources(0);
    assert_eq!(sources.poll(START), []);
    assert_eq!(sources.next_poll(START), None);
    sources.directory.set_seeds(vec![address(1)]);
    next_dial(&mut sources, START);
}

#[test]
fn whatever_happens_there_are_at_most_two_connections() {
    bolero::check!().with_type::<Vec<(u8, u8, u16)>>().for_each(|events| {
        let mut sources = sources(4);
        let mut open: Vec<LinkId> = Vec::new();
        let mut now = START;
        for (kind, which, pause) in events {
            now += u64::from(*pause) * 50;
            let link = open.get(usize::from(*which) % open.len().max(1)).copied().unwrap_or(99);
            match kind % 4 {
                0 => sources.opened(link, now),
                1 => drop(sources.ticked(link, &tick(u64::from(*which) * 10), now)),
                2 => {
                    sources.closed(link, now);
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
                assert!(next <= now + 3_000_000, "no long wait without a current source");
            }
        }
    });
}

#[test]
fn members_replace_older_ones_only_from_a_current_source() {
    let mut directory = Directory::default();
    directory.learn(vec![address(1), address(2)], true);
    directory.learn(vec![address(3)], false);
    assert_eq!(directory.len(), 3, "a source that is cut off may tell an old list");
    directory.learn(vec![address(3)], true);
    assert_eq!(directory.len(), 1);
    directory.learn(Vec::new(), true);
    assert_eq!(directory.len(), 1, "an empty list is no list");
    directory.set_seeds(vec![address(4)]);
    directory.set_seeds(vec![address(5)]);
    assert_eq!(directory.len(), 2, "other seeds leave learned members");
}
