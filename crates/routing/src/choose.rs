//! The decision for one request.

use dunelink_serving_model::{Estimate, Micros, RequestProfile};

use crate::attempts::Attempt;
use crate::locality::{self, KeyLoad, Locality};
use crate::pools::Member;
use crate::router::silence;
use crate::servers::Server;
use crate::{Decision, RefusalReason, Router, RoutingRequest, ServerHandle};

/// When a client may come back while no server is ready.
const NO_SERVER_AGAIN: Micros = 300_000;
/// The shortest and the longest time that a refused client is told to stay away.
const AGAIN: (Micros, Micros) = (100_000, 1_500_000);
/// That time is at most this part of what the client has left: it heeds no more than a third.
const AGAIN_PART: Micros = 4;
/// When to ask again while connections or full servers are in the way.
const ROOM_SOON: Micros = 20_000;
/// Held before it is refused: at most this part of the objective.
const HOLD_PART: Micros = 4;
/// What a home counts more than the one before it: sessions and prefixes stay unless that costs more time than
/// chance moves what is believed of a server.
const NEXT_HOME_US: Micros = 60_000;
/// What a server of another zone counts more.
const OTHER_ZONE_US: Micros = 2_000;
/// What is read anew counts so many times its time for each request that it holds up: beside these it takes memory that
/// other prefixes have. Of 0.5, 1, 2, 3 and 4 the largest three lie within 0.05 of each other on one site
/// (`docs/routing-measures.md`).
const READ_ANEW: f64 = 3.0;
/// Reading anew counts no more than this, whatever servers and clients tell.
const DEAREST_US: Micros = 3_600_000_000;
/// Milliseconds of a server's work that one token to be made takes beside others.
const OUT_TOKEN_MS: f64 = 0.1;
/// Prompt tokens a millisecond that a key's load is told by.
const KEY_PREFILL: f64 = 50.0;
/// Homes that are all slower than this part of the objective are compared with two other members.
const LOADED: f64 = 0.8;
/// How much a silence counts.
const SILENCE_COST: Micros = 4;
/// What a server that always fails counts more, in objectives.
const FAILING_COST: f64 = 0.5;
/// What a cold server's time is multiplied by.
const COLD: Micros = 2;
/// A server whose memory is full counts more by this.
const MEMORY_FULL_US: Micros = 400_000;
/// Part of a model server's places that must be taken before anything is refused there: one long prompt that is
/// being read is no overload.
const BUSY: f64 = 0.125;
/// Requests for each slot that a plain server takes, running and queued.
const PLAIN_DEPTH: f64 = 4.0;

/// A server that may take the request.
#[derive(Clone, Copy)]
pub(crate) struct Candidate {
    place: u32,
    /// What it is compared by, lower first.
    cost: Micros,
    /// When the first event is expected, from now.
    first_response_us: Micros,
    estimate: Estimate,
}

/// The request with what follows from it.
struct Query<'a> {
    now: Micros,
    service: usize,
    request: &'a RoutingRequest<'a>,
    work: RequestProfile<'a>,
    /// Tokens of the prompt that no other request reads.
    own: u32,
    /// Tokens at its front that every server is taken to keep.
    common: u32,
}

/// What speaks for or against a server before it is looked at.
#[derive(Clone, Copy, Default)]
struct Bias {
    /// Tokens at the front of the prompt taken to be kept there.
    kept: u32,
    more: Micros,
}

impl Router {
    /// Decides what is done with a request now. A decision to send counts as in flight until [`Router::ended`].
    pub fn choose(&mut self, now: Micros, request: &RoutingRequest<'_>) -> Decision {
        let known = self.by_name.get(request.service).copied();
        let Some(service) = known.filter(|at| !self.services[*at].pools.ready.is_empty()) else {
            return refuse(request, NO_SERVER_AGAIN, RefusalReason::NoServer);
        };
        let locality = locality::locality(request.parts);
        let (shared, common) = locality.map_or((0, 0), |locality| (locality.shared, locality.common));
        let own = request.prompt_tokens.saturating_sub(shared);
        let query = Query { now, service, request, work: workload(request), own, common };
        let load = locality.map(|locality| self.count_key(&query, &locality)).unwrap_or_default();
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        self.collect(&query, locality, load, &mut candidates);
        let best = candidates.iter().copied().min_by_key(|candidate| candidate.cost);
        self.candidates = candidates;
        match best {
            Some(best) if !self.is_too_late(&query, &best) => {
                if let Some(session) = locality.filter(|locality| locality.is_session) {
                    self.keys.sent(session.key, self.servers.handle(best.place));
                }
                self.send(&query, &best)
            }
            Some(best) => {
                let beyond = best.first_response_us.saturating_sub(request.target_latency / 2);
                refuse(request, beyond.clamp(AGAIN.0, AGAIN.1), RefusalReason::Overloaded)
            }
            None => self.wait_or_refuse(&query),
        }
    }

    /// Counts the request's key, and says what the whole fleet asks of it.
    fn count_key(&mut self, query: &Query<'_>, locality: &Locality) -> KeyLoad {
        let service_time_ms =
            f64::from(query.own) / KEY_PREFILL + f64::from(query.request.max_output_tokens) * OUT_TOKEN_MS;
        let load = match query.request.is_first_attempt {
            true => self.keys.count(query.now, locality.key, service_time_ms),
            false => self.keys.load(query.now, locality.key),
        };
        let nodes = f64::from(self.nodes);
        KeyLoad { per_s: load.per_s * nodes, load: load.load * nodes, ..load }
    }

    /// Gathers the servers to compare: two homes of the prefix, else or if those are loaded two random members.
    fn collect(
        &mut self,
        query: &Query<'_>,
        locality: Option<Locality>,
        load: KeyLoad,
        candidates: &mut Vec<Candidate>,
    ) {
        match locality {
            Some(locality) if locality.is_session => self.session(query, load.last, candidates),
            Some(locality) => self.homes(query, &locality, load, candidates),
            None => {}
        }
        let target = query.request.target_latency;
        let slower_than = |part: f64, found: &[Candidate]| {
            let bound = (target as f64 * part) as Micros;
            found.iter().all(|candidate| candidate.cost > bound)
        };
        if slower_than(LOADED, candidates) {
            self.draw(query, false, candidates);
        }
        if slower_than(1.0, candidates) {
            self.draw(query, true, candidates);
        }
        if candidates.is_empty() {
            self.scan(query, candidates);
        }
    }

    /// The server that the session was sent to before, and two random members.
    fn session(&mut self, query: &Query<'_>, last: Option<ServerHandle>, candidates: &mut Vec<Candidate>) {
        if let Some(place) = last.and_then(|last| self.servers.place(last)) {
            candidates.extend(self.candidate(query, place, Bias::default()));
        }
        self.draw(query, false, candidates);
    }

    /// The first two homes that can take it.
    fn homes(
        &mut self,
        query: &Query<'_>,
        locality: &Locality,
        load: KeyLoad,
        candidates: &mut Vec<Candidate>,
    ) {
        let mut found = std::mem::take(&mut self.found);
        let pool = self.services[query.service].pools.pool(query.request.tenant);
        let count = locality::home_count(load.load, pool.len());
        locality::homes(pool, locality.key, count.max(2) + 1, &mut found);
        let several = count.min(found.len());
        if several > 1 {
            // Of several homes a session keeps to the same ones.
            let by_session = |(rank, _): &(u64, u32)| std::cmp::Reverse(locality::mix(locality.order, *rank));
            found[..several].sort_unstable_by_key(by_session);
        }
        for (at, (_, place)) in found.iter().enumerate() {
            let bias = Bias {
                // What others sent there is not known, but where they send it is.
                kept: if at < count { locality.shared } else { 0 },
                more: NEXT_HOME_US * at as Micros,
            };
            candidates.extend(self.candidate(query, *place, bias));
            if candidates.len() == 2 {
                break;
            }
        }
        self.found = found;
    }

    /// Two random members of the pool, or of all ready servers: the comparison of the design.
    fn draw(&mut self, query: &Query<'_>, all: bool, candidates: &mut Vec<Candidate>) {
        let members = self.members(query, all).len();
        let first = self.random.usize(..members.max(1));
        let second = (first + 1 + self.random.usize(..members.max(2) - 1)) % members.max(1);
        for at in [first, second] {
            let Some(&(_, place)) = self.members(query, all).get(at) else { continue };
            if candidates.iter().all(|candidate| candidate.place != place) {
                candidates.extend(self.candidate(query, place, Bias::default()));
            }
        }
    }

    /// Every member of the pool, then every ready server, then those that are ejected as well: a pool is never
    /// emptied by suspicion.
    fn scan(&mut self, query: &Query<'_>, candidates: &mut Vec<Candidate>) {
        for all in [false, true] {
            for &(_, place) in self.members(query, all) {
                candidates.extend(self.candidate(query, place, Bias::default()));
            }
            if !candidates.is_empty() {
                return;
            }
        }
        for &(_, place) in self.members(query, true) {
            let Some(server) = self.servers.at(place) else { continue };
            if self.may_take(query, place, server) {
                let more = server.health.ejected_for(query.now);
                candidates.push(self.weigh(query, place, server, Bias { kept: 0, more }));
            }
        }
    }

    fn members(&self, query: &Query<'_>, all: bool) -> &[Member] {
        let pools = &self.services[query.service].pools;
        if all { &pools.ready } else { pools.pool(query.request.tenant) }
    }

    /// A server as a candidate, unless it is ejected or can't take the request.
    fn candidate(&self, query: &Query<'_>, place: u32, bias: Bias) -> Option<Candidate> {
        let server = self.servers.at(place)?;
        if server.health.is_ejected(query.now) || !self.may_take(query, place, server) {
            return None;
        }
        Some(self.weigh(query, place, server, bias))
    }

    /// Whether it is ready, was not tried, did not just say that it is full, and has a connection and room left.
    fn may_take(&self, query: &Query<'_>, place: u32, server: &Server) -> bool {
        let spec = self.services[query.service].spec.as_ref();
        let connections = spec.map_or(0, |spec| spec.max_connections);
        let own = if connections == 0 { u32::MAX } else { (connections / self.nodes).max(1) };
        server.info.ready
            && !query.request.excluded.contains(&self.servers.handle(place))
            && !server.health.is_full(query.now)
            && server.model.in_flight() < own
            && self.has_depth(query.now, server)
    }

    /// Whether a plain server's queue has room.
    fn has_depth(&self, now: Micros, server: &Server) -> bool {
        let shape = server.model.capacity();
        let most = f64::from(shape.slots.max(1)) * PLAIN_DEPTH;
        shape.has_engine() || server.model.fleet_in_flight(now, self.nodes) < most
    }

    fn weigh(&self, query: &Query<'_>, place: u32, server: &Server, bias: Bias) -> Candidate {
        let speed = &self.services[query.service].speed;
        let estimate =
            server.model.estimate(query.now, self.nodes, speed, &query.work, bias.kept.max(query.common));
        let is_cold = query.now < server.cold_until;
        let first_response_us = estimate.first_response_us.saturating_mul(if is_cold { COLD } else { 1 });
        let anew = f64::from(estimate.prefill_tokens.saturating_sub(query.own));
        // Reading holds up all that run there.
        let anew_us = speed.prefill_ms(anew) * 1_000.0 * READ_ANEW * (1.0 + estimate.fleet_in_flight);
        let anew_us = (anew_us as Micros).min(DEAREST_US);
        let mut cost = first_response_us.saturating_add(bias.more).saturating_add(anew_us);
        cost += silence(query.now, server).saturating_mul(SILENCE_COST);
        cost +=
            (query.request.target_latency as f64 * server.health.failing(query.now) * FAILING_COST) as Micros;
        if estimate.memory_full {
            cost += MEMORY_FULL_US;
        }
        if server.info.zone != self.settings.zone {
            cost += OTHER_ZONE_US;
        }
        Candidate { place, cost, first_response_us, estimate }
    }

    /// Whether even at the best server so much waits that the request would only make others late as well. A long
    /// prompt alone is no reason, nor is a queue while places are free and nothing waits.
    fn is_too_late(&self, query: &Query<'_>, best: &Candidate) -> bool {
        let Some(server) = self.servers.at(best.place) else { return true };
        let estimate = &best.estimate;
        if server.model.capacity().has_engine() {
            // One that waits for longer than its objective is late, and makes others late.
            let bound = query.request.target_latency.min(query.request.remaining);
            let is_busy = estimate.fleet_in_flight >= f64::from(server.model.capacity().slots) * BUSY;
            return is_busy && estimate.queue_us > bound;
        }
        best.first_response_us > query.request.remaining
            && estimate.fleet_in_flight >= f64::from(server.model.capacity().slots)
    }

    /// Nothing can take the request now: waits for room for a part of the objective, else refuses.
    fn wait_or_refuse(&self, query: &Query<'_>) -> Decision {
        let request = query.request;
        let ready = self.services[query.service].pools.ready.iter();
        let untried = ready.filter(|(_, place)| !request.excluded.contains(&self.servers.handle(*place)));
        let room = untried.filter_map(|(_, place)| self.servers.at(*place)).map(|server| {
            let full_for = server.health.full_until().saturating_sub(query.now);
            full_for.max(ROOM_SOON)
        });
        let Some(retry_in) = room.min() else { return refuse(request, AGAIN.0, RefusalReason::AllTried) };
        if retry_in <= request.target_latency / HOLD_PART && retry_in < request.remaining {
            return Decision::Wait { retry_in };
        }
        refuse(request, retry_in.clamp(AGAIN.0, AGAIN.1), RefusalReason::Overloaded)
    }

    fn send(&mut self, query: &Query<'_>, best: &Candidate) -> Decision {
        let handle = self.servers.handle(best.place);
        let Some(server) = self.servers.at_mut(best.place) else {
            return refuse(query.request, NO_SERVER_AGAIN, RefusalReason::NoServer);
        };
        let speed = &self.services[query.service].speed;
        let work = server.model.record_sent(query.now, self.nodes, speed, &query.work, &best.estimate);
        let attempt =
            self.attempts.add(Attempt { server: handle, work, due: query.now + best.first_response_us });
        server.health.sent(query.now, attempt);
        Decision::Send { server: handle, attempt }
    }
}

fn refuse(request: &RoutingRequest<'_>, after: Micros, reason: RefusalReason) -> Decision {
    Decision::Refuse { retry_after: after.min(request.remaining / AGAIN_PART), reason }
}

fn workload<'a>(request: &RoutingRequest<'a>) -> RequestProfile<'a> {
    let RoutingRequest { parts, prompt_tokens, max_output_tokens, priority, .. } = *request;
    RequestProfile { parts, prompt_tokens, max_output_tokens, priority }
}
