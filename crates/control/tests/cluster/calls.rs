//! Operator calls and the replies of the control machines.

use dunelink_control::change_queue::{CallId, Reply};
use dunelink_control::configuration_check::CheckedBody;

use super::MILLISECOND;
use super::machine::control_address;
use super::mutation::Mutation;
use super::operator::{OperatorRequest, change_key, version_of};
use super::world::{Event, World};

/// How long an operator waits for a reply, in microseconds of simulated time.
const CALL_TIMEOUT_US: u64 = 1_500 * MILLISECOND;

impl World {
    /// Makes an operator repeat its unfinished request or start a new one.
    pub(crate) fn continue_operator(&mut self, operator: usize) {
        let random = &mut self.random;
        let request = match self.operators[operator].request.clone() {
            Some(request) => request,
            None => self.operators[operator].choose_request(operator, random),
        };
        if let (Some(change_key), OperatorRequest::Replace { version, .. }) = (change_key(&request), &request)
        {
            let recorded = self.checks.sent_changes.entry(*version).or_default();
            if !recorded.contains(&change_key) {
                recorded.push(change_key);
            }
        }
        self.operators[operator].request = Some(request);
        // The operator's list does not contain permanently removed machines.
        let candidates: Vec<usize> =
            (0..self.machines.len()).filter(|index| !self.machines[*index].removed).collect();
        let index = candidates[self.random.usize(0..candidates.len())];
        self.send_call(operator, index);
    }

    fn send_call(&mut self, operator: usize, index: usize) {
        self.last_call_id += 1;
        let call = self.last_call_id;
        let Some(request) = self.operators[operator].request.clone() else { return };
        self.operators[operator].pending_call = call;
        self.calls.insert(call, (operator, request));
        let wait = self.random.u64(MILLISECOND..3 * MILLISECOND);
        self.schedule_after(wait, Event::DeliverCall { call, index });
        let reply = Reply::Unavailable("no answer in time");
        self.schedule_after(CALL_TIMEOUT_US, Event::DeliverReply { operator, call, reply });
    }

    /// Handles a call that arrives at a machine.
    pub(crate) fn call(&mut self, call: CallId, index: usize) {
        let machine = &mut self.machines[index];
        let recently_paused = self.now < machine.paused_until + 5 * MILLISECOND;
        let stale_clock = recently_paused && self.mutation == Some(Mutation::ClockReadBeforePause);
        let local = machine.local_time(if stale_clock { machine.paused_from } else { self.now });
        let Some(process) = &mut machine.process else { return };
        let Some((_, request)) = self.calls.get(&call).cloned() else { return };
        match request {
            OperatorRequest::Read => {
                let mut reply = process.node.read_configuration(local);
                let version = process.node.state().version();
                if self.mutation == Some(Mutation::ReadWithoutLease) && version > 0 {
                    reply = Reply::Configuration(process.node.state().body().clone());
                }
                self.reply(index, call, reply);
            }
            OperatorRequest::Replace { base, version, body } => {
                let current = process.node.state().version();
                if self.mutation == Some(Mutation::RetryRefused) && current >= version {
                    return self.reply(index, call, Reply::Conflict { current });
                }
                if self.mutation == Some(Mutation::RetryAcknowledgedByVersion) && current >= version {
                    return self.reply(index, call, Reply::Accepted);
                }
                let checked = CheckedBody::check(body);
                self.with_node(index, |node, now, effects| {
                    node.replace_configuration(now, call, Some(base), checked, effects)
                });
            }
        }
    }

    /// Checks a reply as it leaves a machine, and delivers it unless it is lost.
    pub(crate) fn reply(&mut self, index: usize, call: CallId, reply: Reply) {
        let Some((operator, request)) = self.calls.get(&call).cloned() else { return };
        match (&reply, change_key(&request), &request) {
            (Reply::Accepted, Some(change_key), OperatorRequest::Replace { version, .. }) => {
                self.checks.check_acknowledgement(self.now, &change_key, *version);
                if let Some(power_loss) = self.wipe_after_acknowledgement.take() {
                    self.schedule_after(0, Event::WipeAfterAcknowledgement { index, power_loss });
                }
            }
            (Reply::Conflict { current }, Some(change_key), _) => {
                self.checks.check_refusal(&change_key, Some(*current))
            }
            (Reply::Invalid(_), Some(change_key), _) => self.checks.check_refusal(&change_key, None),
            (Reply::Configuration(body), _, _) => self.checks.check_read(self.now, version_of(body), body),
            (Reply::NoConfiguration, _, _) => self.checks.check_read(self.now, 0, &bytes::Bytes::new()),
            _ => {}
        }
        if self.random.u32(0..10) == 0 {
            return;
        }
        let wait = self.random.u64(MILLISECOND..4 * MILLISECOND);
        self.schedule_after(wait, Event::DeliverReply { operator, call, reply });
    }

    pub(crate) fn receive_reply(&mut self, operator: usize, call: CallId, reply: &Reply) {
        if self.operators[operator].pending_call != call {
            return;
        }
        self.operators[operator].pending_call = 0;
        if self.operators[operator].handle_reply(reply) {
            let wait = self.random.u64(0..150 * MILLISECOND);
            return self.schedule_after(wait, Event::Operator(operator));
        }
        if let Reply::Redirect(address) = reply
            && let Some(index) =
                self.machines.iter().position(|machine| control_address(machine.number) == *address)
        {
            return self.send_call(operator, index);
        }
        if self.random.u32(0..40) == 0 {
            self.operators[operator].request = None;
        }
        self.schedule_after(100 * MILLISECOND, Event::Operator(operator));
    }
}
