//! Learning from outcomes: concurrency limits, latency ratios, queueing delays, and outlier ejection.

use super::*;

/// The time in microseconds for which a server is ejected for each of its recent failures.
const EJECTION_PER_FAILURE_US: f64 = 100_000.0;
/// The upper bound of the wait after a server's first refusal, for few nodes; it doubles with each one.
const REFUSAL_BACKOFF: Micros = 100_000;
/// How often that wait doubles at most.
const REFUSAL_DOUBLINGS: u32 = 3;
/// The limit stays above this multiple of the concurrency that requests within quotas need on idle servers.
const LIMIT_PER_NEED: f64 = 3.5;
/// Limits shrink only while the median latency is above this multiple of its baseline.
const SLOWDOWN_RATIO: f64 = 1.1;
/// How many additional answers an answer counts for in the latency ratio where a node rarely meets a server:
/// with one or two answers per second, small steps would detect a slow server only after it is overloaded.
const RARE_ANSWER_WEIGHT: f64 = 6.0;

impl Balancer {
    /// Learns from an outcome how much the server can take and what latency the class usually has.
    pub(super) fn learn(&mut self, info: RequestInfo, to: ServerId, counted: bool, end: AttemptEnd) {
        let (class, Some(i)) = (info.class, self.slot_of(to)) else { return };
        let waiting = self.queues.iter().flatten().any(|info| info.in_quota);
        if counted {
            self.servers[i].in_flight -= 1;
            self.update_pools(i, |pool| pool.in_flight -= 1);
        }
        // Attempts that were given up count too, but a few very slow servers must not look like an overload.
        let baseline = self.latencies[class].baseline;
        let slack = (self.settings.classes[class].target_latency as f64 - baseline).max(0.0);
        let delay = (end.elapsed as f64 - baseline).min(1.2 * slack);
        if end.outcome == Outcome::Served || delay > self.queueing_delay.mean && !end.outcome.never_ran() {
            // The latency of long requests varies by more than their delay: short requests show it best.
            let shortest = self.latencies.iter().map(|l| l.baseline).fold(f64::MAX, f64::min);
            self.queueing_delay.add(self.now, delay, baseline, shortest / baseline);
        }
        let weight = 1.0 + RARE_ANSWER_WEIGHT * self.uncertainty();
        if end.outcome == Outcome::Served {
            let (latency, elapsed) = (&mut self.latencies[class], end.elapsed as f64);
            let server = &mut self.servers[i];
            let step: f64 =
                if elapsed > latency.median * server.latency_ratio { 1.0 + STEP } else { 1.0 - STEP };
            server.latency_ratio =
                (server.latency_ratio * step.powf(weight)).clamp(LATENCY_RATIOS.0, LATENCY_RATIOS.1);
            (server.refusals, server.last_answer_at) = (0, self.now);
            server.answers.add(self.now, 1.0);
            latency.add(elapsed);
            let late = end.elapsed > self.settings.classes[class].target_latency;
            // Late answers may be due to pauses. While the median is high, more work only overloads servers.
            let slowed = latency.median > latency.baseline * SLOWDOWN_RATIO;
            let growth = if waiting && !late && !slowed { 1.0 + STEP / 10.0 } else { 1.0 };
            let factor = if late && slowed { 1.0 - STEP / 2.0 } else { growth };
            // Counting arrivals instead of served requests, or a mere guess, would overload servers.
            let counts = info.in_quota && latency.samples > 5.0;
            self.needed.add(self.now, if counts { latency.baseline } else { 0.0 });
            // If all servers slow down, every answer is late: a lower limit would only serve fewer requests.
            let needed = self.needed.rate(self.now) * f64::from(self.settings.balancers)
                / self.ready_pool().members.len().max(1) as f64;
            self.limit = (self.limit * factor).max(LIMIT_PER_NEED * needed).max(MIN_LIMIT);
        } else if !matches!(end.outcome, Outcome::Cancelled | Outcome::NotSent) {
            let now = self.now;
            // One refusal reveals a server that drains or is gone before the list says so, or that accepts no
            // more connections. Such servers may be most of a pool. Nodes come back at different times.
            if matches!(end.outcome, Outcome::ConnectFailed | Outcome::Rejected) {
                let server = &mut self.servers[i];
                // Each of many nodes would find out anew, and a single node that stays away does no harm.
                let longest = (REFUSAL_BACKOFF as f64 * weight * weight) as Micros;
                let longest = longest << server.refusals.min(REFUSAL_DOUBLINGS);
                server.refusals += 1;
                server.backoff_until = now + longest / 2 + self.random.u64(..longest / 2);
            }
            // A server that keeps failing is ejected for longer each time, and then tried again.
            self.servers[i].failures.add(now, 1.0);
            self.update_pools(i, |pool| pool.failures.add(now, 1.0));
            let excess = self.excess_failures(i);
            self.servers[i].ejected_until = now + (excess * EJECTION_PER_FAILURE_US) as Micros;
        }
        self.learn_silence(i, class, &end);
        self.refresh(i);
        self.free_if_unused(i);
    }

    /// A server's recent failures beyond the mean of its pool: failures of all alike say nothing about one.
    pub(super) fn excess_failures(&self, i: usize) -> f64 {
        let server = &self.servers[i];
        let pool = server.pool.map_or(self.ready_pool(), |p| &self.pools[p]);
        let mean = pool.failures.at(self.now).max(0.0) / pool.members.len().max(1) as f64;
        (server.failures.at(self.now) - mean).max(0.0)
    }

    /// This node's part of a server's concurrency limit.
    pub(super) fn server_limit(&self, i: usize) -> f64 {
        let server = &self.servers[i];
        let part = self.limit / f64::from(self.settings.balancers);
        part * server.size * self.warm_part(&server.entry) / server.latency_ratio_at(self.now)
    }

    /// The part of its full capacity that a server has at least, by the time since its start.
    pub(super) fn warm_part(&self, entry: &ServerEntry) -> f64 {
        let age = if entry.ready_at == 0 { Micros::MAX } else { self.now.saturating_sub(entry.ready_at) };
        let warmed = (age as f64 / self.settings.warm_up.max(1) as f64).min(1.0);
        self.settings.cold_capacity + (1.0 - self.settings.cold_capacity) * warmed
    }

    /// How little own counts tell the load, from 0 to 1: above 0 if a node's part is under half an attempt.
    pub(super) fn uncertainty(&self) -> f64 {
        (1.0 - 2.0 * self.limit / f64::from(self.settings.balancers)).max(0.0)
    }
}
