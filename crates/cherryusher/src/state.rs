//! What the decision module keeps of servers and requests. Nothing is decided here.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::api::*;

/// The same at every node, so that all of them build the same pools.
pub(crate) fn hash(what: u64, salt: u64) -> u64 {
    xxh3_64_with_seed(&what.to_le_bytes(), salt)
}

/// A hash as a number from 0 to 1.
pub(crate) fn unit(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}

/// How fast what was seen of a server is forgotten.
pub(crate) const MEMORY: f64 = 3_000_000.0;
/// A rate is told over this time at least.
pub(crate) const RATE_FROM: Micros = 1_000_000;

/// A count whose past fades.
#[derive(Clone, Copy, Default)]
pub(crate) struct Fading {
    pub(crate) value: f64,
    pub(crate) at: Micros,
    pub(crate) since: Micros,
}

impl Fading {
    pub(crate) fn now(&self, now: Micros) -> f64 {
        self.value * (-(now.saturating_sub(self.at) as f64) / MEMORY).exp()
    }

    pub(crate) fn add(&mut self, now: Micros, amount: f64) {
        let since = if self.since == 0 { now } else { self.since };
        *self = Fading { value: self.now(now) + amount, at: now, since };
    }

    /// The mean of several.
    pub(crate) fn mean(of: impl ExactSizeIterator<Item = Fading>, now: Micros) -> Fading {
        let many = of.len().max(1) as f64;
        Fading { value: of.map(|f| f.now(now)).sum::<f64>() / many, at: now, since: now }
    }

    /// How much is added per microsecond; what is younger than its memory has not been added up in full.
    pub(crate) fn rate(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.since).max(RATE_FROM) as f64;
        self.now(now) / MEMORY / (1.0 - (-age / MEMORY).exp())
    }
}

#[derive(Default)]
pub(crate) struct Server {
    pub(crate) entry: ServerEntry,
    pub(crate) share: f64,
    pub(crate) size: f64,
    pub(crate) in_flight: u32,
    pub(crate) pace: f64,
    pub(crate) failures: Fading,
    /// The mean of those in its pool.
    pub(crate) usual_failures: Fading,
    pub(crate) avoid_until: Micros,
    pub(crate) last_sent: Micros,
}

impl Server {
    /// How slow it is; one that has not been tried for long gets a trial.
    pub(crate) fn pace_at(&self, now: Micros) -> f64 {
        let fresh = (now.saturating_sub(self.last_sent) as f64) < MEMORY;
        if fresh { self.pace } else { 1.0 }
    }

    /// Recent failures beyond the usual in its pool: what befalls all alike tells nothing of one.
    pub(crate) fn excess(&self, now: Micros) -> f64 {
        (self.failures.now(now) - self.usual_failures.now(now)).max(0.0)
    }
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

pub(crate) struct Attempt {
    pub(crate) to: ServerEntry,
    pub(crate) sent_at: Micros,
    pub(crate) fate: Fate,
}

/// What the order of held requests goes by.
#[derive(Clone, Copy, Default)]
pub(crate) struct Ask {
    pub(crate) id: RequestId,
    pub(crate) class: usize,
    pub(crate) in_share: bool,
    pub(crate) aim_at: Micros,
}

#[derive(Default)]
pub(crate) struct Job {
    pub(crate) ask: Ask,
    pub(crate) pool: usize,
    pub(crate) key: Option<u64>,
    pub(crate) give_up_at: Micros,
    /// Until when it keeps its place among the held without having been sent.
    pub(crate) place_until: Micros,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) held: bool,
    pub(crate) done: bool,
    pub(crate) wake_at: Micros,
}

impl Job {
    /// Whether no attempt can have run.
    pub(crate) fn never_ran(&self) -> bool {
        self.attempts.iter().all(|a| a.fate == Fate::NeverRan)
    }

    pub(crate) fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.fate == Fate::Out).count()
    }
}

/// A node's part of a tenant's share, as a bucket of tokens.
pub(crate) struct Bucket {
    rate_per_s: f64,
    depth: f64,
    tokens: f64,
    at: Micros,
}

impl Bucket {
    pub(crate) fn full(rate_per_s: f64, depth: f64) -> Bucket {
        Bucket { rate_per_s, depth, tokens: depth, at: 0 }
    }

    /// Takes a token, if there is one.
    pub(crate) fn take(&mut self, now: Micros) -> bool {
        let gained = self.rate_per_s * now.saturating_sub(self.at) as f64 / 1e6;
        self.tokens = (self.tokens + gained).min(self.depth);
        self.at = now;
        let within = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(within));
        within
    }
}

/// How far one answer moves the usual time, and that the shortest one, once many were seen.
const USUAL_STEP: f64 = 0.02;
/// How fast the shortest time is forgotten, with each answer.
const BASE_LEAK: f64 = 1.00002;

/// How long the answers of a class take.
pub(crate) struct Times {
    /// The median, lately.
    pub(crate) usual: f64,
    /// The shortest that the median was.
    pub(crate) base: f64,
    /// How many answers were seen, and the guess.
    pub(crate) seen: f64,
}

impl Times {
    pub(crate) fn guess(usual: f64) -> Times {
        Times { usual, base: usual, seen: 1.0 }
    }

    /// Takes in an answer; by large steps at first, as the shortest median has to be met before servers fill.
    pub(crate) fn answered(&mut self, took: f64) {
        self.seen += 1.0;
        let step = (1.0 / self.seen).max(USUAL_STEP);
        self.usual *= if took > self.usual { 1.0 + step } else { 1.0 / (1.0 + step) };
        let shorter = self.usual < self.base;
        self.base = if shorter { self.base + step * (self.usual - self.base) } else { self.base * BASE_LEAK };
    }
}

/// How far one answer of the shortest class moves the mean wait.
const WAIT_STEP: f64 = 0.2;
/// How far one answer moves what a request typically takes.
const TYPICAL_STEP: f64 = 0.05;

/// How long attempts wait at servers, over all classes; forgotten while none ends.
#[derive(Default)]
pub(crate) struct Waits {
    /// The mean wait as of the last attempt that ended.
    pub(crate) mean: f64,
    /// What a request takes without a wait, over the classes as they are answered.
    pub(crate) typical: f64,
    at: Micros,
}

impl Waits {
    pub(crate) fn now(&self, now: Micros) -> f64 {
        self.mean * (1.0 - now.saturating_sub(self.at) as f64 / MEMORY).max(0.0)
    }

    pub(crate) fn add(&mut self, now: Micros, waited: f64, base: f64, trust: f64) {
        self.typical += TYPICAL_STEP * (base - self.typical);
        self.mean += WAIT_STEP * trust * (waited - self.mean);
        self.at = now;
    }
}
