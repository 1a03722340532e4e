//! Assignment of shards to members.

use crate::shard::ShardId;
use crate::{owners, rendezvous};

/// Identity of a member; it is never reused for another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u64);

/// A machine that can be a replica of shards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Identity of the member.
    pub id: MemberId,
    /// Zone of the member.
    pub zone: String,
}

/// The replicas and the preferred owner of each shard. The order of the members passed in does not matter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Placement by shard number.
    shards: Vec<Placement>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Placement {
    replicas: Vec<MemberId>,
    owner: Option<MemberId>,
}

impl Assignment {
    /// Assigns the configuration shard and `shards` shards for services to `replica_count` members each, or
    /// to all members if there are fewer. Of several members with the same identity only one is used. The
    /// numbers of replicas in two zones differ by at most one, unless the zone with fewer has no members
    /// left. The numbers of shards owned by two members differ by at most one if every member is a replica of
    /// every shard, and otherwise as little as the choice of replicas allows.
    ///
    /// For two member lists that differ by one member, several times more owners may differ than that member
    /// owns. If the previous assignment is known, [`rebalanced`](Self::rebalanced) moves fewer.
    #[must_use]
    pub fn new(members: &[Member], shards: u32, replica_count: usize) -> Self {
        let members = sorted(members);
        let shard_ids: Vec<ShardId> = (0..=shards).map(ShardId).collect();
        let replicas = choose_replicas(&shard_ids, &members, replica_count);
        let weight = |shard: usize, member: usize| rendezvous::weight(shard_ids[shard], members[member].id);
        let owners = owners::choose(&replicas, members.len(), weight);
        Self::from_indices(&members, replicas, &owners)
    }

    /// The assignment after a membership change. Replicas are chosen as by [`new`](Self::new). A shard keeps
    /// its owner if that is still a replica, as far as members own equally many shards. The result thus
    /// depends on this assignment: all members must start from the same one.
    #[must_use]
    pub fn rebalanced(&self, members: &[Member], replica_count: usize) -> Self {
        let members = sorted(members);
        let shard_ids: Vec<ShardId> = self.shards().collect();
        let replicas = choose_replicas(&shard_ids, &members, replica_count);
        let index = |id: MemberId| members.binary_search_by_key(&id, |member| member.id).ok();
        let previous_owners: Vec<_> =
            self.shards.iter().map(|placement| placement.owner.and_then(index)).collect();
        let owners = owners::adapt(&replicas, members.len(), &previous_owners);
        Self::from_indices(&members, replicas, &owners)
    }

    /// Builds an assignment from indices into `members`, by shard.
    fn from_indices(members: &[Member], replicas: Vec<Vec<usize>>, owners: &[Option<usize>]) -> Self {
        let id = |member: usize| members[member].id;
        let shards = replicas.into_iter().zip(owners).map(|(replicas, owner)| Placement {
            replicas: replicas.into_iter().map(id).collect(),
            owner: owner.map(id),
        });
        Self { shards: shards.collect() }
    }

    /// The replicas of the shard, the most preferred first; empty for an unknown shard.
    #[must_use]
    pub fn replicas(&self, shard: ShardId) -> &[MemberId] {
        self.placement(shard).map_or(&[], |placement| &placement.replicas)
    }

    /// The replica that should own the shard while it is healthy; `None` without members or for an unknown
    /// shard.
    #[must_use]
    pub fn owner(&self, shard: ShardId) -> Option<MemberId> {
        self.placement(shard)?.owner
    }

    /// All shards, beginning with the configuration shard.
    pub fn shards(&self) -> impl Iterator<Item = ShardId> {
        (0..self.shards.len()).map(|index| ShardId(index as u32))
    }

    fn placement(&self, shard: ShardId) -> Option<&Placement> {
        self.shards.get(shard.0 as usize)
    }
}

/// Indices of the replicas of each shard.
fn choose_replicas(shards: &[ShardId], members: &[Member], replica_count: usize) -> Vec<Vec<usize>> {
    shards.iter().map(|shard| rendezvous::choose(*shard, members, replica_count)).collect()
}

/// The members in order of identity, without duplicates.
fn sorted(members: &[Member]) -> Vec<Member> {
    let mut members = members.to_vec();
    members.sort_by(|one, other| (one.id, &one.zone).cmp(&(other.id, &other.zone)));
    members.dedup_by_key(|member| member.id);
    members
}
