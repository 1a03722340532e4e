//! Quorums over one voter set or, during a joint change, over both.

use crate::members::{Member, Membership, ReplicaId};

/// Greatest value reached by a majority of every voter set; `lowest` if a set is empty.
pub(crate) fn majority_value<V: Ord + Copy>(
    membership: &Membership,
    value: impl Fn(ReplicaId) -> V,
    lowest: V,
) -> V {
    let current = majority_value_of(&membership.voters, &value, lowest);
    match &membership.incoming_voters {
        None => current,
        Some(incoming_voters) => current.min(majority_value_of(incoming_voters, &value, lowest)),
    }
}

/// Whether a majority of every voter set fulfils a condition.
pub(crate) fn has_quorum(membership: &Membership, condition: impl Fn(ReplicaId) -> bool) -> bool {
    majority_value(membership, condition, false)
}

fn majority_value_of<V: Ord + Copy>(voters: &[Member], value: &impl Fn(ReplicaId) -> V, lowest: V) -> V {
    let mut values: Vec<V> = voters.iter().map(|voter| value(voter.id)).collect();
    values.sort_unstable_by(|left, right| right.cmp(left));
    values.get(voters.len() / 2).copied().unwrap_or(lowest)
}
