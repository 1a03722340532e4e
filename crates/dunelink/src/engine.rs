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
use dunelink_reach::ZoneReachability;
use hyper::Response;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};
use tokio_util::time::DelayQueue;
use tokio_util::time::delay_queue::Key;

use crate::answer_body::AnswerBody;
use crate::answering::answered;
use crate::attempt::Attempted;
use crate::counts::Tally;
use crate::servers::Servers;
use crate::snapshot::{ServerView, Snapshot};
use crate::types::{Answer, Outgoing};

/// The longest sleep that timers take.
const WAKE_MOST: Duration = Duration::from_secs(3600);

/// What the other parts tell the engine.
pub(crate) enum Happening {
    /// A list, or what befell its source: the module's concern alone.
    Module(Event),
    /// A request was taken, or has begun to arrive and is passed on as it comes.
    Arrived(Request, Option<Upload>, Arc<Outgoing>, oneshot::Sender<Answer>),
    /// The last byte of such a one has come, and its client waits for so long.
    CameWhole(RequestId, Micros),
    /// The client has left.
    Left(RequestId),
    /// An attempt is over.
    Ended(RequestId, AttemptNo, Outcome, Option<Response<AnswerBody>>),
    /// Someone wants to know how things stand.
    Look(oneshot::Sender<Snapshot>),
    /// Other nodes are to be told what this one has seen of servers.
    Sight(oneshot::Sender<Vec<ServerObservation>>),
    /// Other nodes are to be told how servers answer this one.
    Reach(oneshot::Sender<Vec<ZoneReachability>>),
    /// The process is out of descriptors.
    Evict,
    /// Nothing more will be taken: the engine ends when all is answered, or at this time.
    Shutdown(Instant),
}

/// The way to the engine, from any thread.
#[derive(Clone)]
pub(crate) struct Mailbox {
    sender: mpsc::UnboundedSender<Happening>,
    next: Arc<AtomicU64>,
}

impl Mailbox {
    /// The mailbox and what the engine reads from it. It holds no more than the open requests cause.
    pub(crate) fn new(seed: u64) -> (Mailbox, mpsc::UnboundedReceiver<Happening>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        // The module hashes ids with servers: nodes must not all count from the same number. The highest
        // bits stay clear of the module's own timer tokens.
        (Mailbox { sender, next: Arc::new(AtomicU64::new(seed >> 2)) }, receiver)
    }

    /// Tells the engine; whether there still is one.
    pub(crate) fn send(&self, happening: Happening) -> bool {
        self.sender.send(happening).is_ok()
    }

    /// A number for a request. A client's `Req-Id` might come twice, this does not.
    pub(crate) fn number(&self) -> RequestId {
        self.next.fetch_add(1, Ordering::Relaxed)
    }
}

/// An open request, or one that is answered with attempts still out.
struct Open {
    class: usize,
    outgoing: Arc<Outgoing>,
    /// Taken once the final answer is given or the client has left.
    answer: Option<oneshot::Sender<Answer>>,
    attempts: Vec<Attempt>,
    timed_out: bool,
    /// The one time at which the module wants to look at it.
    timer: Option<(Key, Micros)>,
}

impl Open {
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
    open: HashMap<RequestId, Open>,
    queue: VecDeque<Event>,
    tally: Arc<Tally>,
    /// When it ends at the latest, once it was told to.
    ends: Option<Instant>,
}

impl Engine {
    /// An engine around the module.
    pub(crate) fn new(
        balancer: Balancer,
        servers: Rc<Servers>,
        mailbox: Mailbox,
        subscribe: Rc<Notify>,
        tally: Arc<Tally>,
    ) -> Engine {
        // One clock: Unix time, so that the servers' start times compare, moved on by the monotonic one.
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started_us = unix.as_micros() as Micros;
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
            queue: VecDeque::new(),
            tally,
            ends: None,
        }
    }

    fn read_clock(&mut self) {
        self.now = self.started_us + self.started.elapsed().as_micros() as Micros;
    }

    /// Works until it is told to end. Everything taken has its answer then.
    pub(crate) async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Happening>) {
        loop {
            let all_answered = || self.open.values().all(|open| open.answer.is_none());
            if self.ends.is_some() && all_answered() && self.servers.passing() == 0 {
                break;
            }
            let ends = self.ends;
            let late = async move {
                match ends {
                    Some(at) => sleep_until(at).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                happening = inbox.recv() => match happening {
                    Some(happening) => self.take(happening),
                    None => break,
                },
                Some(due) = poll_fn(|cx| self.timers.poll_expired(cx)), if !self.timers.is_empty() => {
                    self.woken(due.into_inner());
                }
                () = late, if ends.is_some() => break,
                () = self.servers.passed(), if ends.is_some() => {}
            }
            self.work();
        }
        self.last_call(inbox);
    }

    /// Answers what is still open as failed: no answer at all would be worse. What was told but not yet heard
    /// was not sent either.
    fn last_call(&mut self, mut inbox: mpsc::UnboundedReceiver<Happening>) {
        inbox.close();
        while let Ok(happening) = inbox.try_recv() {
            match happening {
                Happening::Arrived(request, _, _, answer) => {
                    self.tally.arrived();
                    answered(&self.tally, request.class, answer, Answer::Refused { retry_after: None });
                }
                Happening::Ended(id, _, Outcome::Served, Some(response)) => {
                    self.answer(id, Answer::Served(response));
                }
                Happening::Left(id)
                    if self.open.get_mut(&id).and_then(|open| open.answer.take()).is_some() =>
                {
                    self.tally.left();
                }
                Happening::Look(ask) => drop(ask.send(self.look())),
                _ => {}
            }
        }
        for (_, open) in self.open.drain() {
            if let Some(answer) = open.answer {
                answered(&self.tally, open.class, answer, Answer::Failed { timed_out: true });
            }
            open.attempts.iter().filter_map(|a| a.task.as_ref()).for_each(AbortHandle::abort);
        }
    }

    fn look(&self) -> Snapshot {
        let attempts = || self.open.values().flat_map(|open| &open.attempts).filter(|a| a.task.is_some());
        let mut in_flight: HashMap<ServerId, usize> = HashMap::new();
        attempts().for_each(|a| *in_flight.entry(a.server).or_default() += 1);
        let view = |(id, uid, endpoint, idle)| ServerView {
            in_flight: in_flight.get(&id).copied().unwrap_or(0),
            uid,
            endpoint,
            idle,
        };
        let mut servers: Vec<ServerView> = self.servers.view().into_iter().map(view).collect();
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
            counts: self.tally.counts(),
        }
    }

    fn take(&mut self, happening: Happening) {
        self.read_clock();
        match happening {
            Happening::Module(event) => {
                if matches!(event, Event::ServerList(_) | Event::ServerChanges(_)) {
                    self.tally.heard_list();
                }
                self.queue.push_back(event);
            }
            Happening::Arrived(request, upload, outgoing, answer) => {
                let open = Open {
                    class: request.class,
                    outgoing,
                    answer: Some(answer),
                    attempts: Vec::new(),
                    timed_out: false,
                    timer: None,
                };
                self.tally.arrived();
                self.open.insert(request.id, open);
                self.queue.push_back(match upload {
                    None => Event::RequestArrived(request),
                    Some(upload) => Event::StreamedRequestArrived(request, upload),
                });
            }
            Happening::CameWhole(id, remaining) => self.queue.push_back(Event::BodyReceived(id, remaining)),
            Happening::Left(id) => {
                if self.open.get_mut(&id).and_then(Open::finish).is_some() {
                    self.tally.left();
                    self.queue.push_back(Event::ClientLeft(id));
                }
            }
            Happening::Look(ask) => drop(ask.send(self.look())),
            Happening::Sight(ask) => drop(ask.send(self.balancer.observations(self.now))),
            Happening::Reach(ask) => drop(ask.send(self.servers.reach())),
            Happening::Evict => drop(self.servers.evict()),
            Happening::Shutdown(at) => self.ends = Some(self.ends.map_or(at, |before| before.min(at))),
            Happening::Ended(id, attempt, outcome, response) => {
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
        let whole = open
            .outgoing
            .body
            .whole_since()
            .map(|at| self.started_us + (at - self.started).as_micros() as Micros);
        let took = now.saturating_sub(whole.map_or(ended.sent_at, |whole| whole.max(ended.sent_at)));
        if open.outgoing.body.is_spent() {
            self.queue.push_back(Event::BodyConsumed(request));
        }
        let finished = open.answer.is_none();
        self.queue.push_back(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            outcome,
            elapsed: took,
            request_finished: finished,
        }));
    }

    /// Hands the module all that has happened, and does what it says.
    fn work(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.queue.pop_front() {
            let about = match &event {
                Event::ClientLeft(id) => Some(*id),
                Event::AttemptEnded(ended) => Some(ended.request),
                _ => None,
            };
            self.balancer.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
            about.into_iter().for_each(|id| self.let_go(id));
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, server, start_before: until } => self.send(request, server, until),
            Action::Refuse { request, retry_after } => {
                let stay_away = (retry_after > 0).then(|| Duration::from_micros(retry_after));
                self.answer(request, Answer::Refused { retry_after: stay_away });
            }
            Action::Fail(request) => {
                let out = |open: &Open| open.timed_out || open.attempts.iter().any(|a| a.task.is_some());
                let timed_out = self.open.get(&request).is_some_and(out);
                self.answer(request, Answer::Failed { timed_out });
            }
            Action::Cancel(request, attempt) => self.attempt_ended(request, attempt, Outcome::Cancelled),
            Action::SetTimer { after, token } => self.wake(after, token),
            Action::Subscribe => self.subscribe.notify_one(),
        }
    }

    /// Sets a timer. The module asks again only for an earlier look, so one for each request is enough.
    fn wake(&mut self, after: Micros, token: u64) {
        let wait = Duration::from_micros(after).min(WAKE_MOST);
        let now = self.now;
        let then = now + wait.as_micros() as Micros;
        match self.open.get_mut(&token) {
            Some(Open { timer: Some((key, due)), .. }) if *due > now => {
                self.timers.reset(key, wait);
                *due = then;
            }
            Some(open) => open.timer = Some((self.timers.insert(token, wait), then)),
            None => drop(self.timers.insert(token, wait)),
        }
    }

    fn woken(&mut self, token: u64) {
        self.read_clock();
        let now = self.now;
        if let Some(open) = self.open.get_mut(&token) {
            open.timer.take_if(|(_, due)| *due <= now);
        }
        self.queue.push_back(Event::TimerFired(token));
    }

    fn send(&mut self, request: RequestId, server: ServerId, until: Option<Micros>) {
        let after = |at: Micros| Duration::from_micros(at.saturating_sub(self.started_us));
        // A time beyond the clock's end never comes.
        let until = until.and_then(|at| self.started.checked_add(after(at)));
        let sent_at = self.now;
        let Some(open) = self.open.get_mut(&request) else { return };
        let number = open.attempts.len() as AttemptNo;
        let (servers, mailbox) = (self.servers.clone(), self.mailbox.clone());
        let outgoing = open.outgoing.clone();
        let task = tokio::task::spawn_local(async move {
            let Attempted { outcome, response, spare } = servers.attempt(&outgoing, server, until).await;
            mailbox.send(Happening::Ended(request, number, outcome, response));
            // The answer does not wait for the connection to prove that it can be used again.
            if let Some(spare) = spare {
                servers.keep(spare).await;
            }
        });
        open.attempts.push(Attempt { server, sent_at, task: Some(task.abort_handle()) });
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        let open = self.open.get_mut(&id);
        if let Some((class, waiting)) = open.and_then(Open::finish) {
            // A client that is just leaving hears no answer; its `Left` then finds the request finished.
            answered(&self.tally, class, waiting, answer);
        }
        self.let_go(id);
    }

    /// Forgets a request that is answered and has no attempt out.
    fn let_go(&mut self, id: RequestId) {
        let over = |open: &Open| open.answer.is_none() && open.attempts.iter().all(|a| a.task.is_none());
        if self.open.get(&id).is_some_and(over)
            && let Some((key, _)) = self.open.remove(&id).and_then(|open| open.timer)
        {
            self.timers.try_remove(&key);
        }
    }
}
