//! Roster updates by position: full updates, changes with a matching and another base, epochs, and the
//! updates that are passed on.

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

fn full(offset: RosterOffset, ids: &[&str]) -> RosterUpdate {
    let changed = ids.iter().map(|id| server(id, 0)).collect();
    RosterUpdate { base: None, offset, changed, removed: Vec::new() }
}

fn change(base: RosterOffset, offset: RosterOffset, changed: &[&str], removed: &[&str]) -> RosterUpdate {
    let removed = removed.iter().map(|id| (*id).to_owned()).collect();
    RosterUpdate { base: Some(base), removed, ..full(offset, changed) }
}

fn ids(roster: &Roster) -> Vec<&str> {
    roster.servers().map(|server| server.entry.id.as_str()).collect()
}

fn roster_at_2_5() -> Roster {
    let mut roster = Roster::default();
    assert_eq!(roster.apply(full(at(2, 5), &["a", "b"]), NOW), Ok(UpdateOutcome::Applied));
    roster
}

#[test]
fn changes_from_the_current_position_are_applied() {
    let mut roster = roster_at_2_5();
    assert_eq!(roster.apply(change(at(2, 5), at(2, 6), &["c"], &["a"]), NOW), Ok(UpdateOutcome::Applied));
    assert_eq!(ids(&roster), ["b", "c"]);
    assert_eq!(roster.offset(), Some(at(2, 6)));
}

#[test]
fn changes_from_another_position_are_a_gap() {
    let mut roster = roster_at_2_5();
    assert_eq!(roster.apply(change(at(2, 6), at(2, 7), &["c"], &[]), NOW), Ok(UpdateOutcome::Gap));
    assert_eq!(roster.apply(change(at(2, 4), at(2, 7), &["c"], &[]), NOW), Ok(UpdateOutcome::Gap));
    assert_eq!(Roster::default().apply(change(at(2, 4), at(2, 5), &[], &[]), NOW), Ok(UpdateOutcome::Gap));
    assert_eq!(ids(&roster), ["a", "b"]);
    assert_eq!(roster.apply(full(at(2, 7), &["c"]), NOW), Ok(UpdateOutcome::Applied));
    assert_eq!(ids(&roster), ["c"]);
}

#[test]
fn stale_updates_are_ignored() {
    let mut roster = roster_at_2_5();
    assert_eq!(roster.apply(full(at(1, 90), &["x"]), NOW), Ok(UpdateOutcome::Stale), "older epoch");
    assert_eq!(roster.apply(full(at(2, 5), &["x"]), NOW), Ok(UpdateOutcome::Stale));
    assert_eq!(roster.apply(change(at(2, 3), at(2, 4), &["x"], &["a"]), NOW), Ok(UpdateOutcome::Stale));
    assert_eq!(ids(&roster), ["a", "b"]);
    assert_eq!(roster.apply(full(at(3, 0), &["x"]), NOW), Ok(UpdateOutcome::Applied), "new epoch");
    let backwards = change(at(9, 5), at(9, 5), &[], &[]);
    let error = FeedError::RosterBackwards { base: at(9, 5), offset: at(9, 5) };
    assert_eq!(roster.apply(backwards, NOW), Err(error));
}

#[test]
fn recent_changes_are_merged_and_unknown_positions_get_none() {
    let mut roster = roster_at_2_5();
    for (sequence, changed, removed) in [(6, "c", "a"), (7, "d", "c"), (8, "d", "x")] {
        let update = change(at(2, sequence - 1), at(2, sequence), &[changed], &[removed]);
        assert_eq!(roster.apply(update, NOW), Ok(UpdateOutcome::Applied));
    }
    let changes = roster.changes_since(at(2, 5), NOW).expect("recent updates");
    assert_eq!((changes.base, changes.offset), (Some(at(2, 5)), at(2, 8)));
    assert_eq!(changes.changed, [server("d", 0)]);
    assert_eq!(changes.removed, ["a", "c", "x"]);
    assert_eq!(roster.changes_since(at(2, 4), NOW), None);
    assert_eq!(roster.changes_since(at(2, 8), NOW), None, "no later updates");
    assert_eq!(
        roster.full_update(NOW).expect("a full roster exists").changed,
        [server("b", 0), server("d", 0)]
    );
    roster.apply(full(at(3, 0), &["a"]), NOW).expect("valid update");
    assert_eq!(roster.changes_since(at(2, 7), NOW), None, "a full roster clears the recent updates");
}

#[test]
fn old_updates_are_discarded() {
    let mut roster = roster_at_2_5();
    for sequence in 6..200 {
        let update = change(at(2, sequence - 1), at(2, sequence), &["c"], &[]);
        assert_eq!(roster.apply(update, NOW), Ok(UpdateOutcome::Applied));
    }
    assert_eq!(roster.changes_since(at(2, 5), NOW), None);
    assert!(roster.changes_since(at(2, 190), NOW).is_some());
}

#[test]
fn remaining_slow_start_is_reduced_by_the_elapsed_time() {
    let mut roster = Roster::default();
    let update = RosterUpdate { changed: vec![server("a", 900), server("b", 100)], ..full(at(1, 0), &[]) };
    roster.apply(update, NOW).expect("valid update");
    let later = roster.full_update(NOW + 400_000).expect("a full roster exists");
    let remaining: Vec<u64> = later.changed.iter().map(|entry| entry.cold_remaining_ms).collect();
    assert_eq!(remaining, [500, 0]);
}

#[test]
fn reader_of_changes_converges_to_the_source() {
    bolero::check!().with_type::<Vec<(u8, bool, bool)>>().for_each(|steps| {
        let mut source = Roster::default();
        source.apply(full(at(1, 0), &[]), NOW).expect("valid update");
        let mut reader = Roster::default();
        for (index, (server, remove, catches_up)) in steps.iter().enumerate() {
            let id = server.to_string();
            let (base, offset) = (at(1, index as u64), at(1, index as u64 + 1));
            let update = match remove {
                true => change(base, offset, &[], &[&id]),
                false => change(base, offset, &[&id], &[]),
            };
            source.apply(update, NOW).expect("valid update");
            if *catches_up {
                catch_up(&mut reader, &source);
            }
        }
        catch_up(&mut reader, &source);
        assert_eq!(ids(&reader), ids(&source));
        assert_eq!(reader.offset(), source.offset());
    });
}

fn catch_up(reader: &mut Roster, source: &Roster) {
    if reader.offset() == source.offset() {
        return;
    }
    let changes = reader.offset().and_then(|base| source.changes_since(base, NOW));
    let update = changes.or_else(|| source.full_update(NOW)).expect("a full roster exists");
    assert_eq!(reader.apply(update, NOW), Ok(UpdateOutcome::Applied));
}
