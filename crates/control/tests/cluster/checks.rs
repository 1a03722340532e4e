//! Invariants that hold at every step of a simulation.

use std::collections::{BTreeMap, HashMap, HashSet};

use bytes::Bytes;
use dunelink_control::node::Node;
use dunelink_replication::{Replica, ReplicaId};

/// A configuration change as its operator identifies it: the base version and the body.
pub(crate) type ChangeKey = (u64, Bytes);

/// What a simulation has observed so far.
#[derive(Default)]
pub(crate) struct Checks {
    /// Bodies of the versions that some machine has applied, by version.
    bodies_by_version: BTreeMap<u64, Bytes>,
    /// The version that was applied on top of each base version.
    version_after_base: HashMap<u64, u64>,
    /// Newest version that an operator has seen, acknowledged or read.
    pub(crate) newest_reported: u64,
    /// Each rise of `newest_reported`: the simulation time and the version.
    reported_versions: Vec<(u64, u64)>,
    /// The leader of each term.
    leader_by_term: HashMap<u64, ReplicaId>,
    /// Acknowledged changes, with their versions.
    acknowledged_changes: HashMap<ChangeKey, u64>,
    /// Changes that some machine has applied.
    applied_changes: HashSet<ChangeKey>,
    /// Changes that a machine has refused.
    refused_changes: HashSet<ChangeKey>,
    /// Changes that operators have sent, by version.
    pub(crate) sent_changes: HashMap<u64, Vec<ChangeKey>>,
    /// Number of acknowledgements sent to operators.
    pub(crate) acknowledgement_count: usize,
}

impl Checks {
    /// Checks a node's replicated state after an event.
    pub(crate) fn check_state(&mut self, node: &Node) {
        let version = node.state().version();
        if version == 0 {
            return;
        }
        let body = node.state().body();
        if let Some(known) = self.bodies_by_version.get(&version) {
            assert_eq!(known, body, "two machines applied different bodies as version {version}");
            return;
        }
        self.bodies_by_version.insert(version, body.clone());
        for applied in node.state().history() {
            let known = *self.version_after_base.entry(applied.base).or_insert(applied.version);
            assert_eq!(known, applied.version, "two versions were applied on base {}", applied.base);
        }
        let base = node.state().history().last().map_or(0, |applied| applied.base);
        let key = (base, body.clone());
        let was_sent = self.sent_changes.get(&version).is_some_and(|changes| changes.contains(&key));
        assert!(was_sent, "no operator sent version {version} with the base and body that were applied");
        assert!(!self.refused_changes.contains(&key), "version {version} was applied after it was refused");
        self.applied_changes.insert(key);
    }

    /// At most one replica leads in a term.
    pub(crate) fn check_leader(&mut self, replica: &Replica) {
        if let Some(leader) = replica.leader().filter(|_| replica.is_leader()) {
            let known = *self.leader_by_term.entry(replica.term()).or_insert(leader.id);
            assert_eq!(known, leader.id, "two replicas lead in term {}", replica.term());
        }
    }

    /// Checks that a lease holder has applied every version that an operator has seen.
    pub(crate) fn check_lease_holder(&self, number: usize, version: u64) {
        assert!(
            version >= self.newest_reported,
            "machine {number} holds the lease at version {version}, but an operator has seen {}",
            self.newest_reported
        );
    }

    /// Checks the configuration that a machine feeds to agents. `current_at` is the simulation time at which
    /// the machine claims that it was current.
    pub(crate) fn check_feed(
        &self,
        number: usize,
        version: u64,
        body: Option<&Bytes>,
        current_at: Option<u64>,
    ) {
        if version > 0 {
            assert_eq!(
                self.bodies_by_version.get(&version),
                body,
                "machine {number} feeds version {version} with a body that was not applied"
            );
        }
        let Some(current_at) = current_at else { return };
        let reported = self
            .reported_versions
            .iter()
            .rev()
            .find(|(time, _)| *time < current_at)
            .map_or(0, |(_, reported)| *reported);
        assert!(
            version >= reported,
            "machine {number} feeds {version} as current, but an operator had seen {reported}"
        );
    }

    /// Checks an acknowledgement that leaves a machine.
    pub(crate) fn check_acknowledgement(&mut self, now: u64, key: &ChangeKey, version: u64) {
        assert!(
            !self.refused_changes.contains(key),
            "version {version} is acknowledged after it was refused"
        );
        assert!(
            self.applied_changes.contains(key),
            "version {version} is acknowledged but no machine has applied it"
        );
        let conflicting =
            self.acknowledged_changes.keys().find(|(base, body)| *base == key.0 && *body != key.1);
        assert!(conflicting.is_none(), "two changes on base {} are acknowledged", key.0);
        self.acknowledged_changes.insert(key.clone(), version);
        self.acknowledgement_count += 1;
        self.record_reported(now, version);
    }

    /// Checks a refusal that leaves a machine; `current` is the version that it names, if any.
    pub(crate) fn check_refusal(&mut self, key: &ChangeKey, current: Option<u64>) {
        assert!(
            !self.applied_changes.contains(key),
            "a change on base {} is refused after it was applied",
            key.0
        );
        assert!(
            current.is_none_or(|current| current >= self.newest_reported),
            "a refusal names a version older than one that an operator has seen: {current:?}"
        );
        self.refused_changes.insert(key.clone());
    }

    /// Checks a configuration that was read by an operator.
    pub(crate) fn check_read(&mut self, now: u64, version: u64, body: &Bytes) {
        assert!(
            version >= self.newest_reported,
            "read version {version}, but an operator has seen {}",
            self.newest_reported
        );
        if version > 0 {
            assert_eq!(
                self.bodies_by_version.get(&version),
                Some(body),
                "read version {version} with a body that was not applied"
            );
        }
        self.record_reported(now, version);
    }

    fn record_reported(&mut self, now: u64, version: u64) {
        if version > self.newest_reported {
            self.newest_reported = version;
            self.reported_versions.push((now, version));
        }
    }
}
