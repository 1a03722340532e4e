//! The label pools of one service. All processes with the same server list derive the same pools.

use cherryusher::labels;
use xxhash_rust::xxh3::xxh3_64;

/// Minimum number of ready servers in the pool of a label, if the service has that many.
pub(crate) const MIN_POOL_SIZE: usize = 4;
/// Servers per label. A pool must be large compared with the share of all traffic that one tenant sends, even
/// at several times its usual rate: with four pools of 35 servers (24 servers per label), some servers were
/// 2.5 times as busy as the mean and 12% of the requests failed; with a single pool 0.4% failed.
const SERVERS_PER_LABEL: usize = 240;
/// From this number of servers on, a service with tenantless requests reserves servers for them.
const MIN_SERVERS_FOR_UNLABELLED: usize = 16;
/// The reserved servers are the number of ready servers divided by this.
const UNLABELLED_DIVISOR: usize = 4;

/// A member of a pool: the hash of the server's id, and its index in the server table.
pub(crate) type Member = (u64, u32);

/// The pools of one service.
#[derive(Default)]
pub(crate) struct Pools {
    /// One pool for each label.
    pub(crate) labelled: Vec<Vec<Member>>,
    /// The servers that no label claims.
    pub(crate) unlabelled: Vec<Member>,
    /// All ready servers.
    pub(crate) ready: Vec<Member>,
}

/// The number of labels of a service with that many servers: a power of two, so that it rarely changes with
/// the list.
fn label_count(servers: usize) -> usize {
    let max_labels = (servers / SERVERS_PER_LABEL).max(1);
    1 << max_labels.ilog2()
}

impl Pools {
    /// Builds the pools. `listed` includes the draining servers; `has_tenantless` tells whether the service
    /// receives requests without a tenant.
    pub(crate) fn build(mut ready: Vec<Member>, listed: usize, has_tenantless: bool) -> Pools {
        ready.sort_unstable();
        let labels = label_count(listed);
        let reserved = if has_tenantless && ready.len() >= MIN_SERVERS_FOR_UNLABELLED {
            ready.len() / UNLABELLED_DIVISOR
        } else {
            0
        };
        let size = ((ready.len() - reserved) / labels).max(MIN_POOL_SIZE);
        let mut unclaimed = ready.clone();
        let mut labelled = Vec::with_capacity(labels);
        for label in 0..labels {
            let takes_rest = reserved == 0 && label + 1 == labels;
            let size = if takes_rest { unclaimed.len() } else { size.min(unclaimed.len()) };
            labelled.push(labels::claim_servers(&mut unclaimed, label, size, |(hash, _)| *hash));
        }
        unclaimed.sort_unstable();
        Pools { labelled, unlabelled: unclaimed, ready }
    }

    /// The pool that a server with this label belongs to.
    pub(crate) fn pool_of_label(&self, label: Option<usize>) -> &[Member] {
        label.and_then(|label| self.labelled.get(label)).unwrap_or(&self.unlabelled)
    }

    /// The pool of a tenant's label, or the unlabelled pool for `None`. If that pool is empty, all ready
    /// servers.
    pub(crate) fn pool_for_tenant(&self, tenant: Option<&str>) -> &[Member] {
        let own = match tenant {
            Some(tenant) => {
                let labels = self.labelled.len().max(1) as u16;
                let label = labels::tenant_label(xxh3_64(tenant.as_bytes()), 0, labels);
                self.labelled.get(label)
            }
            None => Some(&self.unlabelled),
        };
        own.filter(|pool| !pool.is_empty()).unwrap_or(&self.ready)
    }
}
