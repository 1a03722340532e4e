//! The label pools of one service, the same at every process that holds the same list.

use cherryusher::labels;
use xxhash_rust::xxh3::xxh3_64;

/// Ready servers that a label claims at least, where there are so many.
pub(crate) const POOL_LEAST: usize = 4;
/// Servers for each label. A pool has to be large against the part that one tenant has of all traffic, also at several
/// times its usual: with 24 servers each, four pools of 35 had servers 2.5 times as busy as the mean, and 12% of
/// requests failed (run 01e7839d); with one pool 0.4% did (run 40f5736b).
const SERVERS_EACH_LABEL: usize = 240;
/// From this many servers on, tenantless requests of a service that has some get servers of their own.
const UNLABELLED_FROM: usize = 16;
/// Their part of the servers then.
const UNLABELLED_PART: usize = 4;

/// A member of a pool: the hash of its id, and its place.
pub(crate) type Member = (u64, u32);

/// The pools of one service.
#[derive(Default)]
pub(crate) struct Pools {
    /// One a label.
    pub(crate) labelled: Vec<Vec<Member>>,
    /// Those that no label claims.
    pub(crate) unlabelled: Vec<Member>,
    /// All ready servers.
    pub(crate) ready: Vec<Member>,
}

/// How many labels a service of that many servers has: a power of two, so that few changes of the list change it.
fn label_count(servers: usize) -> usize {
    let most = (servers / SERVERS_EACH_LABEL).max(1);
    1 << most.ilog2()
}

impl Pools {
    /// Builds the pools. `listed` counts the draining servers too; `tenantless` says whether the service has
    /// requests without a tenant.
    pub(crate) fn build(mut ready: Vec<Member>, listed: usize, tenantless: bool) -> Pools {
        ready.sort_unstable();
        let labels = label_count(listed);
        let kept_back =
            if tenantless && ready.len() >= UNLABELLED_FROM { ready.len() / UNLABELLED_PART } else { 0 };
        let size = ((ready.len() - kept_back) / labels).max(POOL_LEAST);
        let mut free = ready.clone();
        let mut labelled = Vec::with_capacity(labels);
        for label in 0..labels {
            let rest_too = kept_back == 0 && label + 1 == labels;
            let size = if rest_too { free.len() } else { size.min(free.len()) };
            labelled.push(labels::claim_servers(&mut free, label, size, |(hash, _)| *hash));
        }
        free.sort_unstable();
        Pools { labelled, unlabelled: free, ready }
    }

    /// The pool that a server of that label is in.
    pub(crate) fn pool_of(&self, label: Option<usize>) -> &[Member] {
        label.and_then(|label| self.labelled.get(label)).unwrap_or(&self.unlabelled)
    }

    /// The pool of a tenant's label, or the unlabelled one; an empty pool borrows from all ready servers.
    pub(crate) fn pool(&self, tenant: Option<&str>) -> &[Member] {
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
