//! Orders of the operator: who decides, and what is answered.

use dunelink_replication::{Input, ProposalError, encode};

use super::{Effect, LEADER_HEARD, Node};
use crate::change_queue::{CallId, ConfigurationChange, Reply};
use crate::configuration_check::CheckedBody;
use crate::state::{ApplyOutcome, Command, Digest};

/// Too much is waiting to be decided.
const OVERLOADED: Reply = Reply::Unavailable("too many orders are waiting: send it again later");
/// Nobody leads the group as far as is known here.
const LEADERLESS: Reply =
    Reply::Unavailable("no leader is known here: send it again, to any control machine");
/// The leadership came here while the order was on its way.
const UNCHECKED: Reply = Reply::Unavailable("the leader has just changed: send it again");
/// The outcome of a proposal is not known.
pub(super) const UNCERTAIN: Reply =
    Reply::Unavailable("the outcome is not known yet: send it again, to any control machine");

impl Node {
    /// The operator replaces the configuration. The answer comes as [`Effect::Reply`].
    pub fn replace_configuration(
        &mut self,
        now: u64,
        call: CallId,
        base: Option<u64>,
        checked: CheckedBody,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(reply) = self.take_order(now, call, base, checked) {
            effects.push(Effect::Reply { call, reply });
        }
        self.decide_next(now, effects);
    }

    /// The operator reads the configuration.
    pub fn read_configuration(&self, now: u64) -> Reply {
        if !self.holds_lease(now) {
            return self.elsewhere(now);
        }
        match self.state.version() {
            0 => Reply::NoConfiguration,
            _ => Reply::Configuration(self.state.body().clone()),
        }
    }

    /// Takes in an order; an answer if there is one already.
    fn take_order(
        &mut self,
        now: u64,
        call: CallId,
        base: Option<u64>,
        checked: CheckedBody,
    ) -> Option<Reply> {
        let CheckedBody { body, check } = checked;
        let digest = base.map(|base| Digest::of(base, &body));
        // What was taken stays taken: any replica that has applied it may say so.
        if digest.is_some_and(|digest| self.state.was_applied(&digest)) {
            return Some(Reply::Accepted);
        }
        if self.ending || !self.holds_lease(now) {
            return Some(self.elsewhere(now));
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
            None => return Some(UNCHECKED),
        };
        let order = ConfigurationChange { base, version, digest, body, calls: vec![call] };
        if self.changes.push(order) { None } else { Some(OVERLOADED) }
    }

    /// Decides orders until one has to wait for the log.
    pub(super) fn decide_next(&mut self, now: u64, effects: &mut Vec<Effect>) {
        while let Some(order) = self.changes.take_next() {
            match self.judge(now, &order) {
                Some(reply) => answer_all(order.calls, &reply, effects),
                None => self.propose(now, order, effects),
            }
        }
    }

    /// The answer to an order that needs no entry in the log. Nothing is undecided when this is asked.
    fn judge(&self, now: u64, order: &ConfigurationChange) -> Option<Reply> {
        let current = self.state.version();
        if self.state.was_applied(&order.digest) {
            return Some(Reply::Accepted);
        }
        if self.ending || !self.holds_lease(now) {
            return Some(self.elsewhere(now));
        }
        if order.base != current {
            return Some(Reply::Conflict { current });
        }
        if order.version <= current {
            let reason =
                format!("version {} is not above the current one, {current}: raise it", order.version);
            return Some(Reply::Invalid(reason));
        }
        None
    }

    fn propose(&mut self, now: u64, order: ConfigurationChange, effects: &mut Vec<Effect>) {
        let ConfigurationChange { base, version, digest, body, calls } = order;
        let ticket = self.changes.begin_proposal(digest, calls);
        let command = encode(&Command::Replace { base, version, digest, body: body.to_vec() });
        self.input(now, Input::Propose { proposal_id: ticket, command }, effects);
    }

    /// The log has decided on a proposal, or can't tell.
    pub(super) fn decided(
        &mut self,
        now: u64,
        ticket: u64,
        result: Result<u64, ProposalError>,
        effects: &mut Vec<Effect>,
    ) {
        let Some((digest, calls)) = self.changes.finish_proposal(ticket) else { return };
        let verdict = self.verdicts.remove(&digest);
        let reply = match (result, verdict) {
            (Ok(_), Some(ApplyOutcome::Applied | ApplyOutcome::AlreadyApplied)) => Reply::Accepted,
            (Ok(_), Some(ApplyOutcome::Conflict)) => Reply::Conflict { current: self.state.version() },
            (Ok(_), None) | (Err(ProposalError::OutcomeUnknown), _) => UNCERTAIN,
            (Err(ProposalError::NotLeader), _) => self.elsewhere(now),
            (Err(ProposalError::Overloaded), _) => OVERLOADED,
        };
        answer_all(calls, &reply, effects);
    }

    /// Where a call goes that only the leader answers.
    fn elsewhere(&self, now: u64) -> Reply {
        let heard = self.replica.time_since_leader_contact(now).is_some_and(|age| age < LEADER_HEARD);
        let leader = self.replica.leader().filter(|leader| heard && leader.id != self.me.id);
        leader.map_or(LEADERLESS, |leader| Reply::Redirect(leader.control_address))
    }
}

fn answer_all(calls: Vec<CallId>, reply: &Reply, effects: &mut Vec<Effect>) {
    effects.extend(calls.into_iter().map(|call| Effect::Reply { call, reply: reply.clone() }));
}
