//! Prefix affinity: the homes of a prompt by rendezvous hashing, the same at every process of the fleet.

use std::collections::HashMap;

use dunelink_serving_model::{Micros, PromptPart};

use crate::ServerHandle;

/// A shared prefix with fewer tokens gets no homes of its own; the session's part decides instead.
const MIN_SHARED_PREFIX_TOKENS: u32 = 500;
/// Maximum number of keys whose request rates are stored.
const MAX_KEYS: usize = 1_024;
/// Time constant of the average of a key's request rate, in microseconds.
const RATE_TIME_CONSTANT_US: f64 = 5_000_000.0;
/// The share of a server's capacity that one home of a key may use before the key gets another home.
const MAX_HOME_LOAD: f64 = 0.35;

/// The figures that determine the homes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Locality {
    /// The key that the homes are ranked by.
    pub(crate) key: u64,
    /// Picks among several homes of the key.
    pub(crate) spread_key: u64,
    /// Number of prompt tokens that other requests with this key share.
    pub(crate) shared_tokens: u32,
    /// Number of tokens before the key's part. Requests with other keys share them too, so every server soon
    /// has them cached.
    pub(crate) common_tokens: u32,
    /// Whether the key is the last part, which belongs to a session or to a single request.
    pub(crate) is_session: bool,
}

/// Derives the locality of a prompt. All parts but the last are shared by several requests; the last one
/// belongs to the request or its session. `None` for an empty prompt.
pub(crate) fn locality(parts: &[PromptPart]) -> Option<Locality> {
    let (last, before) = parts.split_last()?;
    let shared_tokens = before.iter().fold(0u32, |sum, part| sum.saturating_add(part.tokens));
    let (spread_key, common_tokens) = (last.id, shared_tokens);
    match before.last() {
        Some(subject) if shared_tokens >= MIN_SHARED_PREFIX_TOKENS => {
            let common_tokens = shared_tokens.saturating_sub(subject.tokens);
            Some(Locality { key: subject.id, spread_key, shared_tokens, common_tokens, is_session: false })
        }
        // A session's own part may be new: only what this process sent is known to be cached.
        _ => Some(Locality {
            key: last.id,
            spread_key,
            shared_tokens: shared_tokens.saturating_add(last.tokens),
            common_tokens,
            is_session: true,
        }),
    }
}

/// A cheap mixing hash of two numbers that are well distributed themselves.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    x ^ (x >> 32)
}

/// Ranks the members for a key in a single pass and stores the `count` best, as pairs of rank and server
/// index, best first.
pub(crate) fn homes(members: &[(u64, u32)], key: u64, count: usize, ranked: &mut Vec<(u64, u32)>) {
    ranked.clear();
    for &(hash, index) in members {
        let rank = mix(key, hash);
        if ranked.len() == count && ranked.last().is_some_and(|(least, _)| rank <= *least) {
            continue;
        }
        let position = ranked.partition_point(|(other, _)| *other > rank);
        ranked.insert(position, (rank, index));
        ranked.truncate(count);
    }
}

#[derive(Clone, Copy)]
struct KeyRate {
    count: f64,
    service_time_ms: f64,
    updated_at: Micros,
    last_server: Option<ServerHandle>,
}

impl KeyRate {
    fn count_at(&self, now: Micros) -> f64 {
        self.count * (-(now.saturating_sub(self.updated_at) as f64) / RATE_TIME_CONSTANT_US).exp()
    }
}

/// Recent request rate of each key, for a bounded number of keys.
#[derive(Default)]
pub(crate) struct KeyRates {
    rates: HashMap<u64, KeyRate>,
}

/// The load of one key.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KeyLoad {
    /// Requests per second.
    pub(crate) requests_per_s: f64,
    /// Work per second as a multiple of one server's capacity.
    pub(crate) server_load: f64,
    /// The server that this process sent the key's last request to, if the key belongs to a session.
    pub(crate) last_server: Option<ServerHandle>,
}

impl KeyRates {
    /// Records a request with this key that takes a server `service_time_ms`. Returns the load at this
    /// process.
    pub(crate) fn record(&mut self, now: Micros, key: u64, service_time_ms: f64) -> KeyLoad {
        if self.rates.len() >= MAX_KEYS && !self.rates.contains_key(&key) {
            self.evict_least_used(now);
        }
        let rate = self.rates.entry(key).or_insert(KeyRate {
            count: 0.0,
            service_time_ms,
            updated_at: now,
            last_server: None,
        });
        let before = rate.count_at(now);
        rate.count = before + 1.0;
        rate.service_time_ms += (service_time_ms - rate.service_time_ms) / rate.count.max(1.0);
        rate.updated_at = now;
        // The first requests of a key say little about its rate: one of them is not counted.
        let requests_per_s = before * 1_000_000.0 / RATE_TIME_CONSTANT_US;
        KeyLoad {
            requests_per_s,
            server_load: requests_per_s * rate.service_time_ms / 1_000.0,
            last_server: rate.last_server,
        }
    }

    /// The load of a key at this process, without recording a request.
    pub(crate) fn load(&self, now: Micros, key: u64) -> KeyLoad {
        let Some(rate) = self.rates.get(&key) else { return KeyLoad::default() };
        let requests_per_s = rate.count_at(now) * 1_000_000.0 / RATE_TIME_CONSTANT_US;
        KeyLoad {
            requests_per_s,
            server_load: requests_per_s * rate.service_time_ms / 1_000.0,
            last_server: rate.last_server,
        }
    }

    /// Records the server that a request with this key is sent to.
    pub(crate) fn record_server(&mut self, key: u64, server: ServerHandle) {
        if let Some(rate) = self.rates.get_mut(&key) {
            rate.last_server = Some(server);
        }
    }

    /// Evicts the half of the keys with the lowest counts.
    fn evict_least_used(&mut self, now: Micros) {
        let mut counts: Vec<f64> = self.rates.values().map(|rate| rate.count_at(now)).collect();
        let median = counts.len() / 2;
        let (_, bound, _) = counts.select_nth_unstable_by(median, f64::total_cmp);
        let bound = *bound;
        self.rates.retain(|_, rate| rate.count_at(now) > bound);
    }
}

/// Number of homes of a key in the fleet, given its load over all processes.
pub(crate) fn home_count(fleet_load: f64, members: usize) -> usize {
    ((fleet_load / MAX_HOME_LOAD).ceil().max(1.0) as usize).min(members.max(1))
}
