//! Ceilings: on the bytes that a node sends, and on the packets that it listens to.

use std::collections::HashMap;
use std::net::IpAddr;

use crate::Micros;

/// What UDP and IPv4 add to each packet.
pub(crate) const HEADERS: usize = 28;
/// The part of a second's ceiling that may go at once; the rest comes at a constant rate, so that no second
/// has more than the ceiling.
const BURST: f64 = 0.2;
/// Sources that are told apart.
const SOURCES_MOST: usize = 1024;

/// A bucket of tokens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    rate: f64,
    depth: f64,
    tokens: f64,
    at: Micros,
}

impl Bucket {
    /// One that never lets more than `ceiling` through within any second.
    pub(crate) fn ceiling(ceiling: f64, now: Micros) -> Bucket {
        let depth = ceiling * BURST;
        Bucket { rate: ceiling - depth, depth, tokens: depth, at: now }
    }

    fn fill(&mut self, now: Micros) {
        let gained = self.rate * now.saturating_sub(self.at) as f64 / 1e6;
        self.tokens = (self.tokens + gained).min(self.depth);
        self.at = self.at.max(now);
    }

    /// Takes so much, if there is as much.
    pub(crate) fn take(&mut self, now: Micros, amount: f64) -> bool {
        self.fill(now);
        let enough = self.tokens >= amount;
        self.tokens -= if enough { amount } else { 0.0 };
        enough
    }

    /// How much there is.
    pub(crate) fn left(&mut self, now: Micros) -> f64 {
        self.fill(now);
        self.tokens
    }

    pub(crate) fn depth(&self) -> f64 {
        self.depth
    }
}

/// Who sends how much: a flood from one address is dropped before any signature is looked at.
pub(crate) struct Sources {
    each: f64,
    buckets: HashMap<IpAddr, Bucket>,
    /// For all that are not told apart.
    others: Bucket,
}

impl Sources {
    pub(crate) fn new(each: f64, now: Micros) -> Sources {
        Sources { each, buckets: HashMap::new(), others: Bucket::ceiling(each, now) }
    }

    /// Whether one more packet from there is listened to.
    pub(crate) fn listens(&mut self, now: Micros, from: IpAddr) -> bool {
        if !self.buckets.contains_key(&from) && self.buckets.len() >= SOURCES_MOST {
            // Those that have been silent for long are as good as new.
            self.buckets.retain(|_, bucket| bucket.left(now) < bucket.depth());
            if self.buckets.len() >= SOURCES_MOST {
                return self.others.take(now, 1.0);
            }
        }
        let each = self.each;
        self.buckets.entry(from).or_insert_with(|| Bucket::ceiling(each, now)).take(now, 1.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_second_has_more_than_the_ceiling() {
        let mut bucket = Bucket::ceiling(1000.0, 0);
        let mut sent: Vec<(Micros, f64)> = Vec::new();
        for now in (0..5_000_000).step_by(1000) {
            while bucket.take(now, 40.0) {
                sent.push((now, 40.0));
            }
        }
        for (from, _) in &sent {
            let second = sent.iter().filter(|(at, _)| at >= from && *at < from + 1_000_000);
            assert!(second.map(|s| s.1).sum::<f64>() <= 1000.0);
        }
        assert!(sent.len() as f64 * 40.0 > 3500.0, "it lets most of the ceiling through");
    }

    #[test]
    fn a_flood_from_many_addresses_costs_no_memory_and_a_loud_one_is_not_heard() {
        let mut sources = Sources::new(100.0, 0);
        let heard = (0..100_000_u32).filter(|i| sources.listens(1, IpAddr::V4((*i).into()))).count();
        assert!(sources.buckets.len() <= SOURCES_MOST && heard <= SOURCES_MOST + 20);
        let loud: IpAddr = [1, 2, 3, 4].into();
        let mut sources = Sources::new(100.0, 0);
        let heard = (0..10_000_u64).filter(|i| sources.listens(i * 100, loud)).count();
        assert!((60..=100).contains(&heard), "{heard}");
    }
}
