//! The labelling rule of the design: a tenant's hash names a label, and each label in turn claims the servers
//! that rank highest for it. Every node derives the same labelling from the same list.

use std::cmp::Reverse;

use crate::state::hash;

/// The label, below `labels`, that a tenant is hashed to.
pub fn tenant_label(tenant: u64, salt: u64, labels: u16) -> usize {
    (hash(tenant, salt) % u64::from(labels.max(1))) as usize
}

/// How high a server ranks for a label; the highest ones are claimed first.
pub fn server_rank(label: usize, server: u64) -> u64 {
    hash(label as u64, server)
}

/// Takes the `size` servers that rank highest for the label out of those still free, best first.
/// `id` gives a server's number; a `size` beyond the number of free servers takes all of them.
pub fn claim_servers<T>(free: &mut Vec<T>, label: usize, size: usize, id: impl Fn(&T) -> u64) -> Vec<T> {
    free.sort_by_cached_key(|server| Reverse(server_rank(label, id(server))));
    let rest = free.split_off(size.min(free.len()));
    std::mem::replace(free, rest)
}
