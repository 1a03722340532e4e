//! The known addresses of control machines: seeds from the settings file, and members learned from the feed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Most learned members that are kept.
const MAX_MEMBERS: usize = 64;
/// Time in microseconds by which each consecutive failure postpones an address relative to the others.
const FAILURE_PENALTY_US: u64 = 2_000_000;
/// Consecutive failures beyond which the penalty no longer grows.
const MAX_COUNTED_FAILURES: u64 = 5;

/// The known addresses, with the history of the connection attempts to each.
#[derive(Debug, Default)]
pub struct AddressDirectory {
    seeds: Vec<SocketAddr>,
    members: Vec<SocketAddr>,
    attempts: BTreeMap<SocketAddr, AttemptHistory>,
}

#[derive(Debug, Default)]
struct AttemptHistory {
    last_attempt_at: u64,
    failures: u64,
}

impl AddressDirectory {
    /// Replaces the seeds. Learned members are kept.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.prune_attempts();
    }

    /// Updates the members from the list that a source sent. Members of earlier lists are dropped only if the
    /// source is current, because a source without contact to the leader may send an outdated list, and only
    /// if the new list is not empty.
    pub fn update_members(&mut self, members: Vec<SocketAddr>, source_is_current: bool) {
        let previous = std::mem::replace(&mut self.members, members);
        if !source_is_current || self.members.is_empty() {
            self.members.extend(previous);
        }
        self.members.sort_unstable();
        self.members.dedup();
        self.members.truncate(MAX_MEMBERS);
        self.prune_attempts();
    }

    /// Number of known addresses.
    pub fn len(&self) -> usize {
        self.all_addresses().len()
    }

    /// True if no address is known.
    pub fn is_empty(&self) -> bool {
        self.seeds.is_empty() && self.members.is_empty()
    }

    /// Selects the address to try next and records the attempt at `now`: the address with the oldest attempt,
    /// where failures make an attempt count as more recent. Ties are broken at random. `None` if all
    /// addresses are in `excluded`.
    pub fn pick(
        &mut self,
        excluded: &[SocketAddr],
        random: &mut fastrand::Rng,
        now: u64,
    ) -> Option<SocketAddr> {
        let candidates = self.all_addresses().into_iter().filter(|address| !excluded.contains(address));
        let ranked = candidates.map(|address| (self.rank(address), random.u64(..), address));
        let (_, _, address) = ranked.min()?;
        self.attempts.entry(address).or_default().last_attempt_at = now;
        Some(address)
    }

    /// Records that the source at an address turned out to be current.
    pub fn record_success(&mut self, address: SocketAddr) {
        self.attempts.entry(address).or_default().failures = 0;
    }

    /// Records that a connection to an address failed, ended or was given up.
    pub fn record_failure(&mut self, address: SocketAddr) {
        self.attempts.entry(address).or_default().failures += 1;
    }

    fn rank(&self, address: SocketAddr) -> u64 {
        let penalty = |history: &AttemptHistory| {
            history.last_attempt_at + history.failures.min(MAX_COUNTED_FAILURES) * FAILURE_PENALTY_US
        };
        self.attempts.get(&address).map_or(0, penalty)
    }

    fn all_addresses(&self) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = self.members.iter().chain(&self.seeds).copied().collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    fn prune_attempts(&mut self) {
        let known = self.all_addresses();
        self.attempts.retain(|address, _| known.binary_search(address).is_ok());
    }
}
