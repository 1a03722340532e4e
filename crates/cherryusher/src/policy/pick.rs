//! The power of two choices: two members of a pool, drawn by what they carry, and the less loaded of them.
//!
//! Small pools are looked through. Of large ones members are drawn from a table in constant time, and drawn
//! again if they do not fit: that comes to the same distribution (sampling with rejection; successive draws
//! without replacement are what ranking by exponential variables does). After a bounded number of draws the
//! pool is looked through all the same, so that whoever fits is found.

use super::*;

/// A pool of up to this many members is looked through.
const SCAN_MOST: usize = 32;
/// The most draws for one pick.
const DRAWS: u64 = 64;

/// Two members that fit, or one, and how many were looked at.
pub(crate) type Drawn = (Option<(usize, Option<usize>)>, u64);

impl Balancer {
    /// The less loaded of two random members that have room.
    pub(super) fn pick(&mut self, id: RequestId, pool: usize) -> Option<usize> {
        let chance = self.random.u64(..);
        let (drawn, steps) = self.draw(id, pool, chance, SCAN_MOST);
        self.steps += steps;
        let (first, second) = drawn?;
        let loads = |i: &usize, j: &usize| self.load(*i).total_cmp(&self.load(*j));
        [Some(first), second].into_iter().flatten().min_by(loads)
    }

    /// Draws two members of a pool that fit a request.
    pub(crate) fn draw(&self, id: RequestId, pool: usize, chance: u64, scan_most: usize) -> Drawn {
        let (job, own) = (&self.jobs[&id], pool == self.jobs[&id].pool);
        let pool = self.pool(pool);
        let lends = if own { 1.0 } else { self.lends(pool) };
        let heed = pool.avoided * 2 <= pool.members.len();
        let open = |i: usize| self.servers[i].shut_until <= self.now;
        // Where all refuse, it may be the node's own way to them that is cut.
        let none_open = !pool.members.iter().any(|i| open(*i));
        let fits = |i: usize| (none_open || open(i)) && self.fits(job, i, (heed, lends));
        // Where crossing zones has a price, work stays in the own zone while the node sees room there.
        let stays = self.settings.cross_zone_price > 0.0 && self.blindness() == 0.0;
        let home = |i: usize| !stays || self.servers[i].entry.zone == self.settings.zone;
        let key = job.key.filter(|_| self.settings.key_affinity);
        if pool.members.len() <= scan_most || key.is_some() {
            return self.look_through(pool, key.unwrap_or(chance), &fits, &home);
        }
        let mut random = fastrand::Rng::with_seed(chance);
        let mut first = None;
        for draws in 1..=DRAWS {
            let i = pool.members[pool.table.draw(random.f64())];
            let slower = self.servers[i].pace_at(self.now) / PACES.0 / self.warmth(i) / self.trust(i);
            if first == Some(i) || random.f64() * slower >= 1.0 || !home(i) || !fits(i) {
                continue;
            }
            match first {
                None => first = Some(i),
                Some(first) => return (Some((first, Some(i))), draws),
            }
        }
        let (drawn, steps) = self.look_through(pool, chance, &fits, &home);
        (drawn, steps + DRAWS)
    }

    /// Ranks all members that fit.
    fn look_through(
        &self,
        pool: &Pool,
        by: u64,
        fits: &impl Fn(usize) -> bool,
        home: &impl Fn(usize) -> bool,
    ) -> Drawn {
        let mut fit: Vec<usize> = pool.members.iter().copied().filter(|i| fits(*i)).collect();
        if fit.iter().any(|i| home(*i)) {
            fit.retain(|i| home(*i));
        }
        // Each is as likely as it has capacity: most nodes hold nothing at either of the two, and comparing
        // sizes alone would send nearly all to the largest. Where servers are warm for keys they met, the
        // key draws in place of chance.
        let late = |i: usize| {
            let s = &self.servers[i];
            -unit(hash(by, s.entry.id)).ln() * s.pace_at(self.now)
                / (s.share * self.warmth(i) * self.trust(i))
        };
        let mut ranked: Vec<(f64, usize)> = fit.into_iter().map(|i| (late(i), i)).collect();
        let Some(last) = ranked.len().checked_sub(1) else { return (None, pool.members.len() as u64) };
        ranked.select_nth_unstable_by(last.min(1), |a, b| a.0.total_cmp(&b.0));
        let second = ranked.get(1).map(|second| second.1);
        (Some((ranked[0].1, second)), pool.members.len() as u64)
    }

    /// The part of all requests that a server is in reach of, from half of what a cold one bears to all.
    fn reach(&self, i: usize) -> f64 {
        self.ramp(&self.servers[i].entry) * (self.settings.overload_factor / 2.0).max(1.0)
    }

    /// What its draws weigh beside its share, so that with its reach it gets the part that its capacity is
    /// now: where two servers in three are starting, more than that would jam most of the fleet.
    fn warmth(&self, i: usize) -> f64 {
        self.ramp(&self.servers[i].entry) / self.reach(i).min(1.0)
    }

    /// Whether a request may go to a server now: whether avoided servers are passed over, and how far
    /// starting ones are lent, is told.
    fn fits(&self, job: &Job, i: usize, (heed, lends): (bool, f64)) -> bool {
        let s = &self.servers[i];
        let (reach, warm) = (self.reach(i), self.ramp(&s.entry) >= 1.0);
        s.pool.is_some()
            // What is still coming is not in the server's hands for long yet.
            && (job.coming || s.in_flight == 0 || f64::from(s.in_flight) < self.room(i).ceil())
            // A cold server is in reach of few of all nodes' requests, half of what it bears: one attempt
            // from each node, or all that its neighbours cannot take, would push it over.
            && (warm || unit(hash(job.ask.id, s.entry.id)) <= reach.min(1.0) * lends)
            && !(heed && s.avoid_until > self.now)
            // What a starting server has turned away would count against it twice, at each of many nodes.
            && !job.attempts.iter().any(|a| {
                a.to.id == s.entry.id && (a.fate == Fate::Out || !warm && self.blindness() > 0.5)
            })
            && self.allowed(job, &s.entry)
    }

    /// Own requests in flight against what the server carries. Recent failures count as load: a server
    /// that errs quickly holds little and would win every comparison. The request to be sent counts where a
    /// node sees its servers; where all counts are 0, it would send nearly all to the largest.
    fn load(&self, i: usize) -> f64 {
        let (s, own) = (&self.servers[i], f64::from(u8::from(self.blindness() == 0.0)));
        (f64::from(s.in_flight) + own + self.excess(i)) / self.room(i)
    }
}
