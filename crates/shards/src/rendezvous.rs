//! Rendezvous hashing: the order in which a shard prefers members.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::assignment::{Member, MemberId};
use crate::shard::ShardId;

/// Seed of the hash that ranks members. All members must use the same seed.
const RANK_SEED: u64 = 0x0000_0072_616e_6b73;

/// Rendezvous weight of a member for a shard; the member with the highest weight is preferred.
pub(crate) fn weight(shard: ShardId, member: MemberId) -> u64 {
    let mut bytes = [0; 12];
    bytes[..4].copy_from_slice(&shard.0.to_le_bytes());
    bytes[4..].copy_from_slice(&member.0.to_le_bytes());
    xxh3_64_with_seed(&bytes, RANK_SEED)
}

/// Indices in `members` of the replicas of a shard: the member with the highest weight, then repeatedly the
/// member with the highest weight among the zones with the fewest replicas so far.
pub(crate) fn choose(shard: ShardId, members: &[Member], replica_count: usize) -> Vec<usize> {
    let mut remaining = ranked(shard, members);
    let mut replicas_by_zone: BTreeMap<&str, usize> = BTreeMap::new();
    let mut chosen = Vec::new();
    while chosen.len() < replica_count && !remaining.is_empty() {
        let next = next_replica(&remaining, members, &replicas_by_zone);
        let member = remaining.remove(next);
        *replicas_by_zone.entry(&members[member].zone).or_default() += 1;
        chosen.push(member);
    }
    chosen
}

/// Index in `remaining` of the first member whose zone has the fewest replicas.
fn next_replica(remaining: &[usize], members: &[Member], replicas_by_zone: &BTreeMap<&str, usize>) -> usize {
    let replicas = |member: usize| replicas_by_zone.get(members[member].zone.as_str()).copied().unwrap_or(0);
    let mut best = 0;
    for candidate in 1..remaining.len() {
        if replicas(remaining[candidate]) < replicas(remaining[best]) {
            best = candidate;
        }
    }
    best
}

/// Indices of all members, the most preferred first.
fn ranked(shard: ShardId, members: &[Member]) -> Vec<usize> {
    let mut indices: Vec<usize> = (0..members.len()).collect();
    indices.sort_by_key(|index| {
        let id = members[*index].id;
        (std::cmp::Reverse(weight(shard, id)), id)
    });
    indices
}
