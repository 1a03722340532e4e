//! What all baselines have in common: they keep the list, send each request at once, try again what proved not to have run
//! and what is safe, and give up in time. They refuse only when there is no server.

use std::collections::{BTreeMap, HashMap};

use cherryusher::{
    Action, AttemptEnd, Event, Idempotency, Outcome, Request, RequestId, ServerEntry, ServerId, ServerState,
    Settings,
};
use rand_pcg::Pcg64;

use super::Policy;
use crate::Micros;
use crate::simulation::ground_truth::GroundTruth;

/// A client is answered this long before it would leave.
const BEFORE: Micros = 2_000;

/// A server, as a rival knows it.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// TargetSelector.
    pub id: ServerId,
    /// Whether it takes requests.
    pub ready: bool,
    /// Its size, by the list; 1 if that does not say.
    pub weight: f64,
    /// How many requests of this node are there.
    pub in_flight: u32,
}

/// What a chooser sees.
pub struct SelectionContext<'a> {
    /// The time at this node.
    pub now: Micros,
    /// All servers.
    pub servers: &'a [ServerView],
    /// Those that take requests, by place in `servers`; never empty.
    pub ready: &'a [usize],
    /// What is so, and no node can see.
    pub truth: &'a GroundTruth<'a>,
}

/// Chooses among servers.
pub trait ServerSelector {
    /// The list has changed; what is kept by place is void.
    fn list_changed(&mut self, _servers: &[ServerView]) {}
    /// The place in `servers` of the one that a request goes to.
    fn select(&mut self, view: &SelectionContext<'_>, rng: &mut Pcg64) -> usize;
    /// An attempt at a server has ended.
    fn attempt_ended(&mut self, _now: Micros, _server: usize, _outcome: Outcome, _took: Micros) {}
}

struct Job {
    class: usize,
    /// Where it was sent, in order; whether it is out.
    attempts: Vec<(ServerId, bool)>,
}

/// A rival: a chooser and what goes round it.
pub struct BaselinePolicy {
    settings: Settings,
    rng: Pcg64,
    chooser: Box<dyn ServerSelector>,
    servers: Vec<ServerView>,
    places: HashMap<ServerId, usize>,
    ready: Vec<usize>,
    jobs: BTreeMap<RequestId, Job>,
}

impl BaselinePolicy {
    /// A rival with this chooser.
    pub fn new(settings: Settings, rng: Pcg64, chooser: Box<dyn ServerSelector>) -> BaselinePolicy {
        let (servers, places, ready) = (Vec::new(), HashMap::new(), Vec::new());
        BaselinePolicy { settings, rng, chooser, servers, places, ready, jobs: BTreeMap::new() }
    }

    fn apply_list(&mut self, entries: &[ServerEntry], whole: bool) {
        if whole {
            self.servers.iter_mut().for_each(|server| server.ready = false);
        }
        for entry in entries {
            let place = *self.places.entry(entry.id).or_insert_with(|| {
                self.servers.push(ServerView { id: entry.id, ready: false, weight: 1.0, in_flight: 0 });
                self.servers.len() - 1
            });
            self.servers[place].ready = entry.state == ServerState::Ready;
            self.servers[place].weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
        }
        self.ready = (0..self.servers.len()).filter(|place| self.servers[*place].ready).collect();
        self.chooser.list_changed(&self.servers);
    }

    fn send(&mut self, now: Micros, request: RequestId, truth: &GroundTruth<'_>, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&request) else { return };
        if self.ready.is_empty() {
            self.jobs.remove(&request);
            out.push(Action::Refuse { request, retry_after: 0 });
            return;
        }
        let view = SelectionContext { now, servers: &self.servers, ready: &self.ready, truth };
        let place = self.chooser.select(&view, &mut self.rng);
        let server = &mut self.servers[place];
        server.in_flight += 1;
        job.attempts.push((server.id, true));
        out.push(Action::Send { request, server: server.id, start_before: None });
    }

    fn attempt_ended(
        &mut self,
        now: Micros,
        end: &AttemptEnd,
        truth: &GroundTruth<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(&end.request) else { return };
        let Some(attempt) = job.attempts.get_mut(usize::from(end.attempt)) else { return };
        if !std::mem::take(&mut attempt.1) {
            return;
        }
        if let Some(place) = self.places.get(&attempt.0) {
            let server = &mut self.servers[*place];
            server.in_flight = server.in_flight.saturating_sub(1);
            self.chooser.attempt_ended(now, *place, end.outcome, end.elapsed);
        }
        let safe = self
            .settings
            .classes
            .get(job.class)
            .is_some_and(|class| class.idempotency == Idempotency::Idempotent);
        let (tries, never) = (job.attempts.len(), end.outcome.never_ran());
        let timed_out = matches!(end.outcome, Outcome::TimedOut | Outcome::Cancelled);
        if end.request_finished || end.outcome == Outcome::Served {
            self.jobs.remove(&end.request);
        } else if tries < usize::from(self.settings.max_attempts) && !timed_out && (never || safe) {
            self.send(now, end.request, truth, out);
        } else {
            self.jobs.remove(&end.request);
            // It went again only after proof, so that the last attempt tells of all.
            let harmless = never || safe;
            out.push(match harmless {
                true => Action::Refuse { request: end.request, retry_after: 0 },
                false => Action::Fail(end.request),
            });
        }
    }

    fn give_up(&mut self, request: RequestId, out: &mut Vec<Action>) {
        if let Some(job) = self.jobs.remove(&request) {
            let still = job.attempts.iter().enumerate().filter(|(_, (_, is_out))| *is_out);
            for (number, (id, _)) in still {
                if let Some(place) = self.places.get(id) {
                    let server = &mut self.servers[*place];
                    server.in_flight = server.in_flight.saturating_sub(1);
                }
                out.push(Action::Cancel(request, number as u16));
            }
            out.push(Action::Fail(request));
        }
    }

    fn arrived(&mut self, now: Micros, request: &Request, truth: &GroundTruth<'_>, out: &mut Vec<Action>) {
        self.jobs.insert(request.id, Job { class: request.class, attempts: Vec::new() });
        out.push(Action::SetTimer { after: request.remaining.saturating_sub(BEFORE), token: request.id });
        self.send(now, request.id, truth, out);
    }
}

impl Policy for BaselinePolicy {
    fn handle(&mut self, now: Micros, event: Event, truth: &GroundTruth<'_>, out: &mut Vec<Action>) {
        match event {
            Event::ServerList(list) | Event::CachedServerList(list) => self.apply_list(&list, true),
            Event::ServerChanges(list) => self.apply_list(&list, false),
            Event::RequestArrived(request) => self.arrived(now, &request, truth, out),
            Event::AttemptEnded(end) => self.attempt_ended(now, &end, truth, out),
            Event::TimerFired(request) => self.give_up(request, out),
            Event::ClientLeft(request) => {
                let mut unheard = Vec::new();
                self.give_up(request, &mut unheard);
                out.extend(unheard.into_iter().filter(|action| matches!(action, Action::Cancel(..))));
            }
            _ => {}
        }
    }
}
