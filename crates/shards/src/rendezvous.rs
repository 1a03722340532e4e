//! Members in the order in which a shard prefers them.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::assignment::{Member, MemberId};
use crate::shard::ShardId;

/// The seed of the hash that ranks members. All members must use the same one.
const RANK_SEED: u64 = 0x0000_0072_616e_6b73;

/// How much a shard prefers a member: the highest weight comes first.
pub(crate) fn weight(shard: ShardId, member: MemberId) -> u64 {
    let mut bytes = [0; 12];
    bytes[..4].copy_from_slice(&shard.0.to_le_bytes());
    bytes[4..].copy_from_slice(&member.0.to_le_bytes());
    xxh3_64_with_seed(&bytes, RANK_SEED)
}

/// The places in `members` of the replicas of a shard: the one with the highest weight, then each time the highest
/// among the members of the zones used least.
pub(crate) fn choose(shard: ShardId, members: &[Member], replicas: usize) -> Vec<usize> {
    let mut left = ranked(shard, members);
    let mut used: BTreeMap<&str, usize> = BTreeMap::new();
    let mut chosen = Vec::new();
    while chosen.len() < replicas && !left.is_empty() {
        let place = next(&left, members, &used);
        let member = left.remove(place);
        *used.entry(&members[member].zone).or_default() += 1;
        chosen.push(member);
    }
    chosen
}

/// The first of those left whose zone is used least.
fn next(left: &[usize], members: &[Member], used: &BTreeMap<&str, usize>) -> usize {
    let uses = |member: usize| used.get(members[member].zone.as_str()).copied().unwrap_or(0);
    let mut best = 0;
    for place in 1..left.len() {
        if uses(left[place]) < uses(left[best]) {
            best = place;
        }
    }
    best
}

fn ranked(shard: ShardId, members: &[Member]) -> Vec<usize> {
    let mut places: Vec<usize> = (0..members.len()).collect();
    places.sort_by_key(|place| {
        let id = members[*place].id;
        (std::cmp::Reverse(weight(shard, id)), id)
    });
    places
}
