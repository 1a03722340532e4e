//! Changes of the roster between two readings of the platform's list.

use std::collections::HashMap;

use dunelink_feed::Roster;
use dunelink_protocol::{RosterOffset, RosterUpdate, ServerEntry};

/// Differences in the time that a slow start still takes are ignored up to this, in milliseconds: readings are made
/// at slightly different times.
const COLD_TOLERANCE_MS: u64 = 500;

/// What has to be applied to `roster` for it to show the list read by the leader of `epoch` at `now`; nothing if it
/// does already.
pub fn list_difference(
    roster: &Roster,
    epoch: u64,
    list: Vec<ServerEntry>,
    now: u64,
) -> Option<RosterUpdate> {
    let Some(base) = roster.offset() else {
        return Some(RosterUpdate {
            base: None,
            offset: first_of(epoch),
            changed: list,
            removed: Vec::new(),
        });
    };
    let mut held: HashMap<String, ServerEntry> =
        roster.servers().map(|listed| (listed.entry.id.clone(), listed.entry_at(now))).collect();
    let changed: Vec<ServerEntry> = list
        .into_iter()
        .filter(|entry| held.remove(&entry.id).is_none_or(|before| differs(&before, entry)))
        .collect();
    let removed: Vec<String> = held.into_keys().collect();
    // The first reading of an epoch always moves the position: members may hold a newer one of the epoch before.
    if base.epoch >= epoch && changed.is_empty() && removed.is_empty() {
        return None;
    }
    Some(RosterUpdate { base: Some(base), offset: after(base, epoch), changed, removed })
}

/// What one page of a list that is being read changes: new servers, and those whose state is another. Nothing before the
/// first whole list of an epoch, which moves the position of all. What is gone shows only in a whole list.
pub fn page_difference(roster: &Roster, epoch: u64, page: &[ServerEntry], now: u64) -> Option<RosterUpdate> {
    let base = roster.offset().filter(|base| base.epoch >= epoch)?;
    let is_news = |entry: &&ServerEntry| {
        roster.get(&entry.id).is_none_or(|listed| differs(&listed.entry_at(now), entry))
    };
    let changed: Vec<ServerEntry> = page.iter().filter(is_news).cloned().collect();
    if changed.is_empty() {
        return None;
    }
    Some(RosterUpdate { base: Some(base), offset: after(base, epoch), changed, removed: Vec::new() })
}

fn first_of(epoch: u64) -> RosterOffset {
    RosterOffset { epoch, sequence: 1 }
}

/// The position after `base` in the feed of the leader of `epoch`. Changes may lead from one epoch to the next: a
/// position was given out by one leader only, so it stands for one content.
fn after(base: RosterOffset, epoch: u64) -> RosterOffset {
    if base.epoch >= epoch {
        return RosterOffset { epoch: base.epoch, sequence: base.sequence + 1 };
    }
    first_of(epoch)
}

fn differs(before: &ServerEntry, now: &ServerEntry) -> bool {
    let cold = before.cold_remaining_ms.abs_diff(now.cold_remaining_ms);
    let same_but_cold = ServerEntry { cold_remaining_ms: now.cold_remaining_ms, ..before.clone() } == *now;
    !same_but_cold || cold > COLD_TOLERANCE_MS
}
