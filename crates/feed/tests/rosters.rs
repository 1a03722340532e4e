//! The roster by position: whole, changes on the right and the wrong base, epochs, and what is given out.

use dunelink_feed::roster::UpdateOutcome;
use dunelink_feed::{FeedError, Roster};
use dunelink_protocol::{RosterOffset, RosterUpdate, ServerEntry};

const NOW: u64 = 1_000_000;

fn server(id: &str, cold_remaining_ms: u64) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        service: "s".into(),
        address: "10.0.0.1:80".into(),
        zone: "z".into(),
        slots: 4,
        ready: true,
        cold_remaining_ms,
        software_version: "v1".into(),
        weights_version: None,
    }
}

fn at(epoch: u64, sequence: u64) -> RosterOffset {
    RosterOffset { epoch, sequence }
}

fn whole(offset: RosterOffset, ids: &[&str]) -> RosterUpdate {
    let changed = ids.iter().map(|id| server(id, 0)).collect();
    RosterUpdate { base: None, offset, changed, removed: Vec::new() }
}

fn change(base: RosterOffset, offset: RosterOffset, changed: &[&str], removed: &[&str]) -> RosterUpdate {
    let removed = removed.iter().map(|id| (*id).to_owned()).collect();
    RosterUpdate { base: Some(base), removed, ..whole(offset, changed) }
}

fn ids(roster: &Roster) -> Vec<&str> {
    roster.servers().map(|listed| listed.entry.id.as_str()).collect()
}

fn filled() -> Roster {
    let mut roster = Roster::default();
    assert_eq!(roster.apply(whole(at(2, 5), &["a", "b"]), NOW), Ok(UpdateOutcome::Applied));
    roster
}

#[test]
fn changes_on_the_right_base_are_applied() {
    let mut roster = filled();
    assert_eq!(roster.apply(change(at(2, 5), at(2, 6), &["c"], &["a"]), NOW), Ok(UpdateOutcome::Applied));
    assert_eq!(ids(&roster), ["b", "c"]);
    assert_eq!(roster.offset(), Some(at(2, 6)));
}

#[test]
fn changes_on_another_base_ask_for_the_whole() {
    let mut roster = filled();
    assert_eq!(roster.apply(change(at(2, 6), at(2, 7), &["c"], &[]), NOW), Ok(UpdateOutcome::Gap));
    assert_eq!(roster.apply(change(at(2, 4), at(2, 7), &["c"], &[]), NOW), Ok(UpdateOutcome::Gap));
    assert_eq!(Roster::default().apply(change(at(2, 4), at(2, 5), &[], &[]), NOW), Ok(UpdateOutcome::Gap));
    assert_eq!(ids(&roster), ["a", "b"]);
    assert_eq!(roster.apply(whole(at(2, 7), &["c"]), NOW), Ok(UpdateOutcome::Applied));
    assert_eq!(ids(&roster), ["c"]);
}

#[test]
fn nothing_goes_back() {
    let mut roster = filled();
    assert_eq!(roster.apply(whole(at(1, 90), &["x"]), NOW), Ok(UpdateOutcome::Stale), "an older epoch");
    assert_eq!(roster.apply(whole(at(2, 5), &["x"]), NOW), Ok(UpdateOutcome::Stale));
    assert_eq!(roster.apply(change(at(2, 3), at(2, 4), &["x"], &["a"]), NOW), Ok(UpdateOutcome::Stale));
    assert_eq!(ids(&roster), ["a", "b"]);
    assert_eq!(roster.apply(whole(at(3, 0), &["x"]), NOW), Ok(UpdateOutcome::Applied), "a new epoch");
    let backwards = change(at(9, 5), at(9, 5), &[], &[]);
    let error = FeedError::RosterBackwards { base: at(9, 5), offset: at(9, 5) };
    assert_eq!(roster.apply(backwards, NOW), Err(error));
}

#[test]
fn changes_are_given_out_joined_and_a_stranger_gets_the_whole() {
    let mut roster = filled();
    for (sequence, changed, removed) in [(6, "c", "a"), (7, "d", "c"), (8, "d", "x")] {
        let update = change(at(2, sequence - 1), at(2, sequence), &[changed], &[removed]);
        assert_eq!(roster.apply(update, NOW), Ok(UpdateOutcome::Applied));
    }
    let since = roster.changes_since(at(2, 5), NOW).expect("remembered");
    assert_eq!((since.base, since.offset), (Some(at(2, 5)), at(2, 8)));
    assert_eq!(since.changed, [server("d", 0)]);
    assert_eq!(since.removed, ["a", "c", "x"]);
    assert_eq!(roster.changes_since(at(2, 4), NOW), None);
    assert_eq!(roster.changes_since(at(2, 8), NOW), None, "nothing came after it");
    assert_eq!(roster.full_update(NOW).expect("there is one").changed, [server("b", 0), server("d", 0)]);
    roster.apply(whole(at(3, 0), &["a"]), NOW).expect("fits");
    assert_eq!(roster.changes_since(at(2, 7), NOW), None, "a whole roster ends what was remembered");
}

#[test]
fn old_changes_are_forgotten() {
    let mut roster = filled();
    for sequence in 6..200 {
        let update = change(at(2, sequence - 1), at(2, sequence), &["c"], &[]);
        assert_eq!(roster.apply(update, NOW), Ok(UpdateOutcome::Applied));
    }
    assert_eq!(roster.changes_since(at(2, 5), NOW), None);
    assert!(roster.changes_since(at(2, 190), NOW).is_some());
}

#[test]
fn what_is_left_of_a_slow_start_is_counted_down() {
    let mut roster = Roster::default();
    let update = RosterUpdate { changed: vec![server("a", 900), server("b", 100)], ..whole(at(1, 0), &[]) };
    roster.apply(update, NOW).expect("fits");
    let later = roster.full_update(NOW + 400_000).expect("there is one");
    let left: Vec<u64> = later.changed.iter().map(|entry| entry.cold_remaining_ms).collect();
    assert_eq!(left, [500, 0]);
}

#[test]
fn a_follower_of_changes_ends_where_the_leader_is() {
    bolero::check!().with_type::<Vec<(u8, bool, bool)>>().for_each(|steps| {
        let mut leader = Roster::default();
        leader.apply(whole(at(1, 0), &[]), NOW).expect("fits");
        let mut follower = Roster::default();
        for (index, (server, remove, follow)) in steps.iter().enumerate() {
            let id = server.to_string();
            let (base, offset) = (at(1, index as u64), at(1, index as u64 + 1));
            let update = match remove {
                true => change(base, offset, &[], &[&id]),
                false => change(base, offset, &[&id], &[]),
            };
            leader.apply(update, NOW).expect("fits");
            if *follow {
                catch_up(&mut follower, &leader);
            }
        }
        catch_up(&mut follower, &leader);
        assert_eq!(ids(&follower), ids(&leader));
        assert_eq!(follower.offset(), leader.offset());
    });
}

fn catch_up(follower: &mut Roster, leader: &Roster) {
    if follower.offset() == leader.offset() {
        return;
    }
    let since = follower.offset().and_then(|base| leader.changes_since(base, NOW));
    let update = since.or_else(|| leader.full_update(NOW)).expect("there is one");
    assert_eq!(follower.apply(update, NOW), Ok(UpdateOutcome::Applied));
}
