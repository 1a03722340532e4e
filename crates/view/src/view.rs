//! The decided state: who votes, who is a member, and small named facts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::process::{Electors, Process};
use crate::register::Ballot;

/// The total size of all facts of a view: facts and members together have to fit one packet.
const MAX_FACTS_BYTES: usize = 256;
/// The largest number of members of a view.
pub const MAX_MEMBERS: usize = 16;

/// Identifies all views that follow from one founding view. A second founding is possible only once a
/// majority of the first one's electors is gone for good, so that the first generation can decide nothing any
/// more.
pub type Generation = Ballot;

/// The decided state of the fleet: one view for each epoch of a generation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    /// The ballot that founded this generation.
    pub generation: Generation,
    /// The view's number within the generation: it starts at 1 and grows by one with each decision.
    pub epoch: u64,
    /// The processes that vote on the next view.
    pub electors: Electors,
    /// The processes that voted on this view.
    #[serde(rename = "before")]
    pub previous_electors: Electors,
    /// The processes that are members of the fleet.
    pub members: Electors,
    /// Small decisions of other kinds, such as evictions: key and value.
    pub facts: BTreeMap<String, String>,
}

/// A change that turns one view into the next.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// Adds a process as a member, and as an elector if its name is an elector's. It replaces an earlier
    /// process of the same name in both roles.
    Admit(Process),
    /// Removes a process from the members. As an elector it stays until another process of its name is
    /// admitted, so that the number of votes needed never shrinks.
    Remove(Process),
    /// Sets a fact: key and value.
    Set(String, String),
    /// Deletes the fact with this key.
    Clear(String),
    /// Adds the first list of processes as members and removes the second. It does not change the electors,
    /// so that any number of processes can move at once.
    Move(Vec<Process>, Vec<Process>),
}

/// One difference between two views.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewDelta {
    /// There is no earlier view to compare with, or the earlier view belongs to another generation.
    Founded,
    /// A process became a member.
    Joined(Process),
    /// A process is no longer a member.
    Left(Process),
    /// The fact with this key was added or has a new value.
    Set(String),
    /// The fact with this key was deleted.
    Cleared(String),
}

impl View {
    /// The differences from an earlier view to this one; if views in between were missed, these are the
    /// differences of several changes.
    pub fn changes_since(&self, before: Option<&View>) -> Vec<ViewDelta> {
        let Some(before) = before.filter(|before| before.generation == self.generation) else {
            return vec![ViewDelta::Founded];
        };
        let missing_from = |processes: &Electors, reference: &Electors| -> Vec<Process> {
            let new = processes.iter().filter(|(name, instance)| reference.get(name) != Some(instance));
            new.map(|(name, instance)| Process { name: *name, instance: *instance }).collect()
        };
        let joined = missing_from(&self.members, &before.members).into_iter().map(ViewDelta::Joined);
        let left = missing_from(&before.members, &self.members).into_iter().map(ViewDelta::Left);
        let set = self.facts.iter().filter(|(key, value)| before.facts.get(*key) != Some(value));
        let cleared = before.facts.keys().filter(|key| !self.facts.contains_key(*key));
        let set = set.map(|(key, _)| ViewDelta::Set(key.clone()));
        joined.chain(left).chain(set).chain(cleared.map(|key| ViewDelta::Cleared(key.clone()))).collect()
    }

    /// The first view of a generation.
    pub(crate) fn founding(generation: Generation, electors: Electors) -> View {
        View {
            generation,
            epoch: 1,
            previous_electors: electors.clone(),
            members: electors.clone(),
            electors,
            facts: BTreeMap::new(),
        }
    }

    /// The processes that have to accept this view in addition to a majority: those that vote for the first
    /// time. Without this, a process could be counted as an elector before it knows the view.
    pub(crate) fn newcomers(&self) -> impl Iterator<Item = Process> + '_ {
        let new = |(name, instance): &(&u64, &u64)| {
            self.epoch == 1 || self.previous_electors.get(name) != Some(instance)
        };
        self.electors.iter().filter(new).map(|(name, instance)| Process { name: *name, instance: *instance })
    }

    /// The view that results from a change. `None` if the change has no effect, or if members or facts would
    /// exceed their limits.
    pub fn apply(&self, change: &Change, is_elector: bool) -> Option<View> {
        let mut next = self.clone();
        match change {
            Change::Admit(process) => {
                next.members.insert(process.name, process.instance);
                if is_elector {
                    next.electors.insert(process.name, process.instance);
                }
            }
            Change::Remove(process) if self.members.get(&process.name) == Some(&process.instance) => {
                next.members.remove(&process.name);
            }
            Change::Remove(_) => {}
            Change::Set(key, value) => {
                next.facts.insert(key.clone(), value.clone());
            }
            Change::Clear(key) => drop(next.facts.remove(key)),
            Change::Move(joining, leaving) => {
                let is_member =
                    |process: &&Process| self.members.get(&process.name) == Some(&process.instance);
                let leaving: Vec<u64> =
                    leaving.iter().filter(is_member).map(|process| process.name).collect();
                next.members.retain(|name, _| !leaving.contains(name));
                next.members.extend(joining.iter().map(|process| (process.name, process.instance)));
            }
        }
        let facts_bytes: usize = next.facts.iter().map(|(key, value)| key.len() + value.len() + 2).sum();
        let fits = facts_bytes <= MAX_FACTS_BYTES && next.members.len() <= MAX_MEMBERS;
        if !fits || next == *self {
            return None;
        }
        next.epoch += 1;
        next.previous_electors = self.electors.clone();
        Some(next)
    }
}
