//! The engine: the decision module, its clock and timers, and the table of open requests. What happens on
//! sockets comes in as a [`Happening`]; the module's actions are carried out here, and nowhere else.

use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::future::poll_fn;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use cherryusher::{Action, AttemptNo, Balancer, Ended, Event, Micros, Outcome, Request, RequestId, ServerId};
use hyper::Response;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio_util::time::DelayQueue;
use tokio_util::time::delay_queue::Key;

use crate::servers::{Outgoing, Servers};

/// The longest sleep that timers take.
const WAKE_MOST: Duration = Duration::from_secs(3600);

/// The one final answer to a request.
pub enum Answer {
    /// The first whole 200 of a server.
    Served(Response<Bytes>),
    /// Turned away; nothing ran, or a repeat is harmless. How long the client should stay away, if told.
    Refused(Option<Duration>),
    /// No promise; whether it was time that ran out.
    Failed {
        /// An attempt was still out or had timed out.
        timed_out: bool,
    },
}

/// What the other parts tell the engine.
pub enum Happening {
    /// A list, or what befell the watch: the module's concern alone.
    Module(Event),
    /// A request was taken.
    Arrived(Request, Rc<Outgoing>, oneshot::Sender<Answer>),
    /// The client has closed its connection.
    Left(RequestId),
    /// An attempt is over.
    Ended(RequestId, AttemptNo, Outcome, Option<Response<Bytes>>),
}

/// The way to the engine.
#[derive(Clone)]
pub struct Mailbox {
    sender: mpsc::UnboundedSender<Happening>,
    next: Rc<Cell<RequestId>>,
}

impl Mailbox {
    /// The mailbox and what the engine reads from it. It holds no more than the open connections cause.
    pub fn new(seed: u64) -> (Mailbox, mpsc::UnboundedReceiver<Happening>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        // The module hashes ids with servers: nodes must not all count from the same number. The highest
        // bits stay clear of the module's own timer tokens.
        (Mailbox { sender, next: Rc::new(Cell::new(seed >> 2)) }, receiver)
    }

    /// Tells the engine; at the very end there may be none.
    pub fn send(&self, happening: Happening) {
        let _ = self.sender.send(happening);
    }

    /// A number for a request. A client's `Req-Id` might come twice, this does not.
    pub fn number(&self) -> RequestId {
        self.next.replace(self.next.get() + 1)
    }
}

/// An open request, or one that is answered with attempts still out.
struct Open {
    outgoing: Rc<Outgoing>,
    /// Taken once the final answer is given or the client has left.
    answer: Option<oneshot::Sender<Answer>>,
    attempts: Vec<Attempt>,
    timed_out: bool,
    /// The one time at which the module wants to look at it.
    timer: Option<(Key, Micros)>,
}

struct Attempt {
    sent_at: Micros,
    /// Gone once the module was told how it ended.
    task: Option<AbortHandle>,
}

/// Owns the decision module.
pub struct Engine {
    balancer: Balancer,
    servers: Rc<Servers>,
    mailbox: Mailbox,
    subscribe: Rc<Notify>,
    started: Instant,
    started_us: Micros,
    timers: DelayQueue<u64>,
    open: HashMap<RequestId, Open>,
    queue: VecDeque<Event>,
}

impl Engine {
    /// An engine around the module.
    pub fn new(balancer: Balancer, servers: Rc<Servers>, mailbox: Mailbox, subscribe: Rc<Notify>) -> Engine {
        // One clock: Unix time, so that the servers' start times compare, moved on by the monotonic one.
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Engine {
            balancer,
            servers,
            mailbox,
            subscribe,
            started: Instant::now(),
            started_us: unix.as_micros() as Micros,
            timers: DelayQueue::new(),
            open: HashMap::new(),
            queue: VecDeque::new(),
        }
    }

    fn now(&self) -> Micros {
        self.started_us + self.started.elapsed().as_micros() as Micros
    }

    /// Works for as long as anyone holds a mailbox.
    pub async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Happening>) {
        loop {
            tokio::select! {
                happening = inbox.recv() => match happening {
                    Some(happening) => self.take(happening),
                    None => return,
                },
                Some(due) = poll_fn(|cx| self.timers.poll_expired(cx)), if !self.timers.is_empty() => {
                    self.woken(due.into_inner());
                }
            }
            self.work();
        }
    }

    fn take(&mut self, happening: Happening) {
        match happening {
            Happening::Module(event) => self.queue.push_back(event),
            Happening::Arrived(request, outgoing, answer) => {
                let open = Open {
                    outgoing,
                    answer: Some(answer),
                    attempts: Vec::new(),
                    timed_out: false,
                    timer: None,
                };
                self.open.insert(request.id, open);
                self.queue.push_back(Event::Arrived(request));
            }
            Happening::Left(id) => {
                if self.open.get_mut(&id).and_then(|open| open.answer.take()).is_some() {
                    self.queue.push_back(Event::Left(id));
                }
            }
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
        let now = self.now();
        let Some(open) = self.open.get_mut(&request) else { return };
        let Some(ended) = open.attempts.get_mut(usize::from(attempt)) else { return };
        let Some(task) = ended.task.take() else { return };
        if outcome == Outcome::Cancelled {
            task.abort();
        }
        open.timed_out |= outcome == Outcome::TimedOut;
        let took = now.saturating_sub(ended.sent_at);
        let finished = open.answer.is_none();
        self.queue.push_back(Event::AttemptEnded(Ended { request, attempt, outcome, took, finished }));
    }

    /// Hands the module all that has happened, and does what it says.
    fn work(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.queue.pop_front() {
            let about = match &event {
                Event::Left(id) => Some(*id),
                Event::AttemptEnded(ended) => Some(ended.request),
                _ => None,
            };
            self.balancer.handle(self.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
            about.into_iter().for_each(|id| self.let_go(id));
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, server } => self.send(request, server),
            Action::Refuse { request, retry_after } => {
                let stay_away = (retry_after > 0).then(|| Duration::from_micros(retry_after));
                self.answer(request, Answer::Refused(stay_away));
            }
            Action::Fail(request) => {
                let out = |open: &Open| open.timed_out || open.attempts.iter().any(|a| a.task.is_some());
                let timed_out = self.open.get(&request).is_some_and(out);
                self.answer(request, Answer::Failed { timed_out });
            }
            Action::Cancel(request, attempt) => self.attempt_ended(request, attempt, Outcome::Cancelled),
            Action::Wake { after, token } => self.wake(after, token),
            Action::Subscribe => self.subscribe.notify_one(),
        }
    }

    /// Sets a timer. The module asks again only for an earlier look, so one for each request is enough.
    fn wake(&mut self, after: Micros, token: u64) {
        let wait = Duration::from_micros(after).min(WAKE_MOST);
        let now = self.now();
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
        let now = self.now();
        if let Some(open) = self.open.get_mut(&token) {
            open.timer.take_if(|(_, due)| *due <= now);
        }
        self.queue.push_back(Event::Woken(token));
    }

    fn send(&mut self, request: RequestId, server: ServerId) {
        let sent_at = self.now();
        let Some(open) = self.open.get_mut(&request) else { return };
        let number = open.attempts.len() as AttemptNo;
        let (servers, mailbox) = (self.servers.clone(), self.mailbox.clone());
        let (outgoing, answered) = (open.outgoing.clone(), open.answer.is_none());
        let task = tokio::task::spawn_local(async move {
            // Nothing is sent for a request after its answer.
            let (outcome, response) = match answered {
                true => (Outcome::NotSent, None),
                false => servers.attempt(&outgoing, server).await,
            };
            mailbox.send(Happening::Ended(request, number, outcome, response));
        });
        open.attempts.push(Attempt { sent_at, task: Some(task.abort_handle()) });
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(waiting) = self.open.get_mut(&id).and_then(|open| open.answer.take()) {
            // A client that is just leaving hears no answer; its `Left` then finds the request finished.
            let _ = waiting.send(answer);
        }
        self.let_go(id);
    }

    /// Forgets a request that is answered and has no attempt out.
    fn let_go(&mut self, id: RequestId) {
        let over = |open: &Open| open.answer.is_none() && open.attempts.iter().all(|a| a.task.is_none());
        if self.open.get(&id).is_some_and(over) {
            if let Some((key, _)) = self.open.remove(&id).and_then(|open| open.timer) {
                self.timers.try_remove(&key);
            }
        }
    }
}
