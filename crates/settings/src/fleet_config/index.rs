//! A table from the hash of a text to a position in a list.
//!
//! Sixteen bytes an entry, found by halving. The texts stay in the list that the positions point into; the
//! caller compares them, since two texts may share a hash.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hashes and positions, in order of the hash.
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

    /// Positions whose text has this hash.
    pub(super) fn positions(&self, hash: u64) -> impl Iterator<Item = usize> + '_ {
        let start = self.entries.partition_point(|entry| entry.0 < hash);
        let same = self.entries[start..].iter().take_while(move |entry| entry.0 == hash);
        same.map(|entry| entry.1 as usize)
    }

    /// The earliest position whose text stands before already, as `same` says, with the place of that one: the
    /// earlier position first.
    pub(super) fn first_repeat(&self, same: impl Fn(usize, usize) -> bool) -> Option<(usize, usize)> {
        let runs = self.entries.chunk_by(|left, right| left.0 == right.0);
        runs.filter_map(|run| first_repeat_in(run, &same)).min_by_key(|pair| pair.1)
    }
}

/// The same for entries that share a hash, which stand in order of their positions.
fn first_repeat_in(run: &[(u64, u32)], same: &impl Fn(usize, usize) -> bool) -> Option<(usize, usize)> {
    run.iter().enumerate().find_map(|(count, later)| {
        let later = later.1 as usize;
        let mut earlier = run[..count].iter().map(|entry| entry.1 as usize);
        Some((earlier.find(|&earlier| same(earlier, later))?, later))
    })
}

/// Hash of one text.
pub(super) fn hash_text(text: &str) -> u64 {
    hash_below(0, text)
}

/// Hash of a text together with what `seed` is the hash of.
pub(super) fn hash_below(seed: u64, text: &str) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), seed)
}
