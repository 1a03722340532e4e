//! An index from the hash of a string to a position in a list.
//!
//! Entries take 16 bytes and are found by binary search. The strings themselves stay in the list; the caller
//! compares them, since different strings may have the same hash.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Pairs of hash and position, sorted.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct HashIndex {
    entries: Vec<(u64, u32)>,
}

impl HashIndex {
    pub(super) fn new(mut entries: Vec<(u64, u32)>) -> Self {
        entries.sort_unstable();
        entries.shrink_to_fit();
        Self { entries }
    }

    /// Positions of the strings with this hash, in ascending order.
    pub(super) fn positions(&self, hash: u64) -> impl Iterator<Item = usize> + '_ {
        let start = self.entries.partition_point(|entry| entry.0 < hash);
        let matches = self.entries[start..].iter().take_while(move |entry| entry.0 == hash);
        matches.map(|entry| entry.1 as usize)
    }

    /// The lowest position whose string equals that of an earlier position, as decided by `is_same`. Returns
    /// the earlier position first, then the later one.
    pub(super) fn first_duplicate(&self, is_same: impl Fn(usize, usize) -> bool) -> Option<(usize, usize)> {
        let groups = self.entries.chunk_by(|left, right| left.0 == right.0);
        groups.filter_map(|group| first_duplicate_in(group, &is_same)).min_by_key(|pair| pair.1)
    }
}

/// The same for entries with one hash, sorted by position.
fn first_duplicate_in(
    group: &[(u64, u32)],
    is_same: &impl Fn(usize, usize) -> bool,
) -> Option<(usize, usize)> {
    group.iter().enumerate().find_map(|(count, later)| {
        let later = later.1 as usize;
        let mut earlier = group[..count].iter().map(|entry| entry.1 as usize);
        Some((earlier.find(|&earlier| is_same(earlier, later))?, later))
    })
}

/// Hash of a string.
pub(super) fn hash_text(text: &str) -> u64 {
    hash_with_seed(0, text)
}

/// Hash of a pair of strings: `seed` is the hash of the first, `text` is the second.
pub(super) fn hash_with_seed(seed: u64, text: &str) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), seed)
}
