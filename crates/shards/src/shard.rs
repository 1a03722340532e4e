//! Shard ids, and the mapping from services to shards.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed of the hash from a service's name to its shard. It must never change, as it determines where the
/// state of a service is stored.
pub const SERVICE_HASH_SEED: u64 = 0x0073_6572_7669_6365;

/// Number of a shard: a part of the control state with its own log, replica group and owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u32);

/// The shard of the configuration; it has no services.
pub const CONFIGURATION_SHARD: ShardId = ShardId(0);

/// The shard of a service, from 1 to `shards`, the number of shards for services.
///
/// `shards` is part of the storage format: with another number, nearly all services belong to other shards.
/// If it is 0, all services belong to [`CONFIGURATION_SHARD`].
#[must_use]
pub fn shard_of(service: &str, shards: u32) -> ShardId {
    if shards == 0 {
        return CONFIGURATION_SHARD;
    }
    let hash = xxh3_64_with_seed(service.as_bytes(), SERVICE_HASH_SEED);
    // The high half of the product is uniform over 0..shards, without the bias and the cost of a remainder.
    let index = (u128::from(hash) * u128::from(shards)) >> u64::BITS;
    ShardId(index as u32 + 1)
}
