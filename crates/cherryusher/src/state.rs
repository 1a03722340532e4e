//! The state that the decision module keeps about servers and requests. Nothing is decided here.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::api::*;

/// Hashes a number. Every node gets the same result, so that all of them build the same pools.
pub(crate) fn hash(key: u64, salt: u64) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), salt)
}

/// Maps a hash to the range from 0 to 1.
pub(crate) fn unit_interval(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}

/// The time constant in microseconds with which observations of a server decay.
pub(crate) const DECAY_US: f64 = 3_000_000.0;
/// The shortest time over which a rate is computed.
pub(crate) const MIN_RATE_WINDOW: Micros = 1_000_000;

/// A sum whose older parts decay exponentially.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    /// The sum as of `updated_at`.
    pub(crate) value: f64,
    pub(crate) updated_at: Micros,
    /// When the first amount was added; 0 before that.
    pub(crate) started_at: Micros,
}

impl DecayingSum {
    pub(crate) fn at(&self, now: Micros) -> f64 {
        self.value * (-(now.saturating_sub(self.updated_at) as f64) / DECAY_US).exp()
    }

    pub(crate) fn add(&mut self, now: Micros, amount: f64) {
        let started_at = if self.started_at == 0 { now } else { self.started_at };
        *self = DecayingSum { value: self.at(now) + amount, updated_at: now, started_at };
    }

    /// The amount added per microsecond. A sum younger than its time constant has not reached its steady
    /// value yet, which the last factor corrects.
    pub(crate) fn rate(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.started_at).max(MIN_RATE_WINDOW) as f64;
        self.at(now) / DECAY_US / (1.0 - (-age / DECAY_US).exp())
    }
}

/// A server and what this node has learned about it.
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) entry: ServerEntry,
    /// The weight with which this node draws the server: the part of its size that lies in the node's slice.
    pub(crate) draw_weight: f64,
    /// The server's size as a multiple of the mean size of all ready servers.
    pub(crate) size: f64,
    /// This node's attempts that the server is working on.
    pub(crate) in_flight: u32,
    /// The server's latency as a multiple of the median latency of the request class.
    pub(crate) latency_ratio: f64,
    pub(crate) failures: DecayingSum,
    /// Until when the server is ejected because of failures or silence.
    pub(crate) ejected_until: Micros,
    /// Connections and attempts that the server has refused in a row.
    pub(crate) refusals: u32,
    /// Until when the server gets no attempts because of refusals.
    pub(crate) backoff_until: Micros,
    pub(crate) last_sent_at: Micros,
    /// The number of recent answers.
    pub(crate) answers: DecayingSum,
    pub(crate) last_answer_at: Micros,
    /// The number of recent attempts that were given up while the server answered nothing at all.
    pub(crate) silences: DecayingSum,
    /// How strongly other nodes suspect the server, from 0 to 1, as of `suspected_at`.
    pub(crate) suspicion: f64,
    pub(crate) suspected_at: Micros,
    /// Whether the last complete list contained the server.
    pub(crate) listed: bool,
    /// The index of the server's pool; `None` while no request may be sent to the server.
    pub(crate) pool: Option<usize>,
    /// What the server adds to the sums of its pools.
    pub(crate) contribution: Contribution,
    /// When the contribution next changes through time alone.
    pub(crate) next_update_at: Micros,
}

impl Server {
    /// The latency ratio; a server without recent attempts counts as an average one, so that it is tried
    /// again.
    pub(crate) fn latency_ratio_at(&self, now: Micros) -> f64 {
        let recent = (now.saturating_sub(self.last_sent_at) as f64) < DECAY_US;
        if recent { self.latency_ratio } else { 1.0 }
    }
}

/// What a server adds to the sums of its pools. The capacity of a server that is warming up grows linearly.
#[derive(Clone, Copy, Default)]
pub(crate) struct Contribution {
    /// The capacity as of `updated_at`, as a multiple of this node's part of the concurrency limit.
    pub(crate) capacity: f64,
    pub(crate) growth_per_us: f64,
    pub(crate) updated_at: Micros,
    pub(crate) ejected: bool,
}

/// A sum of capacities, some of which grow linearly.
#[derive(Default)]
pub(crate) struct CapacitySum {
    capacity: f64,
    growth_per_us: f64,
    updated_at: Micros,
}

impl CapacitySum {
    pub(crate) fn at(&self, now: Micros) -> f64 {
        self.capacity + self.growth_per_us * now.saturating_sub(self.updated_at) as f64
    }

    /// Replaces one contribution by another.
    pub(crate) fn replace(&mut self, now: Micros, before: Contribution, after: Contribution) {
        let removed = before.capacity + before.growth_per_us * now.saturating_sub(before.updated_at) as f64;
        self.capacity = self.at(now) - removed + after.capacity;
        self.growth_per_us += after.growth_per_us - before.growth_per_us;
        self.updated_at = now;
    }
}

/// A pool of servers and the sums over its members.
#[derive(Default)]
pub(crate) struct Pool {
    /// The slots of the members, ordered by server id.
    pub(crate) members: Vec<usize>,
    /// Draws a member by its draw weight.
    pub(crate) table: AliasTable,
    pub(crate) in_flight: u32,
    /// The capacity of all members, as a multiple of this node's part of the concurrency limit.
    pub(crate) capacity: CapacitySum,
    /// The number of ejected members.
    pub(crate) ejected: usize,
    pub(crate) failures: DecayingSum,
    /// The mean suspicion of other nodes against the members, as of their last report.
    pub(crate) suspicion: f64,
}

impl Pool {
    pub(crate) fn of(members: Vec<usize>) -> Pool {
        Pool { members, ..Pool::default() }
    }
}

/// Draws an index by weight in constant time (Walker's alias method; tables built as by Vose, 1991).
#[derive(Default)]
pub(crate) struct AliasTable {
    /// For each index the part of its cell that it keeps, and the index that owns the rest of the cell.
    cells: Vec<(f64, usize)>,
}

impl AliasTable {
    /// Builds a table from weights, none of which is negative.
    pub(crate) fn new(weights: impl Iterator<Item = f64>) -> AliasTable {
        let mut cells: Vec<(f64, usize)> = weights.enumerate().map(|(i, weight)| (weight, i)).collect();
        let mean = cells.iter().map(|cell| cell.0).sum::<f64>() / cells.len().max(1) as f64;
        if mean <= 0.0 || !mean.is_finite() {
            cells.iter_mut().for_each(|cell| cell.0 = 1.0);
            return AliasTable { cells };
        }
        cells.iter_mut().for_each(|cell| cell.0 /= mean);
        let (mut small, mut large): (Vec<usize>, Vec<usize>) =
            (0..cells.len()).partition(|i| cells[*i].0 < 1.0);
        while let (Some(less), Some(more)) = (small.pop(), large.pop()) {
            cells[less].1 = more;
            cells[more].0 -= 1.0 - cells[less].0;
            if cells[more].0 < 1.0 { small.push(more) } else { large.push(more) }
        }
        // The remaining indices keep their whole cell; only rounding errors make them differ from 1.
        small.into_iter().chain(large).for_each(|i| cells[i].0 = 1.0);
        AliasTable { cells }
    }

    /// The index that a random number from 0 to below 1 draws. The table must not be empty.
    pub(crate) fn draw(&self, random: f64) -> usize {
        let position = random * self.cells.len() as f64;
        let index = (position as usize).min(self.cells.len().saturating_sub(1));
        let (kept, alias) = self.cells[index];
        if position - (index as f64) < kept { index } else { alias }
    }
}

/// What is known of an attempt's execution.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Status {
    InFlight,
    NeverRan,
    MayHaveRun,
}

pub(crate) struct Attempt {
    pub(crate) server: ServerEntry,
    pub(crate) sent_at: Micros,
    pub(crate) status: Status,
    /// Whether the attempt counts among the server's attempts in flight. A streamed request does so only
    /// after its last byte.
    pub(crate) counted: bool,
}

/// The properties of a request by which the queue is ordered.
#[derive(Clone, Copy, Default)]
pub(crate) struct RequestInfo {
    pub(crate) id: RequestId,
    pub(crate) class: usize,
    /// Whether the request is within its tenant's quota.
    pub(crate) in_quota: bool,
    /// When the class's target latency is reached.
    pub(crate) target_at: Micros,
}

/// A request that has no final answer yet, or still has attempts in flight.
#[derive(Default)]
pub(crate) struct OpenRequest {
    pub(crate) info: RequestInfo,
    pub(crate) pool: usize,
    pub(crate) key: Option<u64>,
    /// When the final answer is due, shortly before the client gives up.
    pub(crate) give_up_at: Micros,
    /// Until when the request stays queued if it was never sent.
    pub(crate) queue_until: Micros,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) queued: bool,
    /// Whether the body is streamed to the server as it arrives.
    pub(crate) streamed: bool,
    /// Whether the body is still arriving.
    pub(crate) uploading: bool,
    /// Whether a part of the body is no longer available, so that the request can't be sent again.
    pub(crate) body_consumed: bool,
    /// Whether no final answer is needed any more.
    pub(crate) finished: bool,
    /// When the earliest pending timer of the request fires.
    pub(crate) timer_at: Micros,
}

impl OpenRequest {
    /// Whether no attempt can have run.
    pub(crate) fn never_ran(&self) -> bool {
        self.attempts.iter().all(|a| a.status == Status::NeverRan)
    }

    /// The number of attempts in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.status == Status::InFlight).count()
    }
}

/// The token bucket for this node's part of a tenant's quota.
pub(crate) struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    updated_at: Micros,
}

impl TokenBucket {
    pub(crate) fn full(rate_per_s: f64, burst: f64) -> TokenBucket {
        TokenBucket { rate_per_s, burst, tokens: burst, updated_at: 0 }
    }

    /// Changes rate and size of the bucket; tokens stay, up to the new size.
    pub(crate) fn resize(&mut self, now: Micros, rate_per_s: f64, burst: f64) {
        self.refill(now);
        *self =
            TokenBucket { rate_per_s, burst, tokens: self.tokens.min(burst), updated_at: self.updated_at };
    }

    fn refill(&mut self, now: Micros) {
        let gained = self.rate_per_s * now.saturating_sub(self.updated_at) as f64 / 1e6;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.updated_at = now;
    }

    /// Takes a token, and returns whether there was one.
    pub(crate) fn try_take(&mut self, now: Micros) -> bool {
        self.refill(now);
        let available = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(available));
        available
    }
}

/// The step by which one answer moves the median and the baseline once many answers were seen.
const MEDIAN_STEP: f64 = 0.02;
/// The factor by which the baseline rises with each answer that does not lower it.
const BASELINE_GROWTH: f64 = 1.00002;

/// The latency of a request class, in microseconds.
pub(crate) struct LatencyEstimate {
    /// The recent median.
    pub(crate) median: f64,
    /// The lowest value that the median had; it rises slowly.
    pub(crate) baseline: f64,
    /// The number of answers seen; the initial guess counts as one.
    pub(crate) samples: f64,
}

impl LatencyEstimate {
    pub(crate) fn guess(median: f64) -> LatencyEstimate {
        LatencyEstimate { median, baseline: median, samples: 1.0 }
    }

    /// Adds an answer. The first ones move the estimate by large steps: the lowest median has to be found
    /// before servers fill up.
    pub(crate) fn add(&mut self, latency: f64) {
        self.samples += 1.0;
        let step = (1.0 / self.samples).max(MEDIAN_STEP);
        self.median *= if latency > self.median { 1.0 + step } else { 1.0 / (1.0 + step) };
        let lower = self.median < self.baseline;
        self.baseline = if lower {
            self.baseline + step * (self.median - self.baseline)
        } else {
            self.baseline * BASELINE_GROWTH
        };
    }
}

/// The step by which an answer of the class with the lowest baseline moves the mean queueing delay.
const DELAY_STEP: f64 = 0.2;
/// The step by which an answer moves the typical latency.
const TYPICAL_STEP: f64 = 0.05;

/// The queueing delay of attempts at servers over all classes, in microseconds. It decays while no attempt
/// ends.
#[derive(Default)]
pub(crate) struct QueueingDelay {
    /// The mean delay as of the last attempt that ended.
    pub(crate) mean: f64,
    /// The mean baseline latency of the attempts that ended.
    pub(crate) typical_latency: f64,
    updated_at: Micros,
}

impl QueueingDelay {
    pub(crate) fn mean_at(&self, now: Micros) -> f64 {
        self.mean * (1.0 - now.saturating_sub(self.updated_at) as f64 / DECAY_US).max(0.0)
    }

    pub(crate) fn add(&mut self, now: Micros, delay: f64, baseline: f64, weight: f64) {
        self.typical_latency += TYPICAL_STEP * (baseline - self.typical_latency);
        self.mean += DELAY_STEP * weight * (delay - self.mean);
        self.updated_at = now;
    }
}
