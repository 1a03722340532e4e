//! Where a prompt belongs: its homes by rendezvous hashing, the same at every process of the fleet.

use std::collections::HashMap;

use dunelink_serving_model::{Micros, PromptPart};

use crate::ServerHandle;

/// A shared prefix of fewer tokens is not worth a home of its own: the session's part decides then.
const WORTH_A_HOME: u32 = 500;
/// Keys whose rates are remembered at most.
const MOST_KEYS: usize = 1_024;
/// Over how long a key's rate is told.
const RATE_SPAN: f64 = 5_000_000.0;
/// How much of a server one home of a key may take before the key has another one.
const HOME_LOAD: f64 = 0.35;

/// What the homes of a request follow from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Locality {
    /// What the homes are ranked by.
    pub(crate) key: u64,
    /// What one of several homes is picked by.
    pub(crate) order: u64,
    /// Tokens that other requests of this key read as well.
    pub(crate) shared: u32,
    /// Tokens before the key's part: requests of other keys read them too, so that every server keeps them soon.
    pub(crate) common: u32,
    /// Whether the key is the last part: a session's, or that of a single request.
    pub(crate) is_session: bool,
}

/// All parts but the last belong to several requests, the last one to the request or its session.
pub(crate) fn locality(parts: &[PromptPart]) -> Option<Locality> {
    let (last, before) = parts.split_last()?;
    let shared = before.iter().fold(0u32, |sum, part| sum.saturating_add(part.tokens));
    let (order, common) = (last.id, shared);
    match before.last() {
        Some(subject) if shared >= WORTH_A_HOME => {
            let common = shared.saturating_sub(subject.tokens);
            Some(Locality { key: subject.id, order, shared, common, is_session: false })
        }
        // A session's own part may be new: only what was sent from here is known to be kept.
        _ => Some(Locality {
            key: last.id,
            order,
            shared: shared.saturating_add(last.tokens),
            common,
            is_session: true,
        }),
    }
}

/// A cheap, well mixed hash of two numbers that are well mixed themselves.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    x ^ (x >> 32)
}

/// The positions of the `want` highest ranking members for a key, best first. Looks at each member once.
pub(crate) fn homes(members: &[(u64, u32)], key: u64, want: usize, found: &mut Vec<(u64, u32)>) {
    found.clear();
    for &(hash, slot) in members {
        let rank = mix(key, hash);
        if found.len() == want && found.last().is_some_and(|(least, _)| rank <= *least) {
            continue;
        }
        let at = found.partition_point(|(other, _)| *other > rank);
        found.insert(at, (rank, slot));
        found.truncate(want);
    }
}

#[derive(Clone, Copy)]
struct Rate {
    count: f64,
    service_time_ms: f64,
    at: Micros,
    last: Option<ServerHandle>,
}

impl Rate {
    fn count_at(&self, now: Micros) -> f64 {
        self.count * (-(now.saturating_sub(self.at) as f64) / RATE_SPAN).exp()
    }
}

/// How often each key was asked for lately, bounded in memory.
#[derive(Default)]
pub(crate) struct KeyRates {
    rates: HashMap<u64, Rate>,
}

/// What is known of a key.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KeyLoad {
    /// Requests a second at this process.
    pub(crate) per_s: f64,
    /// Servers' worth of work at this process.
    pub(crate) load: f64,
    /// Where this process sent the last request of a session's key.
    pub(crate) last: Option<ServerHandle>,
}

impl KeyRates {
    /// Counts a request of a key that takes a server that long.
    pub(crate) fn count(&mut self, now: Micros, key: u64, service_time_ms: f64) -> KeyLoad {
        if self.rates.len() >= MOST_KEYS && !self.rates.contains_key(&key) {
            self.forget(now);
        }
        let rate = self.rates.entry(key).or_insert(Rate { count: 0.0, service_time_ms, at: now, last: None });
        let before = rate.count_at(now);
        rate.count = before + 1.0;
        rate.service_time_ms += (service_time_ms - rate.service_time_ms) / rate.count.max(1.0);
        rate.at = now;
        // The first requests of a key say little of its rate: one of them is not counted.
        let per_s = before * 1_000_000.0 / RATE_SPAN;
        KeyLoad { per_s, load: per_s * rate.service_time_ms / 1_000.0, last: rate.last }
    }

    /// What is known of a key, without counting a request.
    pub(crate) fn load(&self, now: Micros, key: u64) -> KeyLoad {
        let Some(rate) = self.rates.get(&key) else { return KeyLoad::default() };
        let per_s = rate.count_at(now) * 1_000_000.0 / RATE_SPAN;
        KeyLoad { per_s, load: per_s * rate.service_time_ms / 1_000.0, last: rate.last }
    }

    /// Notes where a request of a key is sent.
    pub(crate) fn sent(&mut self, key: u64, server: ServerHandle) {
        if let Some(rate) = self.rates.get_mut(&key) {
            rate.last = Some(server);
        }
    }

    /// Forgets the least asked for half.
    fn forget(&mut self, now: Micros) {
        let mut counts: Vec<f64> = self.rates.values().map(|rate| rate.count_at(now)).collect();
        let middle = counts.len() / 2;
        let (_, bound, _) = counts.select_nth_unstable_by(middle, f64::total_cmp);
        let bound = *bound;
        self.rates.retain(|_, rate| rate.count_at(now) > bound);
    }
}

/// How many homes a key of that load has in the whole fleet.
pub(crate) fn home_count(fleet_load: f64, members: usize) -> usize {
    ((fleet_load / HOME_LOAD).ceil().max(1.0) as usize).min(members.max(1))
}
