//! Attempts: where a request may be retried, hedged requests for overdue attempts, and giving up.

use super::*;

impl Balancer {
    /// Whether a further attempt of a request may be sent to a server, by the class's idempotency.
    pub(super) fn allows(&self, req: &OpenRequest, to: &ServerEntry) -> bool {
        let repeatable = |a: &Attempt| match self.settings.classes[req.info.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Deduplicated { window, .. }
                if self.now + self.settings.timer_resolution >= a.sent_at + window =>
            {
                false
            }
            Idempotency::Deduplicated { scope: DedupScope::All, .. } => true,
            Idempotency::Deduplicated { scope: DedupScope::Zone, .. } => a.server.zone == to.zone,
            Idempotency::Deduplicated { scope: DedupScope::Cell, .. } => a.server.cell == to.cell,
        };
        req.attempts.len() < usize::from(self.settings.max_attempts)
            && (req.in_flight() == 0 || self.settings.hedging && !req.streamed)
            && !req.body_consumed
            && req.attempts.iter().all(|a| a.status == Status::NeverRan || repeatable(a))
    }

    /// Whether a further attempt may be sent to any member of the request's pool.
    fn allowed_anywhere(&self, req: &OpenRequest) -> bool {
        let members = &self.pool(req.pool).members;
        members.iter().any(|i| self.servers[*i].pool.is_some() && self.allows(req, &self.servers[*i].entry))
    }

    /// Until when a request may be sent again: the first end of a deduplication window of its attempts that
    /// may have run; `None` without such a limit.
    fn latest_start(&self, req: &OpenRequest) -> Option<Micros> {
        let Idempotency::Deduplicated { window, .. } = self.settings.classes[req.info.class].idempotency
        else {
            return None;
        };
        let ran = req.attempts.iter().filter(|a| a.status != Status::NeverRan);
        ran.map(|a| a.sent_at.saturating_add(window).saturating_sub(self.settings.timer_resolution)).min()
    }

    pub(super) fn send(&mut self, id: RequestId, i: usize) {
        let start_before = self.requests.get(&id).and_then(|req| self.latest_start(req));
        let Some(req) = self.requests.get_mut(&id) else { return };
        let server = &mut self.servers[i];
        // The latency ratio of a server without recent attempts counts again from now on.
        let ratio_changes = server.latency_ratio != server.latency_ratio_at(self.now);
        server.last_sent_at = self.now;
        let entry = server.entry;
        req.queued = false;
        let counted = !req.uploading;
        req.attempts.push(Attempt { server: entry, sent_at: self.now, status: Status::InFlight, counted });
        self.actions.push(Action::Send { request: id, server: entry.id, start_before });
        if counted {
            self.count_in_flight(i);
        }
        if ratio_changes || self.servers[i].next_update_at <= self.now {
            self.refresh(i);
        }
        self.set_timer(id);
    }

    pub(super) fn count_in_flight(&mut self, i: usize) {
        self.servers[i].in_flight += 1;
        self.update_pools(i, |pool| pool.in_flight += 1);
    }

    /// When an attempt is overdue: a hedge sent then is in time even if it takes twice the median latency.
    fn overdue_at(&self, req: &OpenRequest) -> Option<Micros> {
        let median = self.latencies[req.info.class].median;
        let last = req.attempts.iter().rev().find(|a| a.status == Status::InFlight)?;
        let age = (req.info.target_at.saturating_sub(last.sent_at) as f64 - 2.0 * median)
            .max(LATENCY_MARGIN * median);
        Some(last.sent_at + age as Micros)
    }

    /// Sets a timer for when the request next needs a check.
    pub(super) fn set_timer(&mut self, id: RequestId) {
        let Some(req) = self.requests.get(&id) else { return };
        let late_at =
            (req.info.target_at as f64 - LATENCY_MARGIN * self.latencies[req.info.class].median) as Micros;
        let queued = |at: Micros| req.queued.then_some(at);
        let times = [Some(req.give_up_at), self.overdue_at(req), queued(late_at), queued(req.queue_until)];
        let next = times.into_iter().flatten().filter(|t| *t > self.now).min().unwrap_or(self.now);
        if next > self.now && (req.timer_at <= self.now || next < req.timer_at) {
            self.actions.push(Action::SetTimer { after: next - self.now, token: id });
            self.update_request(id, |req| req.timer_at = next);
        }
    }

    /// Gives a request up if it can't be answered usefully any more, or hedges it if its attempt is overdue.
    pub(super) fn check_request(&mut self, id: RequestId) {
        let Some(req) = self.requests.get(&id) else { return };
        if req.finished || req.timer_at > self.now {
            return;
        }
        let useless = !req.info.in_quota || self.settings.classes[req.info.class].late_value_fraction == 0.0;
        // A late refusal of an unsent request costs its client more than a small chance to be sent is worth.
        let waited = self.now >= req.queue_until && req.never_ran();
        let late = self.would_be_late(&req.info) && (useless || waited);
        let hopeless = self.ready_pool().members.is_empty() || late || waited && !req.info.in_quota;
        if self.now >= req.give_up_at || req.queued && hopeless {
            return self.give_up(id);
        }
        // An overdue attempt may be at a pausing server: a hedge goes elsewhere if nothing is queued. Hedges
        // of long requests lose and occupy servers: unless a tenth win, half of the pool has to be free.
        let (pool, part) = (req.pool, if self.hedge_wins > 0.1 { 1.0 } else { LENDING_FILL });
        let overdue = !req.queued && self.overdue_at(req).is_some_and(|t| t <= self.now);
        if overdue && req.info.in_quota && self.queues[pool].is_empty() && self.has_capacity(pool, part) {
            self.pick(id, pool).into_iter().for_each(|server| self.send(id, server));
        }
        self.set_timer(id);
    }

    pub(super) fn attempt_ended(&mut self, end: AttemptEnd) {
        let id = end.request;
        let Some(req) = self.requests.get_mut(&id) else { return };
        let in_flight = |a: &&mut Attempt| a.status == Status::InFlight;
        let Some(ended) = req.attempts.get_mut(usize::from(end.attempt)).filter(in_flight) else {
            return;
        };
        ended.status = if end.outcome.never_ran() { Status::NeverRan } else { Status::MayHaveRun };
        req.finished |= end.request_finished;
        let (info, to, counted) = (req.info, ended.server, ended.counted);
        if end.outcome == Outcome::Served && req.in_flight() > 0 {
            self.hedge_wins += STEP * (f64::from(u8::from(end.attempt > 0)) - self.hedge_wins);
        }
        self.learn(info, to.id, counted, end);
        let req = &self.requests[&id];
        if req.finished {
            self.finish(id);
        } else if req.in_flight() == 0 && !req.queued {
            if !self.allowed_anywhere(req) || self.now >= req.give_up_at {
                return self.give_up(id);
            }
            self.queues[req.pool].push(req.info);
            self.update_request(id, |req| req.queued = true);
            self.set_timer(id);
        }
        self.dispatch();
    }

    /// Cancels all attempts in flight except `keep`, if the settings allow that.
    pub(super) fn cancel_attempts(&mut self, id: RequestId, keep: Option<AttemptNo>) {
        let Some(req) = self.requests.get(&id) else { return };
        for (n, attempt) in (0..).zip(&req.attempts) {
            if self.settings.cancelling && attempt.status == Status::InFlight && keep != Some(n) {
                self.actions.push(Action::Cancel(id, n));
            }
        }
    }

    /// Gives the final answer without a result: a refusal if a repeat is harmless, else a failure.
    pub(super) fn give_up(&mut self, id: RequestId) {
        let Some(req) = self.requests.get(&id) else { return };
        let harmless = match self.settings.classes[req.info.class].idempotency {
            Idempotency::Idempotent | Idempotency::Deduplicated { scope: DedupScope::All, .. } => true,
            _ => req.never_ran(),
        };
        // A repeat at once would come back into the same overload, and too late: the client is asked to wait.
        let wait = !req.info.in_quota || req.never_ran() && self.would_be_late(&req.info);
        let retry_after = if wait { self.settings.max_retry_after } else { 0 };
        let refusal = Action::Refuse { request: id, retry_after };
        self.actions.push(if harmless { refusal } else { Action::Fail(id) });
        self.finish(id);
    }

    /// Marks a request as finished and cancels its attempts; it is dropped once none of them is in flight.
    pub(super) fn finish(&mut self, id: RequestId) {
        let Some(req) = self.requests.get_mut(&id) else { return };
        req.finished = true;
        if std::mem::take(&mut req.queued) {
            self.queues[req.pool].retain(|queued| queued.id != id);
        }
        if req.in_flight() == 0 {
            self.requests.remove(&id);
        }
        self.cancel_attempts(id, None);
    }
}
