//! Rate limits: on the bytes that a node sends, and on the packets that it accepts.

use std::collections::HashMap;
use std::net::IpAddr;

use crate::Micros;

/// Bytes that the UDP and IPv4 headers add to each packet.
pub(crate) const UDP_HEADER_BYTES: usize = 28;
/// The fraction of the per-second limit that may be sent at once; the rest is refilled at a constant rate, so
/// that no interval of one second exceeds the limit.
const BURST_FRACTION: f64 = 0.2;
/// The largest number of source addresses with a limit of their own.
const MAX_SOURCES: usize = 1024;

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    rate: f64,
    capacity: f64,
    tokens: f64,
    filled_at: Micros,
}

impl TokenBucket {
    /// A bucket that never lets more than `ceiling` tokens through within any second.
    pub(crate) fn per_second(per_second: f64, now: Micros) -> TokenBucket {
        let capacity = per_second * BURST_FRACTION;
        TokenBucket { rate: per_second - capacity, capacity, tokens: capacity, filled_at: now }
    }

    fn fill(&mut self, now: Micros) {
        let refill = self.rate * now.saturating_sub(self.filled_at) as f64 / 1e6;
        self.tokens = (self.tokens + refill).min(self.capacity);
        self.filled_at = self.filled_at.max(now);
    }

    /// Takes this many tokens, if the bucket has them.
    pub(crate) fn take(&mut self, now: Micros, amount: f64) -> bool {
        self.fill(now);
        let enough = self.tokens >= amount;
        self.tokens -= if enough { amount } else { 0.0 };
        enough
    }

    /// The number of tokens in the bucket.
    pub(crate) fn left(&mut self, now: Micros) -> f64 {
        self.fill(now);
        self.tokens
    }

    pub(crate) fn capacity(&self) -> f64 {
        self.capacity
    }
}

/// Limits the packets from each source address: a flood from one address is dropped before any signature is
/// checked.
pub(crate) struct SourceLimits {
    packets_per_second: f64,
    buckets: HashMap<IpAddr, TokenBucket>,
    /// Shared by all sources without a bucket of their own.
    shared: TokenBucket,
}

impl SourceLimits {
    pub(crate) fn new(packets_per_second: f64, now: Micros) -> SourceLimits {
        SourceLimits {
            packets_per_second,
            buckets: HashMap::new(),
            shared: TokenBucket::per_second(packets_per_second, now),
        }
    }

    /// Whether one more packet from this address is accepted.
    pub(crate) fn accepts(&mut self, now: Micros, from: IpAddr) -> bool {
        if !self.buckets.contains_key(&from) && self.buckets.len() >= MAX_SOURCES {
            // Sources whose buckets are full again need no bucket of their own.
            self.buckets.retain(|_, bucket| bucket.left(now) < bucket.capacity());
            if self.buckets.len() >= MAX_SOURCES {
                return self.shared.take(now, 1.0);
            }
        }
        let packets_per_second = self.packets_per_second;
        self.buckets
            .entry(from)
            .or_insert_with(|| TokenBucket::per_second(packets_per_second, now))
            .take(now, 1.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn never_exceeds_limit_in_any_second() {
        let mut bucket = TokenBucket::per_second(1000.0, 0);
        let mut sent: Vec<(Micros, f64)> = Vec::new();
        for now in (0..5_000_000).step_by(1000) {
            while bucket.take(now, 40.0) {
                sent.push((now, 40.0));
            }
        }
        for (from, _) in &sent {
            let second =
                sent.iter().filter(|(filled_at, _)| filled_at >= from && *filled_at < from + 1_000_000);
            assert!(second.map(|s| s.1).sum::<f64>() <= 1000.0);
        }
        assert!(sent.len() as f64 * 40.0 > 3500.0, "most of the limit is usable");
    }

    #[test]
    fn floods_are_limited_by_source_with_bounded_memory() {
        let mut source_limits = SourceLimits::new(100.0, 0);
        let accepted = (0..100_000_u32).filter(|i| source_limits.accepts(1, IpAddr::V4((*i).into()))).count();
        assert!(source_limits.buckets.len() <= MAX_SOURCES && accepted <= MAX_SOURCES + 20);
        let flooding: IpAddr = [1, 2, 3, 4].into();
        let mut source_limits = SourceLimits::new(100.0, 0);
        let accepted = (0..10_000_u64).filter(|i| source_limits.accepts(i * 100, flooding)).count();
        assert!((60..=100).contains(&accepted), "{accepted}");
    }
}
