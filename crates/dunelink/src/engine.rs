//! The engine: the decision module, its clock and timers, and the table of open requests. What happens on
//! sockets comes in as a [`Happening`]; the module's actions are carried out here, and nowhere else.

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
use dunelink_reach::ZoneReach;
use hyper::Response;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};
use tokio_util::time::DelayQueue;
use tokio_util::time::delay_queue::Key;

use crate::answer_body::AnswerBody;
use crate::attempt::AttemptResult;
use crate::counts::Counters;
use crate::final_answer::deliver_answer;
use crate::servers::Servers;
use crate::snapshot::{ServerView, Snapshot};
use crate::types::{Answer, Outgoing};

/// The longest sleep that timers take.
const MAX_TIMER: Duration = Duration::from_secs(3600);

/// What the other parts tell the engine.
pub(crate) enum EngineMessage {
    /// A list, or what befell its source: the module's concern alone.
    BalancerEvent(Event),
    /// A request was taken, or has begun to arrive and is passed on as it comes.
    RequestArrived(Request, Option<Upload>, Arc<Outgoing>, oneshot::Sender<Answer>),
    /// The last byte of such a one has come, and its client waits for so long.
    BodyReceived(RequestId, Micros),
    /// The client has left.
    ClientLeft(RequestId),
    /// An attempt is over.
    AttemptEnded(RequestId, AttemptNo, Outcome, Option<Response<AnswerBody>>),
    /// Someone wants to know how things stand.
    Snapshot(oneshot::Sender<Snapshot>),
    /// Other nodes are to be told what this one has seen of servers.
    Observations(oneshot::Sender<Vec<ServerObservation>>),
    /// Other nodes are to be told how servers answer this one.
    ZoneReach(oneshot::Sender<Vec<ZoneReach>>),
    /// The process is out of descriptors.
    EvictIdleConnection,
    /// Nothing more will be taken: the engine ends when all is answered, or at this time.
    Shutdown(Instant),
}

/// The way to the engine, from any thread.
#[derive(Clone)]
pub(crate) struct Mailbox {
    sender: mpsc::UnboundedSender<EngineMessage>,
    next_id: Arc<AtomicU64>,
}

impl Mailbox {
    /// The mailbox and what the engine reads from it. It holds no more than the open requests cause.
    pub(crate) fn new(seed: u64) -> (Mailbox, mpsc::UnboundedReceiver<EngineMessage>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        // The module hashes ids with servers: nodes must not all count from the same number. The highest
        // bits stay clear of the module's own timer tokens.
        (Mailbox { sender, next_id: Arc::new(AtomicU64::new(seed >> 2)) }, receiver)
    }

    /// Tells the engine; whether there still is one.
    pub(crate) fn send(&self, message: EngineMessage) -> bool {
        self.sender.send(message).is_ok()
    }

    /// A number for a request. A client's `Req-Id` might come twice, this does not.
    pub(crate) fn next_request_id(&self) -> RequestId {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }
}

/// An open request, or one that is answered with attempts still out.
struct OpenRequest {
    class: usize,
    outgoing: Arc<Outgoing>,
    /// Taken once the final answer is given or the client has left.
    answer: Option<oneshot::Sender<Answer>>,
    attempts: Vec<Attempt>,
    timed_out: bool,
    /// The one time at which the module wants to look at it.
    timer: Option<(Key, Micros)>,
}

impl OpenRequest {
    /// Who waits for its answer, once: nothing begins for it from then on.
    fn finish(&mut self) -> Option<(usize, oneshot::Sender<Answer>)> {
        self.outgoing.end();
        Some((self.class, self.answer.take()?))
    }
}

struct Attempt {
    server: ServerId,
    sent_at: Micros,
    /// Gone once the module was told how it ended.
    task: Option<AbortHandle>,
}

/// Owns the decision module.
pub(crate) struct Engine {
    balancer: Balancer,
    servers: Rc<Servers>,
    mailbox: Mailbox,
    subscribe: Rc<Notify>,
    started: Instant,
    started_us: Micros,
    /// The time of this turn of the loop: all that happens in one has one time.
    now: Micros,
    timers: DelayQueue<u64>,
    open: HashMap<RequestId, OpenRequest>,
    events: VecDeque<Event>,
    counters: Arc<Counters>,
    /// When it ends at the latest, once it was told to.
    shutdown_at: Option<Instant>,
}

impl Engine {
    /// An engine around the module.
    pub(crate) fn new(
        balancer: Balancer,
        servers: Rc<Servers>,
        mailbox: Mailbox,
        subscribe: Rc<Notify>,
        counters: Arc<Counters>,
    ) -> Engine {
        // One clock: Unix time, so that the servers' start times compare, moved on by the monotonic one.
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started_us = unix_time.as_micros() as Micros;
        Engine {
            now: started_us,
            balancer,
            servers,
            mailbox,
            subscribe,
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

    /// Works until it is told to end. Everything taken has its answer then.
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

    /// Answers what is still open as failed: no answer at all would be worse. What was told but not yet heard
    /// was not sent either.
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

    /// Tells the module of an attempt's end, once: what a cancelled task still reports is passed over.
    fn attempt_ended(&mut self, request: RequestId, attempt: AttemptNo, outcome: Outcome) {
        let now = self.now;
        let Some(open) = self.open.get_mut(&request) else { return };
        let Some(ended) = open.attempts.get_mut(usize::from(attempt)) else { return };
        let Some(task) = ended.task.take() else { return };
        if outcome == Outcome::Cancelled {
            task.abort();
        }
        open.timed_out |= outcome == Outcome::TimedOut;
        // The server begins with the last byte.
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

    /// Hands the module all that has happened, and does what it says.
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
            Action::Subscribe => self.subscribe.notify_one(),
        }
    }

    /// Sets a timer. The module asks again only for an earlier look, so one for each request is enough.
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
        // A time beyond the clock's end never comes.
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
            // The answer does not wait for the connection to prove that it can be used again.
            if let Some(reusable) = reusable {
                servers.keep(reusable).await;
            }
        });
        open.attempts.push(Attempt { server, sent_at, task: Some(task.abort_handle()) });
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        let open = self.open.get_mut(&id);
        if let Some((class, client)) = open.and_then(OpenRequest::finish) {
            // A client that is just leaving hears no answer; its `Left` then finds the request finished.
            deliver_answer(&self.counters, class, client, answer);
        }
        self.remove_if_finished(id);
    }

    /// Forgets a request that is answered and has no attempt out.
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
