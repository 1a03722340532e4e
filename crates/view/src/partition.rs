//! The side of a network partition that a node is on.

use std::collections::BTreeMap;

use crate::Micros;
use crate::process::{ElectorNames, Name};

/// A side of a network partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PartitionSide {
    /// A majority of the electors is reachable: decisions can be made on this side.
    Majority,
    /// Other nodes are reachable, but no majority of the electors: no decisions on this side.
    Minority,
    /// No other node is reachable.
    Alone,
}

/// When each node was last reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reachability {
    me: Name,
    names: ElectorNames,
    /// A node that has not answered for this long counts as unreachable.
    contact_timeout: Micros,
    last_contact: BTreeMap<Name, Micros>,
}

impl Reachability {
    /// A node that has not reached any other node yet.
    pub fn new(me: Name, names: ElectorNames, contact_timeout: Micros) -> Reachability {
        Reachability { me, names, contact_timeout, last_contact: BTreeMap::new() }
    }

    /// Records that a node answered a request of this node, which shows that both directions work.
    pub fn record_contact(&mut self, now: Micros, name: Name) {
        self.last_contact.insert(name, now);
        let contact_timeout = self.contact_timeout;
        self.last_contact.retain(|_, at| now.saturating_sub(*at) <= contact_timeout);
    }

    fn is_recent(&self, now: Micros, at: Micros) -> bool {
        now.saturating_sub(at) <= self.contact_timeout
    }

    /// The electors that answered within the timeout, including this node if it is one.
    pub fn reachable_electors(&self, now: Micros) -> impl Iterator<Item = Name> + '_ {
        let last_contact =
            move |name: &Name| self.last_contact.get(name).is_some_and(|at| self.is_recent(now, *at));
        self.names.iter().filter(move |name| *name == self.me || last_contact(name))
    }

    /// The side that this node is on at `now`.
    pub fn side(&self, now: Micros) -> PartitionSide {
        if self.reachable_electors(now).count() >= self.names.majority() {
            return PartitionSide::Majority;
        }
        match self.last_contact.iter().any(|(name, at)| *name != self.me && self.is_recent(now, *at)) {
            true => PartitionSide::Minority,
            false => PartitionSide::Alone,
        }
    }
}
