//! Admission of requests, the queues of those that wait for capacity, and lending of capacity between pools.

use super::*;

/// The part of a pool's capacity that requests beyond their tenant's quota may use.
const OVER_QUOTA_FILL: f64 = 0.8;
/// A request that was never sent is refused after this part of its time; clients expect that within half.
const QUEUE_TIME_FRACTION: f64 = 0.45;
/// A pool with at least one in this many of all ready servers accepts any request of other pools: only those
/// that find no capacity in their own pool are offered to it.
const LENDING_FACTOR: f64 = 5.0;
/// How far one of many nodes may exceed its part of a pool's capacity, in square roots of that part.
const BURST_FACTOR: f64 = 0.6;

impl Balancer {
    pub(super) fn request_arrived(&mut self, request: Request, upload: Option<Upload>) {
        let Some(class) = self.settings.classes.get(request.class) else {
            return self.actions.push(Action::Refuse { request: request.id, retry_after: 0 });
        };
        let stretch = request.expected_work.map_or(0.0, |work| work as f64 * class.target_latency_per_work);
        let target_at = self.now + class.target_latency.saturating_add(stretch as Micros).min(class.deadline);
        let (streamed, upload) = (upload.is_some(), upload.unwrap_or_default());
        let target_at = target_at + upload.expected_duration;
        let bucket = request.tenant.and_then(|t| self.buckets.get_mut(t as usize));
        let in_quota = bucket.is_none_or(|bucket| bucket.try_take(self.now));
        let info = RequestInfo { id: request.id, class: request.class, in_quota, target_at };
        let pool = self.pool_of(request.tenant);
        let give_up_at = self.now
            + upload.max_duration
            + request.remaining.saturating_sub(2 * self.settings.timer_resolution);
        let queue_until = self.now + (request.remaining as f64 * QUEUE_TIME_FRACTION) as Micros;
        self.queues[pool].push(info);
        let req = OpenRequest { info, pool, give_up_at, queue_until, queued: true, ..OpenRequest::default() };
        self.requests
            .insert(request.id, OpenRequest { key: request.key, streamed, uploading: streamed, ..req });
        // A request that arrives without time left must not be sent: its answer would be late in any case.
        if give_up_at <= self.now || self.random.f64() >= self.admission_probability(&info) {
            return self.give_up(request.id);
        }
        // A body that no server reads stops arriving, and its server does not work before the last byte.
        if streamed
            && in_quota
            && let Some(server) = self.pick(info.id, pool)
        {
            self.queues[pool].retain(|queued| queued.id != info.id);
            self.send(info.id, server);
        }
        self.dispatch();
        self.check_request(request.id);
    }

    /// The last byte of a streamed request has arrived; its client's remaining time starts now.
    pub(super) fn body_received(&mut self, id: RequestId, remaining: Micros) {
        let (now, step) = (self.now, self.settings.timer_resolution);
        let Some(req) = self.requests.get_mut(&id).filter(|req| req.uploading) else { return };
        req.uploading = false;
        req.give_up_at = now + remaining.saturating_sub(2 * step);
        req.queue_until = now + (remaining as f64 * QUEUE_TIME_FRACTION) as Micros;
        req.info.target_at = now + self.settings.classes[req.info.class].target_latency;
        let (info, pool) = (req.info, req.pool);
        // The server starts to work on the request now.
        let in_flight = req.attempts.iter_mut().find(|a| a.status == Status::InFlight);
        // A server that is gone by now may have lost its slot.
        if let Some((i, attempt)) = in_flight.and_then(|a| Some((*self.slots.get(&a.server.id)?, a))) {
            (attempt.sent_at, attempt.counted) = (now, true);
            self.count_in_flight(i);
        }
        self.queues[pool].iter_mut().filter(|queued| queued.id == id).for_each(|queued| *queued = info);
        if remaining <= 2 * step {
            return self.give_up(id);
        }
        self.set_timer(id);
    }

    /// The part of such requests to admit. One of many nodes sees an overload only in the queueing delay of
    /// its few attempts. Once that uses up the target latency, more work would make all answers late. It says
    /// too little, too late, about what requests beyond quotas take from others: few or none are admitted.
    fn admission_probability(&self, info: &RequestInfo) -> f64 {
        let uncertainty = self.uncertainty();
        if !info.in_quota {
            return 1.0 - uncertainty;
        }
        let delay = self.queueing_delay.mean_at(self.now);
        let slack =
            self.settings.classes[info.class].target_latency as f64 - self.latencies[info.class].baseline;
        // Shedding begins at a quarter of the slack, but not below the typical latency: even without load,
        // the few attempts seen vary by nearly that much.
        let (from, span) = ((0.24 * slack).max(self.queueing_delay.typical_latency * 0.9), 0.48 * slack);
        1.0 - uncertainty * ((delay - from) / span.max(1.0)).clamp(0.0, 1.0)
    }

    /// Whether a request sent now would probably miss its target latency.
    pub(super) fn would_be_late(&self, info: &RequestInfo) -> bool {
        self.now as f64 + LATENCY_MARGIN * self.latencies[info.class].median > info.target_at as f64
    }

    /// The value of an answer to a queued request, sent now, per microsecond of its latency.
    fn priority(&self, info: &RequestInfo) -> f64 {
        let class = &self.settings.classes[info.class];
        let quota_factor = if info.in_quota { 1.0 } else { self.settings.over_quota_value };
        let late_factor = if self.would_be_late(info) { class.late_value_fraction } else { 1.0 };
        class.value * quota_factor * late_factor / self.latencies[info.class].median
    }

    /// Sends queued requests, those with the highest priority first, while pools have capacity.
    pub(super) fn dispatch(&mut self) {
        for pool in 0..self.queues.len() {
            let mut blocked: Vec<RequestInfo> = Vec::new();
            // Up to three requests for which only full servers are allowed must not block the others.
            while blocked.len() < 3 && !self.queues[pool].is_empty() && self.lender(pool, 1.0, None).is_some()
            {
                let at = self.best_queued(pool);
                let info = self.queues[pool][at];
                let part = if info.in_quota { 1.0 } else { OVER_QUOTA_FILL };
                if self.lender(pool, part, None).is_none() {
                    break;
                }
                self.queues[pool].swap_remove(at);
                match self.lender(pool, part, Some(info.id)).and_then(|from| self.pick(info.id, from)) {
                    Some(server) => self.send(info.id, server),
                    None => blocked.push(info),
                }
            }
            self.queues[pool].append(&mut blocked);
        }
        if !self.queue_timer_set && self.queues.iter().any(|queue| !queue.is_empty()) {
            self.queue_timer_set = true;
            self.actions
                .push(Action::SetTimer { after: 2 * self.settings.timer_resolution, token: QUEUE_TIMER });
        }
    }

    /// The part of other pools' requests that a pool accepts. Every node may have one attempt there, and
    /// those of hundreds would overload a small pool: the part follows its size relative to all ready
    /// servers.
    pub(super) fn lending_part(&self, pool: &Pool) -> f64 {
        let size = pool.members.len() as f64 / self.ready_pool().members.len().max(1) as f64;
        1.0 - self.uncertainty() * (1.0 - LENDING_FACTOR * size).max(0.0)
    }

    /// The pool itself while it has capacity, else another one that is less than half in use. Which requests
    /// that one accepts is decided by a hash, so that the result for a request does not change.
    fn lender(&self, pool: usize, part: f64, request: Option<RequestId>) -> Option<usize> {
        let accepts = |p: usize, id| unit_interval(hash(id, p as u64)) <= self.lending_part(&self.pools[p]);
        let lends = |p: &usize| {
            self.queues[*p].is_empty()
                && self.has_capacity(*p, LENDING_FILL)
                && request.is_none_or(|id| accepts(*p, id))
        };
        let mut others = (0..self.queues.len()).filter(|p| *p != pool && !self.pools[*p].members.is_empty());
        if self.has_capacity(pool, part) { Some(pool) } else { others.find(lends) }
    }

    /// The queue position of the request with the highest priority, and of these with the nearest target.
    fn best_queued(&self, pool: usize) -> usize {
        let rated = self.queues[pool].iter().enumerate().map(|(i, r)| (self.priority(r), r.target_at, i));
        rated.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1))).map_or(0, |best| best.2)
    }

    /// Whether less than this part of a pool's capacity is in use; one attempt is always possible. Arrivals
    /// at one of many nodes vary by the square root of their mean, which evens out over all nodes
    /// (square-root staffing, Halfin and Whitt, 1981): requests within quotas may use some of that.
    pub(super) fn has_capacity(&self, pool: usize, part: f64) -> bool {
        let pool = self.pool(pool);
        let capacity = pool.capacity.at(self.now) * self.limit / f64::from(self.settings.balancers);
        let burst = if part == 1.0 { BURST_FACTOR * self.uncertainty() * capacity.sqrt() } else { 0.0 };
        pool.in_flight == 0 || f64::from(pool.in_flight) < part * capacity + burst
    }
}
