//! Node names, the processes that run under them, and majorities.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// A node's name as a number: all nodes derive the same number from the same name.
pub type Name = u64;
/// Distinguishes the processes that have run under one name: a random number drawn at process start.
pub type Instance = u64;

/// One process of the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Process {
    /// The node name it runs under.
    pub name: Name,
    /// The number that tells it from earlier and later processes of the same name.
    pub instance: Instance,
}

/// The processes that may vote, at most one for each name.
pub type Electors = BTreeMap<Name, Instance>;

/// The names of the electors, from the configuration: the same at all nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ElectorNames(BTreeSet<Name>);

impl ElectorNames {
    /// Creates the set from these names; duplicates count once.
    pub fn new(names: impl IntoIterator<Item = Name>) -> ElectorNames {
        ElectorNames(names.into_iter().collect())
    }

    /// Whether `name` is an elector's name.
    pub fn contains(&self, name: Name) -> bool {
        self.0.contains(&name)
    }

    /// All names in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = Name> + '_ {
        self.0.iter().copied()
    }

    /// The smallest number of names that is more than half. Without any names this is 1, so that nothing is
    /// ever decided.
    pub fn majority(&self) -> usize {
        self.0.len() / 2 + 1
    }

    /// Whether `electors` can never decide anything again: `running` shows that so many of their names now
    /// belong to other processes (or to no elector process) that the rest is no majority.
    pub fn is_majority_lost<'a>(
        &self,
        electors: &Electors,
        running: impl IntoIterator<Item = &'a Process>,
    ) -> bool {
        let replaced = |p: &&Process| self.contains(p.name) && electors.get(&p.name) != Some(&p.instance);
        let names: BTreeSet<Name> =
            running.into_iter().filter(replaced).map(|process| process.name).collect();
        self.0.len() - names.len() < self.majority()
    }

    /// Whether the processes in `voted` that are in `electors` make up a majority of the names.
    pub fn has_majority<'a>(
        &self,
        electors: &Electors,
        voted: impl IntoIterator<Item = &'a Process>,
    ) -> bool {
        let is_elector = |p: &&Process| self.contains(p.name) && electors.get(&p.name) == Some(&p.instance);
        let names: BTreeSet<Name> =
            voted.into_iter().filter(is_elector).map(|process| process.name).collect();
        names.len() >= self.majority()
    }
}
