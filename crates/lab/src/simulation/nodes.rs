//! Nodes: what they are told, and what they do about it.

use cherryusher::{Action, AttemptNo, Event, Outcome, ServerId, ServerObservation};
use rand::Rng;

use super::events::{Due, Reply};
use super::ground_truth::GroundTruth;
use super::{Admission, BEGIN, World};
use crate::Micros;
use crate::baselines::Policy;
use crate::experiment::{Effect, micros};
use crate::invariants::{GRACE, Invariant, Runs};

/// A node gives up this long before its client does.
const BEFORE: Micros = 1_000;

/// A node.
pub(crate) struct Node {
    policy: Option<Box<dyn Policy>>,
    /// How far its clock is ahead, and what it showed last: it never goes back.
    pub(super) ahead: Micros,
    shown: Micros,
    /// The last version of each server that it heard of.
    pub(super) versions: Vec<u32>,
    /// Since when it knows that a server takes nothing new.
    pub(super) away: Vec<Option<Micros>>,
    /// How many troubles keep it from hearing.
    pub(super) silent: u32,
}

impl Node {
    pub(super) fn new(policy: Option<Box<dyn Policy>>, servers: usize) -> Node {
        Node { policy, ahead: 0, shown: 0, versions: vec![0; servers], away: vec![None; servers], silent: 0 }
    }

    /// What it has seen of servers by itself.
    pub(super) fn server_observations(&self, now: Micros) -> Vec<ServerObservation> {
        self.policy.as_ref().map_or(Vec::new(), |policy| policy.server_observations(now))
    }
}

/// A request, from its client's asking until nothing of it is left anywhere.
pub(super) struct Request {
    pub(super) want: u64,
    pub(super) node: usize,
    class: usize,
    /// When its client leaves.
    leaves: Micros,
    pub(super) answered: bool,
    pub(super) client_gone: bool,
    /// Those that are not over at their node and server both.
    attempts: Vec<u64>,
    sent: AttemptNo,
    runs: Runs,
    timer: u64,
}

impl Request {
    pub(super) fn new(want: u64, node: usize, class: usize, leaves: Micros) -> Request {
        let (answered, client_gone, attempts) = (false, false, Vec::new());
        Request {
            want,
            node,
            class,
            leaves,
            answered,
            client_gone,
            attempts,
            sent: 0,
            runs: Runs::default(),
            timer: 0,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Travels,
    Waits,
    Runs,
    /// It is not at the server, and will not be.
    Over,
}

/// An attempt, until it is over at its node and at its server.
pub(super) struct Attempt {
    request: u64,
    number: AttemptNo,
    server: usize,
    sent: Micros,
    came: Micros,
    /// Whether its node still waits for it.
    out: bool,
    stage: Stage,
}

impl World<'_> {
    /// What a node's clock shows now.
    pub(super) fn clock(&mut self, node: usize) -> Micros {
        let at = &mut self.nodes[node];
        at.shown = at.shown.max(self.now + at.ahead);
        at.shown
    }

    /// Tells a node, and does what it says; what comes of that is told after.
    pub(super) fn tell(&mut self, node: usize, event: Event) {
        self.untold.push_back((node, event));
        if std::mem::replace(&mut self.telling, true) {
            return;
        }
        let mut actions = Vec::new();
        while let Some((node, event)) = self.untold.pop_front() {
            let shown = self.clock(node);
            let policy = self.nodes[node].policy.take();
            let Some(mut policy) = policy else { continue };
            let work = micros(self.e.servers.time) as f64;
            let truth = GroundTruth { now: self.now, stations: &self.stations, numbers: &self.ids, work };
            policy.handle(shown, event, &truth, &mut actions);
            self.nodes[node].policy = Some(policy);
            for action in actions.drain(..) {
                self.act(node, action);
            }
        }
        self.telling = false;
    }

    fn act(&mut self, node: usize, action: Action) {
        match action {
            Action::Send { request, server, .. } => self.send(node, request, server),
            Action::Refuse { request, retry_after } => self.answer(request, Reply::Refused(retry_after)),
            Action::Fail(request) => self.answer(request, Reply::Failed),
            Action::Cancel(request, number) => {
                let attempts = self.requests.get(&request).map(|request| request.attempts.clone());
                let named = |id: &u64| self.attempts.get(id).is_some_and(|one| one.number == number);
                if let Some(id) = attempts.unwrap_or_default().into_iter().find(named) {
                    let way = self.way();
                    self.agenda.put(self.now + way, Due::Withdraw(id));
                    self.ends(id, Outcome::Cancelled);
                }
            }
            Action::SetTimer { after, token } => {
                let serial = match self.requests.get_mut(&token) {
                    Some(request) => {
                        request.timer += 1;
                        request.timer
                    }
                    None => 0,
                };
                self.agenda.put(self.now + after, Due::Woken(node, token, serial));
            }
            Action::Subscribe => {}
        }
    }

    /// A request has one timer, the last that was asked for.
    pub(super) fn woken(&mut self, node: usize, token: u64, serial: u64) {
        let of_request = self.requests.get(&token).map(|request| request.timer);
        if serial == 0 || of_request == Some(serial) {
            self.tell(node, Event::TimerFired(token));
        }
    }

    pub(super) fn at_node(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        let back = 2 * micros(self.e.network.delay) + BEFORE;
        let remaining = request.leaves.saturating_sub(self.now + back);
        let (node, class) = (request.node, request.class);
        let tenant = self.wants.get(&request.want).and_then(|want| want.tenant);
        self.agenda.put(self.now + remaining, Due::Expires(number));
        let arrived =
            cherryusher::Request { id: number, class, remaining, expected_work: None, key: None, tenant };
        self.tell(node, Event::RequestArrived(arrived));
    }

    pub(super) fn expires(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        for attempt in request.attempts.clone() {
            self.ends(attempt, Outcome::TimedOut);
        }
    }

    fn answer(&mut self, number: u64, reply: Reply) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        if std::mem::replace(&mut request.answered, true) {
            self.rules
                .breach(Invariant::TwoAnswers, self.now - BEGIN, || format!("request {number}: {reply:?}"));
            return;
        }
        let ran = request.runs.any()
            || request
                .attempts
                .iter()
                .any(|id| self.attempts.get(id).is_some_and(|a| a.stage != Stage::Over));
        let safe = self.e.classes[request.class].effect == Effect::Safe;
        if matches!(reply, Reply::Refused(_)) && ran && !safe {
            self.rules
                .breach(Invariant::RefusedAfterRunning, self.now - BEGIN, || format!("request {number}"));
        }
        let way = self.way();
        self.agenda.put(self.now + way, Due::Answer(number, reply));
    }

    fn send(&mut self, node: usize, number: u64, server: ServerId) {
        let Some(server) = self.ids.get(&server).copied() else { return };
        let id = self.next_number();
        let (way, back) = (self.way(), self.way());
        let refused = self.network.random::<f64>() < self.e.network.refused;
        let parted = self.parted(node, server);
        let Some(request) = self.requests.get_mut(&number) else { return };
        let beside = request.attempts.iter().any(|id| self.attempts.get(id).is_some_and(|a| a.out));
        let counts = &mut self.counts.attempts;
        match (request.sent, beside) {
            _ if self.now < BEGIN + micros(self.e.settle) => {}
            (0, _) => counts.first += 1,
            (_, true) => counts.copies += 1,
            _ => counts.again += 1,
        }
        let (sent, came) = (self.now, self.now);
        let attempt = Attempt {
            request: number,
            number: request.sent,
            server,
            sent,
            came,
            out: true,
            stage: Stage::Travels,
        };
        request.sent += 1;
        request.attempts.push(id);
        let answered = request.answered;
        self.attempts.insert(id, attempt);
        if let Some(since) = self.nodes[node].away[server].filter(|since| since + GRACE < self.now) {
            let late = (self.now - since) as f64 / 1e6;
            let what = || format!("node {node} to server {server}, {late:.2} s after it heard");
            self.rules.breach(Invariant::SentToDraining, self.now - BEGIN, what);
        }
        let fails = match () {
            () if answered => Some((0, Outcome::NotSent)),
            () if parted => Some((micros(self.e.network.connect_timeout), Outcome::ConnectFailed)),
            () if refused => Some((way + back, Outcome::ConnectFailed)),
            () => None,
        };
        match fails {
            Some((after, outcome)) => {
                self.off_server(id);
                self.agenda.put(self.now + after, Due::Ends(id, outcome));
            }
            None => self.agenda.put(self.now + way, Due::AtServer(id)),
        }
    }

    /// An attempt is at its server no more, or never will be.
    pub(super) fn off_server(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let stage = std::mem::replace(&mut attempt.stage, Stage::Over);
        if matches!(stage, Stage::Waits | Stage::Runs) {
            self.stays += (self.now - attempt.came) as f64;
        }
    }

    pub(super) fn at_server(&mut self, id: u64) {
        let now = self.now;
        let Some(attempt) = self.attempts.get_mut(&id).filter(|attempt| attempt.stage == Stage::Travels)
        else {
            return;
        };
        let (server, number) = (attempt.server, attempt.request);
        attempt.came = now;
        let want = self.requests.get(&number).map(|request| request.want);
        // A client that has left can't be asked; what it wanted is still the work.
        let work = want
            .and_then(|want| self.wants.get(&want))
            .map_or_else(|| micros(self.e.servers.time) as f64, |w| w.work);
        let station = &mut self.stations[server];
        let taken = station.arrive(now, id, work);
        // What it turns away counts as well: it was sent that.
        let (pushed, ramp) = (taken != Admission::Down && station.pushed(now, work), station.ramp(now));
        let outcome = match taken {
            Admission::Down => Some(Outcome::ConnectFailed),
            Admission::Full => Some(Outcome::Rejected),
            _ => None,
        };
        match (outcome, taken) {
            (Some(outcome), _) => {
                self.off_server(id);
                let way = self.way();
                self.agenda.put(now + way, Due::Ends(id, outcome));
            }
            (None, Admission::Started) => self.runs(id),
            (None, _) => attempt_stage(&mut self.attempts, id, Stage::Waits),
        }
        if pushed {
            if ramp < 1.0 {
                let what = || format!("server {server} at {:.0}% of its speed", 100.0 * ramp);
                self.rules.breach(Invariant::PushedOver, now - BEGIN, what);
            }
            self.fall(server, true);
        } else {
            self.reckon(server);
        }
    }

    /// A server begins to work on an attempt.
    fn runs(&mut self, id: u64) {
        attempt_stage(&mut self.attempts, id, Stage::Runs);
        let Some(attempt) = self.attempts.get(&id) else { return };
        let Some(request) = self.requests.get_mut(&attempt.request) else { return };
        let effect = self.e.classes[request.class].effect;
        let cell = (attempt.server % usize::from(self.e.servers.cells)) as u16;
        self.rules.runs(
            self.now - BEGIN,
            attempt.request,
            effect,
            &mut request.runs,
            cell,
            attempt.sent - BEGIN,
        );
    }

    pub(super) fn done(&mut self, server: usize, serial: u64) {
        if self.stations[server].serial != serial {
            return;
        }
        if let Some((id, next)) = self.stations[server].done(self.now) {
            self.off_server(id);
            let lost = self.e.network.resets + self.stations[server].resets;
            let outcome = match self.network.random::<f64>() < lost {
                true => Outcome::Reset,
                false => Outcome::Served,
            };
            let way = self.way();
            self.agenda.put(self.now + way, Due::Ends(id, outcome));
            if let Some(next) = next {
                self.runs(next);
            }
        }
        self.reckon(server);
    }

    /// A server hears that nobody waits for an attempt; what it works on it goes on with.
    pub(super) fn withdraw(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let (server, stage) = (attempt.server, attempt.stage);
        match stage {
            Stage::Travels => self.off_server(id),
            Stage::Waits if self.stations[server].withdraw(self.now, id) => self.off_server(id),
            _ => return,
        }
        self.forget(id);
    }

    /// A node hears how an attempt ended, or ends it.
    pub(super) fn ends(&mut self, id: u64, outcome: Outcome) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let (number, sent, no) = (attempt.request, attempt.sent, attempt.number);
        if !std::mem::replace(&mut attempt.out, false) {
            self.counts.attempts.wasted += u64::from(outcome == Outcome::Served);
            self.forget(id);
            return;
        }
        let mut told = None;
        if let Some(request) = self.requests.get_mut(&number) {
            let finished = request.answered;
            if outcome == Outcome::Served {
                match finished {
                    true => self.counts.attempts.wasted += 1,
                    false => request.answered = true,
                }
            }
            told = Some((request.node, request.answered, !finished));
        }
        self.forget(id);
        let Some((node, finished, first)) = told else { return };
        if outcome == Outcome::Served && first {
            let way = self.way();
            self.agenda.put(self.now + way, Due::Answer(number, Reply::Served));
        }
        let took = self.now - sent;
        let ended = cherryusher::AttemptEnd {
            request: number,
            attempt: no,
            outcome,
            elapsed: took,
            request_finished: finished,
        };
        self.tell(node, Event::AttemptEnded(ended));
        self.let_go(number);
    }

    /// Forgets an attempt that is over at its node and server.
    fn forget(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id).filter(|one| !one.out && one.stage == Stage::Over) else {
            return;
        };
        let number = attempt.request;
        self.attempts.remove(&id);
        if let Some(request) = self.requests.get_mut(&number) {
            request.attempts.retain(|other| *other != id);
        }
        self.let_go(number);
    }

    /// Forgets a request of which nothing is left.
    pub(super) fn let_go(&mut self, number: u64) {
        let over = |request: &Request| request.answered && request.client_gone && request.attempts.is_empty();
        if self.requests.get(&number).is_some_and(over) {
            self.requests.remove(&number);
        }
    }
}

fn attempt_stage(attempts: &mut std::collections::HashMap<u64, Attempt>, id: u64, stage: Stage) {
    if let Some(attempt) = attempts.get_mut(&id) {
        attempt.stage = stage;
    }
}
