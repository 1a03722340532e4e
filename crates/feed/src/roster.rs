//! The server roster: updated from a feed, and passed on in full or as changes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use dunelink_protocol::{RosterOffset, RosterUpdate, ServerEntry};

use crate::FeedError;

/// Maximum number of servers in a roster.
pub const MAX_SERVERS: usize = 65_536;
/// Maximum number of recent updates that are kept for readers that are slightly behind.
const MAX_RECENT_UPDATES: usize = 64;
/// Maximum number of server ids that are kept with the recent updates.
const MAX_RECENT_IDS: usize = 4_096;
/// Microseconds per millisecond.
const MICROS_PER_MS: u64 = 1_000;

/// The known servers, at a position in the change feed.
#[derive(Debug, Default)]
pub struct Roster {
    /// `None` before the first full roster.
    offset: Option<RosterOffset>,
    servers: BTreeMap<String, RosterEntry>,
    /// Recent updates, oldest first.
    recent: VecDeque<RecentUpdate>,
    /// Number of ids in all of `recent`.
    recent_ids: usize,
}

/// A server and the time at which its entry was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterEntry {
    /// The server as received.
    pub entry: ServerEntry,
    /// Time of receipt in microseconds.
    pub received_at_us: u64,
}

/// Outcome of applying an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The update was applied: the roster is now at its position.
    Applied,
    /// The update was ignored: the roster is already at its position or beyond.
    Stale,
    /// The update starts from a position that the roster is not at: a full roster has to be requested.
    Gap,
}

/// An applied update: the position where it began, and the ids of the servers that it changed or removed.
#[derive(Debug)]
struct RecentUpdate {
    base: RosterOffset,
    ids: Vec<String>,
}

impl RosterEntry {
    /// The entry to pass on at `now`, with the remaining time of its slow start reduced by the time since
    /// receipt.
    pub fn entry_at(&self, now: u64) -> ServerEntry {
        let mut entry = self.entry.clone();
        let elapsed_ms = now.saturating_sub(self.received_at_us) / MICROS_PER_MS;
        entry.cold_remaining_ms = entry.cold_remaining_ms.saturating_sub(elapsed_ms);
        entry
    }
}

impl Roster {
    /// Position of the roster; `None` before the first full roster.
    pub fn offset(&self) -> Option<RosterOffset> {
        self.offset
    }

    /// The servers, ordered by id.
    pub fn servers(&self) -> impl Iterator<Item = &RosterEntry> {
        self.servers.values()
    }

    /// The server with this id.
    pub fn get(&self, id: &str) -> Option<&RosterEntry> {
        self.servers.get(id)
    }

    /// Number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether there are no servers.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Applies an update received at `now`.
    ///
    /// # Errors
    ///
    /// The update leads backwards, or to a roster that is too large; the roster is unchanged.
    pub fn apply(&mut self, update: RosterUpdate, now: u64) -> Result<UpdateOutcome, FeedError> {
        if let Some(base) = update.base.filter(|base| update.offset <= *base) {
            return Err(FeedError::RosterBackwards { base, offset: update.offset });
        }
        if self.offset.is_some_and(|current| update.offset <= current) {
            return Ok(UpdateOutcome::Stale);
        }
        let servers = update.changed.len() + update.base.map_or(0, |_| self.servers.len());
        if servers > MAX_SERVERS {
            return Err(FeedError::RosterTooLarge { servers });
        }
        match update.base {
            None => self.replace(update, now),
            Some(base) if self.offset == Some(base) => self.change(base, update, now),
            Some(_) => return Ok(UpdateOutcome::Gap),
        }
        Ok(UpdateOutcome::Applied)
    }

    /// The full roster as an update to send at `now`; `None` before the first full roster.
    pub fn full_update(&self, now: u64) -> Option<RosterUpdate> {
        let offset = self.offset?;
        let changed = self.servers.values().map(|server| server.entry_at(now)).collect();
        Some(RosterUpdate { base: None, offset, changed, removed: Vec::new() })
    }

    /// The changes after `base` as one update to send at `now`; `None` if they are no longer kept, or if
    /// there are none.
    pub fn changes_since(&self, base: RosterOffset, now: u64) -> Option<RosterUpdate> {
        let offset = self.offset?;
        let first = self.recent.iter().position(|update| update.base == base)?;
        let ids: BTreeSet<&String> = self.recent.range(first..).flat_map(|update| &update.ids).collect();
        let mut changed = Vec::new();
        let mut removed = Vec::new();
        for id in ids {
            match self.servers.get(id) {
                Some(server) => changed.push(server.entry_at(now)),
                None => removed.push(id.clone()),
            }
        }
        Some(RosterUpdate { base: Some(base), offset, changed, removed })
    }

    fn replace(&mut self, update: RosterUpdate, now: u64) {
        self.servers.clear();
        self.recent.clear();
        self.recent_ids = 0;
        self.insert(update.changed, now);
        self.offset = Some(update.offset);
    }

    fn change(&mut self, base: RosterOffset, update: RosterUpdate, now: u64) {
        let changed_ids = update.changed.iter().map(|entry| entry.id.clone());
        let ids: Vec<String> = changed_ids.chain(update.removed.iter().cloned()).collect();
        for id in &update.removed {
            self.servers.remove(id);
        }
        self.insert(update.changed, now);
        self.offset = Some(update.offset);
        self.keep_recent(RecentUpdate { base, ids });
    }

    fn insert(&mut self, entries: Vec<ServerEntry>, now: u64) {
        for entry in entries {
            self.servers.insert(entry.id.clone(), RosterEntry { entry, received_at_us: now });
        }
    }

    fn keep_recent(&mut self, update: RecentUpdate) {
        self.recent_ids += update.ids.len();
        self.recent.push_back(update);
        while self.recent.len() > MAX_RECENT_UPDATES || self.recent_ids > MAX_RECENT_IDS {
            let Some(oldest) = self.recent.pop_front() else { break };
            self.recent_ids -= oldest.ids.len();
        }
    }
}
