//! The labels of tenants: a tenant is hashed to a label, and each label in turn claims the servers that rank
//! highest for it. Every node derives the same assignment from the same server list.

use std::cmp::Reverse;

use crate::state::hash;

/// The label of a tenant, below `labels`.
pub fn tenant_label(tenant: u64, salt: u64, labels: u16) -> usize {
    (hash(tenant, salt) % u64::from(labels.max(1))) as usize
}

/// The rank of a server for a label (rendezvous hashing); servers with the highest ranks are claimed first.
pub fn server_rank(label: usize, server: u64) -> u64 {
    hash(label as u64, server)
}

/// Removes the `size` servers that rank highest for the label from `free` and returns them, highest rank
/// first. `id` returns a server's number. If `free` has fewer servers than `size`, all of them are taken.
pub fn claim_servers<T>(free: &mut Vec<T>, label: usize, size: usize, id: impl Fn(&T) -> u64) -> Vec<T> {
    free.sort_by_cached_key(|server| Reverse(server_rank(label, id(server))));
    let rest = free.split_off(size.min(free.len()));
    std::mem::replace(free, rest)
}
