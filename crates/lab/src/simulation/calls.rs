//! Clients: they start calls, send requests, receive replies or give up, and retry.

use cherryusher::Event;
use rand::Rng;

use super::clients::Call;
use super::events::{Reply, ScheduledEvent};
use super::nodes::Request;
use super::{START_TIME, Simulation};
use crate::Micros;
use crate::experiment::{Effect, micros};
use crate::invariants::Invariant;
use crate::metrics::FinishedCall;

impl Simulation<'_> {
    pub(super) fn schedule_arrival(&mut self) {
        let (wait, arrives) = self.clients.next(self.now, self.burst);
        let at = self.now + wait;
        if at < self.arrivals_end {
            self.queue.push(
                at,
                if arrives { ScheduledEvent::OpenLoopArrival } else { ScheduledEvent::ArrivalRateCheck },
            );
        }
    }

    pub(super) fn open_loop_arrival(&mut self) {
        let call = self.clients.draw_call(self.now, None);
        self.start_call(call);
        self.schedule_arrival();
    }

    pub(super) fn start_call(&mut self, call: Call) {
        let number = self.next_id();
        self.calls.insert(number, call);
        self.send_request(number);
    }

    pub(super) fn send_request(&mut self, call: u64) {
        let Some(wanted) = self.calls.get_mut(&call) else { return };
        wanted.tries += 1;
        let (class, node) = (wanted.class, wanted.node);
        let (number, delay) = (self.next_id(), self.network_delay());
        let patience = micros(self.experiment.classes[class].deadline);
        self.requests.insert(number, Request::new(call, node, class, self.now + patience));
        self.queue.push(self.now + delay, ScheduledEvent::RequestAtNode(number));
        self.queue.push(self.now + patience, ScheduledEvent::ClientDeadline(number));
    }

    /// A reply reaches its client, which may retry.
    pub(super) fn reply_at_client(&mut self, number: u64, reply: Reply) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        // A client that has given up ignores the reply.
        if std::mem::replace(&mut request.client_gone, true) {
            return;
        }
        let call = request.call;
        self.drop_finished_request(number);
        self.finish_try(call, reply);
    }

    fn finish_try(&mut self, number: u64, reply: Reply) {
        let Some(call) = self.calls.get(&number) else { return };
        let class = &self.experiment.classes[call.class];
        let counted = call.start >= START_TIME + micros(self.experiment.settle);
        match reply {
            Reply::Served => {}
            Reply::Refused(_) => self.metrics.refused += u64::from(counted),
            Reply::Failed => self.metrics.failed += u64::from(counted),
        }
        if reply != Reply::Served {
            self.metrics.record_rejection(self.now - START_TIME);
            // A failed request may have run, so it is retried only if it is safe.
            let harmless = matches!(reply, Reply::Refused(_)) || class.effect == Effect::Safe;
            if harmless && call.tries <= self.experiment.clients.retries {
                let backoff = micros(self.experiment.clients.backoff) << (call.tries - 1).min(6);
                let backoff =
                    backoff / 2 + (backoff as f64 / 2.0 * self.client_rng.random::<f64>()) as Micros;
                let retry_after = match reply {
                    Reply::Refused(after) if call.obeys_retry_after => after,
                    _ => 0,
                };
                self.queue.push(self.now + backoff.max(retry_after), ScheduledEvent::SendRequest(number));
                return;
            }
        }
        let Some(call) = self.calls.remove(&number) else { return };
        let latency = self.now - call.start;
        let in_time = latency <= micros(class.aim);
        let earned = call.worth * if in_time { 1.0 } else { class.late_worth };
        let served = (reply == Reply::Served).then_some((earned, latency, in_time));
        let Call { start, class, tenant, worth, client, .. } = call;
        self.metrics.record_call(&FinishedCall { start: start - START_TIME, class, tenant, worth, served });
        if let Some(client) = client {
            let think_time = self.clients.think_time();
            self.queue.push(self.now + think_time, ScheduledEvent::ThinkTimeOver(client));
        }
    }

    /// The client's deadline has passed.
    pub(super) fn client_deadline(&mut self, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        if std::mem::replace(&mut request.client_gone, true) {
            return;
        }
        let call = request.call;
        if !request.answered {
            request.answered = true;
            let node = request.node;
            self.invariants.report(Invariant::NoAnswer, self.now - START_TIME, || {
                format!("request {number} at node {node}")
            });
            self.notify_node(node, Event::ClientLeft(number));
        }
        self.drop_finished_request(number);
        self.finish_try(call, Reply::Failed);
    }
}
