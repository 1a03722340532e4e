//! What must hold in every state.

use std::collections::{BTreeMap, BTreeSet};

use dunelink_replication::Replica;

use crate::world::{Node, STEP};

/// One that is made a voter did something in this time: the leader heard it within a promise.
const THERE_WITHIN: u64 = 3 * STEP;

/// What was seen on the way to a state.
#[derive(Clone, Debug, Default)]
pub(crate) struct Checks {
    /// Who led in a term.
    leaders: BTreeMap<u64, u64>,
    /// Commands by index, as applied anywhere.
    applied: BTreeMap<u64, u64>,
    /// Commands acknowledged, by index.
    acknowledged: BTreeMap<u64, u64>,
    /// Changes of voters that were begun: to whom. A later leader may inherit one.
    changes: BTreeSet<Vec<u64>>,
    /// What leaders had committed, by time.
    committed: BTreeMap<u64, u64>,
}

impl Checks {
    /// How many commands were acknowledged.
    pub(crate) fn acknowledgements(&self) -> usize {
        self.acknowledged.len()
    }

    /// How many terms had a leader.
    pub(crate) fn terms(&self) -> usize {
        self.leaders.len()
    }

    /// How many changes of voters were begun.
    pub(crate) fn changes(&self) -> usize {
        self.changes.len()
    }

    /// All apply the same command at an index.
    pub(crate) fn applied(&mut self, index: u64, command: u64) {
        let known = *self.applied.entry(index).or_insert(command);
        assert_eq!(known, command, "another command is applied at {index}");
    }

    /// What is acknowledged is what is applied there.
    pub(crate) fn acknowledged(&mut self, index: u64, command: u64) {
        assert_eq!(
            self.applied.get(&index),
            Some(&command),
            "{command} is acknowledged, not applied at {index}"
        );
        self.acknowledged.insert(index, command);
    }

    /// One leader a term, one holder of the lease, and no holder that lacks what was acknowledged or applied.
    pub(crate) fn state(&mut self, now: u64, nodes: &[Node]) {
        for replica in nodes.iter().filter_map(|node| node.replica.as_ref()) {
            if replica.is_leader() {
                self.leader(now, replica, nodes);
            } else if let Some(incoming_voters) = &replica.membership().incoming_voters {
                // A leader that gave up as it began a change: a later one inherits that.
                self.changes.insert(incoming_voters.iter().map(|voter| voter.id.0).collect());
            }
        }
        let mut holders = nodes.iter().filter(|node| node.holds_lease(now));
        let Some(holder) = holders.next() else { return };
        assert!(holders.next().is_none(), "two hold the lease");
        let commit_index = holder.replica.as_ref().map_or(0, Replica::commit_index);
        let lacks = |(index, command): &(&u64, &u64)| holder.applied.get(index) != Some(command);
        let acknowledged = self.acknowledged.iter().find(lacks);
        assert!(acknowledged.is_none(), "the holder lacks what was acknowledged: {acknowledged:?}");
        let applied = self.applied.range(..=commit_index).find(lacks);
        assert!(applied.is_none(), "the holder has passed over what was applied: {applied:?}");
    }

    fn leader(&mut self, now: u64, replica: &Replica, nodes: &[Node]) {
        let status = replica.status(now);
        let committed = self.committed.entry(now).or_insert(0);
        *committed = status.commit_index.max(*committed);
        let id = status.me.id.0;
        let known = *self.leaders.entry(status.term).or_insert(id);
        assert_eq!(known, id, "two lead in term {}", status.term);
        let Some(incoming_voters) = &status.membership.incoming_voters else { return };
        let voters: Vec<u64> = incoming_voters.iter().map(|voter| voter.id.0).collect();
        if !self.changes.insert(voters) {
            return;
        }
        for added in incoming_voters.iter().filter(|voter| !status.membership.voters.contains(voter)) {
            // One whose disk was lost just now can't be asked.
            let Some(node) = nodes.iter().find(|node| node.member.id == added.id) else { continue };
            assert!(
                node.acted_at + THERE_WITHIN >= now,
                "{} is made a voter and was not there lately",
                added.id
            );
            let held = node.synced_index();
            let before = self.committed.range(..=now.saturating_sub(THERE_WITHIN)).next_back();
            let committed = before.map_or(0, |(_, commit_index)| *commit_index);
            let is_ready = held.is_some_and(|held| held >= committed);
            assert!(is_ready, "{} is made a voter and holds {held:?} of {committed}", added.id);
        }
    }
}
