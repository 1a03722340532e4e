//! On which side of a cut a node is.

use std::collections::BTreeMap;

use crate::Micros;
use crate::process::{ElectorNames, Name};

/// A side of a cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PartitionSide {
    /// A majority of electors was heard lately: what the fleet decides is decided here.
    Majority,
    /// Some were, or other nodes: nothing is decided here.
    Minority,
    /// Nobody was.
    Alone,
}

/// Who was heard when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reachability {
    me: Name,
    names: ElectorNames,
    /// One that was not heard for so long is on another side.
    silence: Micros,
    heard: BTreeMap<Name, Micros>,
}

impl Reachability {
    /// A node that has heard nobody yet.
    pub fn new(me: Name, names: ElectorNames, silence: Micros) -> Reachability {
        Reachability { me, names, silence, heard: BTreeMap::new() }
    }

    /// A node was heard, directly: it answered what this one asked.
    pub fn record_contact(&mut self, now: Micros, name: Name) {
        self.heard.insert(name, now);
        let silence = self.silence;
        self.heard.retain(|_, at| now.saturating_sub(*at) <= silence);
    }

    fn lately(&self, now: Micros, at: Micros) -> bool {
        now.saturating_sub(at) <= self.silence
    }

    /// The electors that it has heard lately, itself among them if it is one.
    pub fn reachable_electors(&self, now: Micros) -> impl Iterator<Item = Name> + '_ {
        let heard = move |name: &Name| self.heard.get(name).is_some_and(|at| self.lately(now, *at));
        self.names.iter().filter(move |name| *name == self.me || heard(name))
    }

    /// Where this node is now.
    pub fn side(&self, now: Micros) -> PartitionSide {
        if self.reachable_electors(now).count() >= self.names.majority() {
            return PartitionSide::Majority;
        }
        match self.heard.iter().any(|(name, at)| *name != self.me && self.lately(now, *at)) {
            true => PartitionSide::Minority,
            false => PartitionSide::Alone,
        }
    }
}
