//! The routing decision for one request.

use dunelink_serving_model::{Estimate, Micros, RequestProfile};

use crate::attempts::Attempt;
use crate::locality::{self, KeyLoad, Locality};
use crate::pools::Member;
use crate::router::silence_us;
use crate::servers::Server;
use crate::{Decision, RefusalReason, Router, RoutingRequest, ServerHandle};

/// Retry time for a client while no server is ready, in microseconds.
const NO_SERVER_RETRY_AFTER_US: Micros = 300_000;
/// Minimum and maximum retry time for a refused client, in microseconds.
const RETRY_AFTER_RANGE_US: (Micros, Micros) = (100_000, 1_500_000);
/// The retry time is at most the client's remaining time divided by this: a client respects at most a third
/// of it.
const RETRY_AFTER_DIVISOR: Micros = 4;
/// How soon to try again while connection limits or full servers prevent a decision, in microseconds.
const FULL_RETRY_IN_US: Micros = 20_000;
/// A request waits for at most its latency objective divided by this before it is refused.
const MAX_WAIT_DIVISOR: Micros = 4;
/// Cost of each home compared with the one ranked before it, in microseconds. Sessions and prefixes stay at
/// their home unless that costs more time than the random error of a server's estimate.
const NEXT_HOME_PENALTY_US: Micros = 60_000;
/// Cost of a server in another zone, in microseconds.
const CROSS_ZONE_PENALTY_US: Micros = 2_000;
/// Weight of the time to recompute a shared prefix, for each request that the computation delays. It exceeds
/// 1 because the recomputed prefix also evicts other prefixes from memory. Of 0.5, 1, 2, 3 and 4, the largest
/// three give results within 0.05 of each other at one site.
const RECOMPUTE_WEIGHT: f64 = 3.0;
/// Upper bound of the recomputation cost, in microseconds, whatever figures servers and clients report.
const MAX_RECOMPUTE_COST_US: Micros = 3_600_000_000;
/// Server time that generating one output token takes in a batch, in milliseconds.
const OUTPUT_TOKEN_MS: f64 = 0.1;
/// Prefill speed assumed for the load of a key, in prompt tokens per millisecond.
const ASSUMED_PREFILL_TOKENS_PER_MS: f64 = 50.0;
/// Share of the latency objective: if all candidate homes exceed it, two other members of the pool are
/// compared as well.
const LOADED_HOME_LATENCY_SHARE: f64 = 0.8;
/// Weight of the time for which a server has been silent.
const SILENCE_COST_FACTOR: Micros = 4;
/// Cost of a server whose responses all fail, as a share of the latency objective.
const FAILURE_COST_SHARE: f64 = 0.5;
/// Factor for the latency of a cold server.
const COLD_LATENCY_FACTOR: Micros = 2;
/// Cost of a server without free memory, in microseconds.
const MEMORY_FULL_PENALTY_US: Micros = 400_000;
/// Share of a model server's slots that must be taken before requests are refused there: a single long prompt
/// that is being processed is no overload.
const BUSY_SLOT_SHARE: f64 = 0.125;
/// Maximum number of requests, running and queued, for each slot of a server without an engine.
const MAX_PLAIN_REQUESTS_PER_SLOT: f64 = 4.0;

/// A server that can take the request.
#[derive(Clone, Copy)]
pub(crate) struct Candidate {
    /// Index in the server table.
    index: u32,
    /// Score for the comparison of candidates, in microseconds; the lowest wins.
    cost: Micros,
    /// Expected time until the first event.
    first_response_us: Micros,
    estimate: Estimate,
}

/// A request with the figures derived from it.
struct RequestContext<'a> {
    now: Micros,
    service: usize,
    request: &'a RoutingRequest<'a>,
    profile: RequestProfile<'a>,
    /// Prompt tokens that no other request shares.
    own_tokens: u32,
    /// Tokens at the front of the prompt that every server is assumed to have cached.
    common_tokens: u32,
}

/// Adjustments to the score of a server that follow from how it was selected.
#[derive(Clone, Copy, Default)]
struct Bias {
    /// Tokens at the front of the prompt that are assumed to be cached there.
    cached_tokens: u32,
    penalty_us: Micros,
}

impl Router {
    /// Decides what to do with a request now. A request that is to be sent counts as in flight until
    /// [`Router::record_outcome`].
    pub fn choose(&mut self, now: Micros, request: &RoutingRequest<'_>) -> Decision {
        let service_index = self.service_by_name.get(request.service).copied();
        let Some(service) = service_index.filter(|index| !self.services[*index].pools.ready.is_empty())
        else {
            return refuse(request, NO_SERVER_RETRY_AFTER_US, RefusalReason::NoServer);
        };
        let locality = locality::locality(request.parts);
        let (shared_tokens, common_tokens) =
            locality.map_or((0, 0), |locality| (locality.shared_tokens, locality.common_tokens));
        let own_tokens = request.prompt_tokens.saturating_sub(shared_tokens);
        let context = RequestContext {
            now,
            service,
            request,
            profile: request_profile(request),
            own_tokens,
            common_tokens,
        };
        let load = locality.map(|locality| self.record_key_load(&context, &locality)).unwrap_or_default();
        let mut candidates = std::mem::take(&mut self.candidate_buffer);
        candidates.clear();
        self.collect_candidates(&context, locality, load, &mut candidates);
        let best = candidates.iter().copied().min_by_key(|candidate| candidate.cost);
        self.candidate_buffer = candidates;
        match best {
            Some(best) if !self.should_shed(&context, &best) => {
                if let Some(session) = locality.filter(|locality| locality.is_session) {
                    self.keys.record_server(session.key, self.servers.handle(best.index));
                }
                self.send(&context, &best)
            }
            Some(best) => {
                let excess_us = best.first_response_us.saturating_sub(request.target_latency / 2);
                refuse(
                    request,
                    excess_us.clamp(RETRY_AFTER_RANGE_US.0, RETRY_AFTER_RANGE_US.1),
                    RefusalReason::Overloaded,
                )
            }
            None => self.wait_or_refuse(&context),
        }
    }

    /// Records a request for the key, and returns the estimated load of the key over the whole fleet.
    fn record_key_load(&mut self, context: &RequestContext<'_>, locality: &Locality) -> KeyLoad {
        let service_time_ms = f64::from(context.own_tokens) / ASSUMED_PREFILL_TOKENS_PER_MS
            + f64::from(context.request.max_output_tokens) * OUTPUT_TOKEN_MS;
        let load = match context.request.is_first_attempt {
            true => self.keys.record(context.now, locality.key, service_time_ms),
            false => self.keys.load(context.now, locality.key),
        };
        let fleet_size = f64::from(self.fleet_size);
        KeyLoad {
            requests_per_s: load.requests_per_s * fleet_size,
            server_load: load.server_load * fleet_size,
            ..load
        }
    }

    /// Collects the servers to compare: two homes of the prefix, and two random members of the pool if there
    /// are no homes or the homes are loaded.
    fn collect_candidates(
        &mut self,
        context: &RequestContext<'_>,
        locality: Option<Locality>,
        load: KeyLoad,
        candidates: &mut Vec<Candidate>,
    ) {
        match locality {
            Some(locality) if locality.is_session => {
                self.add_session_candidates(context, load.last_server, candidates)
            }
            Some(locality) => self.add_home_candidates(context, &locality, load, candidates),
            None => {}
        }
        let target = context.request.target_latency;
        let slower_than = |share: f64, found: &[Candidate]| {
            let bound = (target as f64 * share) as Micros;
            found.iter().all(|candidate| candidate.cost > bound)
        };
        if slower_than(LOADED_HOME_LATENCY_SHARE, candidates) {
            self.add_random_candidates(context, false, candidates);
        }
        if slower_than(1.0, candidates) {
            self.add_random_candidates(context, true, candidates);
        }
        if candidates.is_empty() {
            self.add_all_candidates(context, candidates);
        }
    }

    /// Adds the server that the session was last sent to, and two random members of the pool.
    fn add_session_candidates(
        &mut self,
        context: &RequestContext<'_>,
        last_server: Option<ServerHandle>,
        candidates: &mut Vec<Candidate>,
    ) {
        if let Some(index) = last_server.and_then(|handle| self.servers.index_of(handle)) {
            candidates.extend(self.eligible_candidate(context, index, Bias::default()));
        }
        self.add_random_candidates(context, false, candidates);
    }

    /// Adds the first two homes that can take the request.
    fn add_home_candidates(
        &mut self,
        context: &RequestContext<'_>,
        locality: &Locality,
        load: KeyLoad,
        candidates: &mut Vec<Candidate>,
    ) {
        let mut homes = std::mem::take(&mut self.home_buffer);
        let pool = self.services[context.service].pools.pool_for_tenant(context.request.tenant);
        let count = locality::home_count(load.server_load, pool.len());
        locality::homes(pool, locality.key, count.max(2) + 1, &mut homes);
        let primary_homes = count.min(homes.len());
        if primary_homes > 1 {
            // With several homes, each session keeps to the same ones.
            let by_session =
                |(rank, _): &(u64, u32)| std::cmp::Reverse(locality::mix(locality.spread_key, *rank));
            homes[..primary_homes].sort_unstable_by_key(by_session);
        }
        for (rank, (_, index)) in homes.iter().enumerate() {
            let bias = Bias {
                // It is unknown what other processes sent to this server, but they select the same homes for
                // the key.
                cached_tokens: if rank < count { locality.shared_tokens } else { 0 },
                penalty_us: NEXT_HOME_PENALTY_US * rank as Micros,
            };
            candidates.extend(self.eligible_candidate(context, *index, bias));
            if candidates.len() == 2 {
                break;
            }
        }
        self.home_buffer = homes;
    }

    /// Adds two random members of the pool, or of all ready servers if `all_ready` is set.
    fn add_random_candidates(
        &mut self,
        context: &RequestContext<'_>,
        all_ready: bool,
        candidates: &mut Vec<Candidate>,
    ) {
        let members = self.members(context, all_ready).len();
        let first = self.random.usize(..members.max(1));
        let second = (first + 1 + self.random.usize(..members.max(2) - 1)) % members.max(1);
        for at in [first, second] {
            let Some(&(_, index)) = self.members(context, all_ready).get(at) else { continue };
            if candidates.iter().all(|candidate| candidate.index != index) {
                candidates.extend(self.eligible_candidate(context, index, Bias::default()));
            }
        }
    }

    /// Adds every member of the pool; if none is eligible, every ready server; and if none of these is, the
    /// ejected ones too: ejection never leaves a service without servers.
    fn add_all_candidates(&mut self, context: &RequestContext<'_>, candidates: &mut Vec<Candidate>) {
        for all_ready in [false, true] {
            for &(_, index) in self.members(context, all_ready) {
                candidates.extend(self.eligible_candidate(context, index, Bias::default()));
            }
            if !candidates.is_empty() {
                return;
            }
        }
        for &(_, index) in self.members(context, true) {
            let Some(server) = self.servers.by_index(index) else { continue };
            if self.can_take(context, index, server) {
                let penalty_us = server.health.ejected_for(context.now);
                candidates.push(self.score(context, index, server, Bias { cached_tokens: 0, penalty_us }));
            }
        }
    }

    fn members(&self, context: &RequestContext<'_>, all_ready: bool) -> &[Member] {
        let pools = &self.services[context.service].pools;
        if all_ready { &pools.ready } else { pools.pool_for_tenant(context.request.tenant) }
    }

    /// The server as a candidate, or `None` if it is ejected or can't take the request.
    fn eligible_candidate(&self, context: &RequestContext<'_>, index: u32, bias: Bias) -> Option<Candidate> {
        let server = self.servers.by_index(index)?;
        if server.health.is_ejected(context.now) || !self.can_take(context, index, server) {
            return None;
        }
        Some(self.score(context, index, server, bias))
    }

    /// Whether the server is ready, was not tried before, has not just reported that it is full, and has a
    /// free connection and queue space.
    fn can_take(&self, context: &RequestContext<'_>, index: u32, server: &Server) -> bool {
        let spec = self.services[context.service].spec.as_ref();
        let max_connections = spec.map_or(0, |spec| spec.max_connections);
        let own_connections =
            if max_connections == 0 { u32::MAX } else { (max_connections / self.fleet_size).max(1) };
        server.info.ready
            && !context.request.excluded.contains(&self.servers.handle(index))
            && !server.health.is_full(context.now)
            && server.model.in_flight() < own_connections
            && self.has_queue_space(context.now, server)
    }

    /// Whether the queue of a server without an engine has space.
    fn has_queue_space(&self, now: Micros, server: &Server) -> bool {
        let capacity = server.model.capacity();
        let max_requests = f64::from(capacity.slots.max(1)) * MAX_PLAIN_REQUESTS_PER_SLOT;
        capacity.has_engine() || server.model.fleet_in_flight(now, self.fleet_size) < max_requests
    }

    fn score(&self, context: &RequestContext<'_>, index: u32, server: &Server, bias: Bias) -> Candidate {
        let speed = &self.services[context.service].speed;
        let estimate = server.model.estimate(
            context.now,
            self.fleet_size,
            speed,
            &context.profile,
            bias.cached_tokens.max(context.common_tokens),
        );
        let is_cold = context.now < server.cold_until;
        let first_response_us =
            estimate.first_response_us.saturating_mul(if is_cold { COLD_LATENCY_FACTOR } else { 1 });
        let recomputed_tokens = f64::from(estimate.prefill_tokens.saturating_sub(context.own_tokens));
        // Prefill delays every request that runs there.
        let recompute_us = speed.prefill_ms(recomputed_tokens)
            * 1_000.0
            * RECOMPUTE_WEIGHT
            * (1.0 + estimate.fleet_in_flight);
        let recompute_us = (recompute_us as Micros).min(MAX_RECOMPUTE_COST_US);
        let mut cost = first_response_us.saturating_add(bias.penalty_us).saturating_add(recompute_us);
        cost += silence_us(context.now, server).saturating_mul(SILENCE_COST_FACTOR);
        cost += (context.request.target_latency as f64
            * server.health.failure_rate(context.now)
            * FAILURE_COST_SHARE) as Micros;
        if estimate.memory_full {
            cost += MEMORY_FULL_PENALTY_US;
        }
        if server.info.zone != self.settings.zone {
            cost += CROSS_ZONE_PENALTY_US;
        }
        Candidate { index, cost, first_response_us, estimate }
    }

    /// Whether so much is queued even at the best server that the request would only make others late too.
    /// Neither a long prompt alone is a reason, nor a queue while slots are free and nothing waits.
    fn should_shed(&self, context: &RequestContext<'_>, best: &Candidate) -> bool {
        let Some(server) = self.servers.by_index(best.index) else { return true };
        let estimate = &best.estimate;
        if server.model.capacity().has_engine() {
            // A request that waits longer than its objective is late, and makes others late.
            let bound = context.request.target_latency.min(context.request.remaining);
            let is_busy =
                estimate.fleet_in_flight >= f64::from(server.model.capacity().slots) * BUSY_SLOT_SHARE;
            return is_busy && estimate.queue_us > bound;
        }
        best.first_response_us > context.request.remaining
            && estimate.fleet_in_flight >= f64::from(server.model.capacity().slots)
    }

    /// Handles a request that no server can take now: waits for capacity for a share of the objective, or
    /// refuses.
    fn wait_or_refuse(&self, context: &RequestContext<'_>) -> Decision {
        let request = context.request;
        let ready = self.services[context.service].pools.ready.iter();
        let untried = ready.filter(|(_, index)| !request.excluded.contains(&self.servers.handle(*index)));
        let waits = untried.filter_map(|(_, index)| self.servers.by_index(*index)).map(|server| {
            let full_for = server.health.full_until().saturating_sub(context.now);
            full_for.max(FULL_RETRY_IN_US)
        });
        let Some(retry_in) = waits.min() else {
            return refuse(request, RETRY_AFTER_RANGE_US.0, RefusalReason::AllTried);
        };
        if retry_in <= request.target_latency / MAX_WAIT_DIVISOR && retry_in < request.remaining {
            return Decision::Wait { retry_in };
        }
        refuse(
            request,
            retry_in.clamp(RETRY_AFTER_RANGE_US.0, RETRY_AFTER_RANGE_US.1),
            RefusalReason::Overloaded,
        )
    }

    fn send(&mut self, context: &RequestContext<'_>, best: &Candidate) -> Decision {
        let handle = self.servers.handle(best.index);
        let Some(server) = self.servers.by_index_mut(best.index) else {
            return refuse(context.request, NO_SERVER_RETRY_AFTER_US, RefusalReason::NoServer);
        };
        let speed = &self.services[context.service].speed;
        let request =
            server.model.record_sent(context.now, self.fleet_size, speed, &context.profile, &best.estimate);
        let attempt = self.attempts.add(Attempt {
            server: handle,
            request,
            first_event_due: context.now + best.first_response_us,
        });
        server.health.record_sent(context.now, attempt);
        Decision::Send { server: handle, attempt }
    }
}

fn refuse(request: &RoutingRequest<'_>, retry_after: Micros, reason: RefusalReason) -> Decision {
    Decision::Refuse { retry_after: retry_after.min(request.remaining / RETRY_AFTER_DIVISOR), reason }
}

fn request_profile<'a>(request: &RoutingRequest<'a>) -> RequestProfile<'a> {
    let RoutingRequest { parts, prompt_tokens, max_output_tokens, priority, .. } = *request;
    RequestProfile { parts, prompt_tokens, max_output_tokens, priority }
}
