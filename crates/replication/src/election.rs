//! Elections: pre-vote, vote, handover; membership queries of replicas that may have been removed.

use crate::event::Output;
use crate::members::{Member, ReplicaId};
use crate::message::Message;
use crate::quorum;
use crate::record::HardState;
use crate::replica::{PendingCampaign, Replica};
use crate::status::Role;

impl Replica {
    pub(crate) fn set_initial_election_deadline(&mut self, bootstraps: bool) {
        if !bootstraps {
            return self.reset_election_deadline();
        }
        // The initial voters have not acknowledged any leader yet. They campaign one after the other.
        let position = self.membership().voters.iter().position(|voter| voter.id == self.me.id);
        let intervals = position.unwrap_or(0) as u64 + 1;
        self.election_deadline = self.now.saturating_add(intervals * self.settings.heartbeat_interval);
    }

    /// Restarts the election timeout.
    pub(crate) fn reset_election_deadline(&mut self) {
        let (shortest, longest) = (self.settings.election_timeout_min, self.settings.election_timeout_max);
        self.set_election_deadline_between(shortest, longest);
    }

    fn set_election_deadline_between(&mut self, shortest: u64, longest: u64) {
        let wait = self.random.u64(shortest..=longest.max(shortest));
        self.election_deadline = self.now.saturating_add(wait);
    }

    /// Handles the election timeout: no leader was heard, or an election had no winner.
    pub(crate) fn on_election_timeout(&mut self) {
        self.leader = None;
        self.votes.clear();
        self.pending_campaign = None;
        if self.can_campaign() {
            return self.start_pre_vote();
        }
        self.role = self.passive_role();
        self.reset_election_deadline();
        self.query_membership();
    }

    fn can_campaign(&self) -> bool {
        let may_lead = self.membership().is_voter(self.me.id) || self.campaigns_as_non_voter;
        may_lead && self.disk_is_healthy() && !self.shutting_down
    }

    /// Handles a candidate whose log is behind this replica's. A replica that is not a voter in its own
    /// membership then campaigns too: it may be the only holder of an entry of a lost leader. Because of that
    /// entry it refuses its vote to the candidates that need it for a change of voters, and no other log is
    /// as complete.
    fn note_candidate_behind(&mut self) {
        if !self.membership().is_voter(self.me.id) && !self.must_withhold_vote() {
            self.campaigns_as_non_voter = true;
        }
    }

    /// First phase of an election: requests pre-votes, without changing the term.
    fn start_pre_vote(&mut self) {
        self.role = Role::Candidate;
        self.in_pre_vote = true;
        // Voters withhold their votes until the previous leader's lease has expired, each at its own time.
        // Asking again soon costs a few messages and no term.
        self.set_election_deadline_between(
            self.settings.heartbeat_interval / 2,
            self.settings.heartbeat_interval,
        );
        self.votes.insert(self.me.id);
        let last = self.log.last();
        let term = self.hard_state.term + 1;
        let candidate = self.me.clone();
        let request =
            Message::PreVoteRequest { term, last_index: last.index, last_term: last.term, candidate };
        self.send_to_voters(&request);
        self.count_pre_votes();
    }

    fn count_pre_votes(&mut self) {
        if quorum::has_quorum(self.membership(), |id| self.votes.contains(&id)) {
            self.start_election(false);
        }
    }

    /// Second phase of an election: enters a new term and votes for itself. Other votes are requested once
    /// that is synced.
    fn start_election(&mut self, handover: bool) {
        self.step_down();
        self.role = Role::Candidate;
        self.in_pre_vote = false;
        self.leader = None;
        self.votes.clear();
        self.verified_index = self.commit_index;
        self.incoming_transfer = None;
        self.reset_election_deadline();
        self.set_hard_state(HardState { term: self.hard_state.term + 1, voted_for: Some(self.me.id) });
        self.pending_campaign = Some(PendingCampaign { sequence: self.term_write_sequence, handover });
    }

    /// Requests the votes of the other voters once this replica's own vote is synced.
    pub(crate) fn continue_campaign(&mut self) {
        let Some(campaign) =
            self.pending_campaign.take_if(|campaign| self.writes.is_synced(campaign.sequence))
        else {
            return;
        };
        self.votes.insert(self.me.id);
        let last = self.log.last();
        let request = Message::VoteRequest {
            term: self.hard_state.term,
            last_index: last.index,
            last_term: last.term,
            candidate: self.me.clone(),
            handover: campaign.handover,
        };
        self.send_to_voters(&request);
        self.count_votes();
    }

    fn count_votes(&mut self) {
        if quorum::has_quorum(self.membership(), |id| self.votes.contains(&id)) {
            self.become_leader();
        }
    }

    fn send_to_voters(&mut self, message: &Message) {
        let voters: Vec<Member> = self.membership().all_voters().cloned().collect();
        for voter in voters {
            if voter.id != self.me.id {
                self.send(voter, message.clone());
            }
        }
    }

    pub(crate) fn on_vote_request(&mut self, from: ReplicaId, message: Message) {
        match message {
            Message::PreVoteRequest { term, last_index, last_term, candidate } if candidate.id == from => {
                self.on_pre_vote(term, (last_term, last_index), candidate);
            }
            Message::VoteRequest { term, last_index, last_term, candidate, handover }
                if candidate.id == from =>
            {
                self.on_vote(term, (last_term, last_index), candidate, handover);
            }
            _ => {}
        }
    }

    fn on_pre_vote(&mut self, requested_term: u64, last_entry: (u64, u64), candidate: Member) {
        if !self.membership().contains(candidate.id) {
            self.on_membership_query(candidate.id, candidate.clone());
        }
        let granted = requested_term > self.hard_state.term
            && self.is_up_to_date(last_entry)
            && !self.must_withhold_vote()
            && self.disk_is_healthy()
            && !self.membership().is_empty();
        if !self.is_up_to_date(last_entry) {
            self.note_candidate_behind();
        }
        let term = self.hard_state.term;
        self.send_after_term_sync(candidate, Message::PreVoteReply { term, requested_term, granted });
    }

    fn on_vote(&mut self, term: u64, last_entry: (u64, u64), candidate: Member, handover: bool) {
        if term < self.hard_state.term {
            let term = self.hard_state.term;
            return self.send_after_term_sync(candidate, Message::VoteReply { term, granted: false });
        }
        if self.membership().is_empty() || (self.must_withhold_vote() && !handover) {
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term, None);
        }
        let vote_available = self.hard_state.voted_for.is_none_or(|id| id == candidate.id);
        let granted = vote_available && self.leader_state.is_none() && self.is_up_to_date(last_entry);
        if granted && self.hard_state.voted_for.is_none() {
            self.set_hard_state(HardState { term, voted_for: Some(candidate.id) });
        }
        if granted {
            self.reset_election_deadline();
        }
        self.send_after_term_sync(candidate, Message::VoteReply { term, granted });
    }

    /// Whether a log whose last entry has this (term, index) contains everything that this replica may have
    /// acknowledged.
    fn is_up_to_date(&self, last_entry: (u64, u64)) -> bool {
        let own = self.log.last();
        last_entry >= (own.term, own.index)
    }

    pub(crate) fn on_vote_reply(&mut self, from: ReplicaId, message: Message) {
        let (Message::PreVoteReply { term, .. } | Message::VoteReply { term, .. }) = &message else { return };
        if *term > self.hard_state.term {
            let term = *term;
            self.become_follower(term, None);
            return self.reset_election_deadline();
        }
        if self.role != Role::Candidate {
            return;
        }
        match message {
            Message::PreVoteReply { requested_term, granted: true, .. } => {
                self.on_pre_vote_granted(from, requested_term)
            }
            Message::VoteReply { term, granted: true } => self.on_vote_granted(from, term),
            _ => {}
        }
    }

    fn on_pre_vote_granted(&mut self, from: ReplicaId, requested_term: u64) {
        let is_current = self.pending_campaign.is_none() && requested_term == self.hard_state.term + 1;
        if is_current && self.in_pre_vote {
            self.votes.insert(from);
            self.count_pre_votes();
        }
    }

    fn on_vote_granted(&mut self, from: ReplicaId, term: u64) {
        let is_current = self.pending_campaign.is_none() && term == self.hard_state.term;
        if is_current && !self.in_pre_vote {
            self.votes.insert(from);
            self.count_votes();
        }
    }

    /// The leader gave up its lease in favour of this replica.
    pub(crate) fn on_timeout_now(&mut self) {
        if self.can_campaign() {
            self.start_election(true);
        }
    }

    /// Asks the known voters whether this replica is still a member.
    fn query_membership(&mut self) {
        if self.membership().is_empty() {
            return;
        }
        let request = Message::MembershipQuery { last_index: self.log.last().index, member: self.me.clone() };
        self.send_to_voters(&request);
    }

    /// Answers as the lease holder only, since no other replica can be certain. A follower forwards the query
    /// to the leader.
    pub(crate) fn on_membership_query(&mut self, from: ReplicaId, member: Member) {
        if self.holds_lease(self.now) {
            return self.answer_membership_query(member);
        }
        let leader = self.leader.clone().filter(|leader| leader.id != self.me.id && member.id == from);
        let Some(leader) = leader else { return };
        let last_index = self.log.last().index;
        self.send(leader, Message::MembershipQuery { last_index, member });
    }

    fn answer_membership_query(&mut self, member: Member) {
        match self.membership().get(member.id) {
            None => {
                let id = member.id;
                self.send(member, Message::NotMember { id });
            }
            Some(known) if *known != member => self.join(member),
            Some(_) => {}
        }
    }

    pub(crate) fn on_not_member(&mut self, id: ReplicaId) {
        if id != self.me.id || self.leader_state.is_some() || self.leader.is_some() {
            return;
        }
        self.removed = true;
        self.outputs.push(Output::RemovedFromGroup);
    }
}
