//! Power of two choices: two members of a pool are drawn by weight, and the less loaded one is picked.
//!
//! Small pools are scanned. From large pools members are drawn from a table in constant time, and drawn again
//! if they are no candidates. Both ways give the same distribution: this is rejection sampling, and
//! successive draws without replacement are equivalent to ranking by exponential variables. After a bounded
//! number of draws a large pool is scanned too, so that any candidate is found.

use super::*;

/// The largest pool that is scanned at once.
const MAX_SCAN: usize = 32;
/// The most draws from the table for one pick.
const MAX_DRAWS: u64 = 64;

/// Two candidates, only one, or none, and the number of servers examined.
pub(crate) type Drawn = (Option<(usize, Option<usize>)>, u64);

impl Balancer {
    /// The less loaded of two random members of a pool that can take a request.
    pub(super) fn pick(&mut self, id: RequestId, pool: usize) -> Option<usize> {
        let seed = self.random.u64(..);
        let (drawn, examined) = self.draw(id, pool, seed, MAX_SCAN);
        self.examined += examined;
        let (first, second) = drawn?;
        let by_load = |i: &usize, j: &usize| self.load(*i).total_cmp(&self.load(*j));
        [Some(first), second].into_iter().flatten().min_by(by_load)
    }

    /// Draws two members of a pool that can take a request. Pools of up to `max_scan` members are scanned.
    pub(crate) fn draw(&self, id: RequestId, pool: usize, seed: u64, max_scan: usize) -> Drawn {
        let (req, own) = (&self.requests[&id], pool == self.requests[&id].pool);
        let pool = self.pool(pool);
        let lent = if own { 1.0 } else { self.lending_part(pool) };
        let skip_ejected = pool.ejected * 2 <= pool.members.len();
        let accepts = |i: usize| self.servers[i].backoff_until <= self.now;
        // If all members refuse, the cause may be this node's own network.
        let all_refuse = !pool.members.iter().any(|i| accepts(*i));
        let fits = |i: usize| (all_refuse || accepts(i)) && self.is_candidate(req, i, (skip_ejected, lent));
        // If crossing zones has a price, requests stay in the node's zone while it sees capacity there.
        let stay_in_zone = self.settings.cross_zone_price > 0.0 && self.uncertainty() == 0.0;
        let in_zone = |i: usize| !stay_in_zone || self.servers[i].entry.zone == self.settings.zone;
        let key = req.key.filter(|_| self.settings.key_affinity);
        if pool.members.len() <= max_scan || key.is_some() {
            return self.scan(pool, key.unwrap_or(seed), &fits, &in_zone);
        }
        let mut random = fastrand::Rng::with_seed(seed);
        let mut first = None;
        for draws in 1..=MAX_DRAWS {
            let i = pool.members[pool.table.draw(random.f64())];
            let slower = self.servers[i].latency_ratio_at(self.now)
                / LATENCY_RATIOS.0
                / self.warm_up_weight(i)
                / self.trust(i);
            if first == Some(i) || random.f64() * slower >= 1.0 || !in_zone(i) || !fits(i) {
                continue;
            }
            match first {
                None => first = Some(i),
                Some(first) => return (Some((first, Some(i))), draws),
            }
        }
        let (drawn, examined) = self.scan(pool, seed, &fits, &in_zone);
        (drawn, examined + MAX_DRAWS)
    }

    /// Ranks all candidates of a pool.
    fn scan(
        &self,
        pool: &Pool,
        hash_key: u64,
        fits: &impl Fn(usize) -> bool,
        in_zone: &impl Fn(usize) -> bool,
    ) -> Drawn {
        let mut candidates: Vec<usize> = pool.members.iter().copied().filter(|i| fits(*i)).collect();
        if candidates.iter().any(|i| in_zone(*i)) {
            candidates.retain(|i| in_zone(*i));
        }
        // Candidates are drawn in proportion to their capacity: most nodes have nothing in flight at either
        // of the two, and comparing sizes alone would send nearly all requests to the largest. With key
        // affinity, the request's key replaces the random seed.
        let exponential = |i: usize| {
            let s = &self.servers[i];
            -unit_interval(hash(hash_key, s.entry.id)).ln() * s.latency_ratio_at(self.now)
                / (s.draw_weight * self.warm_up_weight(i) * self.trust(i))
        };
        let mut ranked: Vec<(f64, usize)> = candidates.into_iter().map(|i| (exponential(i), i)).collect();
        let Some(last) = ranked.len().checked_sub(1) else { return (None, pool.members.len() as u64) };
        ranked.select_nth_unstable_by(last.min(1), |a, b| a.0.total_cmp(&b.0));
        let second = ranked.get(1).map(|second| second.1);
        (Some((ranked[0].1, second)), pool.members.len() as u64)
    }

    /// The part of all requests that may go to a server: half of the load at which it fails, at least its
    /// current capacity. A value of 1 or more means all requests.
    fn exposure(&self, i: usize) -> f64 {
        self.warm_part(&self.servers[i].entry) * (self.settings.overload_factor / 2.0).max(1.0)
    }

    /// The factor on a server's draw weight: with its exposure, its part of the work matches its current
    /// capacity. With two of three servers starting, more would overload most of the fleet.
    fn warm_up_weight(&self, i: usize) -> f64 {
        self.warm_part(&self.servers[i].entry) / self.exposure(i).min(1.0)
    }

    /// Whether a request may go to a server now: `skip_ejected` excludes ejected ones, and `lent` is the part
    /// of other pools' requests that may go to servers that warm up.
    fn is_candidate(&self, req: &OpenRequest, i: usize, (skip_ejected, lent): (bool, f64)) -> bool {
        let s = &self.servers[i];
        let (exposure, warm) = (self.exposure(i), self.warm_part(&s.entry) >= 1.0);
        s.pool.is_some()
            // A request that is still uploading does not occupy the server yet.
            && (req.uploading || s.in_flight == 0 || f64::from(s.in_flight) < self.server_limit(i).ceil())
            // A cold server is exposed to a part of all nodes' requests only, half of what it can take: one
            // attempt from each node, or all that its neighbours have no capacity for, would overload it.
            && (warm || unit_interval(hash(req.info.id, s.entry.id)) <= exposure.min(1.0) * lent)
            && !(skip_ejected && s.ejected_until > self.now)
            // A rejected attempt is work for a server that warms up: one of many nodes does not send it the
            // same request twice.
            && !req.attempts.iter().any(|a| {
                a.server.id == s.entry.id
                    && (a.status == Status::InFlight || !warm && self.uncertainty() > 0.5)
            })
            && self.allows(req, &s.entry)
    }

    /// This node's attempts in flight at a server, relative to its limit. Recent failures count too: a server
    /// that fails quickly has little in flight and would win every comparison. The request to be sent counts
    /// only if own counts tell the load: where all are 0, nearly all requests would go to the largest server.
    fn load(&self, i: usize) -> f64 {
        let (s, own) = (&self.servers[i], f64::from(u8::from(self.uncertainty() == 0.0)));
        (f64::from(s.in_flight) + own + self.excess_failures(i)) / self.server_limit(i)
    }
}
