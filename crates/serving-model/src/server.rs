//! One server: what of ours waits and runs there, what it keeps, and how long a new request would wait.

use crate::reading::half;
use crate::{LoadReading, Micros, PrefixCache, PromptPart, SpeedEstimate};

/// Priorities go from 0, the most urgent, to this one.
const LAST_PRIORITY: usize = 9;
/// Part of the memory that running requests may take before a server counts as full. Shared prefixes that run
/// with them are counted once or not at all, so that some is left for them.
const MEMORY_USED: f64 = 0.8;
/// A step's lengthening by each request that runs beside, as part of a free server's speed.
const SLOWER_EACH: f64 = 0.01;
/// What a plain server's taken slots count, as part of a request's work.
const PLAIN_SPREAD: f64 = 0.1;
/// No estimate is longer, whatever servers and clients tell; milliseconds.
const LONGEST_MS: f64 = 3_600_000.0;
/// For so long a number of requests that was told counts as it is.
const OTHERS_FOR: Micros = 1_000_000;
/// How many places the number of requests at a server is off, usually.
const PLACES_OFF: f64 = 1.0;
/// How far one request moves the usual figures.
const STEP: f64 = 0.05;
/// How far one answer moves a server's relative latency, and how far one answer may be from the usual.
const LATENCY_STEP: f64 = 0.2;
const LATENCY_RANGE: (f64, f64) = (0.25, 8.0);
/// After this long without an answer half of a server's relative latency counts no more: one that was slow is
/// tried again.
const LATENCY_HALF_LIFE: f64 = 4_000_000.0;

/// What kind of server it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerCapacity {
    /// Requests worked on at once.
    pub slots: u32,
    /// Tokens of memory for running requests and kept parts; 0 for a server without an engine.
    pub kv_tokens: u64,
}

impl ServerCapacity {
    /// Whether a model runs there.
    pub fn has_engine(&self) -> bool {
        self.kv_tokens > 0
    }

    fn places(&self) -> f64 {
        f64::from(self.slots.max(1))
    }
}

/// What a request asks of a server.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile<'a> {
    /// The parts of its prompt in order.
    pub parts: &'a [PromptPart],
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens to be made at most.
    pub max_output_tokens: u32,
    /// From 0, most urgent, to 9; larger figures count as 9.
    pub priority: u32,
}

/// What one request of ours takes at a server, from sending to its end.
#[derive(Clone, Copy, Debug, Default)]
pub struct InFlightRequest {
    sent_at: Micros,
    prefill_tokens: u32,
    /// Tokens of ours to be read before it; at a plain server, how many times its work its time was to be.
    ahead: f32,
    tokens: u32,
    priority: u8,
    started: bool,
}

impl InFlightRequest {
    /// Whether its first token has come.
    pub fn has_started(&self) -> bool {
        self.started
    }
}

/// What of one process is at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalLoad {
    /// Requests sent there and not ended.
    pub requests: u32,
    /// Tokens to be read for those that have not begun, in the unit asked for.
    pub pending_prefill: u32,
}

/// What is expected of a request at one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Until its first token, or its answer at a plain server.
    pub first_response_us: Micros,
    /// The part of it by which a free server of usual speed would be faster.
    pub queue_us: Micros,
    /// Prompt tokens that it would read there.
    pub prefill_tokens: u32,
    /// Places taken there now, of `slots`, by all senders; may exceed it.
    pub fleet_in_flight: f64,
    /// Whether its memory has no room for the request beside those that run.
    pub memory_full: bool,
}

/// The state of one server as far as it can be known. `nodes` is always the number of processes that send to it.
pub struct ServerModel {
    shape: ServerCapacity,
    kept: PrefixCache,
    /// Tokens of ours left to read, by priority, as of `drained_at`.
    unread: [f64; LAST_PRIORITY + 1],
    /// What was to be read for requests of ours that have no token yet; bounds `unread`.
    unstarted: [f64; LAST_PRIORITY + 1],
    drained_at: Micros,
    in_flight: u32,
    tokens: u64,
    /// Usual figures of our requests there: tokens to read, tokens held.
    usual_prefill: f64,
    usual_tokens: f64,
    /// Requests of other senders that are usually there.
    usual_others: f64,
    /// How long its answers take against those of its service, by priority, and when that was seen.
    latency: [(f32, Micros); LAST_PRIORITY + 1],
    reading: Option<LoadReading>,
    /// Requests of other senders there, as last told from outside, and when.
    others: Option<(Micros, u32)>,
    /// Tokens of other senders to be read there, as last told, and when.
    others_unread: Option<(Micros, u32)>,
    /// What was reported of our own, the last time and the time before.
    reported: [LocalLoad; 2],
    /// Tokens that one of `reported` stands for.
    unread_unit: u32,
}

impl ServerModel {
    /// A server of which nothing is known yet.
    pub fn new(shape: ServerCapacity) -> ServerModel {
        ServerModel {
            shape,
            kept: PrefixCache::default(),
            unread: [0.0; LAST_PRIORITY + 1],
            unstarted: [0.0; LAST_PRIORITY + 1],
            drained_at: 0,
            in_flight: 0,
            tokens: 0,
            usual_prefill: 0.0,
            usual_tokens: 0.0,
            usual_others: 0.0,
            latency: [(1.0, 0); LAST_PRIORITY + 1],
            reading: None,
            others: None,
            others_unread: None,
            reported: [LocalLoad::default(); 2],
            unread_unit: 1,
        }
    }

    /// Its slots and memory.
    pub fn capacity(&self) -> ServerCapacity {
        self.shape
    }

    /// Takes over new slots or memory; what is known stays.
    pub fn set_capacity(&mut self, shape: ServerCapacity) {
        self.shape = shape;
        self.kept.evict_to(shape.kv_tokens);
    }

    /// Requests of ours that are there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Tokens that our requests take there beside what was kept before, those still to be made included.
    pub fn running_tokens(&self) -> u64 {
        self.tokens
    }

    /// The parts it is believed to keep.
    pub fn prefix_cache(&self) -> &PrefixCache {
        &self.kept
    }

    /// How long its answers to requests of that priority take against those of its service: 1 for a usual server,
    /// more for a slower or a busier one.
    pub fn relative_latency(&self, now: Micros, priority: u32) -> f64 {
        let (seen, at) = self.latency[(priority as usize).min(LAST_PRIORITY)];
        1.0 + (f64::from(seen) - 1.0) * half(now.saturating_sub(at), LATENCY_HALF_LIFE)
    }

    /// The largest relative latency over the priorities.
    pub fn max_relative_latency(&self, now: Micros) -> f64 {
        let all = (0..=LAST_PRIORITY as u32).map(|priority| self.relative_latency(now, priority));
        all.fold(0.0, f64::max)
    }

    /// Requests of all senders there, running and waiting.
    pub fn fleet_in_flight(&self, now: Micros, nodes: u32) -> f64 {
        f64::from(self.in_flight) + self.others(now, nodes)
    }

    fn others(&self, now: Micros, nodes: u32) -> f64 {
        if nodes <= 1 {
            return 0.0;
        }
        if let Some((at, others)) = self.others
            && now < at + OTHERS_FOR
        {
            return f64::from(others);
        }
        self.reading.map_or(0.0, |reading| reading.other_in_flight(now, self.usual_others)).max(0.0)
    }

    /// Takes in how many requests of all senders were there a moment ago, and how many tokens were to be read for them,
    /// as the fleet sums them up.
    pub fn observe_fleet_load(&mut self, now: Micros, requests: u32, unread: u32) {
        // The sums hold what was reported of ours before they were made.
        let own = self.reported[1];
        self.others = Some((now, requests.saturating_sub(own.requests)));
        self.others_unread =
            Some((now, unread.saturating_sub(own.pending_prefill.saturating_mul(self.unread_unit))));
    }

    /// Notes that our own load is reported now, with tokens in that unit; true if it has changed since the last time.
    pub fn report_load(&mut self, unit: u32) -> (LocalLoad, bool) {
        let unread = self.unstarted.iter().sum::<f64>() / f64::from(unit.max(1));
        let load = LocalLoad { requests: self.in_flight, pending_prefill: unread.round() as u32 };
        let before = self.reported[0];
        self.reported = [load, before];
        self.unread_unit = unit;
        (load, load != before)
    }

    /// What to expect of a request that is sent now. `assumed` tokens at the front of its prompt are taken to be
    /// kept because other processes send the same prefix there.
    pub fn estimate(
        &self,
        now: Micros,
        nodes: u32,
        speed: &SpeedEstimate,
        request: &RequestProfile<'_>,
        assumed: u32,
    ) -> Estimate {
        let others = self.others(now, nodes);
        let fleet_in_flight = f64::from(self.in_flight) + others;
        let latency = self.relative_latency(now, request.priority);
        if !self.shape.has_engine() {
            return self.estimate_plain(fleet_in_flight, speed.service_time_ms * latency);
        }
        let kept = self.kept.cached_prefix_tokens(request.parts).max(assumed).min(request.prompt_tokens);
        let prefill_tokens = request.prompt_tokens - kept;
        let ahead = self.ahead(now, speed, request.priority, others);
        let batch = 1.0 + SLOWER_EACH * fleet_in_flight;
        let beyond = waiting_beyond(fleet_in_flight + 1.0 - self.shape.places());
        let slot_ms = beyond * speed.service_time_ms / self.shape.places();
        let alone_ms = speed.first_token_ms(f64::from(prefill_tokens));
        let first_token_ms =
            ((alone_ms + speed.prefill_ms(ahead)) * batch * latency + slot_ms).min(LONGEST_MS);
        let held = self.tokens as f64 + others * self.usual_tokens;
        let own = f64::from(prefill_tokens.saturating_add(request.max_output_tokens));
        let memory_full = held + own > self.shape.kv_tokens as f64 * MEMORY_USED;
        let first_response_us = (first_token_ms * 1_000.0) as Micros;
        let queue_us = ((first_token_ms - alone_ms).max(0.0) * 1_000.0) as Micros;
        Estimate { first_response_us, queue_us, prefill_tokens, fleet_in_flight, memory_full }
    }

    fn estimate_plain(&self, fleet_in_flight: f64, service_time_ms: f64) -> Estimate {
        // Below its slots a server that has less is still the better one.
        let spread = (fleet_in_flight / self.shape.places()).min(1.0) * PLAIN_SPREAD;
        let rounds = self.rounds(fleet_in_flight);
        let first_response_us = (service_time_ms * (rounds + spread) * 1_000.0) as Micros;
        let queue_us = (service_time_ms * (rounds - 1.0) * 1_000.0) as Micros;
        Estimate { first_response_us, queue_us, prefill_tokens: 0, fleet_in_flight, memory_full: false }
    }

    /// How many times a plain request's work its time is, beside so many others.
    fn rounds(&self, fleet_in_flight: f64) -> f64 {
        1.0 + ((fleet_in_flight + 1.0 - self.shape.places()) / self.shape.places()).max(0.0)
    }

    /// Tokens read there before those of a request of this priority.
    fn ahead(&self, now: Micros, speed: &SpeedEstimate, priority: u32, others: f64) -> f64 {
        let until = (priority as usize).min(LAST_PRIORITY);
        let drained = speed.prefill_tokens_per_ms * now.saturating_sub(self.drained_at) as f64 / 1_000.0;
        let own = (self.unread[..=until].iter().sum::<f64>() - drained).max(0.0);
        let waiting = self.reading.map_or(0.0, |reading| reading.decayed_waiting(now)).min(others);
        own + self.others_unread(now, speed).unwrap_or(waiting * self.usual_prefill)
    }

    /// Tokens of other senders that are still to be read there, as far as that was told lately.
    fn others_unread(&self, now: Micros, speed: &SpeedEstimate) -> Option<f64> {
        let (at, unread) = self.others_unread.filter(|(at, _)| now < at + OTHERS_FOR)?;
        let read = speed.prefill_tokens_per_ms * now.saturating_sub(at) as f64 / 1_000.0;
        Some((f64::from(unread) - read).max(0.0))
    }

    /// Reads what the server must have read since it was last looked at, the most urgent first.
    fn drain(&mut self, now: Micros, speed: &SpeedEstimate) {
        let span = now.saturating_sub(self.drained_at) as f64 / 1_000.0;
        self.drained_at = self.drained_at.max(now);
        let mut read = speed.prefill_tokens_per_ms * span;
        for left in &mut self.unread {
            let part = left.min(read);
            *left -= part;
            read -= part;
        }
    }

    /// Notes that a request is sent there, of which this was expected.
    pub fn record_sent(
        &mut self,
        now: Micros,
        nodes: u32,
        speed: &SpeedEstimate,
        request: &RequestProfile<'_>,
        estimate: &Estimate,
    ) -> InFlightRequest {
        self.drain(now, speed);
        self.in_flight += 1;
        let priority = (request.priority as usize).min(LAST_PRIORITY);
        if !self.shape.has_engine() {
            let ahead = self.rounds(estimate.fleet_in_flight) as f32;
            return InFlightRequest {
                sent_at: now,
                ahead,
                priority: priority as u8,
                ..InFlightRequest::default()
            };
        }
        let prefill_tokens = f64::from(estimate.prefill_tokens);
        let tokens = estimate.prefill_tokens.saturating_add(request.max_output_tokens);
        let ahead = self.unread[..=priority].iter().sum::<f64>() as f32;
        self.unread[priority] += prefill_tokens;
        self.unstarted[priority] += prefill_tokens;
        self.tokens += u64::from(tokens);
        self.usual_prefill += (prefill_tokens - self.usual_prefill) * STEP;
        self.usual_tokens += (f64::from(tokens) - self.usual_tokens) * STEP;
        let room = self.shape.kv_tokens.saturating_sub(self.tokens / 2);
        self.kept.record_use(request.parts, room, nodes);
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

    /// Notes the first token of a request, and learns from it.
    pub fn record_first_event(&mut self, now: Micros, speed: &mut SpeedEstimate, work: &mut InFlightRequest) {
        if std::mem::replace(&mut work.started, true) || !self.shape.has_engine() {
            return;
        }
        self.drain(now, speed);
        self.was_read(work);
        let tokens = f64::from(work.prefill_tokens) + f64::from(work.ahead);
        let took_ms = now.saturating_sub(work.sent_at) as f64 / 1_000.0;
        self.observe_latency(now, work.priority, took_ms / speed.first_token_ms(tokens));
        speed.observe_first_token(tokens, took_ms);
    }

    /// Notes the end of a request. `served` says whether its whole time may be learned from.
    pub fn record_end(
        &mut self,
        now: Micros,
        speed: &mut SpeedEstimate,
        work: &InFlightRequest,
        served: bool,
    ) {
        self.drain(now, speed);
        if !work.started {
            self.was_read(work);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(u64::from(work.tokens));
        if !served {
            return;
        }
        let took_ms = now.saturating_sub(work.sent_at) as f64 / 1_000.0;
        if self.shape.has_engine() {
            speed.observe_service_time(took_ms);
            return;
        }
        let own_ms = took_ms / f64::from(work.ahead.max(1.0));
        self.observe_latency(now, work.priority, own_ms / speed.service_time_ms);
        speed.observe_service_time(own_ms);
    }

    fn observe_latency(&mut self, now: Micros, priority: u8, seen: f64) {
        let before = self.relative_latency(now, priority.into());
        let seen = seen.clamp(LATENCY_RANGE.0, LATENCY_RANGE.1);
        let after = before + (seen - before) * LATENCY_STEP;
        self.latency[usize::from(priority)] = (after as f32, now);
    }

    /// Takes a request's tokens out of what is left to read.
    fn was_read(&mut self, work: &InFlightRequest) {
        let priority = usize::from(work.priority);
        let unstarted = (self.unstarted[priority] - f64::from(work.prefill_tokens)).max(0.0);
        self.unstarted[priority] = unstarted;
        self.unread[priority] = self.unread[priority].min(unstarted);
    }

    /// Takes in a load reading of all senders.
    pub fn observe_load(&mut self, now: Micros, running: u32, waiting: u32) {
        let own = self.in_flight;
        let reading = LoadReading { received_at: now, running, waiting, own_in_flight: own };
        self.usual_others += (reading.reported_others() - self.usual_others) * STEP * 2.0;
        self.reading = Some(reading);
        self.others = Some((now, reading.reported_others() as u32));
    }
}

/// How many places have to become free first where so many requests are expected beyond the places, or fewer, and that
/// number is off by [`PLACES_OFF`].
fn waiting_beyond(expected: f64) -> f64 {
    // Written so that no exponential overflows.
    expected.max(0.0) + PLACES_OFF * (-expected.abs() / PLACES_OFF).exp().ln_1p()
}
