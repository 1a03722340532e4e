//! Automatic membership changes, made by the leader.
//!
//! There is one change at a time: the next one starts after the previous one is committed. Voters change by
//! joint consensus, so that a learner can replace a failed voter in one step. Learners are added and removed
//! by a plain entry, as they take no part in decisions.

use crate::members::{Member, Membership, ReplicaId};
use crate::progress::{PeerProgress, SendMode};
use crate::record::Payload;
use crate::replica::Replica;

const MAX_PENDING_JOINS: usize = 16;
const MAX_LEARNERS: usize = 16;

impl Replica {
    /// Records a request to join the group, or a new address of a member.
    pub(crate) fn join(&mut self, member: Member) {
        if member.id == self.me.id {
            return;
        }
        let Some(leader_state) = &mut self.leader_state else { return };
        leader_state.pending_joins.retain(|pending| pending.id != member.id);
        if leader_state.pending_joins.len() < MAX_PENDING_JOINS {
            leader_state.pending_joins.push(member);
        }
        self.reconfigure();
    }

    /// Starts the next membership change if one is due and none is under way.
    pub(crate) fn reconfigure(&mut self) {
        let Some(leader_state) = &self.leader_state else { return };
        let is_settled = self.membership_history.latest_index() <= self.commit_index
            && self.commit_index >= leader_state.term_start_index;
        if !is_settled {
            return;
        }
        let next = self
            .finish_joint_change()
            .or_else(|| self.with_pending_joins())
            .or_else(|| self.begin_voter_change());
        let Some(next) = next.or_else(|| self.without_silent_learners()) else { return };
        self.append_payload(Payload::Membership(next));
        self.update_peers();
    }

    /// Second phase of a joint change. A replaced voter that is still responsive, such as one that is
    /// shutting down, becomes a learner.
    fn finish_joint_change(&self) -> Option<Membership> {
        let membership = self.membership();
        let voters = membership.incoming_voters.clone()?;
        let is_voter = |member: &Member| voters.iter().any(|voter| voter.id == member.id);
        let responsive = membership
            .voters
            .iter()
            .filter(|voter| !self.is_silent(voter.id, self.settings.election_timeout_min));
        let learners = membership.learners.iter().chain(responsive);
        let learners = learners.filter(|learner| !is_voter(learner)).cloned().collect();
        Some(Membership { voters, incoming_voters: None, learners })
    }

    /// Adds the replicas that asked to join as learners, and updates the addresses of members.
    fn with_pending_joins(&mut self) -> Option<Membership> {
        let joins = std::mem::take(&mut self.leader_state.as_mut()?.pending_joins);
        let membership = self.membership();
        let mut next = membership.clone();
        for member in joins {
            if let Some(known) = next.voters.iter_mut().find(|voter| voter.id == member.id) {
                *known = member;
            } else if let Some(known) = next.learners.iter_mut().find(|learner| learner.id == member.id) {
                *known = member;
            } else if next.learners.len() < MAX_LEARNERS {
                // An older disk generation at the same address no longer exists.
                next.learners.retain(|learner| learner.internal_address != member.internal_address);
                next.learners.push(member);
            }
        }
        (next != *membership).then_some(next)
    }

    /// First phase of a joint change of voters.
    fn begin_voter_change(&self) -> Option<Membership> {
        let voters = self
            .replace_wiped_voter()
            .or_else(|| self.add_voters())
            .or_else(|| self.replace_silent_voter())
            .or_else(|| self.replace_departing_voter())?;
        let membership = self.membership();
        Some(Membership { incoming_voters: Some(voters), ..membership.clone() })
    }

    /// Replaces a voter whose disk was wiped by the learner at the same address.
    fn replace_wiped_voter(&self) -> Option<Vec<Member>> {
        let membership = self.membership();
        membership
            .voters
            .iter()
            .filter(|voter| self.is_silent(voter.id, self.settings.election_timeout_min))
            .find_map(|voter| {
                let mut learners = membership.learners.iter();
                let learner = learners.find(|learner| {
                    learner.internal_address == voter.internal_address && self.is_ready_learner(learner)
                })?;
                Some(replace_member(&membership.voters, voter.id, learner))
            })
    }

    /// Promotes ready learners until the group has its target number of voters.
    fn add_voters(&self) -> Option<Vec<Member>> {
        let mut voters = self.membership().voters.clone();
        let previous_count = voters.len();
        while voters.len() < self.settings.target_voters {
            let Some(learner) = self.best_learner(&voters) else { break };
            voters.push(learner.clone());
        }
        (voters.len() > previous_count).then_some(voters)
    }

    /// Replaces a silent voter by a ready learner.
    fn replace_silent_voter(&self) -> Option<Vec<Member>> {
        let voters = &self.membership().voters;
        let silent =
            voters.iter().find(|voter| self.is_silent(voter.id, self.settings.replace_voter_after))?;
        self.replace_with_best_learner(silent)
    }

    /// Replaces a voter whose process is shutting down by a ready learner before it stops. While another
    /// voter is unresponsive, the learner is reserved for that one: the voter that shuts down may come back
    /// with all its data.
    fn replace_departing_voter(&self) -> Option<Vec<Member>> {
        let voters = &self.membership().voters;
        let is_responsive = |voter: &Member| {
            let has_acked = |progress: &PeerProgress| {
                progress.acked_heartbeat_within(self.now, self.settings.election_timeout_min)
            };
            voter.id == self.me.id || self.progress(voter.id).is_some_and(has_acked)
        };
        if !voters.iter().all(is_responsive) {
            return None;
        }
        let is_departing =
            |voter: &&Member| self.progress(voter.id).is_some_and(|progress| progress.shutting_down);
        self.replace_with_best_learner(voters.iter().find(is_departing)?)
    }

    /// The voters with `removed` replaced by the best learner.
    fn replace_with_best_learner(&self, removed: &Member) -> Option<Vec<Member>> {
        let voters = &self.membership().voters;
        let others: Vec<Member> = voters.iter().filter(|voter| voter.id != removed.id).cloned().collect();
        Some(replace_member(voters, removed.id, self.best_learner(&others)?))
    }

    /// A ready learner that is not among `voters`, preferably from a zone without a voter.
    fn best_learner(&self, voters: &[Member]) -> Option<&Member> {
        let is_available = |learner: &&Member| {
            !voters
                .iter()
                .any(|voter| voter.id == learner.id || voter.internal_address == learner.internal_address)
        };
        let ready = self
            .membership()
            .learners
            .iter()
            .filter(is_available)
            .filter(|learner| self.is_ready_learner(learner));
        ready.min_by_key(|learner| voters.iter().any(|voter| voter.zone == learner.zone))
    }

    /// Removes silent learners.
    fn without_silent_learners(&self) -> Option<Membership> {
        let membership = self.membership();
        let mut next = membership.clone();
        next.learners.retain(|learner| !self.is_silent(learner.id, self.settings.drop_learner_after));
        (next != *membership).then_some(next)
    }

    fn progress(&self, id: ReplicaId) -> Option<&PeerProgress> {
        self.leader_state.as_ref()?.peers.get(&id)
    }

    fn is_silent(&self, id: ReplicaId, limit: u64) -> bool {
        self.progress(id).is_some_and(|progress| progress.silent_for(self.now) >= limit)
    }

    /// Whether a learner is responsive, has caught up and can write. Its replies may arrive late: the time at
    /// which the heartbeat was sent counts.
    fn is_ready_learner(&self, learner: &Member) -> bool {
        let Some(progress) = self.progress(learner.id) else { return false };
        let is_pipelining = matches!(progress.mode, SendMode::Pipeline { .. });
        // New proposals keep arriving: the learner may lag by one election timeout, whatever number of
        // entries or bytes that is.
        let since = self.now.saturating_sub(self.settings.election_timeout_min);
        let committed =
            self.leader_state.as_ref().and_then(|leader_state| leader_state.commit_index_since(since));
        let caught_up = committed.is_some_and(|commit_index| progress.match_index >= commit_index);
        is_pipelining
            && caught_up
            && !progress.shutting_down
            && progress.disk_healthy
            && progress.acked_heartbeat_within(self.now, self.settings.election_timeout_min)
    }
}

/// `voters` with `removed` replaced by `learner`.
fn replace_member(voters: &[Member], removed: ReplicaId, learner: &Member) -> Vec<Member> {
    let substitute = |voter: &Member| if voter.id == removed { learner.clone() } else { voter.clone() };
    voters.iter().map(substitute).collect()
}
