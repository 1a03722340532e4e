//! The order in which connections of all servers became idle, so that the longest-idle one is found without
//! looking at each server.

use std::collections::VecDeque;

/// Stale entries are removed once there are at least this many entries and more than half of them are stale.
const MIN_STALE_ENTRIES: usize = 64;

/// Entries in the order in which they were added. An entry that no longer exists is not removed at once: the
/// caller tells which entries are live.
#[derive(Debug)]
pub(crate) struct IdleOrder<K> {
    entries: VecDeque<(K, u64)>,
    next_number: u64,
}

impl<K> Default for IdleOrder<K> {
    fn default() -> IdleOrder<K> {
        IdleOrder { entries: VecDeque::new(), next_number: 0 }
    }
}

impl<K: Copy> IdleOrder<K> {
    /// Adds an entry and returns its number. `live` is the number of live entries, including this one.
    pub(crate) fn push(&mut self, key: K, live: usize, is_live: impl Fn(K, u64) -> bool) -> u64 {
        if self.entries.len() >= MIN_STALE_ENTRIES.max(2 * live) {
            self.entries.retain(|(key, number)| is_live(*key, *number));
        }
        let number = self.next_number;
        self.next_number += 1;
        self.entries.push_back((key, number));
        number
    }

    /// Removes entries from the oldest on until `lookup` finds a live one, and returns what it found.
    pub(crate) fn pop<T>(&mut self, lookup: impl Fn(K, u64) -> Option<T>) -> Option<T> {
        while let Some((key, number)) = self.entries.pop_front() {
            if let Some(found) = lookup(key, number) {
                return Some(found);
            }
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use std::collections::HashSet;

    use super::*;

    #[test]
    fn pops_oldest_live_entry_and_bounds_stale_entries() {
        let mut order = IdleOrder::default();
        let mut live = HashSet::new();
        for round in 0..10_000_u64 {
            let number = order.push(round % 7, live.len() + 1, |_, number| live.contains(&number));
            live.insert(number);
            // All but every hundredth entry are used again at once.
            if round % 100 != 0 {
                live.remove(&number);
            }
            assert!(
                order.entries.len() <= MIN_STALE_ENTRIES.max(2 * live.len() + 2),
                "{}",
                order.entries.len()
            );
        }
        let popped: Vec<u64> =
            std::iter::from_fn(|| order.pop(|_, number| live.get(&number).copied())).collect();
        assert_eq!(popped, (0..10_000).step_by(100).collect::<Vec<_>>());
    }
}
