//! The mapping from services to shards is stable and uniform.

use dunelink_shards::{CONFIGURATION_SHARD, SERVICE_HASH_SEED, ShardId, shard_of};

#[test]
fn shard_mapping_is_stable() {
    assert_eq!(SERVICE_HASH_SEED, 0x0073_6572_7669_6365);
    let shards: Vec<u32> = ["", "chat", "search", "code"].iter().map(|name| shard_of(name, 64).0).collect();
    assert_eq!(shards, [5, 18, 10, 31]);
}

#[test]
fn services_are_never_in_the_configuration_shard() {
    for shards in 1..40 {
        for service in 0..500 {
            let ShardId(shard) = shard_of(&format!("service-{service}"), shards);
            assert!((1..=shards).contains(&shard));
        }
    }
    assert_eq!(shard_of("chat", 0), CONFIGURATION_SHARD);
}

#[test]
fn services_are_distributed_evenly() {
    const SERVICES: usize = 64_000;
    const SHARDS: u32 = 64;
    let mut counts = vec![0_usize; SHARDS as usize + 1];
    for service in 0..SERVICES {
        counts[shard_of(&format!("model-{service}"), SHARDS).0 as usize] += 1;
    }
    let mean = SERVICES / SHARDS as usize;
    // Six standard deviations of a binomial with this mean, rounded up.
    let tolerance = 190;
    assert!(counts[1..].iter().all(|count| count.abs_diff(mean) < tolerance), "{counts:?}");
}
