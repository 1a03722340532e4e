//! Choice of an owner for each shard among its replicas, so that members own about equally many shards.
//!
//! Shards and members are given by index.

use std::collections::VecDeque;

/// Chooses the owner of each shard; `None` for a shard without replicas. `replicas` lists the replicas of
/// each shard, the most preferred first; `members` is the number of members; `weight` is the preference of a
/// shard for a member.
pub(crate) fn choose(
    replicas: &[Vec<usize>],
    members: usize,
    weight: impl Fn(usize, usize) -> u64,
) -> Vec<Option<usize>> {
    let mut matching = Matching::new(replicas, members);
    matching.propose(weight);
    matching.place_rejected();
    while matching.balance_step() {}
    matching.owners
}

/// Chooses owners as [`choose`], starting from the previous owners. A shard keeps its owner if that is still
/// one of its replicas, unless another member would then own at least two shards fewer.
pub(crate) fn adapt(
    replicas: &[Vec<usize>],
    members: usize,
    previous_owners: &[Option<usize>],
) -> Vec<Option<usize>> {
    let mut matching = Matching::new(replicas, members);
    matching.keep_owners(previous_owners);
    matching.place_rejected();
    while matching.balance_step() {}
    matching.owners
}

struct Matching<'a> {
    /// Replicas by shard, the most preferred first.
    replicas: &'a [Vec<usize>],
    /// Owner by shard.
    owners: Vec<Option<usize>>,
    /// Number of owned shards by member.
    loads: Vec<usize>,
    /// Maximum load of a member while shards propose.
    capacity: usize,
}

impl<'a> Matching<'a> {
    fn new(replicas: &'a [Vec<usize>], members: usize) -> Self {
        let capacity = replicas.len().div_ceil(members.max(1));
        Self { replicas, owners: vec![None; replicas.len()], loads: vec![0; members], capacity }
    }

    /// Deferred acceptance: each shard proposes to its replicas in turn, and a member above its capacity
    /// rejects the shard with the lowest weight. The result does not depend on the order of the shards.
    fn propose(&mut self, weight: impl Fn(usize, usize) -> u64) {
        let mut proposals = vec![0; self.replicas.len()];
        let mut unowned: VecDeque<usize> = (0..self.replicas.len()).collect();
        while let Some(shard) = unowned.pop_front() {
            let Some(member) = self.replicas[shard].get(proposals[shard]).copied() else { continue };
            proposals[shard] += 1;
            self.assign(shard, member);
            if self.loads[member] > self.capacity {
                let rejected = self.owned_shards(member).min_by_key(|shard| (weight(*shard, member), *shard));
                let rejected = rejected.unwrap_or(shard);
                self.release(rejected);
                unowned.push_back(rejected);
            }
        }
    }

    fn keep_owners(&mut self, previous_owners: &[Option<usize>]) {
        for (shard, owner) in previous_owners.iter().enumerate().take(self.replicas.len()) {
            let owner = owner.filter(|owner| self.replicas[shard].contains(owner));
            if let Some(owner) = owner {
                self.assign(shard, owner);
            }
        }
    }

    /// Assigns each shard without an owner to its replica with the lowest load.
    fn place_rejected(&mut self) {
        for shard in 0..self.replicas.len() {
            if self.owners[shard].is_none() {
                let least_loaded =
                    self.replicas[shard].iter().copied().min_by_key(|member| self.loads[*member]);
                if let Some(member) = least_loaded {
                    self.assign(shard, member);
                }
            }
        }
    }

    /// Moves ownership along one path from a member to one whose load is lower by at least two; false if
    /// there is no such path. Each successful call reduces the sum of squared loads, so repeated calls
    /// terminate.
    fn balance_step(&mut self) -> bool {
        let mut by_load: Vec<usize> = (0..self.loads.len()).collect();
        by_load.sort_by_key(|member| self.loads[*member]);
        by_load.into_iter().any(|member| self.move_shard_to(member))
    }

    /// Gives `target` one more shard, along the shortest path from a member whose load is at least two
    /// higher.
    fn move_shard_to(&mut self, target: usize) -> bool {
        // For each member reached: the shard that it would give up, and the member that would get it.
        let mut reached: Vec<Option<(usize, usize)>> = vec![None; self.loads.len()];
        let mut queue = VecDeque::from([target]);
        while let Some(to) = queue.pop_front() {
            for shard in 0..self.replicas.len() {
                let Some(from) = self.owners[shard] else { continue };
                if from == target || reached[from].is_some() || !self.replicas[shard].contains(&to) {
                    continue;
                }
                reached[from] = Some((shard, to));
                if self.loads[from] >= self.loads[target] + 2 {
                    self.move_along_path(from, target, &reached);
                    return true;
                }
                queue.push_back(from);
            }
        }
        false
    }

    fn move_along_path(&mut self, source: usize, target: usize, reached: &[Option<(usize, usize)>]) {
        let mut from = source;
        while from != target {
            let Some((shard, to)) = reached[from] else { return };
            self.release(shard);
            self.assign(shard, to);
            from = to;
        }
    }

    fn owned_shards(&self, member: usize) -> impl Iterator<Item = usize> {
        let owners = self.owners.iter().enumerate();
        owners.filter(move |(_, owner)| **owner == Some(member)).map(|(shard, _)| shard)
    }

    fn assign(&mut self, shard: usize, member: usize) {
        self.owners[shard] = Some(member);
        self.loads[member] += 1;
    }

    fn release(&mut self, shard: usize) {
        if let Some(member) = self.owners[shard].take() {
            self.loads[member] -= 1;
        }
    }
}
