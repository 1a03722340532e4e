//! The common part of all baselines: they keep the server list, send each request at once, retry attempts
//! that certainly did not run or are safe, and give up before the deadline. They refuse requests only if
//! there is no server.

use std::collections::{BTreeMap, HashMap};

use cherryusher::{
    Action, AttemptEnd, Event, Idempotency, Outcome, Request, RequestId, ServerEntry, ServerId, ServerState,
    Settings,
};
use rand_pcg::Pcg64;

use super::Policy;
use crate::Micros;
use crate::simulation::ground_truth::GroundTruth;

/// A request is answered this long before its deadline.
const REPLY_MARGIN: Micros = 2_000;

/// A server as a baseline sees it.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// The id of the server.
    pub id: ServerId,
    /// Whether the server takes requests.
    pub ready: bool,
    /// The relative capacity by the server list; 1 if the list has none.
    pub weight: f64,
    /// The number of this node's attempts in flight at the server.
    pub in_flight: u32,
}

/// The input for the selection of a server.
pub struct SelectionContext<'a> {
    /// The time by the node's clock.
    pub now: Micros,
    /// All servers.
    pub servers: &'a [ServerView],
    /// The indices in `servers` of those that take requests; never empty.
    pub ready: &'a [usize],
    /// The real state of the servers.
    pub truth: &'a GroundTruth<'a>,
}

/// The algorithm that selects a server.
pub trait ServerSelector {
    /// The server list has changed; new servers are at the end.
    fn list_changed(&mut self, _servers: &[ServerView]) {}
    /// Returns the index in `servers` of the server for a request.
    fn select(&mut self, view: &SelectionContext<'_>, rng: &mut Pcg64) -> usize;
    /// An attempt at a server has ended.
    fn attempt_ended(&mut self, _now: Micros, _server: usize, _outcome: Outcome, _took: Micros) {}
}

struct PendingRequest {
    class: usize,
    /// The server of each attempt, in order, and whether the attempt is in flight.
    attempts: Vec<(ServerId, bool)>,
}

/// A baseline policy: the common part with a selector of servers.
pub struct BaselinePolicy {
    settings: Settings,
    rng: Pcg64,
    selector: Box<dyn ServerSelector>,
    servers: Vec<ServerView>,
    indices: HashMap<ServerId, usize>,
    ready: Vec<usize>,
    pending: BTreeMap<RequestId, PendingRequest>,
}

impl BaselinePolicy {
    /// Creates a baseline with this selector.
    pub fn new(settings: Settings, rng: Pcg64, selector: Box<dyn ServerSelector>) -> BaselinePolicy {
        let (servers, indices, ready) = (Vec::new(), HashMap::new(), Vec::new());
        BaselinePolicy { settings, rng, selector, servers, indices, ready, pending: BTreeMap::new() }
    }

    fn apply_list(&mut self, entries: &[ServerEntry], is_full: bool) {
        if is_full {
            self.servers.iter_mut().for_each(|server| server.ready = false);
        }
        for entry in entries {
            let index = *self.indices.entry(entry.id).or_insert_with(|| {
                self.servers.push(ServerView { id: entry.id, ready: false, weight: 1.0, in_flight: 0 });
                self.servers.len() - 1
            });
            self.servers[index].ready = entry.state == ServerState::Ready;
            self.servers[index].weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
        }
        self.ready = (0..self.servers.len()).filter(|index| self.servers[*index].ready).collect();
        self.selector.list_changed(&self.servers);
    }

    fn send(&mut self, now: Micros, request: RequestId, truth: &GroundTruth<'_>, out: &mut Vec<Action>) {
        let Some(request_state) = self.pending.get_mut(&request) else { return };
        if self.ready.is_empty() {
            self.pending.remove(&request);
            out.push(Action::Refuse { request, retry_after: 0 });
            return;
        }
        let view = SelectionContext { now, servers: &self.servers, ready: &self.ready, truth };
        let index = self.selector.select(&view, &mut self.rng);
        let server = &mut self.servers[index];
        server.in_flight += 1;
        request_state.attempts.push((server.id, true));
        out.push(Action::Send { request, server: server.id, start_before: None });
    }

    fn attempt_ended(
        &mut self,
        now: Micros,
        end: &AttemptEnd,
        truth: &GroundTruth<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(request_state) = self.pending.get_mut(&end.request) else { return };
        let Some(attempt) = request_state.attempts.get_mut(usize::from(end.attempt)) else { return };
        if !std::mem::take(&mut attempt.1) {
            return;
        }
        if let Some(index) = self.indices.get(&attempt.0) {
            let server = &mut self.servers[*index];
            server.in_flight = server.in_flight.saturating_sub(1);
            self.selector.attempt_ended(now, *index, end.outcome, end.elapsed);
        }
        let safe = self
            .settings
            .classes
            .get(request_state.class)
            .is_some_and(|class| class.idempotency == Idempotency::Idempotent);
        let (tries, never_ran) = (request_state.attempts.len(), end.outcome.never_ran());
        let timed_out = matches!(end.outcome, Outcome::TimedOut | Outcome::Cancelled);
        if end.request_finished || end.outcome == Outcome::Served {
            self.pending.remove(&end.request);
        } else if tries < usize::from(self.settings.max_attempts) && !timed_out && (never_ran || safe) {
            self.send(now, end.request, truth, out);
        } else {
            self.pending.remove(&end.request);
            // Earlier attempts were retried only if that was harmless, so the last one decides for all.
            let harmless = never_ran || safe;
            out.push(match harmless {
                true => Action::Refuse { request: end.request, retry_after: 0 },
                false => Action::Fail(end.request),
            });
        }
    }

    fn give_up(&mut self, request: RequestId, out: &mut Vec<Action>) {
        if let Some(request_state) = self.pending.remove(&request) {
            let in_flight = request_state.attempts.iter().enumerate().filter(|(_, (_, is_out))| *is_out);
            for (number, (id, _)) in in_flight {
                if let Some(index) = self.indices.get(id) {
                    let server = &mut self.servers[*index];
                    server.in_flight = server.in_flight.saturating_sub(1);
                }
                out.push(Action::Cancel(request, number as u16));
            }
            out.push(Action::Fail(request));
        }
    }

    fn arrived(&mut self, now: Micros, request: &Request, truth: &GroundTruth<'_>, out: &mut Vec<Action>) {
        self.pending.insert(request.id, PendingRequest { class: request.class, attempts: Vec::new() });
        out.push(Action::SetTimer {
            after: request.remaining.saturating_sub(REPLY_MARGIN),
            token: request.id,
        });
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
                let mut actions = Vec::new();
                self.give_up(request, &mut actions);
                out.extend(actions.into_iter().filter(|action| matches!(action, Action::Cancel(..))));
            }
            _ => {}
        }
    }
}
