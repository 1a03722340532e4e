//! What outcomes teach: limits, paces, waits, and whom to leave alone for a while (outlier ejection).

use super::*;

/// How long a server is avoided for each of its recent failures.
const RETREAT: f64 = 100_000.0;
/// The longest wait after a first refusal until a server is tried again, at few nodes. It doubles with each
/// further one.
const SHUT: Micros = 100_000;
/// How often that wait doubles.
const SHUT_DOUBLES: u32 = 3;
/// Nor does the limit fall below this multiple of what served in-share work needs on idle servers.
const LIMIT_LEAST: f64 = 3.5;
/// The usual time may rise to this multiple of the shortest it was, before limits shrink.
const SLOWED: f64 = 1.1;
/// As how many more an answer counts for a server's pace where a node meets it seldom: at one or two
/// answers a second, small steps would notice a slow server only after it is jammed.
const SELDOM: f64 = 6.0;

impl Balancer {
    /// Learns from an outcome how much the server takes and how long the class usually needs.
    pub(super) fn learn(&mut self, ask: Ask, to: ServerId, in_hand: bool, end: AttemptEnd) {
        let (class, Some(i)) = (ask.class, self.find(to)) else { return };
        let waiting = self.held.iter().flatten().any(|ask| ask.in_share);
        if in_hand {
            self.servers[i].in_flight -= 1;
            self.in_pools(i, |pool| pool.in_flight -= 1);
        }
        // One given up has waited too; but a few very slow servers must not look like an overload of all.
        let base = self.times[class].base;
        let slack = (self.settings.classes[class].target_latency as f64 - base).max(0.0);
        let waited = (end.elapsed as f64 - base).min(1.2 * slack);
        if end.outcome == Outcome::Served || waited > self.waits.mean && !end.outcome.never_ran() {
            // Long requests vary by more than they wait: the short ones tell of waits best.
            let shortest = self.times.iter().map(|t| t.base).fold(f64::MAX, f64::min);
            self.waits.add(self.now, waited, base, shortest / base);
        }
        let counts_for = 1.0 + SELDOM * self.blindness();
        if end.outcome == Outcome::Served {
            let (times, elapsed) = (&mut self.times[class], end.elapsed as f64);
            let server = &mut self.servers[i];
            let slower: f64 = if elapsed > times.usual * server.pace { 1.0 + STEP } else { 1.0 - STEP };
            server.pace = (server.pace * slower.powf(counts_for)).clamp(PACES.0, PACES.1);
            (server.refusals, server.answered_at) = (0, self.now);
            server.answers.add(self.now, 1.0);
            times.answered(elapsed);
            let late = end.elapsed > self.settings.classes[class].target_latency;
            // Late answers may come from pauses; while the usual time is up, more work only jams servers.
            let slowed = times.usual > times.base * SLOWED;
            let grown = if waiting && !late && !slowed { 1.0 + STEP / 10.0 } else { 1.0 };
            let factor = if late && slowed { 1.0 - STEP / 2.0 } else { grown };
            // Counting what arrives, not what is served, or a time that is a guess yet, would jam servers.
            let counts = ask.in_share && times.seen > 5.0;
            self.needed.add(self.now, if counts { times.base } else { 0.0 });
            // A slowdown of all servers makes every answer late; shrinking further would only serve fewer.
            let needed = self.needed.rate(self.now) * f64::from(self.settings.balancers)
                / self.everyone().members.len().max(1) as f64;
            self.limit = (self.limit * factor).max(LIMIT_LEAST * needed).max(LIMIT_START);
        } else if !matches!(end.outcome, Outcome::Cancelled | Outcome::NotSent) {
            let now = self.now;
            // What drains or is gone before the list says so, or has no place for more connections, is
            // known by that at once, and may well be most of a pool. Nodes come back to it spread out.
            if matches!(end.outcome, Outcome::ConnectFailed | Outcome::Rejected) {
                let server = &mut self.servers[i];
                // Of many nodes each would find it out anew, and one that stays away does no harm.
                let longest = (SHUT as f64 * counts_for * counts_for) as Micros;
                let longest = longest << server.refusals.min(SHUT_DOUBLES);
                server.refusals += 1;
                server.shut_until = now + longest / 2 + self.random.u64(..longest / 2);
            }
            // One that fails again and again is left alone for longer each time, then tried anew.
            self.servers[i].failures.add(now, 1.0);
            self.in_pools(i, |pool| pool.failures.add(now, 1.0));
            let excess = self.excess(i);
            self.servers[i].avoid_until = now + (excess * RETREAT) as Micros;
        }
        self.hushed(i, class, &end);
        self.refresh(i);
        self.let_go(i);
    }

    /// Recent failures beyond the usual in its pool: what befalls all alike tells nothing of one.
    pub(super) fn excess(&self, i: usize) -> f64 {
        let server = &self.servers[i];
        let pool = server.pool.map_or(self.everyone(), |p| &self.pools[p]);
        let usual = pool.failures.now(self.now).max(0.0) / pool.members.len().max(1) as f64;
        (server.failures.now(self.now) - usual).max(0.0)
    }

    pub(super) fn room(&self, i: usize) -> f64 {
        let server = &self.servers[i];
        let part = self.limit / f64::from(self.settings.balancers);
        part * server.size * self.ramp(&server.entry) / server.pace_at(self.now)
    }

    /// The part of its capacity that a starting server surely has.
    pub(super) fn ramp(&self, entry: &ServerEntry) -> f64 {
        let age = if entry.ready_at == 0 { Micros::MAX } else { self.now.saturating_sub(entry.ready_at) };
        let warmed = (age as f64 / self.settings.warm_up.max(1) as f64).min(1.0);
        self.settings.cold_capacity + (1.0 - self.settings.cold_capacity) * warmed
    }

    /// How little own counts tell: a node whose part of a server is under half an attempt sees little load.
    pub(super) fn blindness(&self) -> f64 {
        (1.0 - 2.0 * self.limit / f64::from(self.settings.balancers)).max(0.0)
    }
}
