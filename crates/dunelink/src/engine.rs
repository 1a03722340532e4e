//! The engine: the decision module, its clock and timers, and the table of open requests. Everything that
//! happens on sockets arrives as an [`EngineMessage`], and the module's actions are executed here and nowhere
//! else.

use std::collections::{HashMap, VecDeque};
use std::future::{pending, poll_fn};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cherryusher::{
    Action, AttemptEnd, AttemptNo, Balancer, Event, Micros, Outcome, Request, RequestId, ServerId,
    ServerObservation, Upload,
};
use dunelink_reach::ZoneReachability;
use hyper::Response;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};
use tokio_util::time::DelayQueue;
use tokio_util::time::delay_queue::Key;

use crate::answer_body::AnswerBody;
use crate::attempt::AttemptResult;
use crate::counts::RequestCounters;
use crate::final_answer::deliver_answer;
use crate::servers::Servers;
use crate::snapshot::{ServerView, Snapshot};
use crate::types::{Answer, Outgoing};

/// The longest delay of a timer.
const MAX_TIMER: Duration = Duration::from_secs(3600);

/// Messages to the engine.
pub(crate) enum EngineMessage {
    /// A server list or a failure of its source, passed on to the decision module unchanged.
    BalancerEvent(Event),
    /// A request was accepted. With an [`Upload`], its body is still being received and is streamed.
    RequestArrived(Request, Option<Upload>, Arc<Outgoing>, oneshot::Sender<Answer>),
    /// The last byte of a streamed request has arrived; its client waits for this much longer, in
    /// microseconds.
    BodyReceived(RequestId, Micros),
    /// The client has left.
    ClientLeft(RequestId),
    /// An attempt has ended.
    AttemptEnded(RequestId, AttemptNo, Outcome, Option<Response<AnswerBody>>),
    /// Asks for a snapshot of the engine.
    Snapshot(oneshot::Sender<Snapshot>),
    /// Asks for the engine's observations of servers, which gossip sends to other nodes.
    Observations(oneshot::Sender<Vec<ServerObservation>>),
    /// Asks how servers answer this engine, by zone, which gossip sends to other nodes.
    ZoneReach(oneshot::Sender<Vec<ZoneReachability>>),
    /// Closes the longest-idle connection, because the process is out of file descriptors.
    EvictIdleConnection,
    /// No more requests follow: the engine ends when all are answered, or at this time.
    Shutdown(Instant),
}

/// The sending side of an engine's queue, usable from any thread.
#[derive(Clone)]
pub(crate) struct Mailbox {
    sender: mpsc::UnboundedSender<EngineMessage>,
    next_id: Arc<AtomicU64>,
}

impl Mailbox {
    /// The mailbox and the receiving side for the engine. The queue is unbounded, but holds only messages
    /// that open requests cause.
    pub(crate) fn new(seed: u64) -> (Mailbox, mpsc::UnboundedReceiver<EngineMessage>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        // The module hashes request ids together with servers, so nodes must not all count from the same
        // number. The highest bits stay clear of the module's own timer tokens.
        (Mailbox { sender, next_id: Arc::new(AtomicU64::new(seed >> 2)) }, receiver)
    }

    /// Sends a message; returns whether the engine still runs.
    pub(crate) fn send(&self, message: EngineMessage) -> bool {
        self.sender.send(message).is_ok()
    }

    /// A unique number for a request. A client's `Req-Id` may repeat, this number does not.
    pub(crate) fn next_request_id(&self) -> RequestId {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }
}

/// An open request, or an answered one with attempts still in flight.
struct OpenRequest {
    class: usize,
    outgoing: Arc<Outgoing>,
    /// `None` once the final answer is given or the client has left.
    answer: Option<oneshot::Sender<Answer>>,
    attempts: Vec<Attempt>,
    timed_out: bool,
    /// The timer of the request and when it fires; the module needs only the earliest.
    timer: Option<(Key, Micros)>,
}

impl OpenRequest {
    /// Ends the request: no attempt starts from here on. Returns its class and the channel to the client, the
    /// first time only.
    fn finish(&mut self) -> Option<(usize, oneshot::Sender<Answer>)> {
        self.outgoing.end();
        Some((self.class, self.answer.take()?))
    }
}

struct Attempt {
    server: ServerId,
    sent_at: Micros,
    /// `None` once the module has been informed of the attempt's end.
    task: Option<AbortHandle>,
}

/// Runs the decision module and executes its actions.
pub(crate) struct Engine {
    balancer: Balancer,
    servers: Rc<Servers>,
    mailbox: Mailbox,
    list_wanted: Rc<Notify>,
    started: Instant,
    started_us: Micros,
    /// The time of the current iteration of the loop: all events of one iteration have the same time.
    now: Micros,
    timers: DelayQueue<u64>,
    open: HashMap<RequestId, OpenRequest>,
    events: VecDeque<Event>,
    counters: Arc<RequestCounters>,
    /// When the engine ends at the latest, once it is shutting down.
    shutdown_at: Option<Instant>,
}

impl Engine {
    /// Creates an engine around the decision module.
    pub(crate) fn new(
        balancer: Balancer,
        servers: Rc<Servers>,
        mailbox: Mailbox,
        list_wanted: Rc<Notify>,
        counters: Arc<RequestCounters>,
    ) -> Engine {
        // The clock is Unix time, so that it compares with the servers' start times, advanced by the
        // monotonic clock.
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started_us = unix_time.as_micros() as Micros;
        Engine {
            now: started_us,
            balancer,
            servers,
            mailbox,
            list_wanted,
            started: Instant::now(),
            started_us,
            timers: DelayQueue::new(),
            open: HashMap::new(),
            events: VecDeque::new(),
            counters,
            shutdown_at: None,
        }
    }

    fn read_clock(&mut self) {
        self.now = self.started_us + self.started.elapsed().as_micros() as Micros;
    }

    /// Runs until shutdown. Every accepted request has its answer then.
    pub(crate) async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<EngineMessage>) {
        loop {
            let all_answered = || self.open.values().all(|open| open.answer.is_none());
            if self.shutdown_at.is_some() && all_answered() && self.servers.active_transfers() == 0 {
                break;
            }
            let shutdown_at = self.shutdown_at;
            let shutdown_deadline = async move {
                match shutdown_at {
                    Some(at) => sleep_until(at).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => break,
                },
                Some(due) = poll_fn(|cx| self.timers.poll_expired(cx)), if !self.timers.is_empty() => {
                    self.timer_fired(due.into_inner());
                }
                () = shutdown_deadline, if shutdown_at.is_some() => break,
                () = self.servers.transfer_ended(), if shutdown_at.is_some() => {}
            }
            self.process_events();
        }
        self.answer_remaining(inbox);
    }

    /// Answers requests that are still open as failed: no answer at all would be worse. Requests still in the
    /// queue were never sent and are refused.
    fn answer_remaining(&mut self, mut inbox: mpsc::UnboundedReceiver<EngineMessage>) {
        inbox.close();
        while let Ok(message) = inbox.try_recv() {
            match message {
                EngineMessage::RequestArrived(request, _, _, answer) => {
                    self.counters.count_taken();
                    deliver_answer(
                        &self.counters,
                        request.class,
                        answer,
                        Answer::Refused { retry_after: None },
                    );
                }
                EngineMessage::AttemptEnded(id, _, Outcome::Served, Some(response)) => {
                    self.answer(id, Answer::Served(response));
                }
                EngineMessage::ClientLeft(id)
                    if self.open.get_mut(&id).and_then(|open| open.answer.take()).is_some() =>
                {
                    self.counters.count_client_left();
                }
                EngineMessage::Snapshot(reply) => drop(reply.send(self.snapshot())),
                _ => {}
            }
        }
        for (_, open) in self.open.drain() {
            if let Some(answer) = open.answer {
                deliver_answer(&self.counters, open.class, answer, Answer::Failed { timed_out: true });
            }
            open.attempts.iter().filter_map(|a| a.task.as_ref()).for_each(AbortHandle::abort);
        }
    }

    fn snapshot(&self) -> Snapshot {
        let attempts = || self.open.values().flat_map(|open| &open.attempts).filter(|a| a.task.is_some());
        let mut in_flight: HashMap<ServerId, usize> = HashMap::new();
        attempts().for_each(|a| *in_flight.entry(a.server).or_default() += 1);
        let view = |(id, uid, endpoint, idle)| ServerView {
            in_flight: in_flight.get(&id).copied().unwrap_or(0),
            uid,
            endpoint,
            idle,
        };
        let mut servers: Vec<ServerView> = self.servers.list().into_iter().map(view).collect();
        servers.sort_by(|a, b| a.uid.cmp(&b.uid));
        Snapshot {
            servers,
            open: self.open.values().filter(|open| open.answer.is_some()).count(),
            tracked: self.open.len().max(self.balancer.tracked_requests()),
            queued: self.balancer.queued_requests(),
            in_flight: attempts().count(),
            connections: self.servers.connections(),
            listed: self.balancer.listed_servers(),
            ejected: self.balancer.ejected_servers(self.now),
            counts: self.counters.counts(),
        }
    }

    fn handle_message(&mut self, message: EngineMessage) {
        self.read_clock();
        match message {
            EngineMessage::BalancerEvent(event) => {
                if matches!(event, Event::ServerList(_) | Event::ServerChanges(_)) {
                    self.counters.list_received();
                }
                self.events.push_back(event);
            }
            EngineMessage::RequestArrived(request, upload, outgoing, answer) => {
                let open = OpenRequest {
                    class: request.class,
                    outgoing,
                    answer: Some(answer),
                    attempts: Vec::new(),
                    timed_out: false,
                    timer: None,
                };
                self.counters.count_taken();
                self.open.insert(request.id, open);
                self.events.push_back(match upload {
                    None => Event::RequestArrived(request),
                    Some(upload) => Event::StreamedRequestArrived(request, upload),
                });
            }
            EngineMessage::BodyReceived(id, remaining) => {
                self.events.push_back(Event::BodyReceived(id, remaining))
            }
            EngineMessage::ClientLeft(id) => {
                if self.open.get_mut(&id).and_then(OpenRequest::finish).is_some() {
                    self.counters.count_client_left();
                    self.events.push_back(Event::ClientLeft(id));
                }
            }
            EngineMessage::Snapshot(reply) => drop(reply.send(self.snapshot())),
            EngineMessage::Observations(reply) => drop(reply.send(self.balancer.observations(self.now))),
            EngineMessage::ZoneReach(reply) => drop(reply.send(self.servers.zone_reach())),
            EngineMessage::EvictIdleConnection => drop(self.servers.evict()),
            EngineMessage::Shutdown(at) => {
                self.shutdown_at = Some(self.shutdown_at.map_or(at, |before| before.min(at)))
            }
            EngineMessage::AttemptEnded(id, attempt, outcome, response) => {
                if let (Outcome::Served, Some(response)) = (outcome, response) {
                    self.answer(id, Answer::Served(response));
                }
                self.attempt_ended(id, attempt, outcome);
            }
        }
    }

    /// Informs the module of an attempt's end, once; later reports of a cancelled task are ignored.
    fn attempt_ended(&mut self, request: RequestId, attempt: AttemptNo, outcome: Outcome) {
        let now = self.now;
        let Some(open) = self.open.get_mut(&request) else { return };
        let Some(ended) = open.attempts.get_mut(usize::from(attempt)) else { return };
        let Some(task) = ended.task.take() else { return };
        if outcome == Outcome::Cancelled {
            task.abort();
        }
        open.timed_out |= outcome == Outcome::TimedOut;
        // The server starts when it has received the last byte.
        let fully_received = open
            .outgoing
            .body
            .fully_received_at()
            .map(|at| self.started_us + (at - self.started).as_micros() as Micros);
        let elapsed = now.saturating_sub(fully_received.map_or(ended.sent_at, |at| at.max(ended.sent_at)));
        if open.outgoing.body.is_consumed() {
            self.events.push_back(Event::BodyConsumed(request));
        }
        let request_finished = open.answer.is_none();
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            outcome,
            elapsed,
            request_finished,
        }));
    }

    /// Passes all queued events to the module and executes the resulting actions.
    fn process_events(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let request_id = match &event {
                Event::ClientLeft(id) => Some(*id),
                Event::AttemptEnded(ended) => Some(ended.request),
                _ => None,
            };
            self.balancer.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(action);
            }
            request_id.into_iter().for_each(|id| self.remove_if_finished(id));
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request, server, start_before } => self.send(request, server, start_before),
            Action::Refuse { request, retry_after } => {
                let retry_after = (retry_after > 0).then(|| Duration::from_micros(retry_after));
                self.answer(request, Answer::Refused { retry_after });
            }
            Action::Fail(request) => {
                let timed_out_or_pending =
                    |open: &OpenRequest| open.timed_out || open.attempts.iter().any(|a| a.task.is_some());
                let timed_out = self.open.get(&request).is_some_and(timed_out_or_pending);
                self.answer(request, Answer::Failed { timed_out });
            }
            Action::Cancel(request, attempt) => self.attempt_ended(request, attempt, Outcome::Cancelled),
            Action::SetTimer { after, token } => self.set_timer(after, token),
            Action::Subscribe => self.list_wanted.notify_one(),
        }
    }

    /// Sets a timer. The module sets another one for a request only if it is earlier, so one per request is
    /// enough.
    fn set_timer(&mut self, after: Micros, token: u64) {
        let wait = Duration::from_micros(after).min(MAX_TIMER);
        let now = self.now;
        let due_at = now + wait.as_micros() as Micros;
        match self.open.get_mut(&token) {
            Some(OpenRequest { timer: Some((key, due)), .. }) if *due > now => {
                self.timers.reset(key, wait);
                *due = due_at;
            }
            Some(open) => open.timer = Some((self.timers.insert(token, wait), due_at)),
            None => drop(self.timers.insert(token, wait)),
        }
    }

    fn timer_fired(&mut self, token: u64) {
        self.read_clock();
        let now = self.now;
        if let Some(open) = self.open.get_mut(&token) {
            open.timer.take_if(|(_, due)| *due <= now);
        }
        self.events.push_back(Event::TimerFired(token));
    }

    fn send(&mut self, request: RequestId, server: ServerId, start_before: Option<Micros>) {
        let since_start = |at: Micros| Duration::from_micros(at.saturating_sub(self.started_us));
        // A time beyond the range of the clock never comes and sets no limit.
        let start_before = start_before.and_then(|at| self.started.checked_add(since_start(at)));
        let sent_at = self.now;
        let Some(open) = self.open.get_mut(&request) else { return };
        let attempt_no = open.attempts.len() as AttemptNo;
        let (servers, mailbox) = (self.servers.clone(), self.mailbox.clone());
        let outgoing = open.outgoing.clone();
        let task = tokio::task::spawn_local(async move {
            let AttemptResult { outcome, response, reusable } =
                servers.attempt(&outgoing, server, start_before).await;
            mailbox.send(EngineMessage::AttemptEnded(request, attempt_no, outcome, response));
            // The answer does not wait for the check whether the connection can be reused.
            if let Some(reusable) = reusable {
                servers.keep(reusable).await;
            }
        });
        open.attempts.push(Attempt { server, sent_at, task: Some(task.abort_handle()) });
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        let open = self.open.get_mut(&id);
        if let Some((class, client)) = open.and_then(OpenRequest::finish) {
            // A client that is just leaving gets no answer; its `ClientLeft` then finds the request finished.
            deliver_answer(&self.counters, class, client, answer);
        }
        self.remove_if_finished(id);
    }

    /// Removes a request that is answered and has no attempt in flight.
    fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished =
            |open: &OpenRequest| open.answer.is_none() && open.attempts.iter().all(|a| a.task.is_none());
        if self.open.get(&id).is_some_and(is_finished)
            && let Some((key, _)) = self.open.remove(&id).and_then(|open| open.timer)
        {
            self.timers.try_remove(&key);
        }
    }
}
