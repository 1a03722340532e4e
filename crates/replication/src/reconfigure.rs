//! Changes of the membership that the leader makes on its own.
//!
//! One change at a time: the next begins after the last is committed. Voters change by joint consensus, so that a dead
//! voter can be swapped for a learner in one step; learners come and go by a plain entry, as they decide nothing.

use crate::members::{Member, Membership, ReplicaId};
use crate::progress::{Mode, Progress};
use crate::record::Payload;
use crate::replica::Replica;

const MAX_JOINS: usize = 16;
const MAX_LEARNERS: usize = 16;

impl Replica {
    /// Notes a replica that wants to join.
    pub(crate) fn join(&mut self, member: Member) {
        if member.id == self.me.id {
            return;
        }
        let Some(leading) = &mut self.leading else { return };
        leading.joins.retain(|waiting| waiting.id != member.id);
        if leading.joins.len() < MAX_JOINS {
            leading.joins.push(member);
        }
        self.reconfigure();
    }

    /// Begins the next change of the membership, if one is due and none is under way.
    pub(crate) fn reconfigure(&mut self) {
        let Some(leading) = &self.leading else { return };
        let settled =
            self.memberships.newest_index() <= self.commit_index && self.commit_index >= leading.first_index;
        if !settled {
            return;
        }
        let next = self.completed().or_else(|| self.with_joins()).or_else(|| self.with_changed_voters());
        let Some(next) = next.or_else(|| self.without_lost_learners()) else { return };
        self.append(Payload::Membership(next));
        self.sync_peers();
    }

    /// Second half of a joint change. A voter that is still there, as one that retires, goes on as a learner.
    fn completed(&self) -> Option<Membership> {
        let membership = self.membership();
        let voters = membership.incoming_voters.clone()?;
        let is_voter = |member: &Member| voters.iter().any(|voter| voter.id == member.id);
        let still_there = membership
            .voters
            .iter()
            .filter(|voter| !self.is_silent(voter.id, self.settings.election_timeout_min));
        let learners = membership.learners.iter().chain(still_there);
        let learners = learners.filter(|learner| !is_voter(learner)).cloned().collect();
        Some(Membership { voters, incoming_voters: None, learners })
    }

    /// Takes in one of those that asked to join, or a new address of a member.
    fn with_joins(&mut self) -> Option<Membership> {
        let joins = std::mem::take(&mut self.leading.as_mut()?.joins);
        let membership = self.membership();
        let mut next = membership.clone();
        for member in joins {
            if let Some(known) = next.voters.iter_mut().find(|voter| voter.id == member.id) {
                *known = member;
            } else if let Some(known) = next.learners.iter_mut().find(|learner| learner.id == member.id) {
                *known = member;
            } else if next.learners.len() < MAX_LEARNERS {
                // An older generation of the same disk is gone.
                next.learners.retain(|learner| learner.internal_address != member.internal_address);
                next.learners.push(member);
            }
        }
        (next != *membership).then_some(next)
    }

    /// First half of a joint change of voters.
    fn with_changed_voters(&self) -> Option<Membership> {
        let voters = self
            .wiped_voter()
            .or_else(|| self.more_voters())
            .or_else(|| self.lost_voter())
            .or_else(|| self.retiring_voter())?;
        let membership = self.membership();
        Some(Membership { incoming_voters: Some(voters), ..membership.clone() })
    }

    /// A voter whose disk was wiped gives way to the learner that came up at its address.
    fn wiped_voter(&self) -> Option<Vec<Member>> {
        let membership = self.membership();
        membership
            .voters
            .iter()
            .filter(|voter| self.is_silent(voter.id, self.settings.election_timeout_min))
            .find_map(|voter| {
                let mut learners = membership.learners.iter();
                let learner = learners.find(|learner| {
                    learner.internal_address == voter.internal_address && self.is_ready(learner)
                })?;
                Some(swapped(&membership.voters, voter.id, learner))
            })
    }

    /// The group grows to its target, by as many learners as are ready.
    fn more_voters(&self) -> Option<Vec<Member>> {
        let mut voters = self.membership().voters.clone();
        let before = voters.len();
        while voters.len() < self.settings.target_voters {
            let Some(learner) = self.best_learner(&voters) else { break };
            voters.push(learner.clone());
        }
        (voters.len() > before).then_some(voters)
    }

    /// A voter that is not heard gives way to a learner that is.
    fn lost_voter(&self) -> Option<Vec<Member>> {
        let voters = &self.membership().voters;
        let lost = voters.iter().find(|voter| self.is_silent(voter.id, self.settings.replace_voter_after))?;
        self.without(lost)
    }

    /// A voter whose process is about to end gives way to a learner before it is missed. While another voter is missed,
    /// the learner is for that one: this one may come back with all that it holds.
    fn retiring_voter(&self) -> Option<Vec<Member>> {
        let voters = &self.membership().voters;
        let is_there = |voter: &Member| {
            let answers =
                |progress: &Progress| progress.answered_within(self.now, self.settings.election_timeout_min);
            voter.id == self.me.id || self.progress(voter.id).is_some_and(answers)
        };
        if !voters.iter().all(is_there) {
            return None;
        }
        let retires =
            |voter: &&Member| self.progress(voter.id).is_some_and(|progress| progress.shutting_down);
        self.without(voters.iter().find(retires)?)
    }

    /// The voters with the best learner in the place of one.
    fn without(&self, gone: &Member) -> Option<Vec<Member>> {
        let voters = &self.membership().voters;
        let others: Vec<Member> = voters.iter().filter(|voter| voter.id != gone.id).cloned().collect();
        Some(swapped(voters, gone.id, self.best_learner(&others)?))
    }

    /// A ready learner that is not among `voters`, best from a zone without a voter.
    fn best_learner(&self, voters: &[Member]) -> Option<&Member> {
        let is_new = |learner: &&Member| {
            !voters
                .iter()
                .any(|voter| voter.id == learner.id || voter.internal_address == learner.internal_address)
        };
        let ready = self.membership().learners.iter().filter(is_new).filter(|learner| self.is_ready(learner));
        ready.min_by_key(|learner| voters.iter().any(|voter| voter.zone == learner.zone))
    }

    /// Drops learners that are not heard any more.
    fn without_lost_learners(&self) -> Option<Membership> {
        let membership = self.membership();
        let mut next = membership.clone();
        next.learners.retain(|learner| !self.is_silent(learner.id, self.settings.drop_learner_after));
        (next != *membership).then_some(next)
    }

    fn progress(&self, id: ReplicaId) -> Option<&Progress> {
        self.leading.as_ref()?.peers.get(&id)
    }

    fn is_silent(&self, id: ReplicaId, limit: u64) -> bool {
        self.progress(id).is_some_and(|progress| progress.silent_for(self.now) >= limit)
    }

    /// Whether a learner is there, has caught up and can write. Its answers may come late: what counts is when the
    /// question was sent.
    fn is_ready(&self, learner: &Member) -> bool {
        let Some(progress) = self.progress(learner.id) else { return false };
        let streams = matches!(progress.mode, Mode::Stream { .. });
        // Proposals go on: what it lacks may be as old as a promise, however many entries and bytes that is.
        let since = self.now.saturating_sub(self.settings.election_timeout_min);
        let committed = self.leading.as_ref().and_then(|leading| leading.commit_since(since));
        let caught_up = committed.is_some_and(|commit_index| progress.match_index >= commit_index);
        streams
            && caught_up
            && !progress.shutting_down
            && progress.disk_healthy
            && progress.answered_within(self.now, self.settings.election_timeout_min)
    }
}

/// `voters` with `learner` in the place of `gone`.
fn swapped(voters: &[Member], gone: ReplicaId, learner: &Member) -> Vec<Member> {
    let replace = |voter: &Member| if voter.id == gone { learner.clone() } else { voter.clone() };
    voters.iter().map(replace).collect()
}
