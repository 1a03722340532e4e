//! Nodes: delivers events to their policies and carries out the actions.

use cherryusher::{Action, AttemptNo, Event, Outcome, ServerId, ServerObservation};
use rand::Rng;

use super::events::{Reply, ScheduledEvent};
use super::ground_truth::GroundTruth;
use super::{Admission, START_TIME, Simulation};
use crate::Micros;
use crate::baselines::Policy;
use crate::experiment::{Effect, micros};
use crate::invariants::{DRAIN_GRACE, ExecutionHistory, Invariant};

/// A node gives up on a request this long before the client does.
const REPLY_MARGIN: Micros = 1_000;

/// A node.
pub(crate) struct Node {
    policy: Option<Box<dyn Policy>>,
    /// By how much the node's clock is ahead, and its last reading: it never goes back.
    pub(super) clock_offset: Micros,
    last_clock: Micros,
    /// The last version of each server's entry that the node received.
    pub(super) versions: Vec<u32>,
    /// For each server, since when the node knows that it is draining or gone.
    pub(super) unavailable_since: Vec<Option<Micros>>,
    /// The number of active faults that keep server updates from the node.
    pub(super) silence_count: u32,
}

impl Node {
    pub(super) fn new(policy: Option<Box<dyn Policy>>, servers: usize) -> Node {
        Node {
            policy,
            clock_offset: 0,
            last_clock: 0,
            versions: vec![0; servers],
            unavailable_since: vec![None; servers],
            silence_count: 0,
        }
    }

    /// The observations of servers that the policy made itself.
    pub(super) fn server_observations(&self, now: Micros) -> Vec<ServerObservation> {
        self.policy.as_ref().map_or(Vec::new(), |policy| policy.server_observations(now))
    }
}

/// A request, kept until the client is done with it and all its attempts are over.
pub(super) struct Request {
    pub(super) call: u64,
    pub(super) node: usize,
    class: usize,
    /// When the client gives up.
    client_deadline: Micros,
    pub(super) answered: bool,
    pub(super) client_gone: bool,
    /// The attempts that are not yet over both at the node and at the server.
    attempts: Vec<u64>,
    sent_count: AttemptNo,
    executions: ExecutionHistory,
    timer_serial: u64,
}

impl Request {
    pub(super) fn new(call: u64, node: usize, class: usize, client_deadline: Micros) -> Request {
        let (answered, client_gone, attempts) = (false, false, Vec::new());
        Request {
            call,
            node,
            class,
            client_deadline,
            answered,
            client_gone,
            attempts,
            sent_count: 0,
            executions: ExecutionHistory::default(),
            timer_serial: 0,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Traveling,
    Queued,
    Running,
    /// It is not at the server, and will not be.
    Finished,
}

/// An attempt, kept until it is over both at its node and at its server.
pub(super) struct Attempt {
    request: u64,
    number: AttemptNo,
    server: usize,
    sent: Micros,
    arrived_at: Micros,
    /// Whether the node still waits for the outcome.
    awaited: bool,
    stage: Stage,
}

impl Simulation<'_> {
    /// Reads the clock of a node.
    pub(super) fn node_clock(&mut self, node: usize) -> Micros {
        let node_state = &mut self.nodes[node];
        node_state.last_clock = node_state.last_clock.max(self.now + node_state.clock_offset);
        node_state.last_clock
    }

    /// Delivers an event to a node and carries out its actions. Events that these cause are delivered
    /// afterwards.
    pub(super) fn notify_node(&mut self, node: usize, event: Event) {
        self.pending_events.push_back((node, event));
        if std::mem::replace(&mut self.delivering, true) {
            return;
        }
        let mut actions = Vec::new();
        while let Some((node, event)) = self.pending_events.pop_front() {
            let clock = self.node_clock(node);
            let policy = self.nodes[node].policy.take();
            let Some(mut policy) = policy else { continue };
            let mean_work = micros(self.experiment.servers.time) as f64;
            let truth = GroundTruth { now: self.now, servers: &self.servers, indices: &self.ids, mean_work };
            policy.handle(clock, event, &truth, &mut actions);
            self.nodes[node].policy = Some(policy);
            for action in actions.drain(..) {
                self.apply_action(node, action);
            }
        }
        self.delivering = false;
    }

    fn apply_action(&mut self, node: usize, action: Action) {
        match action {
            Action::Send { request, server, .. } => self.send(node, request, server),
            Action::Refuse { request, retry_after } => self.send_reply(request, Reply::Refused(retry_after)),
            Action::Fail(request) => self.send_reply(request, Reply::Failed),
            Action::Cancel(request, number) => {
                let attempts = self.requests.get(&request).map(|request| request.attempts.clone());
                let has_number = |id: &u64| self.attempts.get(id).is_some_and(|one| one.number == number);
                if let Some(id) = attempts.unwrap_or_default().into_iter().find(has_number) {
                    let delay = self.network_delay();
                    self.queue.push(self.now + delay, ScheduledEvent::CancelAtServer(id));
                    self.attempt_outcome(id, Outcome::Cancelled);
                }
            }
            Action::SetTimer { after, token } => {
                let serial = match self.requests.get_mut(&token) {
                    Some(request) => {
                        request.timer_serial += 1;
                        request.timer_serial
                    }
                    None => 0,
                };
                self.queue.push(self.now + after, ScheduledEvent::NodeTimer(node, token, serial));
            }
            Action::Subscribe => {}
        }
    }

    /// Fires a timer. A request has only one timer, the one set last.
    pub(super) fn node_timer(&mut self, node: usize, token: u64, serial: u64) {
        let current_serial = self.requests.get(&token).map(|request| request.timer_serial);
        if serial == 0 || current_serial == Some(serial) {
            self.notify_node(node, Event::TimerFired(token));
        }
    }

    pub(super) fn request_at_node(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        let return_delay = 2 * micros(self.experiment.network.delay) + REPLY_MARGIN;
        let remaining = request.client_deadline.saturating_sub(self.now + return_delay);
        let (node, class) = (request.node, request.class);
        let tenant = self.calls.get(&request.call).and_then(|call| call.tenant);
        self.queue.push(self.now + remaining, ScheduledEvent::NodeDeadline(number));
        let arrived =
            cherryusher::Request { id: number, class, remaining, expected_work: None, key: None, tenant };
        self.notify_node(node, Event::RequestArrived(arrived));
    }

    pub(super) fn node_deadline(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        for attempt in request.attempts.clone() {
            self.attempt_outcome(attempt, Outcome::TimedOut);
        }
    }

    fn send_reply(&mut self, number: u64, reply: Reply) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        if std::mem::replace(&mut request.answered, true) {
            self.invariants.report(Invariant::TwoAnswers, self.now - START_TIME, || {
                format!("request {number}: {reply:?}")
            });
            return;
        }
        let ran = request.executions.has_run()
            || request
                .attempts
                .iter()
                .any(|id| self.attempts.get(id).is_some_and(|a| a.stage != Stage::Finished));
        let safe = self.experiment.classes[request.class].effect == Effect::Safe;
        if matches!(reply, Reply::Refused(_)) && ran && !safe {
            self.invariants.report(Invariant::RefusedAfterRunning, self.now - START_TIME, || {
                format!("request {number}")
            });
        }
        let delay = self.network_delay();
        self.queue.push(self.now + delay, ScheduledEvent::ReplyAtClient(number, reply));
    }

    fn send(&mut self, node: usize, number: u64, server: ServerId) {
        let Some(server) = self.ids.get(&server).copied() else { return };
        let id = self.next_id();
        let (delay, return_delay) = (self.network_delay(), self.network_delay());
        let refused = self.network_rng.random::<f64>() < self.experiment.network.refused;
        let partitioned = self.is_partitioned(node, server);
        let Some(request) = self.requests.get_mut(&number) else { return };
        let hedged = request.attempts.iter().any(|id| self.attempts.get(id).is_some_and(|a| a.awaited));
        let counts = &mut self.metrics.attempts;
        match (request.sent_count, hedged) {
            _ if self.now < START_TIME + micros(self.experiment.settle) => {}
            (0, _) => counts.first += 1,
            (_, true) => counts.copies += 1,
            _ => counts.again += 1,
        }
        let (sent, arrived_at) = (self.now, self.now);
        let attempt = Attempt {
            request: number,
            number: request.sent_count,
            server,
            sent,
            arrived_at,
            awaited: true,
            stage: Stage::Traveling,
        };
        request.sent_count += 1;
        request.attempts.push(id);
        let answered = request.answered;
        self.attempts.insert(id, attempt);
        if let Some(since) =
            self.nodes[node].unavailable_since[server].filter(|since| since + DRAIN_GRACE < self.now)
        {
            let late = (self.now - since) as f64 / 1e6;
            let cause = || {
                format!(
                    "node {node} to server {server}, {late:.2} s after it learned that the server is unavailable"
                )
            };
            self.invariants.report(Invariant::SentToDraining, self.now - START_TIME, cause);
        }
        let failure = match () {
            () if answered => Some((0, Outcome::NotSent)),
            () if partitioned => {
                Some((micros(self.experiment.network.connect_timeout), Outcome::ConnectFailed))
            }
            () if refused => Some((delay + return_delay, Outcome::ConnectFailed)),
            () => None,
        };
        match failure {
            Some((after, outcome)) => {
                self.leave_server(id);
                self.queue.push(self.now + after, ScheduledEvent::AttemptOutcome(id, outcome));
            }
            None => self.queue.push(self.now + delay, ScheduledEvent::AttemptAtServer(id)),
        }
    }

    /// Records that an attempt has left its server, or will never reach it.
    pub(super) fn leave_server(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let stage = std::mem::replace(&mut attempt.stage, Stage::Finished);
        if matches!(stage, Stage::Queued | Stage::Running) {
            self.total_sojourn += (self.now - attempt.arrived_at) as f64;
        }
    }

    pub(super) fn attempt_at_server(&mut self, id: u64) {
        let now = self.now;
        let Some(attempt) = self.attempts.get_mut(&id).filter(|attempt| attempt.stage == Stage::Traveling)
        else {
            return;
        };
        let (server, number) = (attempt.server, attempt.request);
        attempt.arrived_at = now;
        let call = self.requests.get(&number).map(|request| request.call);
        // If the call is over, its work is no longer known, and the mean is used.
        let work = call
            .and_then(|call| self.calls.get(&call))
            .map_or_else(|| micros(self.experiment.servers.time) as f64, |w| w.work);
        let server_model = &mut self.servers[server];
        let admission = server_model.arrive(now, id, work);
        // Attempts that the server rejects count too, because nodes sent them.
        let (overloaded, ramp) =
            (admission != Admission::Down && server_model.is_overloaded(now, work), server_model.ramp(now));
        let outcome = match admission {
            Admission::Down => Some(Outcome::ConnectFailed),
            Admission::Full => Some(Outcome::Rejected),
            _ => None,
        };
        match (outcome, admission) {
            (Some(outcome), _) => {
                self.leave_server(id);
                let delay = self.network_delay();
                self.queue.push(now + delay, ScheduledEvent::AttemptOutcome(id, outcome));
            }
            (None, Admission::Started) => self.attempt_started(id),
            (None, _) => set_stage(&mut self.attempts, id, Stage::Queued),
        }
        if overloaded {
            if ramp < 1.0 {
                let cause = || format!("server {server} at {:.0}% of its speed", 100.0 * ramp);
                self.invariants.report(Invariant::PushedOver, now - START_TIME, cause);
            }
            self.stop_server(server, true);
        } else {
            self.schedule_completion(server);
        }
    }

    /// A server starts to execute an attempt.
    fn attempt_started(&mut self, id: u64) {
        set_stage(&mut self.attempts, id, Stage::Running);
        let Some(attempt) = self.attempts.get(&id) else { return };
        let Some(request) = self.requests.get_mut(&attempt.request) else { return };
        let effect = self.experiment.classes[request.class].effect;
        let cell = (attempt.server % usize::from(self.experiment.servers.cells)) as u16;
        self.invariants.record_execution(
            self.now - START_TIME,
            attempt.request,
            effect,
            &mut request.executions,
            cell,
            attempt.sent - START_TIME,
        );
    }

    pub(super) fn server_completion(&mut self, server: usize, serial: u64) {
        if self.servers[server].serial != serial {
            return;
        }
        if let Some((id, next)) = self.servers[server].done(self.now) {
            self.leave_server(id);
            let lost = self.experiment.network.resets + self.servers[server].resets;
            let outcome = match self.network_rng.random::<f64>() < lost {
                true => Outcome::Reset,
                false => Outcome::Served,
            };
            let delay = self.network_delay();
            self.queue.push(self.now + delay, ScheduledEvent::AttemptOutcome(id, outcome));
            if let Some(next) = next {
                self.attempt_started(next);
            }
        }
        self.schedule_completion(server);
    }

    /// The cancellation of an attempt reaches its server, which drops it only if it is not running yet.
    pub(super) fn cancel_at_server(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let (server, stage) = (attempt.server, attempt.stage);
        match stage {
            Stage::Traveling => self.leave_server(id),
            Stage::Queued if self.servers[server].withdraw(self.now, id) => self.leave_server(id),
            _ => return,
        }
        self.drop_finished_attempt(id);
    }

    /// Delivers the outcome of an attempt to its node; also used when the node itself ends it.
    pub(super) fn attempt_outcome(&mut self, id: u64, outcome: Outcome) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let (number, sent, no) = (attempt.request, attempt.sent, attempt.number);
        if !std::mem::replace(&mut attempt.awaited, false) {
            self.metrics.attempts.wasted += u64::from(outcome == Outcome::Served);
            self.drop_finished_attempt(id);
            return;
        }
        let mut node_outcome = None;
        if let Some(request) = self.requests.get_mut(&number) {
            let finished = request.answered;
            if outcome == Outcome::Served {
                match finished {
                    true => self.metrics.attempts.wasted += 1,
                    false => request.answered = true,
                }
            }
            node_outcome = Some((request.node, request.answered, !finished));
        }
        self.drop_finished_attempt(id);
        let Some((node, finished, first)) = node_outcome else { return };
        if outcome == Outcome::Served && first {
            let delay = self.network_delay();
            self.queue.push(self.now + delay, ScheduledEvent::ReplyAtClient(number, Reply::Served));
        }
        let latency = self.now - sent;
        let ended = cherryusher::AttemptEnd {
            request: number,
            attempt: no,
            outcome,
            elapsed: latency,
            request_finished: finished,
        };
        self.notify_node(node, Event::AttemptEnded(ended));
        self.drop_finished_request(number);
    }

    /// Removes an attempt that is over at its node and its server.
    fn drop_finished_attempt(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id).filter(|one| !one.awaited && one.stage == Stage::Finished)
        else {
            return;
        };
        let number = attempt.request;
        self.attempts.remove(&id);
        if let Some(request) = self.requests.get_mut(&number) {
            request.attempts.retain(|other| *other != id);
        }
        self.drop_finished_request(number);
    }

    /// Removes a request once it is answered, its client is done, and no attempts are left.
    pub(super) fn drop_finished_request(&mut self, number: u64) {
        let over = |request: &Request| request.answered && request.client_gone && request.attempts.is_empty();
        if self.requests.get(&number).is_some_and(over) {
            self.requests.remove(&number);
        }
    }
}

fn set_stage(attempts: &mut std::collections::HashMap<u64, Attempt>, id: u64, stage: Stage) {
    if let Some(attempt) = attempts.get_mut(&id) {
        attempt.stage = stage;
    }
}
