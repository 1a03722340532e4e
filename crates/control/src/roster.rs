//! Differences between the roster and a newly read list of the platform.

use std::collections::HashMap;

use dunelink_feed::Roster;
use dunelink_protocol::{RosterOffset, RosterUpdate, ServerEntry};

/// Changes of a server's remaining slow-start time up to this many milliseconds are ignored: lists are read
/// at slightly different times.
const SLOW_START_TOLERANCE_MS: u64 = 500;

/// Update that brings `roster` to the list read at `now` by the leader of `epoch`; `None` if it has the same
/// content and epoch.
pub fn list_difference(
    roster: &Roster,
    epoch: u64,
    list: Vec<ServerEntry>,
    now: u64,
) -> Option<RosterUpdate> {
    let Some(base) = roster.offset() else {
        return Some(RosterUpdate {
            base: None,
            offset: first_offset(epoch),
            changed: list,
            removed: Vec::new(),
        });
    };
    let mut known: HashMap<String, ServerEntry> =
        roster.servers().map(|listed| (listed.entry.id.clone(), listed.entry_at(now))).collect();
    let changed: Vec<ServerEntry> = list
        .into_iter()
        .filter(|entry| known.remove(&entry.id).is_none_or(|before| is_changed(&before, entry)))
        .collect();
    let removed: Vec<String> = known.into_keys().collect();
    // The first list of an epoch always moves the offset: members may hold a newer one of the previous epoch.
    if base.epoch >= epoch && changed.is_empty() && removed.is_empty() {
        return None;
    }
    Some(RosterUpdate { base: Some(base), offset: next_offset(base, epoch), changed, removed })
}

/// Update for one page of a list that is still being read: new and changed servers. `None` before the first
/// complete list of an epoch, which moves the offset of all members. Servers that are gone show only in a
/// complete list.
pub fn page_difference(roster: &Roster, epoch: u64, page: &[ServerEntry], now: u64) -> Option<RosterUpdate> {
    let base = roster.offset().filter(|base| base.epoch >= epoch)?;
    let is_new_or_changed = |entry: &&ServerEntry| {
        roster.get(&entry.id).is_none_or(|listed| is_changed(&listed.entry_at(now), entry))
    };
    let changed: Vec<ServerEntry> = page.iter().filter(is_new_or_changed).cloned().collect();
    if changed.is_empty() {
        return None;
    }
    Some(RosterUpdate { base: Some(base), offset: next_offset(base, epoch), changed, removed: Vec::new() })
}

fn first_offset(epoch: u64) -> RosterOffset {
    RosterOffset { epoch, sequence: 1 }
}

/// The offset after `base` in the feed of the leader of `epoch`. Changes may lead from one epoch to the next:
/// only one leader assigns an offset, so it always stands for the same content.
fn next_offset(base: RosterOffset, epoch: u64) -> RosterOffset {
    if base.epoch >= epoch {
        return RosterOffset { epoch: base.epoch, sequence: base.sequence + 1 };
    }
    first_offset(epoch)
}

fn is_changed(before: &ServerEntry, after: &ServerEntry) -> bool {
    let slow_start_change = before.cold_remaining_ms.abs_diff(after.cold_remaining_ms);
    let same_otherwise =
        ServerEntry { cold_remaining_ms: after.cold_remaining_ms, ..before.clone() } == *after;
    !same_otherwise || slow_start_change > SLOW_START_TOLERANCE_MS
}
