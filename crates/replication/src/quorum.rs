//! Majorities, also joint ones.

use crate::members::{Member, Membership, ReplicaId};

/// Greatest value that a majority of every voter set has reached; `lowest` without voters.
pub(crate) fn reached<V: Ord + Copy>(
    membership: &Membership,
    value: impl Fn(ReplicaId) -> V,
    lowest: V,
) -> V {
    let current = reached_by(&membership.voters, &value, lowest);
    match &membership.incoming_voters {
        None => current,
        Some(incoming_voters) => current.min(reached_by(incoming_voters, &value, lowest)),
    }
}

/// Whether a majority of every voter set fulfils a condition.
pub(crate) fn agreed(membership: &Membership, condition: impl Fn(ReplicaId) -> bool) -> bool {
    reached(membership, condition, false)
}

fn reached_by<V: Ord + Copy>(voters: &[Member], value: &impl Fn(ReplicaId) -> V, lowest: V) -> V {
    let mut values: Vec<V> = voters.iter().map(|voter| value(voter.id)).collect();
    values.sort_unstable_by(|left, right| right.cmp(left));
    values.get(voters.len() / 2).copied().unwrap_or(lowest)
}
