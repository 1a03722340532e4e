//! Configuration changes of the operator: checks, proposals to the log and replies.

use dunelink_replication::{Input, ProposalError, encode};

use super::{Effect, LEADER_CONTACT_TIMEOUT_US, Node};
use crate::change_queue::{CallId, ConfigurationChange, Reply};
use crate::configuration_check::CheckedBody;
use crate::state::{ApplyOutcome, Command, Digest};

/// Too many changes are queued.
const OVERLOADED: Reply = Reply::Unavailable("too many orders are waiting: send it again later");
/// No leader of the group is known here.
const LEADERLESS: Reply =
    Reply::Unavailable("no leader is known here: send it again, to any control machine");
/// This machine became the leader after the request had arrived unchecked.
const LEADER_CHANGED: Reply = Reply::Unavailable("the leader has just changed: send it again");
/// It is not known whether a proposal is or will be committed.
pub(super) const OUTCOME_UNKNOWN: Reply =
    Reply::Unavailable("the outcome is not known yet: send it again, to any control machine");

impl Node {
    /// Handles a request to replace the configuration. The reply comes as [`Effect::Reply`].
    pub fn replace_configuration(
        &mut self,
        now: u64,
        call: CallId,
        base: Option<u64>,
        checked: CheckedBody,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(reply) = self.enqueue_change(now, call, base, checked) {
            effects.push(Effect::Reply { call, reply });
        }
        self.process_queue(now, effects);
    }

    /// The current configuration for the operator; only the holder of the lease replies with it.
    pub fn read_configuration(&self, now: u64) -> Reply {
        if !self.holds_lease(now) {
            return self.redirect_to_leader(now);
        }
        match self.state.version() {
            0 => Reply::NoConfiguration,
            _ => Reply::Configuration(self.state.body().clone()),
        }
    }

    /// Queues a change, or replies at once if it needs no decision.
    fn enqueue_change(
        &mut self,
        now: u64,
        call: CallId,
        base: Option<u64>,
        checked: CheckedBody,
    ) -> Option<Reply> {
        let CheckedBody { body, check } = checked;
        let digest = base.map(|base| Digest::of(base, &body));
        // An applied change stays applied: any replica that has applied it may confirm it.
        if digest.is_some_and(|digest| self.state.was_applied(&digest)) {
            return Some(Reply::Accepted);
        }
        if self.shutting_down || !self.holds_lease(now) {
            return Some(self.redirect_to_leader(now));
        }
        let (Some(base), Some(digest)) = (base, digest) else {
            return Some(Reply::Invalid(
                "header X-Dunelink-Base-Version is missing: name the base".to_owned(),
            ));
        };
        if self.changes.attach(&digest, call) {
            return None;
        }
        let version = match check {
            Some(Ok(version)) => version,
            Some(Err(reason)) => return Some(Reply::Invalid(reason)),
            None => return Some(LEADER_CHANGED),
        };
        let change = ConfigurationChange { base, version, digest, body, calls: vec![call] };
        if self.changes.push(change) { None } else { Some(OVERLOADED) }
    }

    /// Processes queued changes until one has to wait for the log.
    pub(super) fn process_queue(&mut self, now: u64, effects: &mut Vec<Effect>) {
        while let Some(change) = self.changes.take_next() {
            match self.reply_without_proposal(now, &change) {
                Some(reply) => reply_all(change.calls, &reply, effects),
                None => self.propose(now, change, effects),
            }
        }
    }

    /// Reply to a change that needs no log entry; `None` if it has to be proposed. Called only while no
    /// proposal is undecided.
    fn reply_without_proposal(&self, now: u64, change: &ConfigurationChange) -> Option<Reply> {
        let current = self.state.version();
        if self.state.was_applied(&change.digest) {
            return Some(Reply::Accepted);
        }
        if self.shutting_down || !self.holds_lease(now) {
            return Some(self.redirect_to_leader(now));
        }
        if change.base != current {
            return Some(Reply::Conflict { current });
        }
        if change.version <= current {
            let reason =
                format!("version {} is not above the current one, {current}: raise it", change.version);
            return Some(Reply::Invalid(reason));
        }
        None
    }

    fn propose(&mut self, now: u64, change: ConfigurationChange, effects: &mut Vec<Effect>) {
        let ConfigurationChange { base, version, digest, body, calls } = change;
        let ticket = self.changes.begin_proposal(digest, calls);
        let command = encode(&Command::Replace { base, version, digest, body: body.to_vec() });
        self.step_replica(now, Input::Propose { proposal_id: ticket, command }, effects);
    }

    /// Handles the result of a proposal and replies to its callers.
    pub(super) fn handle_proposal_result(
        &mut self,
        now: u64,
        ticket: u64,
        result: Result<u64, ProposalError>,
        effects: &mut Vec<Effect>,
    ) {
        let Some((digest, calls)) = self.changes.finish_proposal(ticket) else { return };
        let outcome = self.outcomes.remove(&digest);
        let reply = match (result, outcome) {
            (Ok(_), Some(ApplyOutcome::Applied | ApplyOutcome::AlreadyApplied)) => Reply::Accepted,
            (Ok(_), Some(ApplyOutcome::Conflict)) => Reply::Conflict { current: self.state.version() },
            (Ok(_), None) | (Err(ProposalError::OutcomeUnknown), _) => OUTCOME_UNKNOWN,
            (Err(ProposalError::NotLeader), _) => self.redirect_to_leader(now),
            (Err(ProposalError::Overloaded), _) => OVERLOADED,
        };
        reply_all(calls, &reply, effects);
    }

    /// Reply to a call that only the leader can answer: its address, if there was recent contact to it.
    fn redirect_to_leader(&self, now: u64) -> Reply {
        let in_contact =
            self.replica.time_since_leader_contact(now).is_some_and(|age| age < LEADER_CONTACT_TIMEOUT_US);
        let leader = self.replica.leader().filter(|leader| in_contact && leader.id != self.me.id);
        leader.map_or(LEADERLESS, |leader| Reply::Redirect(leader.control_address))
    }
}

fn reply_all(calls: Vec<CallId>, reply: &Reply, effects: &mut Vec<Effect>) {
    effects.extend(calls.into_iter().map(|call| Effect::Reply { call, reply: reply.clone() }));
}
