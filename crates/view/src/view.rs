//! What is decided: who votes, who is a member, and small named facts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::process::{Electors, Process};
use crate::register::Ballot;

/// Bytes of all facts of a view: with its members it has to fit one packet.
const FACTS_MOST: usize = 256;
/// Members that a view holds at most.
pub const MAX_MEMBERS: usize = 16;

/// Views that follow from one founding. There is a second founding only once a majority of the first one's electors
/// is gone for good, so that it can decide nothing any more.
pub type Generation = Ballot;

/// What the fleet has decided: one for each epoch of a generation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    /// The founding that it comes from.
    pub generation: Generation,
    /// Its number in the generation, from 1; one up with each decision.
    pub epoch: u64,
    /// Who votes on what follows.
    pub electors: Electors,
    /// Who voted on this one.
    #[serde(rename = "before")]
    pub previous_electors: Electors,
    /// The members' processes.
    pub members: Electors,
    /// Small decisions of other kinds, by name.
    pub facts: BTreeMap<String, String>,
}

/// One step from a view to the next.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// A process is a member from now on, and an elector if its name is one; one of its name before it is neither.
    Admit(Process),
    /// A process is no member any more. As an elector it stays until another of its name is admitted, so that the
    /// number of votes needed never shrinks.
    Remove(Process),
    /// A fact holds.
    Set(String, String),
    /// It does not hold any more.
    Clear(String),
    /// These processes come in, and those go out, none of which changes who votes: so many at a time can.
    Move(Vec<Process>, Vec<Process>),
}

/// What led from one view to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewDelta {
    /// It is the first that is known, or of another generation.
    Founded,
    /// A process came in.
    Joined(Process),
    /// A process went out.
    Left(Process),
    /// A fact holds from now on, or holds otherwise.
    Set(String),
    /// A fact does not hold any more.
    Cleared(String),
}

impl View {
    /// What is new since another view; several steps, if views between were missed.
    pub fn changes_since(&self, before: Option<&View>) -> Vec<ViewDelta> {
        let Some(before) = before.filter(|before| before.generation == self.generation) else {
            return vec![ViewDelta::Founded];
        };
        let not_in = |one: &Electors, other: &Electors| -> Vec<Process> {
            let new = one.iter().filter(|(name, instance)| other.get(name) != Some(instance));
            new.map(|(name, instance)| Process { name: *name, instance: *instance }).collect()
        };
        let came = not_in(&self.members, &before.members).into_iter().map(ViewDelta::Joined);
        let went = not_in(&before.members, &self.members).into_iter().map(ViewDelta::Left);
        let set = self.facts.iter().filter(|(key, value)| before.facts.get(*key) != Some(value));
        let cleared = before.facts.keys().filter(|key| !self.facts.contains_key(*key));
        let set = set.map(|(key, _)| ViewDelta::Set(key.clone()));
        came.chain(went).chain(set).chain(cleared.map(|key| ViewDelta::Cleared(key.clone()))).collect()
    }

    /// The first view of a generation.
    pub(crate) fn found(generation: Generation, electors: Electors) -> View {
        View {
            generation,
            epoch: 1,
            previous_electors: electors.clone(),
            members: electors.clone(),
            electors,
            facts: BTreeMap::new(),
        }
    }

    /// Who has to accept it in any case, besides a majority: whoever votes for the first time. Who is counted on knows it.
    pub(crate) fn newcomers(&self) -> impl Iterator<Item = Process> + '_ {
        let new = |(name, instance): &(&u64, &u64)| {
            self.epoch == 1 || self.previous_electors.get(name) != Some(instance)
        };
        self.electors.iter().filter(new).map(|(name, instance)| Process { name: *name, instance: *instance })
    }

    /// The view that follows by a change; nothing if it changes nothing, or there is no room for it.
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
            Change::Move(come, go) => {
                let gone = |process: &&Process| self.members.get(&process.name) == Some(&process.instance);
                let go: Vec<u64> = go.iter().filter(gone).map(|process| process.name).collect();
                next.members.retain(|name, _| !go.contains(name));
                next.members.extend(come.iter().map(|process| (process.name, process.instance)));
            }
        }
        let facts: usize = next.facts.iter().map(|(key, value)| key.len() + value.len() + 2).sum();
        let fits = facts <= FACTS_MOST && next.members.len() <= MAX_MEMBERS;
        if !fits || next == *self {
            return None;
        }
        next.epoch += 1;
        next.previous_electors = self.electors.clone();
        Some(next)
    }
}
