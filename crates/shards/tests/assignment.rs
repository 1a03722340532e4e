//! Replicas are distributed over zones, members own about equally many shards, and a membership change moves
//! few.

use std::collections::{BTreeMap, BTreeSet};

use dunelink_shards::{Assignment, CONFIGURATION_SHARD, Member, MemberId, ShardId};

const SHARDS: u32 = 64;

fn member(id: u64, zones: u64) -> Member {
    Member { id: MemberId(id * 7919), zone: format!("zone-{}", id % zones) }
}

fn members(count: u64, zones: u64) -> Vec<Member> {
    (0..count).map(|id| member(id, zones)).collect()
}

fn loads(assignment: &Assignment, members: &[Member]) -> Vec<usize> {
    let owned = |id| assignment.shards().filter(|shard| assignment.owner(*shard) == Some(id)).count();
    members.iter().map(|member| owned(member.id)).collect()
}

fn load_range(loads: &[usize]) -> usize {
    loads.iter().max().unwrap() - loads.iter().min().unwrap()
}

#[test]
fn owner_is_one_of_distinct_replicas() {
    for count in 1..12 {
        let members = members(count, 4);
        let assignment = Assignment::new(&members, SHARDS, 3);
        assert_eq!(assignment.shards().count(), SHARDS as usize + 1);
        assert_eq!(assignment.shards().next(), Some(CONFIGURATION_SHARD));
        for shard in assignment.shards() {
            let replicas: BTreeSet<_> = assignment.replicas(shard).iter().collect();
            assert_eq!(replicas.len(), 3.min(count as usize));
            assert!(replicas.contains(&assignment.owner(shard).unwrap()));
        }
    }
}

#[test]
fn replicas_are_distributed_over_all_zones() {
    for (count, zones, replicas) in [(3, 3, 3), (9, 3, 3), (17, 10, 5), (6, 2, 3), (7, 3, 5)] {
        let members = members(count, zones);
        let zone_of: BTreeMap<_, _> = members.iter().map(|member| (member.id, &member.zone)).collect();
        let assignment = Assignment::new(&members, SHARDS, replicas);
        for shard in assignment.shards() {
            let mut replicas_by_zone: BTreeMap<_, usize> = BTreeMap::new();
            for replica in assignment.replicas(shard) {
                *replicas_by_zone.entry(zone_of[replica]).or_default() += 1;
            }
            assert_eq!(replicas_by_zone.len() as u64, zones.min(replicas as u64), "{count} members");
            assert!(replicas_by_zone.values().all(|count| *count <= replicas.div_ceil(zones as usize)));
        }
    }
}

#[test]
fn loads_differ_by_at_most_one_with_full_replication() {
    for count in 1..=7 {
        let members = members(count, 3);
        let assignment = Assignment::new(&members, SHARDS, count as usize);
        let loads = loads(&assignment, &members);
        assert!(load_range(&loads) <= 1, "{loads:?}");
    }
}

#[test]
fn loads_differ_by_at_most_two_with_partial_replication() {
    for (count, zones) in [(5, 3), (9, 3), (12, 4), (17, 10)] {
        let members = members(count, zones);
        let loads = loads(&Assignment::new(&members, SHARDS, 3), &members);
        assert!(load_range(&loads) <= 2, "{count} members: {loads:?}");
    }
}

#[test]
fn member_order_and_duplicates_are_ignored() {
    let mut members = members(9, 3);
    let assignment = Assignment::new(&members, SHARDS, 3);
    members.reverse();
    members.push(members[4].clone());
    assert_eq!(Assignment::new(&members, SHARDS, 3), assignment);
}

#[test]
fn no_members_means_no_owner() {
    let assignment = Assignment::new(&[], 2, 3);
    assert_eq!(assignment.owner(CONFIGURATION_SHARD), None);
    assert!(assignment.replicas(ShardId(1)).is_empty());
    assert_eq!(assignment.owner(ShardId(9)), None);
}

/// Fraction of the replicas and fraction of the owners that differ between two assignments.
fn moved_fractions(before: &Assignment, after: &Assignment) -> (f64, f64) {
    let mut replicas = 0;
    let mut owners = 0;
    for shard in before.shards() {
        let new_replicas = after.replicas(shard);
        replicas += before.replicas(shard).iter().filter(|replica| !new_replicas.contains(replica)).count();
        owners += usize::from(before.owner(shard) != after.owner(shard));
    }
    let shards = before.shards().count() as f64;
    (replicas as f64 / (shards * before.replicas(CONFIGURATION_SHARD).len() as f64), owners as f64 / shards)
}

/// Adding or removing one of `count` members moves at most twice its even share `1 / count` of replicas and
/// owners.
#[test]
fn change_of_one_member_moves_few() {
    for (count, zones, replicas) in [(3, 3, 3), (5, 5, 3), (9, 3, 3), (12, 4, 3), (17, 10, 5)] {
        let all = members(count, zones);
        let before = Assignment::new(&all, SHARDS, replicas);
        let even_share = 1.0 / count as f64;
        for index in 0..all.len() {
            let mut fewer = all.clone();
            fewer.remove(index);
            let (replicas_moved, owners_moved) =
                moved_fractions(&before, &before.rebalanced(&fewer, replicas));
            assert!(replicas_moved <= 2.0 * even_share, "{count}: {replicas_moved:.2} of the replicas");
            assert!(owners_moved <= 2.0 * even_share, "{count}: {owners_moved:.2} of the owners");
        }
        let more = [all.as_slice(), &[member(count, zones)]].concat();
        let (replicas_moved, owners_moved) = moved_fractions(&before, &before.rebalanced(&more, replicas));
        assert!(replicas_moved <= 2.0 * even_share, "{count}: {replicas_moved:.2} of the replicas");
        assert!(owners_moved <= 2.0 * even_share, "{count}: {owners_moved:.2} of the owners");
    }
}

#[test]
fn loads_stay_balanced_over_many_changes() {
    let mut current = members(9, 3);
    let mut assignment = Assignment::new(&current, SHARDS, 3);
    for change in 0..40 {
        // Replaces a member, sometimes in another zone; in some rounds another member leaves or joins.
        current.remove(change * 5 % current.len());
        current.push(member(100 + change as u64, 3));
        if change % 4 == 1 {
            current.pop();
        }
        if change % 4 == 3 {
            current.push(member(200 + change as u64, 3));
        }
        assignment = assignment.rebalanced(&current, 3);
        let loads = loads(&assignment, &current);
        assert!(load_range(&loads) <= 2, "change {change}: {loads:?}");
        for shard in assignment.shards() {
            assert!(assignment.replicas(shard).contains(&assignment.owner(shard).unwrap()));
        }
    }
}

#[test]
fn rebalancing_unchanged_members_moves_nothing() {
    for count in [1, 3, 9, 17] {
        let members = members(count, 4);
        let assignment = Assignment::new(&members, SHARDS, 3);
        assert_eq!(assignment.rebalanced(&members, 3), assignment);
    }
}

#[test]
fn arbitrary_members_get_all_replicas() {
    bolero::check!().with_iterations(300).with_type::<(Vec<(u8, u8)>, u8, u8)>().for_each(
        |(members, shards, replicas)| {
            let members: Vec<_> = members
                .iter()
                .map(|(id, zone)| Member { id: MemberId(u64::from(*id)), zone: zone.to_string() })
                .collect();
            let distinct: BTreeSet<_> = members.iter().map(|member| member.id).collect();
            let assignment = Assignment::new(&members, u32::from(*shards % 16), usize::from(*replicas));
            for shard in assignment.shards() {
                assert_eq!(assignment.replicas(shard).len(), distinct.len().min(usize::from(*replicas)));
            }
        },
    );
}
