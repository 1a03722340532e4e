//! What is let in, the queue of what waits for room, and who lends room to whom.

use super::*;

/// The part of a pool's room that work beyond a tenant's share may fill.
const SPARE: f64 = 0.8;
/// A held request gives up its place after this part of its time: by half of it clients expect to hear so.
const PLACE: f64 = 0.45;
/// A pool with one in so many of all servers lends to whoever asks: of all that others get, only the part
/// that their own pools have no room for is asked for.
const LENT: f64 = 5.0;
/// How far a node of many may go beyond its part of a pool's room, in roots of that part.
const VARIES: f64 = 0.6;

impl Balancer {
    pub(super) fn arrived(&mut self, request: Request, upload: Option<Upload>) {
        let Some(class) = self.settings.classes.get(request.class) else {
            return self.actions.push(Action::Refuse { request: request.id, retry_after: 0 });
        };
        let stretch = request.expected_work.map_or(0.0, |work| work as f64 * class.target_latency_per_work);
        let aim_at = self.now + class.target_latency.saturating_add(stretch as Micros).min(class.deadline);
        let (in_part, upload) = (upload.is_some(), upload.unwrap_or_default());
        let aim_at = aim_at + upload.expected_duration;
        let bucket = request.tenant.and_then(|t| self.buckets.get_mut(t as usize));
        let in_share = bucket.is_none_or(|bucket| bucket.take(self.now));
        let ask = Ask { id: request.id, class: request.class, in_share, aim_at };
        let pool = self.pool_of(request.tenant);
        let give_up_at = self.now
            + upload.max_duration
            + request.remaining.saturating_sub(2 * self.settings.timer_resolution);
        let place_until = self.now + (request.remaining as f64 * PLACE) as Micros;
        self.held[pool].push(ask);
        let job = Job { ask, pool, give_up_at, place_until, held: true, ..Job::default() };
        self.jobs.insert(request.id, Job { key: request.key, in_part, coming: in_part, ..job });
        // One that comes with no time left must not be sent: its answer would be late in any case.
        if give_up_at <= self.now || self.random.f64() >= self.admitted(&ask) {
            return self.give_up(request.id);
        }
        // A body that nobody takes stops coming, and its server is not at work before the last byte.
        if in_part
            && in_share
            && let Some(server) = self.pick(ask.id, pool)
        {
            self.held[pool].retain(|held| held.id != ask.id);
            self.send(ask.id, server);
        }
        self.dispatch();
        self.look_at(request.id);
    }

    /// A request that is passed on as it comes has come whole: its client's patience begins.
    pub(super) fn came_whole(&mut self, id: RequestId, remaining: Micros) {
        let (now, step) = (self.now, self.settings.timer_resolution);
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.coming) else { return };
        job.coming = false;
        job.give_up_at = now + remaining.saturating_sub(2 * step);
        job.place_until = now + (remaining as f64 * PLACE) as Micros;
        job.ask.aim_at = now + self.settings.classes[job.ask.class].target_latency;
        let (ask, pool) = (job.ask, job.pool);
        // Now its server begins with it.
        let out = job.attempts.iter_mut().find(|a| a.fate == Fate::Out);
        // One that is gone meanwhile may have been forgotten.
        if let Some((i, attempt)) = out.and_then(|a| Some((*self.slots.get(&a.to.id)?, a))) {
            (attempt.sent_at, attempt.in_hand) = (now, true);
            self.in_hand(i);
        }
        self.held[pool].iter_mut().filter(|held| held.id == id).for_each(|held| *held = ask);
        if remaining <= 2 * step {
            return self.give_up(id);
        }
        self.wake(id);
    }

    /// The part of such requests that is let in. A node of many sees an overload only in how long its few
    /// attempts wait; once that eats up what the aims leave, more work would make all of it late. That
    /// tells it too little, and too late, of what work beyond the shares keeps from others: it lets none of
    /// that in.
    fn admitted(&self, ask: &Ask) -> f64 {
        let blind = self.blindness();
        if !ask.in_share {
            return 1.0 - blind;
        }
        let wait = self.waits.now(self.now);
        let slack = self.settings.classes[ask.class].target_latency as f64 - self.times[ask.class].base;
        // Shedding begins at a quarter of the aim's slack, but the few attempts seen vary by nearly a
        // request's whole time with no load at all.
        let (from, span) = ((0.24 * slack).max(self.waits.typical * 0.9), 0.48 * slack);
        1.0 - blind * ((wait - from) / span.max(1.0)).clamp(0.0, 1.0)
    }

    /// Whether sending it now would probably miss the aim.
    pub(super) fn too_late(&self, ask: &Ask) -> bool {
        self.now as f64 + TIMELY * self.times[ask.class].usual > ask.aim_at as f64
    }

    /// What answering a held request now would earn for the time it takes.
    fn merit(&self, ask: &Ask) -> f64 {
        let class = &self.settings.classes[ask.class];
        let share = if ask.in_share { 1.0 } else { self.settings.over_quota_value };
        let timely = if self.too_late(ask) { class.late_value_fraction } else { 1.0 };
        class.value * share * timely / self.times[ask.class].usual
    }

    /// Sends what is held, best first, while pools have room.
    pub(super) fn dispatch(&mut self) {
        for pool in 0..self.held.len() {
            let mut blocked: Vec<Ask> = Vec::new();
            // A few that their classes tie to full servers must not stop the others.
            while blocked.len() < 3 && !self.held[pool].is_empty() && self.lender(pool, 1.0, None).is_some() {
                let at = self.best_held(pool);
                let ask = self.held[pool][at];
                let part = if ask.in_share { 1.0 } else { SPARE };
                if self.lender(pool, part, None).is_none() {
                    break;
                }
                self.held[pool].swap_remove(at);
                match self.lender(pool, part, Some(ask.id)).and_then(|from| self.pick(ask.id, from)) {
                    Some(server) => self.send(ask.id, server),
                    None => blocked.push(ask),
                }
            }
            self.held[pool].append(&mut blocked);
        }
        if !self.looking && self.held.iter().any(|h| !h.is_empty()) {
            self.looking = true;
            self.actions.push(Action::SetTimer { after: 2 * self.settings.timer_resolution, token: LOOK });
        }
    }

    /// The part of others' requests that a pool is lent for. A node of many has one attempt for it at least,
    /// and those of hundreds are more than a small pool bears: it is lent by its place among all servers.
    pub(super) fn lends(&self, pool: &Pool) -> f64 {
        let place = pool.members.len() as f64 / self.everyone().members.len().max(1) as f64;
        1.0 - self.blindness() * (1.0 - LENT * place).max(0.0)
    }

    /// The pool itself while it has room; else another whose own tenants leave over half of it free. Not
    /// every request may go to every other pool, and none is asked about twice with another answer.
    fn lender(&self, pool: usize, part: f64, ask: Option<RequestId>) -> Option<usize> {
        let may = |p: usize, id| unit(hash(id, p as u64)) <= self.lends(&self.pools[p]);
        let lends = |p: &usize| {
            self.held[*p].is_empty() && self.has_room(*p, LEND) && ask.is_none_or(|id| may(*p, id))
        };
        let mut others = (0..self.held.len()).filter(|p| *p != pool && !self.pools[*p].members.is_empty());
        if self.has_room(pool, part) { Some(pool) } else { others.find(lends) }
    }

    /// Where the request with most merit is held; of several, the one whose aim is nearest.
    fn best_held(&self, pool: usize) -> usize {
        let held = self.held[pool].iter().enumerate().map(|(at, ask)| (self.merit(ask), ask.aim_at, at));
        held.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1))).map_or(0, |best| best.2)
    }

    /// Whether this part of the pool's room is not yet filled; one attempt always has room. What arrives at
    /// one of many nodes varies by the root of its mean, and that evens out over all of them (square-root
    /// staffing, Halfin and Whitt, 1981): what is within the shares may use some of that.
    pub(super) fn has_room(&self, pool: usize, part: f64) -> bool {
        let pool = self.pool(pool);
        let room = pool.room.at(self.now) * self.limit / f64::from(self.settings.balancers);
        let varies = if part == 1.0 { VARIES * self.blindness() * room.sqrt() } else { 0.0 };
        pool.in_flight == 0 || f64::from(pool.in_flight) < part * room + varies
    }
}
