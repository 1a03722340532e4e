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
    pub(crate) avoid_until: Micros,
    /// How many connects or tries in a row it has refused, and until when it is left alone for that.
    pub(crate) refusals: u32,
    pub(crate) shut_until: Micros,
    pub(crate) last_sent: Micros,
    /// Answers lately, and when the last one came.
    pub(crate) answers: Fading,
    pub(crate) answered_at: Micros,
    /// Attempts lately that were given up while it said nothing at all.
    pub(crate) silences: Fading,
    /// What other nodes say of it, and when that was last heard.
    pub(crate) doubt: f64,
    pub(crate) doubted_at: Micros,
    /// Whether the last whole list had it.
    pub(crate) listed: bool,
    /// Its pool, while it is a member of one and can be drawn.
    pub(crate) pool: Option<usize>,
    /// What it adds to its pool's sums, and when that next changes by itself.
    pub(crate) standing: Standing,
    pub(crate) due: Micros,
}

impl Server {
    /// How slow it is; one that has not been tried for long gets a trial.
    pub(crate) fn pace_at(&self, now: Micros) -> f64 {
        let fresh = (now.saturating_sub(self.last_sent) as f64) < MEMORY;
        if fresh { self.pace } else { 1.0 }
    }
}

/// What a server adds to its pool's sums: room that grows evenly from some time on while the server is cold.
#[derive(Clone, Copy, Default)]
pub(crate) struct Standing {
    pub(crate) value: f64,
    /// By how much the value grows in a microsecond.
    pub(crate) slope: f64,
    pub(crate) at: Micros,
    pub(crate) avoided: bool,
}

/// A sum of room, parts of which grow evenly.
#[derive(Default)]
pub(crate) struct Room {
    value: f64,
    slope: f64,
    at: Micros,
}

impl Room {
    pub(crate) fn at(&self, now: Micros) -> f64 {
        self.value + self.slope * now.saturating_sub(self.at) as f64
    }

    /// Takes one part for another.
    pub(crate) fn replace(&mut self, now: Micros, before: Standing, after: Standing) {
        let gone = before.value + before.slope * now.saturating_sub(before.at) as f64;
        self.value = self.at(now) - gone + after.value;
        self.slope += after.slope - before.slope;
        self.at = now;
    }
}

/// A pool and what its members come to, together.
#[derive(Default)]
pub(crate) struct Pool {
    /// In the order of their ids.
    pub(crate) members: Vec<usize>,
    /// Draws a member by its share.
    pub(crate) table: Alias,
    pub(crate) in_flight: u32,
    /// The sum of what members have room for, as multiples of the limit's part.
    pub(crate) room: Room,
    pub(crate) avoided: usize,
    pub(crate) failures: Fading,
    /// The mean of what others say against its members, when that was last heard.
    pub(crate) doubt: f64,
}

impl Pool {
    pub(crate) fn of(members: Vec<usize>) -> Pool {
        Pool { members, ..Pool::default() }
    }
}

/// Draws an index by weight in constant time (Walker's alias method; tables built as by Vose, 1991).
#[derive(Default)]
pub(crate) struct Alias {
    /// How much of its place each index keeps, and who has the rest.
    places: Vec<(f64, usize)>,
}

impl Alias {
    /// A table of these weights, none of them negative.
    pub(crate) fn new(weights: impl Iterator<Item = f64>) -> Alias {
        let mut places: Vec<(f64, usize)> = weights.enumerate().map(|(i, weight)| (weight, i)).collect();
        let mean = places.iter().map(|place| place.0).sum::<f64>() / places.len().max(1) as f64;
        if mean <= 0.0 || !mean.is_finite() {
            places.iter_mut().for_each(|place| place.0 = 1.0);
            return Alias { places };
        }
        places.iter_mut().for_each(|place| place.0 /= mean);
        let (mut small, mut large): (Vec<usize>, Vec<usize>) =
            (0..places.len()).partition(|i| places[*i].0 < 1.0);
        while let (Some(less), Some(more)) = (small.pop(), large.pop()) {
            places[less].1 = more;
            places[more].0 -= 1.0 - places[less].0;
            if places[more].0 < 1.0 { small.push(more) } else { large.push(more) }
        }
        // What is left has its whole place, but for rounding.
        small.into_iter().chain(large).for_each(|i| places[i].0 = 1.0);
        Alias { places }
    }

    /// The index that a number from 0 up to 1 draws. There must be one.
    pub(crate) fn draw(&self, number: f64) -> usize {
        let at = number * self.places.len() as f64;
        let index = (at as usize).min(self.places.len().saturating_sub(1));
        let (keeps, other) = self.places[index];
        if at - (index as f64) < keeps { index } else { other }
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
    /// Whether its server has it in hand: not before a request that is passed on has come whole.
    pub(crate) in_hand: bool,
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
    /// Whether its body is passed on as it comes, whether it is still coming, and whether some of it is gone.
    pub(crate) in_part: bool,
    pub(crate) coming: bool,
    pub(crate) spent: bool,
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

    /// The node's part has changed; what it has saved up stays, up to the new depth.
    pub(crate) fn change(&mut self, now: Micros, rate_per_s: f64, depth: f64) {
        self.fill(now);
        *self = Bucket { rate_per_s, depth, tokens: self.tokens.min(depth), at: self.at };
    }

    fn fill(&mut self, now: Micros) {
        let gained = self.rate_per_s * now.saturating_sub(self.at) as f64 / 1e6;
        self.tokens = (self.tokens + gained).min(self.depth);
        self.at = now;
    }

    /// Takes a token, if there is one.
    pub(crate) fn take(&mut self, now: Micros) -> bool {
        self.fill(now);
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
    pub(crate) fn answered(&mut self, elapsed: f64) {
        self.seen += 1.0;
        let step = (1.0 / self.seen).max(USUAL_STEP);
        self.usual *= if elapsed > self.usual { 1.0 + step } else { 1.0 / (1.0 + step) };
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
