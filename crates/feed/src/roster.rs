//! The roster of servers: held whole, changed by updates, given out whole or as changes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use dunelink_protocol::{RosterOffset, RosterUpdate, ServerEntry};

use crate::FeedError;

/// Most servers in a roster.
pub const MAX_SERVERS: usize = 65_536;
/// Most updates that are remembered for readers that are a little behind.
const REMEMBERED_UPDATES: usize = 64;
/// Most ids of servers that are remembered with them.
const REMEMBERED_IDS: usize = 4_096;
/// Microseconds in a millisecond.
const MICROS: u64 = 1_000;

/// The servers known, at a position in the change feed.
#[derive(Debug, Default)]
pub struct Roster {
    offset: Option<RosterOffset>,
    servers: BTreeMap<String, RosterEntry>,
    recent: VecDeque<Step>,
    remembered_ids: usize,
}

/// A server and when it was heard of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterEntry {
    /// What the list tells of it.
    pub entry: ServerEntry,
    /// When that was received, in microseconds.
    pub received_at_us: u64,
}

/// What became of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The roster is now at the update's position.
    Applied,
    /// The roster is at that position or beyond it already.
    Stale,
    /// The update follows a position that the roster is not at: the whole roster has to be asked for.
    Gap,
}

/// One update that was applied: where it began, and which servers it touched.
#[derive(Debug)]
struct Step {
    base: RosterOffset,
    ids: Vec<String>,
}

impl RosterEntry {
    /// The entry as it is to be passed on at `now`: what was left of the slow start is counted down.
    pub fn entry_at(&self, now: u64) -> ServerEntry {
        let mut entry = self.entry.clone();
        let passed_ms = now.saturating_sub(self.received_at_us) / MICROS;
        entry.cold_remaining_ms = entry.cold_remaining_ms.saturating_sub(passed_ms);
        entry
    }
}

impl Roster {
    /// Where the roster stands; nothing before the first whole one.
    pub fn offset(&self) -> Option<RosterOffset> {
        self.offset
    }

    /// The servers, by id.
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

    /// True without any server.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Takes an update received at `now`.
    ///
    /// # Errors
    ///
    /// The update leads backwards, or to a roster that is too large; nothing is changed.
    pub fn apply(&mut self, update: RosterUpdate, now: u64) -> Result<UpdateOutcome, FeedError> {
        if let Some(base) = update.base.filter(|base| update.offset <= *base) {
            return Err(FeedError::RosterBackwards { base, offset: update.offset });
        }
        if self.offset.is_some_and(|held| update.offset <= held) {
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

    /// The whole roster as an update, at `now`; nothing before the first one.
    pub fn full_update(&self, now: u64) -> Option<RosterUpdate> {
        let offset = self.offset?;
        let changed = self.servers.values().map(|listed| listed.entry_at(now)).collect();
        Some(RosterUpdate { base: None, offset, changed, removed: Vec::new() })
    }

    /// What a reader that stands at `base` lacks, at `now`; nothing if the changes since are not remembered.
    pub fn changes_since(&self, base: RosterOffset, now: u64) -> Option<RosterUpdate> {
        let offset = self.offset?;
        let first = self.recent.iter().position(|step| step.base == base)?;
        let ids: BTreeSet<&String> = self.recent.range(first..).flat_map(|step| &step.ids).collect();
        let mut changed = Vec::new();
        let mut removed = Vec::new();
        for id in ids {
            match self.servers.get(id) {
                Some(listed) => changed.push(listed.entry_at(now)),
                None => removed.push(id.clone()),
            }
        }
        Some(RosterUpdate { base: Some(base), offset, changed, removed })
    }

    fn replace(&mut self, update: RosterUpdate, now: u64) {
        self.servers.clear();
        self.recent.clear();
        self.remembered_ids = 0;
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
        self.remember(Step { base, ids });
    }

    fn insert(&mut self, entries: Vec<ServerEntry>, now: u64) {
        for entry in entries {
            self.servers.insert(entry.id.clone(), RosterEntry { entry, received_at_us: now });
        }
    }

    fn remember(&mut self, step: Step) {
        self.remembered_ids += step.ids.len();
        self.recent.push_back(step);
        while self.recent.len() > REMEMBERED_UPDATES || self.remembered_ids > REMEMBERED_IDS {
            let Some(oldest) = self.recent.pop_front() else { break };
            self.remembered_ids -= oldest.ids.len();
        }
    }
}
