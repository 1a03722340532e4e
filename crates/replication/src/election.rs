//! Elections: pre-vote, vote, handover; and how a removed replica learns of it.

use crate::event::Output;
use crate::members::{Member, ReplicaId};
use crate::message::Message;
use crate::quorum;
use crate::record::HardState;
use crate::replica::{Candidacy, Replica};
use crate::status::Role;

impl Replica {
    pub(crate) fn set_first_deadline(&mut self, founds: bool) {
        if !founds {
            return self.reset_election_deadline();
        }
        // The founders have promised nothing to anyone; they stand one after the other.
        let place = self.membership().voters.iter().position(|voter| voter.id == self.me.id);
        let steps = place.unwrap_or(0) as u64 + 1;
        self.election_deadline = self.now.saturating_add(steps * self.settings.heartbeat_interval);
    }

    /// Waits for a leader from now on.
    pub(crate) fn reset_election_deadline(&mut self) {
        let (shortest, longest) = (self.settings.election_timeout_min, self.settings.election_timeout_max);
        self.wait_between(shortest, longest);
    }

    fn wait_between(&mut self, shortest: u64, longest: u64) {
        let wait = self.random.u64(shortest..=longest.max(shortest));
        self.election_deadline = self.now.saturating_add(wait);
    }

    /// No leader was heard for long enough, or an election had no result.
    pub(crate) fn election_due(&mut self) {
        self.leader = None;
        self.votes.clear();
        self.candidacy = None;
        if self.may_stand() {
            return self.ask_promises();
        }
        self.role = self.idle_role();
        self.reset_election_deadline();
        self.ask_membership();
    }

    fn may_stand(&self) -> bool {
        let votes = self.membership().is_voter(self.me.id) || self.needed_candidate;
        votes && self.disk_is_healthy() && !self.shutting_down
    }

    /// A candidate was refused because its log is behind this one's. One that doesn't vote as far as it knows stands
    /// then too: an entry that it alone holds, left by a leader that is lost, would keep those that need its vote in a
    /// change of voters from being elected, and nobody else has as much.
    fn note_behind(&mut self) {
        if !self.membership().is_voter(self.me.id) && !self.has_promised() {
            self.needed_candidate = true;
        }
    }

    /// First half of an election: asks for promises and changes nothing.
    fn ask_promises(&mut self) {
        self.role = Role::Candidate;
        self.asking_promises = true;
        // Promises to the leader before run out one by one: asking again soon costs a few messages and no term.
        self.wait_between(self.settings.heartbeat_interval / 2, self.settings.heartbeat_interval);
        self.votes.insert(self.me.id);
        let last = self.log.last();
        let term = self.hard_state.term + 1;
        let candidate = self.me.clone();
        let question =
            Message::PreVoteRequest { term, last_index: last.index, last_term: last.term, candidate };
        self.send_voters(&question);
        self.count_promises();
    }

    fn count_promises(&mut self) {
        if quorum::agreed(self.membership(), |id| self.votes.contains(&id)) {
            self.stand(false);
        }
    }

    /// Second half: enters a new term and votes for itself; others are asked once that is synced.
    fn stand(&mut self, handover: bool) {
        self.abdicate();
        self.role = Role::Candidate;
        self.asking_promises = false;
        self.leader = None;
        self.votes.clear();
        self.verified = self.commit_index;
        self.assembly = None;
        self.reset_election_deadline();
        self.set_hard_state(HardState { term: self.hard_state.term + 1, voted_for: Some(self.me.id) });
        self.candidacy = Some(Candidacy { sequence: self.term_sequence, handover });
    }

    /// Asks for votes once the own one is synced.
    pub(crate) fn continue_candidacy(&mut self) {
        let Some(candidacy) = self.candidacy.take_if(|candidacy| self.disk.is_synced(candidacy.sequence))
        else {
            return;
        };
        self.votes.insert(self.me.id);
        let last = self.log.last();
        let question = Message::VoteRequest {
            term: self.hard_state.term,
            last_index: last.index,
            last_term: last.term,
            candidate: self.me.clone(),
            handover: candidacy.handover,
        };
        self.send_voters(&question);
        self.count_votes();
    }

    fn count_votes(&mut self) {
        if quorum::agreed(self.membership(), |id| self.votes.contains(&id)) {
            self.lead();
        }
    }

    fn send_voters(&mut self, message: &Message) {
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

    fn on_pre_vote(&mut self, requested_term: u64, last: (u64, u64), candidate: Member) {
        if !self.membership().contains(candidate.id) {
            self.on_member_question(candidate.id, candidate.clone());
        }
        let granted = requested_term > self.hard_state.term
            && self.is_up_to_date(last)
            && !self.has_promised()
            && self.disk_is_healthy()
            && !self.membership().is_empty();
        if !self.is_up_to_date(last) {
            self.note_behind();
        }
        let term = self.hard_state.term;
        self.send_in_term(candidate, Message::PreVoteReply { term, requested_term, granted });
    }

    fn on_vote(&mut self, term: u64, last: (u64, u64), candidate: Member, handover: bool) {
        if term < self.hard_state.term {
            let term = self.hard_state.term;
            return self.send_in_term(candidate, Message::VoteReply { term, granted: false });
        }
        if self.membership().is_empty() || (self.has_promised() && !handover) {
            return;
        }
        if term > self.hard_state.term {
            self.follow(term, None);
        }
        let free = self.hard_state.voted_for.is_none_or(|voted| voted == candidate.id);
        let granted = free && self.leading.is_none() && self.is_up_to_date(last);
        if granted && self.hard_state.voted_for.is_none() {
            self.set_hard_state(HardState { term, voted_for: Some(candidate.id) });
        }
        if granted {
            self.reset_election_deadline();
        }
        self.send_in_term(candidate, Message::VoteReply { term, granted });
    }

    /// Whether a log that ends at (term, index) holds all that this one may have acknowledged.
    fn is_up_to_date(&self, last: (u64, u64)) -> bool {
        let own = self.log.last();
        last >= (own.term, own.index)
    }

    pub(crate) fn on_vote_reply(&mut self, from: ReplicaId, message: Message) {
        let (Message::PreVoteReply { term, .. } | Message::VoteReply { term, .. }) = &message else { return };
        if *term > self.hard_state.term {
            let term = *term;
            self.follow(term, None);
            return self.reset_election_deadline();
        }
        if self.role != Role::Candidate {
            return;
        }
        match message {
            Message::PreVoteReply { requested_term, granted: true, .. } => {
                self.on_promise(from, requested_term)
            }
            Message::VoteReply { term, granted: true } => self.on_granted(from, term),
            _ => {}
        }
    }

    fn on_promise(&mut self, from: ReplicaId, requested_term: u64) {
        let asking = self.candidacy.is_none() && requested_term == self.hard_state.term + 1;
        if asking && self.asking_promises {
            self.votes.insert(from);
            self.count_promises();
        }
    }

    fn on_granted(&mut self, from: ReplicaId, term: u64) {
        let standing = self.candidacy.is_none() && term == self.hard_state.term;
        if standing && !self.asking_promises {
            self.votes.insert(from);
            self.count_votes();
        }
    }

    /// The old leader gave up for this replica.
    pub(crate) fn on_stand_now(&mut self) {
        if self.may_stand() {
            self.stand(true);
        }
    }

    /// Asks the known voters whether this replica is still a member.
    fn ask_membership(&mut self) {
        if self.membership().is_empty() {
            return;
        }
        let question =
            Message::MembershipQuery { last_index: self.log.last().index, member: self.me.clone() };
        self.send_voters(&question);
    }

    /// Answers only with certainty: as the holder of the lease. A follower passes the question on.
    pub(crate) fn on_member_question(&mut self, from: ReplicaId, member: Member) {
        if self.holds_lease(self.now) {
            return self.answer_member_question(member);
        }
        let leader = self.leader.clone().filter(|leader| leader.id != self.me.id && member.id == from);
        let Some(leader) = leader else { return };
        let last_index = self.log.last().index;
        self.send(leader, Message::MembershipQuery { last_index, member });
    }

    fn answer_member_question(&mut self, member: Member) {
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
        if id != self.me.id || self.leading.is_some() || self.leader.is_some() {
            return;
        }
        self.removed = true;
        self.out.push(Output::RemovedFromGroup);
    }
}
