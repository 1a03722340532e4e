//! One owner for each shard out of its replicas, so that members own equally many.

use std::collections::VecDeque;

/// The owners of shards, from the replicas of each: places of members, the most preferred first. `weight` tells how
/// much a shard prefers a member, both by their places. None for a shard without replicas.
pub(crate) fn choose(
    candidates: &[Vec<usize>],
    members: usize,
    weight: impl Fn(usize, usize) -> u64,
) -> Vec<Option<usize>> {
    let mut matching = Matching::new(candidates, members);
    matching.propose(weight);
    matching.place_rejected();
    while matching.even_out() {}
    matching.owners
}

/// As [`choose`], from the owners before a change. A shard keeps its owner if that is still one of its replicas,
/// unless another member would own two fewer.
pub(crate) fn adapt(
    candidates: &[Vec<usize>],
    members: usize,
    before: &[Option<usize>],
) -> Vec<Option<usize>> {
    let mut matching = Matching::new(candidates, members);
    matching.keep(before);
    matching.place_rejected();
    while matching.even_out() {}
    matching.owners
}

struct Matching<'a> {
    candidates: &'a [Vec<usize>],
    owners: Vec<Option<usize>>,
    loads: Vec<usize>,
    limit: usize,
}

impl<'a> Matching<'a> {
    fn new(candidates: &'a [Vec<usize>], members: usize) -> Self {
        let limit = candidates.len().div_ceil(members.max(1));
        Self { candidates, owners: vec![None; candidates.len()], loads: vec![0; members], limit }
    }

    /// Each shard asks its replicas in turn; a member above its limit lets the shard go that prefers it least. The
    /// outcome does not depend on the order of the shards.
    fn propose(&mut self, weight: impl Fn(usize, usize) -> u64) {
        let mut asked = vec![0; self.candidates.len()];
        let mut free: VecDeque<usize> = (0..self.candidates.len()).collect();
        while let Some(shard) = free.pop_front() {
            let Some(member) = self.candidates[shard].get(asked[shard]).copied() else { continue };
            asked[shard] += 1;
            self.give(shard, member);
            if self.loads[member] > self.limit {
                let least = self.owned(member).min_by_key(|shard| (weight(*shard, member), *shard));
                let least = least.unwrap_or(shard);
                self.take(least);
                free.push_back(least);
            }
        }
    }

    fn keep(&mut self, before: &[Option<usize>]) {
        for (shard, owner) in before.iter().enumerate().take(self.candidates.len()) {
            let owner = owner.filter(|owner| self.candidates[shard].contains(owner));
            if let Some(owner) = owner {
                self.give(shard, owner);
            }
        }
    }

    /// Shards without an owner: the replica that owns fewest takes it.
    fn place_rejected(&mut self) {
        for shard in 0..self.candidates.len() {
            if self.owners[shard].is_none() {
                let fewest = self.candidates[shard].iter().copied().min_by_key(|member| self.loads[*member]);
                if let Some(member) = fewest {
                    self.give(shard, member);
                }
            }
        }
    }

    /// Moves ownership along one path from a member to one that owns two less or fewer still; false if there is no
    /// such path. Each call makes the sum of squared loads smaller, so calls end.
    fn even_out(&mut self) -> bool {
        let mut lightest: Vec<usize> = (0..self.loads.len()).collect();
        lightest.sort_by_key(|member| self.loads[*member]);
        lightest.into_iter().any(|member| self.fill(member))
    }

    /// Gives one more shard to `light`, by the shortest path from a member that owns at least two more.
    fn fill(&mut self, light: usize) -> bool {
        // For each member reached: the shard that it would give up, and to whom.
        let mut reached: Vec<Option<(usize, usize)>> = vec![None; self.loads.len()];
        let mut queue = VecDeque::from([light]);
        while let Some(to) = queue.pop_front() {
            for shard in 0..self.candidates.len() {
                let Some(from) = self.owners[shard] else { continue };
                if from == light || reached[from].is_some() || !self.candidates[shard].contains(&to) {
                    continue;
                }
                reached[from] = Some((shard, to));
                if self.loads[from] >= self.loads[light] + 2 {
                    self.shift(from, light, &reached);
                    return true;
                }
                queue.push_back(from);
            }
        }
        false
    }

    fn shift(&mut self, heavy: usize, light: usize, reached: &[Option<(usize, usize)>]) {
        let mut from = heavy;
        while from != light {
            let Some((shard, to)) = reached[from] else { return };
            self.take(shard);
            self.give(shard, to);
            from = to;
        }
    }

    fn owned(&self, member: usize) -> impl Iterator<Item = usize> {
        let owners = self.owners.iter().enumerate();
        owners.filter(move |(_, owner)| **owner == Some(member)).map(|(shard, _)| shard)
    }

    fn give(&mut self, shard: usize, member: usize) {
        self.owners[shard] = Some(member);
        self.loads[member] += 1;
    }

    fn take(&mut self, shard: usize) {
        if let Some(member) = self.owners[shard].take() {
            self.loads[member] -= 1;
        }
    }
}
