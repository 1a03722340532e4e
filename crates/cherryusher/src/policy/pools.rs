//! Who is in which pool, kept as it changes: sums over a pool's members are updated for one server at a time,
//! and only the draw tables and slices are built anew, seldom enough to cost a fixed part of the time.

use std::cmp::Reverse;

use super::*;
use crate::labels::{claim_servers, tenant_label};

/// How many nodes a server of mean size is the first choice of.
const SHARED_BY: f64 = 4.0;
/// The golden ratio's fraction: its multiples fill the ring evenly however many there are.
const SPREAD: f64 = 0.618_033_988_749_895;
/// The least time between two builds of the pools, for each server: a build takes about a fifth of that.
/// Until then new servers wait; what drains or is gone has left its pool at once.
const BUILD_EVERY: Micros = 1;

/// The part of all shares that each label's tenants hold.
pub(super) fn shares(settings: &Settings, salt: u64) -> Vec<f64> {
    let mut shares = vec![0.0; usize::from(settings.labels)];
    for (i, tenant) in settings.tenants.iter().enumerate() {
        shares[tenant_label(i as u64, salt, settings.labels)] += tenant.share;
    }
    shares
}

impl Balancer {
    pub(super) fn list_changed(&mut self, list: Vec<ServerEntry>, whole: bool) {
        self.failed_asks = 0;
        if whole {
            self.servers.iter_mut().for_each(|s| s.listed = false);
        }
        for entry in list {
            let largest = self.kind_sizes.entry(entry.kind).or_insert(entry.weight);
            *largest = largest.max(entry.weight);
            self.entry_changed(entry);
        }
        if whole {
            self.forget_unlisted();
        }
        self.build_if_due();
        self.dispatch();
    }

    /// Takes in what the list says of one server.
    fn entry_changed(&mut self, entry: ServerEntry) {
        let fresh = Server { entry, pace: 1.0, listed: true, ..Server::default() };
        let Some(i) = self.find(entry.id) else {
            if entry.state != ServerState::Gone {
                let slot = self.free.pop().unwrap_or(self.servers.len());
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
        // A restarted server keeps its id, but nothing learned of it holds any more.
        if before.ready_at != entry.ready_at {
            let Server { in_flight, share, size, pool, standing, due, .. } = *server;
            *server = Server { in_flight, share, size, pool, standing, due, ..fresh };
            self.stale = true;
            self.refresh(i);
        }
        if before.state != entry.state {
            self.stale |= entry.state == ServerState::Ready || before.state == ServerState::Ready;
            self.detach(i);
        }
        self.let_go(i);
    }

    /// A whole list leaves out what is gone.
    fn forget_unlisted(&mut self) {
        for i in 0..self.servers.len() {
            let server = &mut self.servers[i];
            if !server.listed && server.entry.state != ServerState::Gone {
                server.entry.state = ServerState::Gone;
                self.stale = true;
                self.detach(i);
            }
            self.let_go(i);
        }
    }

    /// Frees the slot of one that is gone, once nothing is out on it.
    pub(super) fn let_go(&mut self, i: usize) {
        let Server { entry, in_flight, .. } = &self.servers[i];
        if entry.state == ServerState::Gone && *in_flight == 0 && self.slots.get(&entry.id) == Some(&i) {
            self.slots.remove(&entry.id);
            self.servers[i] = Server::default();
            self.free.push(i);
        }
    }

    pub(super) fn find(&self, id: ServerId) -> Option<usize> {
        self.slots.get(&id).copied()
    }

    /// A tenant's pool; tenantless requests have the unlabelled one.
    pub(super) fn pool_of(&self, tenant: Option<u32>) -> usize {
        tenant.map_or(self.unlabelled(), |t| tenant_label(t.into(), self.salt, self.settings.labels))
    }

    fn unlabelled(&self) -> usize {
        usize::from(self.settings.labels)
    }

    /// The pool of all ready servers.
    pub(super) fn everyone(&self) -> &Pool {
        &self.pools[self.unlabelled() + 1]
    }

    /// The pool's members; an empty pool borrows from all ready servers.
    pub(super) fn pool(&self, pool: usize) -> &Pool {
        self.pools.get(pool).filter(|pool| !pool.members.is_empty()).unwrap_or(self.everyone())
    }

    /// Builds pools anew if the list has changed and they are old enough, else asks to be woken for that.
    pub(super) fn build_if_due(&mut self) {
        if !self.stale {
            return;
        }
        let wait = BUILD_EVERY * self.servers.len() as Micros;
        let due = self.built_at.saturating_add(wait);
        if self.built_at == 0 || due <= self.now || wait < self.settings.timer_resolution {
            self.build_pools();
        } else if !self.build_asked {
            self.build_asked = true;
            self.actions.push(Action::SetTimer { after: due - self.now, token: POOLS });
        }
    }

    /// Each label in turn takes its highest-ranking ready servers; the rest stay unlabelled. A label's
    /// size follows the shares of its tenants, and what no tenant has a share in stays unlabelled too.
    fn build_pools(&mut self) {
        (self.stale, self.built_at) = (false, self.now);
        let is_ready = |i: &usize| self.servers[*i].entry.state == ServerState::Ready;
        let mut all: Vec<usize> = self.slots.values().copied().filter(is_ready).collect();
        // The same at every node: by id, not by slot.
        all.sort_unstable_by_key(|i| self.servers[*i].entry.id);
        let stated = |i: &usize| self.stated_size(&self.servers[*i].entry);
        let mean = all.iter().map(stated).sum::<f64>() / all.len().max(1) as f64;
        for &i in &all {
            let size = self.stated_size(&self.servers[i].entry);
            self.servers[i].size = if size > 0.0 { size / mean } else { 1.0 };
        }
        let (least, labels) = (usize::from(self.settings.min_pool_size), self.unlabelled());
        let (mut free, ready, mut share) = (all.clone(), all.len(), 0.0);
        let mut built = Vec::with_capacity(labels + 2);
        for label in 0..labels {
            share += self.shares[label];
            let taken = ready - free.len();
            let size = ((ready as f64 * share.min(1.0)).round() as usize).saturating_sub(taken).max(least);
            let later = least * (labels - 1 - label);
            let size = size.min(free.len().saturating_sub(later).max(least)).min(free.len());
            built.push(claim_servers(&mut free, label, size, |i| self.servers[*i].entry.id));
        }
        free.sort_unstable_by_key(|i| self.servers[*i].entry.id);
        built.push(free);
        built.iter().for_each(|members| self.cut_slices(members));
        built.push(all);
        self.take_places(built);
    }

    /// Of many nodes each draws from a slice of a pool first: it meets those often enough for its own counts
    /// to tell of them, and connections last. Pools lie on a ring by size, and nodes are spread evenly over
    /// it, whichever ranks are up: each server gets its part of the work from the slices that overlap it.
    fn cut_slices(&mut self, pool: &[usize]) {
        let ring: f64 = pool.iter().map(|i| self.servers[*i].size).sum();
        let part = (SHARED_BY / f64::from(self.settings.balancers)).min(1.0);
        let start = (f64::from(self.settings.rank) * SPREAD).fract() * ring;
        let end = start + ring * part;
        let mut at = 0.0;
        for i in pool {
            let size = self.servers[*i].size;
            let overlap = |from: f64| ((from + size).min(end) - from.max(start)).max(0.0);
            self.servers[*i].share = (overlap(at) + overlap(at + ring)).max(1e-9 * size);
            at += size;
        }
    }

    /// Puts servers into the pools just built and adds the sums up from nothing.
    fn take_places(&mut self, built: Vec<Vec<usize>>) {
        self.servers.iter_mut().for_each(|s| (s.pool, s.standing) = (None, Standing::default()));
        let everyone = built.len() - 1;
        self.pools = built.into_iter().map(Pool::of).collect();
        for p in 0..self.pools.len() {
            let pool = &mut self.pools[p];
            pool.table = Alias::new(pool.members.iter().map(|i| self.servers[*i].share));
            for &i in &pool.members {
                let server = &self.servers[i];
                pool.in_flight += server.in_flight;
                pool.failures.add(self.now, server.failures.now(self.now));
            }
            if p < everyone {
                for at in 0..self.pools[p].members.len() {
                    let i = self.pools[p].members[at];
                    self.servers[i].pool = Some(p);
                }
            }
        }
        for at in 0..self.pools[everyone].members.len() {
            self.refresh(self.pools[everyone].members[at]);
        }
    }

    /// Changes both pools that a server counts in.
    pub(super) fn in_pools(&mut self, i: usize, change: impl Fn(&mut Pool)) {
        let Some(own) = self.servers[i].pool else { return };
        for p in [own, self.unlabelled() + 1] {
            change(&mut self.pools[p]);
        }
    }

    /// Takes a server that is not ready any more out of its pools' sums; nothing draws it from now on.
    fn detach(&mut self, i: usize) {
        let Server { in_flight, standing, failures, .. } = self.servers[i];
        let (now, failures) = (self.now, failures.now(self.now));
        self.in_pools(i, |pool| {
            pool.in_flight -= in_flight;
            pool.room.replace(now, standing, Standing::default());
            pool.avoided -= usize::from(standing.avoided);
            pool.failures.add(now, -failures);
        });
        (self.servers[i].pool, self.servers[i].standing) = (None, Standing::default());
    }

    /// Brings a server's part in its pools' sums up to date, and notes when it next changes by itself.
    pub(super) fn refresh(&mut self, i: usize) {
        let (now, before) = (self.now, self.servers[i].standing);
        let (after, next) = self.standing(i);
        self.in_pools(i, |pool| {
            pool.room.replace(now, before, after);
            pool.avoided = pool.avoided + usize::from(after.avoided) - usize::from(before.avoided);
        });
        let server = &mut self.servers[i];
        server.standing = after;
        let sooner = server.due <= now || next < server.due;
        if server.pool.is_some() && next < Micros::MAX && sooner {
            server.due = next;
            self.dues.push(Reverse((next, i)));
        }
    }

    /// What a server adds to its pool now, and until when that holds.
    fn standing(&self, i: usize) -> (Standing, Micros) {
        let s = &self.servers[i];
        let part = s.size / s.pace_at(self.now);
        let (start, whole) = (s.entry.ready_at, self.settings.warm_up.max(1));
        let warm_at = start.saturating_add(whole);
        let (slope, mut next) = match start {
            0 => (0.0, Micros::MAX),
            _ if self.now < start => (0.0, start),
            _ if self.now < warm_at => ((1.0 - self.settings.cold_capacity) / whole as f64, warm_at),
            _ => (0.0, Micros::MAX),
        };
        let avoided = s.avoid_until > self.now;
        let own_pace = s.last_sent.saturating_add(MEMORY as Micros);
        for at in [s.avoid_until, own_pace].into_iter().filter(|at| *at > self.now) {
            next = next.min(at);
        }
        let value = part * self.ramp(&s.entry);
        (Standing { value, slope: part * slope, at: self.now, avoided }, next)
    }

    /// What changes with time alone.
    pub(super) fn pass_time(&mut self) {
        while let Some(Reverse((due, i))) =
            self.dues.peek().copied().filter(|Reverse((due, _))| *due <= self.now)
        {
            self.dues.pop();
            if self.servers[i].due == due && self.servers[i].pool.is_some() {
                self.refresh(i);
            }
        }
    }

    /// A live weight is late and the same at all nodes: all would crowd what was idle a while ago.
    /// The largest weight seen of a kind is that of an idle machine, its size.
    pub(super) fn stated_size(&self, entry: &ServerEntry) -> f64 {
        match self.kind_sizes.get(&entry.kind) {
            Some(size) if self.settings.live_weights => *size,
            _ => entry.weight,
        }
    }
}

#[cfg(test)]
impl Balancer {
    /// The largest pace of a server.
    pub(crate) fn slowest(&self) -> f64 {
        self.servers.iter().map(|s| s.pace).fold(0.0, f64::max)
    }

    /// Whether the sums kept are those added up from nothing.
    pub(crate) fn check_sums(&self, round: usize) {
        for (p, pool) in self.pools.iter().enumerate() {
            let counted = |i: &&usize| self.servers[**i].pool.is_some();
            let members = || pool.members.iter().filter(counted).copied();
            let in_flight: u32 = members().map(|i| self.servers[i].in_flight).sum();
            assert_eq!(pool.in_flight, in_flight, "round {round}, pool {p}");
            let part = self.limit / f64::from(self.settings.balancers);
            let room: f64 = members().map(|i| self.room(i) / part).sum();
            assert!((pool.room.at(self.now) - room).abs() < 1e-6 * room.max(1.0), "round {round}, pool {p}");
            let avoided = members().filter(|i| self.servers[*i].avoid_until > self.now).count();
            assert_eq!(pool.avoided, avoided, "round {round}, pool {p}");
        }
    }
}
