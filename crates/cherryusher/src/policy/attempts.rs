//! Attempts: what may go again where (retries), second copies of what is overdue (hedging), giving up.

use super::*;

impl Balancer {
    pub(super) fn allowed(&self, job: &Job, to: &ServerEntry) -> bool {
        let again = |a: &Attempt| match self.settings.classes[job.ask.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Deduplicated { window, .. }
                if self.now + self.settings.timer_resolution >= a.sent_at + window =>
            {
                false
            }
            Idempotency::Deduplicated { scope: DedupScope::All, .. } => true,
            Idempotency::Deduplicated { scope: DedupScope::Zone, .. } => a.to.zone == to.zone,
            Idempotency::Deduplicated { scope: DedupScope::Cell, .. } => a.to.cell == to.cell,
        };
        job.attempts.len() < usize::from(self.settings.max_attempts)
            && (job.out() == 0 || self.settings.hedging && !job.in_part)
            && !job.spent
            && job.attempts.iter().all(|a| a.fate == Fate::NeverRan || again(a))
    }

    /// Whether any member of its pool may have the request.
    fn anywhere(&self, job: &Job) -> bool {
        let members = &self.pool(job.pool).members;
        members.iter().any(|i| self.servers[*i].pool.is_some() && self.allowed(job, &self.servers[*i].entry))
    }

    /// Until when it may go again: to the end of the first window of those attempts that may have run.
    fn until(&self, job: &Job) -> Option<Micros> {
        let Idempotency::Deduplicated { window, .. } = self.settings.classes[job.ask.class].idempotency
        else {
            return None;
        };
        let ran = job.attempts.iter().filter(|a| a.fate != Fate::NeverRan);
        ran.map(|a| a.sent_at.saturating_add(window).saturating_sub(self.settings.timer_resolution)).min()
    }

    pub(super) fn send(&mut self, id: RequestId, i: usize) {
        let until = self.jobs.get(&id).and_then(|job| self.until(job));
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let server = &mut self.servers[i];
        // One that was not tried for long goes by its own pace again.
        let anew = server.pace != server.pace_at(self.now);
        server.last_sent = self.now;
        let entry = server.entry;
        job.held = false;
        let in_hand = !job.coming;
        job.attempts.push(Attempt { to: entry, sent_at: self.now, fate: Fate::Out, in_hand });
        self.actions.push(Action::Send { request: id, server: entry.id, start_before: until });
        if in_hand {
            self.in_hand(i);
        }
        if anew || self.servers[i].due <= self.now {
            self.refresh(i);
        }
        self.wake(id);
    }

    /// A server has one more in hand.
    pub(super) fn in_hand(&mut self, i: usize) {
        self.servers[i].in_flight += 1;
        self.in_pools(i, |pool| pool.in_flight += 1);
    }

    /// When an attempt is overdue: a copy would just come within the aim, even at twice the usual time.
    fn overdue_at(&self, job: &Job) -> Option<Micros> {
        let usual = self.times[job.ask.class].usual;
        let last = job.attempts.iter().rev().find(|a| a.fate == Fate::Out)?;
        let age = (job.ask.aim_at.saturating_sub(last.sent_at) as f64 - 2.0 * usual).max(TIMELY * usual);
        Some(last.sent_at + age as Micros)
    }

    /// Asks to be woken when the request next needs a look.
    pub(super) fn wake(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let hopeless = (job.ask.aim_at as f64 - TIMELY * self.times[job.ask.class].usual) as Micros;
        let held = |at: Micros| job.held.then_some(at);
        let times = [Some(job.give_up_at), self.overdue_at(job), held(hopeless), held(job.place_until)];
        let next = times.into_iter().flatten().filter(|t| *t > self.now).min().unwrap_or(self.now);
        if next > self.now && (job.wake_at <= self.now || next < job.wake_at) {
            self.actions.push(Action::SetTimer { after: next - self.now, token: id });
            self.change(id, |job| job.wake_at = next);
        }
    }

    pub(super) fn look_at(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.done || job.wake_at > self.now {
            return;
        }
        let worthless = !job.ask.in_share || self.settings.classes[job.ask.class].late_value_fraction == 0.0;
        // To be told late that it was never sent costs a client more than a poor chance of a turn is worth.
        let waited = self.now >= job.place_until && job.never_ran();
        let late = self.too_late(&job.ask) && (worthless || waited);
        let hopeless = self.everyone().members.is_empty() || late || waited && !job.ask.in_share;
        if self.now >= job.give_up_at || job.held && hopeless {
            return self.give_up(id);
        }
        // A pausing server shows as an overdue attempt: a copy goes elsewhere if nothing waits. But copies of
        // long requests lose the race and fill servers: unless a tenth win, half the pool has to be free.
        let (pool, part) = (job.pool, if self.copies_win > 0.1 { 1.0 } else { LEND });
        let overdue = !job.held && self.overdue_at(job).is_some_and(|t| t <= self.now);
        if overdue && job.ask.in_share && self.held[pool].is_empty() && self.has_room(pool, part) {
            self.pick(id, pool).into_iter().for_each(|server| self.send(id, server));
        }
        self.wake(id);
    }

    pub(super) fn attempt_ended(&mut self, end: AttemptEnd) {
        let id = end.request;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let out = |a: &&mut Attempt| a.fate == Fate::Out;
        let Some(ended) = job.attempts.get_mut(usize::from(end.attempt)).filter(out) else { return };
        ended.fate = if end.outcome.never_ran() { Fate::NeverRan } else { Fate::MayHaveRun };
        job.done |= end.request_finished;
        let (ask, to, in_hand) = (job.ask, ended.to, ended.in_hand);
        if end.outcome == Outcome::Served && job.out() > 0 {
            self.copies_win += STEP * (f64::from(u8::from(end.attempt > 0)) - self.copies_win);
        }
        self.learn(ask, to.id, in_hand, end);
        let job = &self.jobs[&id];
        if job.done {
            self.finish(id);
        } else if job.out() == 0 && !job.held {
            if !self.anywhere(job) || self.now >= job.give_up_at {
                return self.give_up(id);
            }
            self.held[job.pool].push(job.ask);
            self.change(id, |job| job.held = true);
            self.wake(id);
        }
        self.dispatch();
    }

    pub(super) fn cancel_others(&mut self, id: RequestId, but: Option<AttemptNo>) {
        let Some(job) = self.jobs.get(&id) else { return };
        for (n, attempt) in (0..).zip(&job.attempts) {
            if self.settings.cancelling && attempt.fate == Fate::Out && but != Some(n) {
                self.actions.push(Action::Cancel(id, n));
            }
        }
    }

    /// The final answer: turned away where that is true and harmless, else failed.
    pub(super) fn give_up(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let harmless = match self.settings.classes[job.ask.class].idempotency {
            Idempotency::Idempotent | Idempotency::Deduplicated { scope: DedupScope::All, .. } => true,
            _ => job.never_ran(),
        };
        // What would come back into the same crowd, and too late, is asked to stay away.
        let stay = !job.ask.in_share || job.never_ran() && self.too_late(&job.ask);
        let retry_after = if stay { self.settings.max_retry_after } else { 0 };
        let refusal = Action::Refuse { request: id, retry_after };
        self.actions.push(if harmless { refusal } else { Action::Fail(id) });
        self.finish(id);
    }

    /// Nothing more is owed: lets go of the request once none of its attempts is out.
    pub(super) fn finish(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.done = true;
        if std::mem::take(&mut job.held) {
            self.held[job.pool].retain(|ask| ask.id != id);
        }
        if job.out() == 0 {
            self.jobs.remove(&id);
        }
        self.cancel_others(id, None);
    }
}
