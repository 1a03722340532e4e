//! The model of one server: the requests of this process that run or wait there, its cache, and the expected
//! latency of a new request.

use crate::reading::decay;
use crate::{LoadReading, Micros, PrefixCache, PromptPart, SpeedEstimate};

/// The highest priority value, which is the least urgent. 0 is the most urgent.
const MAX_PRIORITY: usize = 9;
/// Share of the memory that running requests may take before the server counts as full. The rest is for
/// shared prefixes that run with them, which are counted once or not at all.
const MAX_MEMORY_SHARE: f64 = 0.8;
/// Relative slowdown of a batch by each request in it.
const SLOWDOWN_PER_REQUEST: f64 = 0.01;
/// Latency cost of a plain server with all slots taken, as a share of a request's service time.
const PLAIN_OCCUPANCY_COST: f64 = 0.1;
/// Upper bound of an estimate in milliseconds, whatever figures servers and clients report.
const MAX_ESTIMATE_MS: f64 = 3_600_000.0;
/// How long a reported number of requests counts unchanged, in microseconds.
const FLEET_LOAD_TTL_US: Micros = 1_000_000;
/// Typical error of the estimated number of requests at a server.
const SLOT_ESTIMATE_ERROR: f64 = 1.0;
/// Weight of one request in the moving averages.
const AVERAGE_STEP: f64 = 0.05;
/// Weight of one response in the moving average of the relative latency, and the range to which the relative
/// latency of one response is limited.
const LATENCY_STEP: f64 = 0.2;
const RELATIVE_LATENCY_RANGE: (f64, f64) = (0.25, 8.0);
/// Half-life of the deviation of the relative latency from 1 while no response arrives, in microseconds. It
/// makes a server that was slow get requests again.
const LATENCY_HALF_LIFE_US: f64 = 4_000_000.0;

/// The capacity of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerCapacity {
    /// Requests that the server processes concurrently.
    pub slots: u32,
    /// Capacity of the KV cache in tokens, for running requests and cached parts; 0 for a plain server, which
    /// runs no model.
    pub kv_tokens: u64,
}

impl ServerCapacity {
    /// Whether the server runs a model.
    pub fn has_engine(&self) -> bool {
        self.kv_tokens > 0
    }

    fn slot_count(&self) -> f64 {
        f64::from(self.slots.max(1))
    }
}

/// The properties of a request that determine its cost.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile<'a> {
    /// The parts of the prompt in order.
    pub parts: &'a [PromptPart],
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: u32,
    /// From 0, the most urgent, to 9. Larger values count as 9.
    pub priority: u32,
}

/// A request of this process at a server, from its sending to its end.
#[derive(Clone, Copy, Debug, Default)]
pub struct InFlightRequest {
    sent_at: Micros,
    prefill_tokens: u32,
    /// Prompt tokens of this process that the server had to process first. At a plain server: the expected
    /// latency as a multiple of the service time.
    ahead: f32,
    /// Memory that the request takes beside the cached part of its prompt, in tokens.
    tokens: u32,
    priority: u8,
    started: bool,
}

impl InFlightRequest {
    /// Whether the first token has arrived.
    pub fn has_started(&self) -> bool {
        self.started
    }
}

/// The load that this process puts on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalLoad {
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens of the requests without a first token that need prefill, in the unit passed to
    /// [`ServerModel::report_load`].
    pub pending_prefill: u32,
}

/// The expected cost of a request at one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Time until the first token, or until the response at a plain server.
    pub first_response_us: Micros,
    /// The part of this time by which an idle server of usual speed would be faster.
    pub queue_us: Micros,
    /// Prompt tokens that the server would have to process.
    pub prefill_tokens: u32,
    /// Requests of all senders in flight at the server now. May exceed its number of slots.
    pub fleet_in_flight: f64,
    /// Whether the memory has no room for the request beside the running ones.
    pub memory_full: bool,
}

/// Estimated state of one server. The parameter `nodes` is always the number of processes that send requests
/// to it.
pub struct ServerModel {
    capacity: ServerCapacity,
    prefix_cache: PrefixCache,
    /// Prompt tokens of this process that the server has yet to process, by priority, as of
    /// `prefill_updated_at`.
    queued_prefill: [f64; MAX_PRIORITY + 1],
    /// Prompt tokens to process for the requests of this process that have no first token yet, by priority.
    /// An upper bound of `queued_prefill`.
    unstarted_prefill: [f64; MAX_PRIORITY + 1],
    prefill_updated_at: Micros,
    in_flight: u32,
    running_tokens: u64,
    /// Moving averages over the requests of this process: prompt tokens to process, and memory taken in
    /// tokens.
    mean_prefill_tokens: f64,
    mean_running_tokens: f64,
    /// Moving average of the number of requests of other senders.
    mean_other_in_flight: f64,
    /// Latency relative to the expectation for the service, and the time of the last update, by priority.
    relative_latencies: [(f32, Micros); MAX_PRIORITY + 1],
    last_reading: Option<LoadReading>,
    /// The last reported number of requests of other senders, and the time of the report.
    reported_other_in_flight: Option<(Micros, u32)>,
    /// The last reported number of prompt tokens to process for other senders, and the time of the report.
    reported_other_prefill: Option<(Micros, u32)>,
    /// The last two reports of this process's own load, the later one first.
    reported_loads: [LocalLoad; 2],
    /// The number of tokens that one unit of `pending_prefill` in `reported_loads` stands for.
    prefill_unit: u32,
}

impl ServerModel {
    /// Creates the model of a server about which nothing is known yet.
    pub fn new(capacity: ServerCapacity) -> ServerModel {
        ServerModel {
            capacity,
            prefix_cache: PrefixCache::default(),
            queued_prefill: [0.0; MAX_PRIORITY + 1],
            unstarted_prefill: [0.0; MAX_PRIORITY + 1],
            prefill_updated_at: 0,
            in_flight: 0,
            running_tokens: 0,
            mean_prefill_tokens: 0.0,
            mean_running_tokens: 0.0,
            mean_other_in_flight: 0.0,
            relative_latencies: [(1.0, 0); MAX_PRIORITY + 1],
            last_reading: None,
            reported_other_in_flight: None,
            reported_other_prefill: None,
            reported_loads: [LocalLoad::default(); 2],
            prefill_unit: 1,
        }
    }

    /// Slots and memory of the server.
    pub fn capacity(&self) -> ServerCapacity {
        self.capacity
    }

    /// Sets new slots or memory, and keeps all other state.
    pub fn set_capacity(&mut self, capacity: ServerCapacity) {
        self.capacity = capacity;
        self.prefix_cache.evict_to(capacity.kv_tokens);
    }

    /// Requests of this process in flight at the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Memory that the requests of this process take beside what was cached before, in tokens. Includes the
    /// tokens still to be generated.
    pub fn running_tokens(&self) -> u64 {
        self.running_tokens
    }

    /// The prompt parts that the server is estimated to have cached.
    pub fn prefix_cache(&self) -> &PrefixCache {
        &self.prefix_cache
    }

    /// Latency of the server for requests of this priority relative to the expectation for its service: 1 is
    /// as expected, and more is a slower or busier server.
    pub fn relative_latency(&self, now: Micros, priority: u32) -> f64 {
        let (observed, at) = self.relative_latencies[(priority as usize).min(MAX_PRIORITY)];
        1.0 + (f64::from(observed) - 1.0) * decay(now.saturating_sub(at), LATENCY_HALF_LIFE_US)
    }

    /// The highest relative latency of any priority.
    pub fn max_relative_latency(&self, now: Micros) -> f64 {
        let all = (0..=MAX_PRIORITY as u32).map(|priority| self.relative_latency(now, priority));
        all.fold(0.0, f64::max)
    }

    /// Requests of all senders at the server, running and queued.
    pub fn fleet_in_flight(&self, now: Micros, nodes: u32) -> f64 {
        f64::from(self.in_flight) + self.other_in_flight(now, nodes)
    }

    fn other_in_flight(&self, now: Micros, nodes: u32) -> f64 {
        if nodes <= 1 {
            return 0.0;
        }
        if let Some((at, other_in_flight)) = self.reported_other_in_flight
            && now < at + FLEET_LOAD_TTL_US
        {
            return f64::from(other_in_flight);
        }
        self.last_reading
            .map_or(0.0, |reading| reading.other_in_flight(now, self.mean_other_in_flight))
            .max(0.0)
    }

    /// Records how many requests of all senders the fleet recently had in flight at the server, and how many
    /// prompt tokens were still to be processed for them.
    pub fn observe_fleet_load(&mut self, now: Micros, requests: u32, pending_prefill: u32) {
        // The fleet's sums include the load of this process as of the report before the last.
        let own = self.reported_loads[1];
        self.reported_other_in_flight = Some((now, requests.saturating_sub(own.requests)));
        self.reported_other_prefill = Some((
            now,
            pending_prefill.saturating_sub(own.pending_prefill.saturating_mul(self.prefill_unit)),
        ));
    }

    /// Records that the load of this process is reported now, with prefill in units of `prefill_unit` tokens.
    /// Returns the load, and whether it has changed since the last report.
    pub fn report_load(&mut self, prefill_unit: u32) -> (LocalLoad, bool) {
        let pending_units = self.unstarted_prefill.iter().sum::<f64>() / f64::from(prefill_unit.max(1));
        let load = LocalLoad { requests: self.in_flight, pending_prefill: pending_units.round() as u32 };
        let previous = self.reported_loads[0];
        self.reported_loads = [load, previous];
        self.prefill_unit = prefill_unit;
        (load, load != previous)
    }

    /// Estimates the cost of sending a request now. `assumed_cached_tokens` tokens at the front of its prompt
    /// are assumed to be cached because other processes send requests with the same prefix there.
    pub fn estimate(
        &self,
        now: Micros,
        nodes: u32,
        speed: &SpeedEstimate,
        request: &RequestProfile<'_>,
        assumed_cached_tokens: u32,
    ) -> Estimate {
        let other_in_flight = self.other_in_flight(now, nodes);
        let fleet_in_flight = f64::from(self.in_flight) + other_in_flight;
        let latency = self.relative_latency(now, request.priority);
        if !self.capacity.has_engine() {
            return self.estimate_plain(fleet_in_flight, speed.service_time_ms * latency);
        }
        let cached_tokens = self
            .prefix_cache
            .cached_prefix_tokens(request.parts)
            .max(assumed_cached_tokens)
            .min(request.prompt_tokens);
        let prefill_tokens = request.prompt_tokens - cached_tokens;
        let ahead = self.prefill_ahead(now, speed, request.priority, other_in_flight);
        let batch_slowdown = 1.0 + SLOWDOWN_PER_REQUEST * fleet_in_flight;
        let slots_to_free = expected_slots_to_free(fleet_in_flight + 1.0 - self.capacity.slot_count());
        let slot_wait_ms = slots_to_free * speed.service_time_ms / self.capacity.slot_count();
        let unloaded_ms = speed.first_token_ms(f64::from(prefill_tokens));
        let first_token_ms = ((unloaded_ms + speed.prefill_ms(ahead)) * batch_slowdown * latency
            + slot_wait_ms)
            .min(MAX_ESTIMATE_MS);
        let used_tokens = self.running_tokens as f64 + other_in_flight * self.mean_running_tokens;
        let request_tokens = f64::from(prefill_tokens.saturating_add(request.max_output_tokens));
        let memory_full = used_tokens + request_tokens > self.capacity.kv_tokens as f64 * MAX_MEMORY_SHARE;
        let first_response_us = (first_token_ms * 1_000.0) as Micros;
        let queue_us = ((first_token_ms - unloaded_ms).max(0.0) * 1_000.0) as Micros;
        Estimate { first_response_us, queue_us, prefill_tokens, fleet_in_flight, memory_full }
    }

    fn estimate_plain(&self, fleet_in_flight: f64, service_time_ms: f64) -> Estimate {
        // While slots are free, the server with fewer requests is still the better one.
        let occupancy_cost = (fleet_in_flight / self.capacity.slot_count()).min(1.0) * PLAIN_OCCUPANCY_COST;
        let latency_factor = self.plain_latency_factor(fleet_in_flight);
        let first_response_us = (service_time_ms * (latency_factor + occupancy_cost) * 1_000.0) as Micros;
        let queue_us = (service_time_ms * (latency_factor - 1.0) * 1_000.0) as Micros;
        Estimate { first_response_us, queue_us, prefill_tokens: 0, fleet_in_flight, memory_full: false }
    }

    /// Expected latency of a request at a plain server, as a multiple of its service time.
    fn plain_latency_factor(&self, fleet_in_flight: f64) -> f64 {
        1.0 + ((fleet_in_flight + 1.0 - self.capacity.slot_count()) / self.capacity.slot_count()).max(0.0)
    }

    /// Prompt tokens that the server processes before those of a request with this priority.
    fn prefill_ahead(&self, now: Micros, speed: &SpeedEstimate, priority: u32, other_in_flight: f64) -> f64 {
        let last = (priority as usize).min(MAX_PRIORITY);
        let processed =
            speed.prefill_tokens_per_ms * now.saturating_sub(self.prefill_updated_at) as f64 / 1_000.0;
        let own = (self.queued_prefill[..=last].iter().sum::<f64>() - processed).max(0.0);
        let waiting =
            self.last_reading.map_or(0.0, |reading| reading.decayed_waiting(now)).min(other_in_flight);
        own + self.other_prefill(now, speed).unwrap_or(waiting * self.mean_prefill_tokens)
    }

    /// Prompt tokens of other senders that the server has yet to process, if they were reported recently.
    fn other_prefill(&self, now: Micros, speed: &SpeedEstimate) -> Option<f64> {
        let (at, prefill) = self.reported_other_prefill.filter(|(at, _)| now < at + FLEET_LOAD_TTL_US)?;
        let processed = speed.prefill_tokens_per_ms * now.saturating_sub(at) as f64 / 1_000.0;
        Some((f64::from(prefill) - processed).max(0.0))
    }

    /// Removes the prompt tokens that the server must have processed since the last update, the most urgent
    /// first.
    fn drain_prefill(&mut self, now: Micros, speed: &SpeedEstimate) {
        let span = now.saturating_sub(self.prefill_updated_at) as f64 / 1_000.0;
        self.prefill_updated_at = self.prefill_updated_at.max(now);
        let mut processed = speed.prefill_tokens_per_ms * span;
        for queued in &mut self.queued_prefill {
            let drained = queued.min(processed);
            *queued -= drained;
            processed -= drained;
        }
    }

    /// Records that a request is sent to the server with this estimate.
    pub fn record_sent(
        &mut self,
        now: Micros,
        nodes: u32,
        speed: &SpeedEstimate,
        request: &RequestProfile<'_>,
        estimate: &Estimate,
    ) -> InFlightRequest {
        self.drain_prefill(now, speed);
        self.in_flight += 1;
        let priority = (request.priority as usize).min(MAX_PRIORITY);
        if !self.capacity.has_engine() {
            let ahead = self.plain_latency_factor(estimate.fleet_in_flight) as f32;
            return InFlightRequest {
                sent_at: now,
                ahead,
                priority: priority as u8,
                ..InFlightRequest::default()
            };
        }
        let prefill_tokens = f64::from(estimate.prefill_tokens);
        let tokens = estimate.prefill_tokens.saturating_add(request.max_output_tokens);
        let ahead = self.queued_prefill[..=priority].iter().sum::<f64>() as f32;
        self.queued_prefill[priority] += prefill_tokens;
        self.unstarted_prefill[priority] += prefill_tokens;
        self.running_tokens += u64::from(tokens);
        self.mean_prefill_tokens += (prefill_tokens - self.mean_prefill_tokens) * AVERAGE_STEP;
        self.mean_running_tokens += (f64::from(tokens) - self.mean_running_tokens) * AVERAGE_STEP;
        let cache_tokens = self.capacity.kv_tokens.saturating_sub(self.running_tokens / 2);
        self.prefix_cache.record_use(request.parts, cache_tokens, nodes);
        let priority = priority as u8;
        InFlightRequest {
            sent_at: now,
            prefill_tokens: estimate.prefill_tokens,
            ahead,
            tokens,
            priority,
            started: false,
        }
    }

    /// Records the first token of a request, and learns from its latency.
    pub fn record_first_event(
        &mut self,
        now: Micros,
        speed: &mut SpeedEstimate,
        request: &mut InFlightRequest,
    ) {
        if std::mem::replace(&mut request.started, true) || !self.capacity.has_engine() {
            return;
        }
        self.drain_prefill(now, speed);
        self.remove_prefill(request);
        let tokens = f64::from(request.prefill_tokens) + f64::from(request.ahead);
        let elapsed_ms = now.saturating_sub(request.sent_at) as f64 / 1_000.0;
        self.observe_latency(now, request.priority, elapsed_ms / speed.first_token_ms(tokens));
        speed.observe_first_token(tokens, elapsed_ms);
    }

    /// Records the end of a request. `served` tells whether its total latency is valid for learning.
    pub fn record_end(
        &mut self,
        now: Micros,
        speed: &mut SpeedEstimate,
        request: &InFlightRequest,
        served: bool,
    ) {
        self.drain_prefill(now, speed);
        if !request.started {
            self.remove_prefill(request);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        self.running_tokens = self.running_tokens.saturating_sub(u64::from(request.tokens));
        if !served {
            return;
        }
        let elapsed_ms = now.saturating_sub(request.sent_at) as f64 / 1_000.0;
        if self.capacity.has_engine() {
            speed.observe_service_time(elapsed_ms);
            return;
        }
        let service_time_ms = elapsed_ms / f64::from(request.ahead.max(1.0));
        self.observe_latency(now, request.priority, service_time_ms / speed.service_time_ms);
        speed.observe_service_time(service_time_ms);
    }

    fn observe_latency(&mut self, now: Micros, priority: u8, observed: f64) {
        let previous = self.relative_latency(now, priority.into());
        let observed = observed.clamp(RELATIVE_LATENCY_RANGE.0, RELATIVE_LATENCY_RANGE.1);
        let updated = previous + (observed - previous) * LATENCY_STEP;
        self.relative_latencies[usize::from(priority)] = (updated as f32, now);
    }

    /// Removes a request from the prompt tokens that are yet to be processed.
    fn remove_prefill(&mut self, request: &InFlightRequest) {
        let priority = usize::from(request.priority);
        let unstarted = (self.unstarted_prefill[priority] - f64::from(request.prefill_tokens)).max(0.0);
        self.unstarted_prefill[priority] = unstarted;
        self.queued_prefill[priority] = self.queued_prefill[priority].min(unstarted);
    }

    /// Records a reported load of all senders.
    pub fn observe_load(&mut self, now: Micros, running: u32, waiting: u32) {
        let own = self.in_flight;
        let reading = LoadReading { received_at: now, running, waiting, own_in_flight: own };
        self.mean_other_in_flight +=
            (reading.reported_others() - self.mean_other_in_flight) * AVERAGE_STEP * 2.0;
        self.last_reading = Some(reading);
        self.reported_other_in_flight = Some((now, reading.reported_others() as u32));
    }
}

/// Expected number of slots that must become free first. `expected_excess` is the number of requests beyond
/// the slots, negative while slots are free, and has an error of [`SLOT_ESTIMATE_ERROR`].
fn expected_slots_to_free(expected_excess: f64) -> f64 {
    // This form avoids overflow of the exponential.
    expected_excess.max(0.0)
        + SLOT_ESTIMATE_ERROR * (-expected_excess.abs() / SLOT_ESTIMATE_ERROR).exp().ln_1p()
}
