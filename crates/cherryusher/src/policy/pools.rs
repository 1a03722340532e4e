//! The assignment of servers to pools, kept up to date. Sums over a pool's members are updated for one server
//! at a time. Only draw tables and slices are rebuilt, seldom enough to take a fixed part of the time.

use std::cmp::Reverse;

use super::*;
use crate::labels::{claim_servers, tenant_label};

/// The number of nodes in whose slices a server of mean size lies.
const NODES_PER_SERVER: f64 = 4.0;
/// The fractional part of the golden ratio: its multiples fill a ring evenly, whatever their number.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_895;
/// The least time between two builds of the pools, per server; a build takes about a fifth of that. New
/// servers wait until then, but servers that drain or are gone leave their pool at once.
const BUILD_INTERVAL_PER_SERVER: Micros = 1;

/// The sum of the tenants' shares by label.
pub(super) fn label_shares(settings: &Settings, salt: u64) -> Vec<f64> {
    let mut shares = vec![0.0; usize::from(settings.labels)];
    for (i, tenant) in settings.tenants.iter().enumerate() {
        shares[tenant_label(i as u64, salt, settings.labels)] += tenant.share;
    }
    shares
}

impl Balancer {
    /// Applies entries of the server list; a complete list removes all servers that it does not contain.
    pub(super) fn list_changed(&mut self, list: Vec<ServerEntry>, complete: bool) {
        self.discovery_failures = 0;
        if complete {
            self.servers.iter_mut().for_each(|s| s.listed = false);
        }
        for entry in list {
            let largest = self.kind_sizes.entry(entry.kind).or_insert(entry.weight);
            *largest = largest.max(entry.weight);
            self.entry_changed(entry);
        }
        if complete {
            self.remove_unlisted();
        }
        self.rebuild_if_due();
        self.dispatch();
    }

    fn entry_changed(&mut self, entry: ServerEntry) {
        let fresh = Server { entry, latency_ratio: 1.0, listed: true, ..Server::default() };
        let Some(i) = self.slot_of(entry.id) else {
            if entry.state != ServerState::Gone {
                let slot = self.free_slots.pop().unwrap_or(self.servers.len());
                if slot == self.servers.len() {
                    self.servers.push(fresh);
                } else {
                    self.servers[slot] = fresh;
                }
                self.slots.insert(entry.id, slot);
                self.stale |= entry.state == ServerState::Ready;
            }
            return;
        };
        let server = &mut self.servers[i];
        let before = std::mem::replace(&mut server.entry, entry);
        server.listed = true;
        // A restarted server keeps its id, but nothing learned about it is valid any more.
        if before.ready_at != entry.ready_at {
            let Server { in_flight, draw_weight, size, pool, contribution, next_update_at, .. } = *server;
            *server = Server { in_flight, draw_weight, size, pool, contribution, next_update_at, ..fresh };
            self.stale = true;
            self.refresh(i);
        }
        if before.state != entry.state {
            self.stale |= entry.state == ServerState::Ready || before.state == ServerState::Ready;
            self.leave_pools(i);
        }
        self.free_if_unused(i);
    }

    /// Marks the servers that a complete list does not contain as gone.
    fn remove_unlisted(&mut self) {
        for i in 0..self.servers.len() {
            let server = &mut self.servers[i];
            if !server.listed && server.entry.state != ServerState::Gone {
                server.entry.state = ServerState::Gone;
                self.stale = true;
                self.leave_pools(i);
            }
            self.free_if_unused(i);
        }
    }

    /// Frees the slot of a server that is gone once it has no attempts in flight.
    pub(super) fn free_if_unused(&mut self, i: usize) {
        let Server { entry, in_flight, .. } = &self.servers[i];
        if entry.state == ServerState::Gone && *in_flight == 0 && self.slots.get(&entry.id) == Some(&i) {
            self.slots.remove(&entry.id);
            self.servers[i] = Server::default();
            self.free_slots.push(i);
        }
    }

    pub(super) fn slot_of(&self, id: ServerId) -> Option<usize> {
        self.slots.get(&id).copied()
    }

    /// The index of a tenant's pool; requests without a tenant use the unlabelled one.
    pub(super) fn pool_of(&self, tenant: Option<u32>) -> usize {
        tenant.map_or(self.unlabelled(), |t| tenant_label(t.into(), self.salt, self.settings.labels))
    }

    fn unlabelled(&self) -> usize {
        usize::from(self.settings.labels)
    }

    /// The pool of all ready servers.
    pub(super) fn ready_pool(&self) -> &Pool {
        &self.pools[self.unlabelled() + 1]
    }

    /// The pool with this index; all ready servers stand in for an empty pool.
    pub(super) fn pool(&self, pool: usize) -> &Pool {
        self.pools.get(pool).filter(|pool| !pool.members.is_empty()).unwrap_or(self.ready_pool())
    }

    /// Rebuilds the pools if the server list has changed and they are old enough, else sets a timer for that.
    pub(super) fn rebuild_if_due(&mut self) {
        if !self.stale {
            return;
        }
        let interval = BUILD_INTERVAL_PER_SERVER * self.servers.len() as Micros;
        let due = self.built_at.saturating_add(interval);
        if self.built_at == 0 || due <= self.now || interval < self.settings.timer_resolution {
            self.build_pools();
        } else if !self.rebuild_scheduled {
            self.rebuild_scheduled = true;
            self.actions.push(Action::SetTimer { after: due - self.now, token: POOL_TIMER });
        }
    }

    /// Each label in turn claims the ready servers that rank highest for it, in proportion to its tenants'
    /// shares. The remaining servers stay unlabelled, also those for which no tenant has a share.
    fn build_pools(&mut self) {
        (self.stale, self.built_at) = (false, self.now);
        let is_ready = |i: &usize| self.servers[*i].entry.state == ServerState::Ready;
        let mut all: Vec<usize> = self.slots.values().copied().filter(is_ready).collect();
        // Slots differ between nodes; the order by id is the same at all of them.
        all.sort_unstable_by_key(|i| self.servers[*i].entry.id);
        let nominal = |i: &usize| self.nominal_size(&self.servers[*i].entry);
        let mean = all.iter().map(nominal).sum::<f64>() / all.len().max(1) as f64;
        for &i in &all {
            let size = self.nominal_size(&self.servers[i].entry);
            self.servers[i].size = if size > 0.0 { size / mean } else { 1.0 };
        }
        let (least, labels) = (usize::from(self.settings.min_pool_size), self.unlabelled());
        let (mut free, ready, mut share) = (all.clone(), all.len(), 0.0);
        let mut built = Vec::with_capacity(labels + 2);
        for label in 0..labels {
            share += self.label_shares[label];
            let taken = ready - free.len();
            let size = ((ready as f64 * share.min(1.0)).round() as usize).saturating_sub(taken).max(least);
            let reserved = least * (labels - 1 - label);
            let size = size.min(free.len().saturating_sub(reserved).max(least)).min(free.len());
            built.push(claim_servers(&mut free, label, size, |i| self.servers[*i].entry.id));
        }
        free.sort_unstable_by_key(|i| self.servers[*i].entry.id);
        built.push(free);
        built.iter().for_each(|members| self.assign_draw_weights(members));
        built.push(all);
        self.install_pools(built);
    }

    /// Each of many nodes prefers a slice of a pool: it uses these servers often enough for its own counts to
    /// tell their load, and connections stay open. Servers lie on a ring by size, and nodes are spread evenly
    /// over it, whichever ranks are up. A server gets its part of the work from the slices that overlap it.
    fn assign_draw_weights(&mut self, pool: &[usize]) {
        let ring: f64 = pool.iter().map(|i| self.servers[*i].size).sum();
        let part = (NODES_PER_SERVER / f64::from(self.settings.balancers)).min(1.0);
        let start = (f64::from(self.settings.rank) * GOLDEN_FRACTION).fract() * ring;
        let end = start + ring * part;
        let mut position = 0.0;
        for i in pool {
            let size = self.servers[*i].size;
            let overlap = |from: f64| ((from + size).min(end) - from.max(start)).max(0.0);
            self.servers[*i].draw_weight = (overlap(position) + overlap(position + ring)).max(1e-9 * size);
            position += size;
        }
    }

    /// Replaces all pools and computes their sums from scratch; the last pool has all ready servers.
    fn install_pools(&mut self, built: Vec<Vec<usize>>) {
        self.servers.iter_mut().for_each(|s| (s.pool, s.contribution) = (None, Contribution::default()));
        let ready = built.len() - 1;
        self.pools = built.into_iter().map(Pool::of).collect();
        for p in 0..self.pools.len() {
            let pool = &mut self.pools[p];
            pool.table = AliasTable::new(pool.members.iter().map(|i| self.servers[*i].draw_weight));
            for &i in &pool.members {
                let server = &self.servers[i];
                pool.in_flight += server.in_flight;
                pool.failures.add(self.now, server.failures.at(self.now));
            }
            if p < ready {
                for at in 0..self.pools[p].members.len() {
                    let i = self.pools[p].members[at];
                    self.servers[i].pool = Some(p);
                }
            }
        }
        for at in 0..self.pools[ready].members.len() {
            self.refresh(self.pools[ready].members[at]);
        }
    }

    /// Changes the server's own pool and the pool of all ready servers.
    pub(super) fn update_pools(&mut self, i: usize, change: impl Fn(&mut Pool)) {
        let Some(own) = self.servers[i].pool else { return };
        for p in [own, self.unlabelled() + 1] {
            change(&mut self.pools[p]);
        }
    }

    /// Removes a server that is no longer ready from its pools' sums; it is not drawn from now on.
    fn leave_pools(&mut self, i: usize) {
        let Server { in_flight, contribution, failures, .. } = self.servers[i];
        let (now, failures) = (self.now, failures.at(self.now));
        self.update_pools(i, |pool| {
            pool.in_flight -= in_flight;
            pool.capacity.replace(now, contribution, Contribution::default());
            pool.ejected -= usize::from(contribution.ejected);
            pool.failures.add(now, -failures);
        });
        (self.servers[i].pool, self.servers[i].contribution) = (None, Contribution::default());
    }

    /// Updates a server's contribution to its pools, and notes when it next changes through time alone.
    pub(super) fn refresh(&mut self, i: usize) {
        let (now, before) = (self.now, self.servers[i].contribution);
        let (after, next) = self.contribution(i);
        self.update_pools(i, |pool| {
            pool.capacity.replace(now, before, after);
            pool.ejected = pool.ejected + usize::from(after.ejected) - usize::from(before.ejected);
        });
        let server = &mut self.servers[i];
        server.contribution = after;
        let sooner = server.next_update_at <= now || next < server.next_update_at;
        if server.pool.is_some() && next < Micros::MAX && sooner {
            server.next_update_at = next;
            self.updates.push(Reverse((next, i)));
        }
    }

    /// A server's current contribution to its pools, and until when it is valid.
    fn contribution(&self, i: usize) -> (Contribution, Micros) {
        let s = &self.servers[i];
        let full = s.size / s.latency_ratio_at(self.now);
        let (start, warm_up) = (s.entry.ready_at, self.settings.warm_up.max(1));
        let warm_at = start.saturating_add(warm_up);
        let (slope, mut next) = match start {
            0 => (0.0, Micros::MAX),
            _ if self.now < start => (0.0, start),
            _ if self.now < warm_at => ((1.0 - self.settings.cold_capacity) / warm_up as f64, warm_at),
            _ => (0.0, Micros::MAX),
        };
        let ejected = s.ejected_until > self.now;
        let ratio_expires_at = s.last_sent_at.saturating_add(DECAY_US as Micros);
        for at in [s.ejected_until, ratio_expires_at].into_iter().filter(|at| *at > self.now) {
            next = next.min(at);
        }
        let capacity = full * self.warm_part(&s.entry);
        (Contribution { capacity, growth_per_us: full * slope, updated_at: self.now, ejected }, next)
    }

    /// Updates contributions that have changed through time alone.
    pub(super) fn apply_updates(&mut self) {
        while let Some(Reverse((due, i))) =
            self.updates.peek().copied().filter(|Reverse((due, _))| *due <= self.now)
        {
            self.updates.pop();
            if self.servers[i].next_update_at == due && self.servers[i].pool.is_some() {
                self.refresh(i);
            }
        }
    }

    /// A live weight is outdated and the same at all nodes: they would all overload the servers that were
    /// idle. Instead, the largest weight seen of a kind of machine is used: that of an idle one.
    pub(super) fn nominal_size(&self, entry: &ServerEntry) -> f64 {
        match self.kind_sizes.get(&entry.kind) {
            Some(size) if self.settings.live_weights => *size,
            _ => entry.weight,
        }
    }
}

#[cfg(test)]
impl Balancer {
    /// The largest latency ratio of a server.
    pub(crate) fn max_latency_ratio(&self) -> f64 {
        self.servers.iter().map(|s| s.latency_ratio).fold(0.0, f64::max)
    }

    /// Asserts that the pools' sums equal those computed from scratch.
    pub(crate) fn check_sums(&self, round: usize) {
        for (p, pool) in self.pools.iter().enumerate() {
            let in_pool = |i: &&usize| self.servers[**i].pool.is_some();
            let members = || pool.members.iter().filter(in_pool).copied();
            let in_flight: u32 = members().map(|i| self.servers[i].in_flight).sum();
            assert_eq!(pool.in_flight, in_flight, "round {round}, pool {p}");
            let part = self.limit / f64::from(self.settings.balancers);
            let capacity: f64 = members().map(|i| self.server_limit(i) / part).sum();
            assert!(
                (pool.capacity.at(self.now) - capacity).abs() < 1e-6 * capacity.max(1.0),
                "round {round}, pool {p}"
            );
            let ejected = members().filter(|i| self.servers[*i].ejected_until > self.now).count();
            assert_eq!(pool.ejected, ejected, "round {round}, pool {p}");
        }
    }
}
