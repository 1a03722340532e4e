//! Invariants that are checked in every state.

use std::collections::{BTreeMap, BTreeSet};

use dunelink_replication::Replica;

use crate::world::{Node, TIME_STEP};

/// A member that becomes a voter must have acted within this time, as the leader heard it within an election
/// timeout.
const RESPONSIVE_WITHIN: u64 = 3 * TIME_STEP;

/// History of the run up to a state.
#[derive(Clone, Debug, Default)]
pub(crate) struct Checks {
    /// Leaders by term.
    leaders: BTreeMap<u64, u64>,
    /// Commands applied by any replica, by index.
    applied: BTreeMap<u64, u64>,
    /// Acknowledged commands, by index.
    acknowledged: BTreeMap<u64, u64>,
    /// Incoming voter sets of the joint changes seen so far. A later leader may inherit a change.
    voter_changes: BTreeSet<Vec<u64>>,
    /// Highest commit index of any leader, by time.
    committed: BTreeMap<u64, u64>,
}

impl Checks {
    /// Number of acknowledged commands.
    pub(crate) fn acknowledgements(&self) -> usize {
        self.acknowledged.len()
    }

    /// Number of terms that had a leader.
    pub(crate) fn terms(&self) -> usize {
        self.leaders.len()
    }

    /// Number of joint changes that were started.
    pub(crate) fn voter_changes(&self) -> usize {
        self.voter_changes.len()
    }

    /// Records an applied command, which must be the same on all replicas.
    pub(crate) fn on_applied(&mut self, index: u64, command: u64) {
        let known = *self.applied.entry(index).or_insert(command);
        assert_eq!(known, command, "a different command is applied at {index}");
    }

    /// Records an acknowledged command, which must be applied at its index.
    pub(crate) fn on_acknowledged(&mut self, index: u64, command: u64) {
        assert_eq!(
            self.applied.get(&index),
            Some(&command),
            "{command} is acknowledged but not applied at {index}"
        );
        self.acknowledged.insert(index, command);
    }

    /// Checks that each term has one leader, that there is at most one lease holder, and that it has applied
    /// everything acknowledged or applied before.
    pub(crate) fn check_state(&mut self, now: u64, nodes: &[Node]) {
        for replica in nodes.iter().filter_map(|node| node.replica.as_ref()) {
            if replica.is_leader() {
                self.check_leader(now, replica, nodes);
            } else if let Some(incoming_voters) = &replica.membership().incoming_voters {
                // A leader that stepped down as it started this change. A later leader inherits the change.
                self.voter_changes.insert(incoming_voters.iter().map(|voter| voter.id.0).collect());
            }
        }
        let mut holders = nodes.iter().filter(|node| node.holds_lease(now));
        let Some(holder) = holders.next() else { return };
        assert!(holders.next().is_none(), "two replicas hold the lease");
        let commit_index = holder.replica.as_ref().map_or(0, Replica::commit_index);
        let lacks = |(index, command): &(&u64, &u64)| holder.applied.get(index) != Some(command);
        let acknowledged = self.acknowledged.iter().find(lacks);
        assert!(acknowledged.is_none(), "the lease holder lacks an acknowledged command: {acknowledged:?}");
        let applied = self.applied.range(..=commit_index).find(lacks);
        assert!(applied.is_none(), "the lease holder has skipped an applied command: {applied:?}");
    }

    fn check_leader(&mut self, now: u64, replica: &Replica, nodes: &[Node]) {
        let status = replica.status(now);
        let committed = self.committed.entry(now).or_insert(0);
        *committed = status.commit_index.max(*committed);
        let id = status.me.id.0;
        let known = *self.leaders.entry(status.term).or_insert(id);
        assert_eq!(known, id, "two replicas lead in term {}", status.term);
        let Some(incoming_voters) = &status.membership.incoming_voters else { return };
        let voters: Vec<u64> = incoming_voters.iter().map(|voter| voter.id.0).collect();
        if !self.voter_changes.insert(voters) {
            return;
        }
        for added in incoming_voters.iter().filter(|voter| !status.membership.voters.contains(voter)) {
            // A member whose disk was just lost cannot be checked.
            let Some(node) = nodes.iter().find(|node| node.member.id == added.id) else { continue };
            assert!(
                node.last_input_at + RESPONSIVE_WITHIN >= now,
                "{} becomes a voter but has not acted recently",
                added.id
            );
            let synced_index = node.synced_index();
            let before = self.committed.range(..=now.saturating_sub(RESPONSIVE_WITHIN)).next_back();
            let committed = before.map_or(0, |(_, commit_index)| *commit_index);
            let is_ready = synced_index.is_some_and(|synced_index| synced_index >= committed);
            assert!(
                is_ready,
                "{} becomes a voter but has synced only {synced_index:?} of {committed} entries",
                added.id
            );
        }
    }
}
