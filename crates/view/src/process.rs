//! ElectorNames, the processes that bear them, and majorities.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// A node's name, as a number that is the same at all nodes.
pub type Name = u64;
/// Tells a process from the others of its name: a random number.
pub type Instance = u64;

/// A process of the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Process {
    /// Whose it is.
    pub name: Name,
    /// Which of that name.
    pub instance: Instance,
}

/// The processes that may vote, one for each name.
pub type Electors = BTreeMap<Name, Instance>;

/// The names of the electors: what the configuration says, the same at all nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ElectorNames(BTreeSet<Name>);

impl ElectorNames {
    /// These names.
    pub fn new(names: impl IntoIterator<Item = Name>) -> ElectorNames {
        ElectorNames(names.into_iter().collect())
    }

    /// Whether it is one of them.
    pub fn contains(&self, name: Name) -> bool {
        self.0.contains(&name)
    }

    /// All of them, in order.
    pub fn iter(&self) -> impl Iterator<Item = Name> + '_ {
        self.0.iter().copied()
    }

    /// How many names are more than half. With no names nothing is ever decided.
    pub fn majority(&self) -> usize {
        self.0.len() / 2 + 1
    }

    /// Whether electors can decide nothing any more: so many of their names are known to be borne by other processes, or
    /// by none of them, that what is left is no majority.
    pub fn is_majority_lost<'a>(
        &self,
        electors: &Electors,
        running: impl IntoIterator<Item = &'a Process>,
    ) -> bool {
        let other = |p: &&Process| self.contains(p.name) && electors.get(&p.name) != Some(&p.instance);
        let names: BTreeSet<Name> = running.into_iter().filter(other).map(|process| process.name).collect();
        self.0.len() - names.len() < self.majority()
    }

    /// Whether those that voted are a majority of names, counting only processes that are electors.
    pub fn has_majority<'a>(
        &self,
        electors: &Electors,
        voted: impl IntoIterator<Item = &'a Process>,
    ) -> bool {
        let counts = |p: &&Process| self.contains(p.name) && electors.get(&p.name) == Some(&p.instance);
        let names: BTreeSet<Name> = voted.into_iter().filter(counts).map(|process| process.name).collect();
        names.len() >= self.majority()
    }
}
