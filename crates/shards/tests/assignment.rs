//! Replicas are spread over zones, owners are even, and a change of members moves few.

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

fn spread(loads: &[usize]) -> usize {
    loads.iter().max().unwrap() - loads.iter().min().unwrap()
}

#[test]
fn every_shard_has_distinct_replicas_and_an_owner_among_them() {
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
fn replicas_are_in_as_many_zones_as_there_are() {
    for (count, zones, replicas) in [(3, 3, 3), (9, 3, 3), (17, 10, 5), (6, 2, 3), (7, 3, 5)] {
        let members = members(count, zones);
        let zone_of: BTreeMap<_, _> = members.iter().map(|member| (member.id, &member.zone)).collect();
        let assignment = Assignment::new(&members, SHARDS, replicas);
        for shard in assignment.shards() {
            let mut uses: BTreeMap<_, usize> = BTreeMap::new();
            for replica in assignment.replicas(shard) {
                *uses.entry(zone_of[replica]).or_default() += 1;
            }
            assert_eq!(uses.len() as u64, zones.min(replicas as u64), "{count} members");
            assert!(uses.values().all(|uses| *uses <= replicas.div_ceil(zones as usize)));
        }
    }
}

#[test]
fn owners_are_even_to_within_one_if_all_members_hold_all_shards() {
    for count in 1..=7 {
        let members = members(count, 3);
        let assignment = Assignment::new(&members, SHARDS, count as usize);
        let loads = loads(&assignment, &members);
        assert!(spread(&loads) <= 1, "{loads:?}");
    }
}

#[test]
fn owners_are_even_in_larger_groups_too() {
    for (count, zones) in [(5, 3), (9, 3), (12, 4), (17, 10)] {
        let members = members(count, zones);
        let loads = loads(&Assignment::new(&members, SHARDS, 3), &members);
        assert!(spread(&loads) <= 2, "{count} members: {loads:?}");
    }
}

#[test]
fn the_order_of_the_members_and_repeated_ones_do_not_matter() {
    let mut members = members(9, 3);
    let assignment = Assignment::new(&members, SHARDS, 3);
    members.reverse();
    members.push(members[4].clone());
    assert_eq!(Assignment::new(&members, SHARDS, 3), assignment);
}

#[test]
fn without_members_there_is_no_owner() {
    let assignment = Assignment::new(&[], 2, 3);
    assert_eq!(assignment.owner(CONFIGURATION_SHARD), None);
    assert!(assignment.replicas(ShardId(1)).is_empty());
    assert_eq!(assignment.owner(ShardId(9)), None);
}

/// Places of replicas that differ, and owners that differ, out of all.
fn moved(before: &Assignment, after: &Assignment) -> (f64, f64) {
    let mut replicas = 0;
    let mut owners = 0;
    for shard in before.shards() {
        let kept = after.replicas(shard);
        replicas += before.replicas(shard).iter().filter(|replica| !kept.contains(replica)).count();
        owners += usize::from(before.owner(shard) != after.owner(shard));
    }
    let shards = before.shards().count() as f64;
    (replicas as f64 / (shards * before.replicas(CONFIGURATION_SHARD).len() as f64), owners as f64 / shards)
}

/// A member holds its part of the replicas and of the owners; no change of one member moves more than twice that.
#[test]
fn a_change_of_one_member_moves_few() {
    for (count, zones, replicas) in [(3, 3, 3), (5, 5, 3), (9, 3, 3), (12, 4, 3), (17, 10, 5)] {
        let all = members(count, zones);
        let before = Assignment::new(&all, SHARDS, replicas);
        let part = 1.0 / count as f64;
        for place in 0..all.len() {
            let mut fewer = all.clone();
            fewer.remove(place);
            let (replicas_moved, owners_moved) = moved(&before, &before.rebalanced(&fewer, replicas));
            assert!(replicas_moved <= 2.0 * part, "{count}: {replicas_moved:.2} of the replicas");
            assert!(owners_moved <= 2.0 * part, "{count}: {owners_moved:.2} of the owners");
        }
        let more = [all.as_slice(), &[member(count, zones)]].concat();
        let (replicas_moved, owners_moved) = moved(&before, &before.rebalanced(&more, replicas));
        assert!(replicas_moved <= 2.0 * part, "{count}: {replicas_moved:.2} of the replicas");
        assert!(owners_moved <= 2.0 * part, "{count}: {owners_moved:.2} of the owners");
    }
}

#[test]
fn owners_stay_even_over_many_changes() {
    let mut present = members(9, 3);
    let mut assignment = Assignment::new(&present, SHARDS, 3);
    for change in 0..40 {
        // One is replaced by a new one in another zone at times, and then one leaves or comes.
        present.remove(change * 5 % present.len());
        present.push(member(100 + change as u64, 3));
        if change % 4 == 1 {
            present.pop();
        }
        if change % 4 == 3 {
            present.push(member(200 + change as u64, 3));
        }
        assignment = assignment.rebalanced(&present, 3);
        let loads = loads(&assignment, &present);
        assert!(spread(&loads) <= 2, "change {change}: {loads:?}");
        for shard in assignment.shards() {
            assert!(assignment.replicas(shard).contains(&assignment.owner(shard).unwrap()));
        }
    }
}

#[test]
fn a_change_of_nothing_moves_nothing() {
    for count in [1, 3, 9, 17] {
        let members = members(count, 4);
        let assignment = Assignment::new(&members, SHARDS, 3);
        assert_eq!(assignment.rebalanced(&members, 3), assignment);
    }
}

#[test]
fn any_members_are_assigned() {
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
