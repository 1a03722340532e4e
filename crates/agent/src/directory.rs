//! The addresses of control machines: seeds, and members learned from the feed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Most learned members that are remembered.
const REMEMBERED: usize = 64;
/// By how much each failure in a row puts an address back, in microseconds.
const PENALTY: u64 = 2_000_000;
/// Failures in a row beyond which the penalty grows no more.
const COUNTED_FAILURES: u64 = 5;

/// The addresses known, and how connecting to each went.
#[derive(Debug, Default)]
pub struct AddressDirectory {
    seeds: Vec<SocketAddr>,
    members: Vec<SocketAddr>,
    attempts: BTreeMap<SocketAddr, Attempts>,
}

#[derive(Debug, Default)]
struct Attempts {
    last_at: u64,
    failures: u64,
}

impl AddressDirectory {
    /// Replaces the seeds. Learned members stay.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.forget_unknown();
    }

    /// Takes the members as a source tells them. Those told before are dropped only if the source is current: a
    /// source that is cut off may tell an old list.
    pub fn update_members(&mut self, members: Vec<SocketAddr>, source_is_current: bool) {
        let before = std::mem::replace(&mut self.members, members);
        if !source_is_current || self.members.is_empty() {
            self.members.extend(before);
        }
        self.members.sort_unstable();
        self.members.dedup();
        self.members.truncate(REMEMBERED);
        self.forget_unknown();
    }

    /// Number of addresses known.
    pub fn len(&self) -> usize {
        self.all().len()
    }

    /// True without any address.
    pub fn is_empty(&self) -> bool {
        self.seeds.is_empty() && self.members.is_empty()
    }

    /// The address to try next at `now`: the one tried longest ago, those that failed put back; chance decides
    /// among equals. Nothing if all are in `excluded`.
    pub fn pick(
        &mut self,
        excluded: &[SocketAddr],
        random: &mut fastrand::Rng,
        now: u64,
    ) -> Option<SocketAddr> {
        let candidates = self.all().into_iter().filter(|address| !excluded.contains(address));
        let ranked = candidates.map(|address| (self.rank(address), random.u64(..), address));
        let (_, _, address) = ranked.min()?;
        self.attempts.entry(address).or_default().last_at = now;
        Some(address)
    }

    /// Notes that an address was of use.
    pub fn record_success(&mut self, address: SocketAddr) {
        self.attempts.entry(address).or_default().failures = 0;
    }

    /// Notes that an address was of no use.
    pub fn record_failure(&mut self, address: SocketAddr) {
        self.attempts.entry(address).or_default().failures += 1;
    }

    fn rank(&self, address: SocketAddr) -> u64 {
        let penalty = |tried: &Attempts| tried.last_at + tried.failures.min(COUNTED_FAILURES) * PENALTY;
        self.attempts.get(&address).map_or(0, penalty)
    }

    fn all(&self) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = self.members.iter().chain(&self.seeds).copied().collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    fn forget_unknown(&mut self) {
        let known = self.all();
        self.attempts.retain(|address, _| known.binary_search(address).is_ok());
    }
}
