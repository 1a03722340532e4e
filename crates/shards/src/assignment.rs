//! Who serves each shard.

use crate::shard::ShardId;
use crate::{owners, rendezvous};

/// The identity of a member; it is never used again for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u64);

/// A machine that can serve shards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its identity.
    pub id: MemberId,
    /// Its zone.
    pub zone: String,
}

/// The replicas and the preferred owner of each shard. The order in which members are given does not matter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    shards: Vec<Service>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Service {
    replicas: Vec<MemberId>,
    owner: Option<MemberId>,
}

impl Assignment {
    /// Assigns the configuration's shard and `shards` shards for services to `replicas` members each, or to all
    /// members if there are fewer. Of members with the same identity one counts. No zone has two replicas more than
    /// another one that has a member left. Members own equally many shards to within one if every member is a
    /// replica of every shard, and otherwise as far as the choice of replicas allows it.
    ///
    /// Two lists that differ by one member may give owners that differ by several times that member's part; where the
    /// assignment before is known, [`rebalanced`](Self::rebalanced) moves fewer.
    #[must_use]
    pub fn new(members: &[Member], shards: u32, replicas: usize) -> Self {
        let members = in_order(members);
        let ids: Vec<ShardId> = (0..=shards).map(ShardId).collect();
        let chosen = choose_replicas(&ids, &members, replicas);
        let weight = |shard: usize, member: usize| rendezvous::weight(ids[shard], members[member].id);
        let owners = owners::choose(&chosen, members.len(), weight);
        Self::with(&members, chosen, &owners)
    }

    /// The assignment after a change of the members. Replicas are as [`new`](Self::new) chooses them. Owners stay as
    /// far as they are replicas and members own equally many, so the outcome depends on this assignment too: all who
    /// use it must start from the same one.
    #[must_use]
    pub fn rebalanced(&self, members: &[Member], replicas: usize) -> Self {
        let members = in_order(members);
        let ids: Vec<ShardId> = self.shards().collect();
        let chosen = choose_replicas(&ids, &members, replicas);
        let place = |id: MemberId| members.binary_search_by_key(&id, |member| member.id).ok();
        let before: Vec<_> = self.shards.iter().map(|service| service.owner.and_then(place)).collect();
        let owners = owners::adapt(&chosen, members.len(), &before);
        Self::with(&members, chosen, &owners)
    }

    fn with(members: &[Member], replicas: Vec<Vec<usize>>, owners: &[Option<usize>]) -> Self {
        let id = |member: usize| members[member].id;
        let shards = replicas.into_iter().zip(owners).map(|(replicas, owner)| Service {
            replicas: replicas.into_iter().map(id).collect(),
            owner: owner.map(id),
        });
        Self { shards: shards.collect() }
    }

    /// The members that hold the shard, the most preferred first; none for an unknown shard.
    #[must_use]
    pub fn replicas(&self, shard: ShardId) -> &[MemberId] {
        self.service(shard).map_or(&[], |service| &service.replicas)
    }

    /// The replica that should own the shard while it is well; none without members or for an unknown shard.
    #[must_use]
    pub fn owner(&self, shard: ShardId) -> Option<MemberId> {
        self.service(shard)?.owner
    }

    /// All shards, the configuration's first.
    pub fn shards(&self) -> impl Iterator<Item = ShardId> {
        (0..self.shards.len()).map(|place| ShardId(place as u32))
    }

    fn service(&self, shard: ShardId) -> Option<&Service> {
        self.shards.get(shard.0 as usize)
    }
}

fn choose_replicas(shards: &[ShardId], members: &[Member], replicas: usize) -> Vec<Vec<usize>> {
    shards.iter().map(|shard| rendezvous::choose(*shard, members, replicas)).collect()
}

fn in_order(members: &[Member]) -> Vec<Member> {
    let mut members = members.to_vec();
    members.sort_by(|one, other| (one.id, &one.zone).cmp(&(other.id, &other.zone)));
    members.dedup_by_key(|member| member.id);
    members
}
