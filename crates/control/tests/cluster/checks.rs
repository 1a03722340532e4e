//! What must hold at every step.

use std::collections::{BTreeMap, HashMap, HashSet};

use bytes::Bytes;
use dunelink_control::node::Node;
use dunelink_replication::{Replica, ReplicaId};

/// An order as its operator sees it: the base and the body.
pub(crate) type OrderKey = (u64, Bytes);

/// What has been seen so far.
#[derive(Default)]
pub(crate) struct Checks {
    /// Versions seen in force anywhere, with what they were built on.
    chain: BTreeMap<u64, Bytes>,
    /// The version that took each base.
    next_of: HashMap<u64, u64>,
    /// Newest version that an operator was told of: by success, or as read.
    pub(crate) floor: u64,
    /// When it rose, with the version.
    rises: Vec<(u64, u64)>,
    /// Who led in each term.
    leaders: HashMap<u64, ReplicaId>,
    acknowledged: HashMap<OrderKey, u64>,
    /// Orders that came into force.
    taken: HashSet<OrderKey>,
    refused: HashSet<OrderKey>,
    /// Orders sent, by version.
    pub(crate) sent: HashMap<u64, Vec<OrderKey>>,
    /// Acknowledgements seen.
    pub(crate) acknowledgements: usize,
}

impl Checks {
    /// A node's state after an event.
    pub(crate) fn state(&mut self, node: &Node) {
        let version = node.state().version();
        if version == 0 {
            return;
        }
        let body = node.state().body();
        if let Some(known) = self.chain.get(&version) {
            assert_eq!(known, body, "two contents of version {version}");
            return;
        }
        self.chain.insert(version, body.clone());
        for taken in node.state().history() {
            let known = *self.next_of.entry(taken.base).or_insert(taken.version);
            assert_eq!(known, taken.version, "two versions in force on base {}", taken.base);
        }
        let base = node.state().history().last().map_or(0, |taken| taken.base);
        let key = (base, body.clone());
        let sent = self.sent.get(&version).is_some_and(|orders| orders.contains(&key));
        assert!(sent, "version {version} was never sent as it came into force");
        assert!(!self.refused.contains(&key), "version {version} is in force and was refused");
        self.taken.insert(key);
    }

    /// At most one replica leads in a term.
    pub(crate) fn leader(&mut self, replica: &Replica) {
        if let Some(leader) = replica.leader().filter(|_| replica.is_leader()) {
            let known = *self.leaders.entry(replica.term()).or_insert(leader.id);
            assert_eq!(known, leader.id, "two lead in term {}", replica.term());
        }
    }

    /// What a holder of the lease has in force.
    pub(crate) fn holder(&self, number: usize, version: u64) {
        assert!(
            version >= self.floor,
            "machine {number} holds the lease with {version}, told was {}",
            self.floor
        );
    }

    /// What a machine feeds, and how old it says that this is at most, as a time of the run.
    pub(crate) fn fed(&self, number: usize, version: u64, body: Option<&Bytes>, current_at: Option<u64>) {
        if version > 0 {
            assert_eq!(
                self.chain.get(&version),
                body,
                "machine {number} feeds what is not in force: {version}"
            );
        }
        let Some(at) = current_at else { return };
        let told = self.rises.iter().rev().find(|(rose, _)| *rose < at).map_or(0, |(_, told)| *told);
        assert!(version >= told, "machine {number} feeds {version} as current, told was {told}");
    }

    /// An answer of success leaves a machine.
    pub(crate) fn success(&mut self, now: u64, key: &OrderKey, version: u64) {
        assert!(!self.refused.contains(key), "version {version} was refused and is acknowledged");
        assert!(self.taken.contains(key), "version {version} is acknowledged and not in force anywhere");
        let clash = self.acknowledged.keys().find(|(base, body)| *base == key.0 && *body != key.1);
        assert!(clash.is_none(), "two orders on base {} are acknowledged", key.0);
        self.acknowledged.insert(key.clone(), version);
        self.acknowledgements += 1;
        self.raise(now, version);
    }

    /// A refusal leaves a machine.
    pub(crate) fn refusal(&mut self, key: &OrderKey, current: Option<u64>) {
        assert!(!self.taken.contains(key), "an order on base {} was taken and is refused", key.0);
        assert!(
            current.is_none_or(|current| current >= self.floor),
            "a refusal names an old version: {current:?}"
        );
        self.refused.insert(key.clone());
    }

    /// A configuration that was read.
    pub(crate) fn read(&mut self, now: u64, version: u64, body: &Bytes) {
        assert!(version >= self.floor, "read {version}, told before was {}", self.floor);
        if version > 0 {
            assert_eq!(self.chain.get(&version), Some(body), "read {version}, which is not in force");
        }
        self.raise(now, version);
    }

    fn raise(&mut self, now: u64, version: u64) {
        if version > self.floor {
            self.floor = version;
            self.rises.push((now, version));
        }
    }
}
