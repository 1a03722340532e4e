//! Shards, and the shard of a service.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The seed of the hash from a service's name to its shard. Stored state lies where this says, so it never changes.
pub const SERVICE_HASH_SEED: u64 = 0x0073_6572_7669_6365;

/// A part of the control state with a log, a replica group and an owner of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u32);

/// The shard that holds the configuration, and no service.
pub const CONFIGURATION_SHARD: ShardId = ShardId(0);

/// The shard of a service, from 1 to `shards`, the number of shards for services.
///
/// The number is part of the format of what is stored: with another one, nearly all services belong to other shards.
/// Without any (0) all services belong to [`CONFIGURATION_SHARD`].
#[must_use]
pub fn shard_of(service: &str, shards: u32) -> ShardId {
    if shards == 0 {
        return CONFIGURATION_SHARD;
    }
    let hash = xxh3_64_with_seed(service.as_bytes(), SERVICE_HASH_SEED);
    // The high half of the product is even over 0..shards, without the bias and the cost of a remainder.
    let place = (u128::from(hash) * u128::from(shards)) >> u64::BITS;
    ShardId(place as u32 + 1)
}
