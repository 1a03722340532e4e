//! Health reports between nodes: what this node observes, and how suspicions of other nodes count here.
//!
//! Suspicions of other nodes alone never eject a server. They reduce its part of the work, at most to a
//! quarter, and make own unanswered attempts count for more. Normal answers to this node count against them.
//! Observations never include what other nodes reported, so that a false suspicion can't sustain itself.

use super::*;

/// The part of its work that a server loses at full suspicion.
const MAX_WORK_LOSS: f64 = 0.75;
/// The factor on the suspicion of a server that answers this node normally.
const OWN_FACTOR: f64 = 0.5;
/// How long a fully suspect server is ejected after an unanswered attempt, in microseconds.
const SILENCE_EJECTION_US: f64 = 2_000_000.0;
/// How long a suspicion counts that is not reported again.
const SUSPICION_TTL: Micros = 3_000_000;
/// Answers count as recent while the last one is younger than this.
const MAX_ANSWER_AGE: Micros = 1_000_000;
/// The number of recent answers that show a server to be healthy.
const MIN_ANSWERS: f64 = 4.0;
/// The multiples of the median latency between which an attempt counts more and more as unanswered.
const SILENCE_RANGE: (f64, f64) = (4.0, 8.0);
/// The latency ratios between which a server becomes more and more suspect.
const SLOW_RANGE: (f64, f64) = (1.5, 3.5);
/// The number of excess failures that make a server fully suspect.
const SUSPECT_FAILURES: f64 = 4.0;

impl Balancer {
    /// Takes over the suspicions of all other nodes. A server that they do not name is not suspect.
    pub(super) fn set_suspicions(&mut self, suspicions: &[PeerSuspicion]) {
        if suspicions.is_empty() && !self.any_suspicion {
            return;
        }
        self.any_suspicion = !suspicions.is_empty();
        self.servers.iter_mut().for_each(|s| s.suspicion = 0.0);
        for reported in suspicions {
            if let Some(i) = self.slot_of(reported.server) {
                let server = &mut self.servers[i];
                // NaN counts as no suspicion.
                server.suspicion = if reported.level > 0.0 { reported.level.min(1.0) } else { 0.0 };
                server.suspected_at = self.now;
            }
        }
        self.suspicions_at = self.now;
        for p in 0..self.pools.len() {
            let members = &self.pools[p].members;
            let sum: f64 = members.iter().map(|i| self.servers[*i].suspicion).sum();
            self.pools[p].suspicion = sum / members.len().max(1) as f64;
        }
    }

    /// The factor on a server's draw weight for suspicions, from a quarter to 1. Load comparisons use this
    /// node's counts alone: there, a small suspicion would lose every tie.
    pub(super) fn trust(&self, i: usize) -> f64 {
        1.0 - MAX_WORK_LOSS * self.suspicion(i).max(self.suspicion_of_others(i))
    }

    /// The mean suspicion around a server that warms up: work that it gains from others would overload it.
    fn suspicion_of_others(&self, i: usize) -> f64 {
        let s = &self.servers[i];
        if self.now.saturating_sub(self.suspicions_at) >= SUSPICION_TTL || self.warm_part(&s.entry) >= 1.0 {
            return 0.0;
        }
        s.pool.map_or(0.0, |p| self.pools[p].suspicion).max(self.ready_pool().suspicion)
    }

    /// The suspicion of other nodes against a server, after its age and this node's own answers.
    fn suspicion(&self, i: usize) -> f64 {
        let s = &self.servers[i];
        if s.suspicion == 0.0 || self.now.saturating_sub(s.suspected_at) >= SUSPICION_TTL {
            return 0.0;
        }
        let factor =
            if self.answering(i) && s.latency_ratio_at(self.now) < SLOW_RANGE.0 { OWN_FACTOR } else { 1.0 };
        s.suspicion * factor
    }

    /// Whether a server has answered this node often enough lately to count as healthy.
    fn answering(&self, i: usize) -> bool {
        let s = &self.servers[i];
        self.now.saturating_sub(s.last_answer_at) < MAX_ANSWER_AGE && s.answers.at(self.now) >= MIN_ANSWERS
    }

    /// How clearly an attempt sent at `sent_at` is unanswered, from 0 to 1; its server's answers reset it.
    fn silence(&self, class: usize, to: ServerId, now: Micros, sent_at: Micros) -> f64 {
        let median = self.latencies[class].median.max(1.0);
        let since = self.slot_of(to).map_or(sent_at, |i| self.servers[i].last_answer_at.max(sent_at));
        let waited = now.saturating_sub(since) as f64 / median;
        if waited < SILENCE_RANGE.0 { 0.0 } else { (waited / SILENCE_RANGE.1).min(1.0) }
    }

    /// Remembers an attempt that was given up unanswered until the next answer. If other nodes suspect the
    /// server too, one such attempt is enough to eject it for a while.
    pub(super) fn learn_silence(&mut self, i: usize, class: usize, end: &AttemptEnd) {
        let (now, id) = (self.now, self.servers[i].entry.id);
        match end.outcome {
            Outcome::Served => self.servers[i].silences = DecayingSum::default(),
            Outcome::Cancelled | Outcome::TimedOut => {
                let silence = self.silence(class, id, now, now.saturating_sub(end.elapsed));
                let ejection = silence * self.suspicion(i) * SILENCE_EJECTION_US;
                let server = &mut self.servers[i];
                server.silences.add(now, silence);
                server.ejected_until = server.ejected_until.max(now + ejection as Micros);
            }
            _ => {}
        }
    }

    /// What this node has observed of the servers that it recently sent attempts to.
    pub(crate) fn observe(&self, now: Micros) -> Vec<ServerObservation> {
        let mut unanswered: HashMap<ServerId, (u32, f64)> = HashMap::new();
        for req in self.requests.values() {
            for a in req.attempts.iter().filter(|a| a.status == Status::InFlight && a.counted) {
                let silence = self.silence(req.info.class, a.server.id, now, a.sent_at);
                let (count, sum) = unanswered.entry(a.server.id).or_default();
                (*count, *sum) = (*count + u32::from(silence > 0.0), *sum + silence);
            }
        }
        let members = self.ready_pool().members.iter().filter(|i| self.servers[**i].pool.is_some());
        let observation = |i: usize| {
            let s = &self.servers[i];
            let (count, sum) = unanswered.get(&s.entry.id).copied().unwrap_or_default();
            let silences = s.silences.at(now);
            let (answers, excess) = (s.answers.at(now), self.excess_failures(i));
            // That a server is slow while it warms up is no cause for suspicion.
            let slow = (s.latency_ratio_at(now) * self.warm_part(&s.entry) - SLOW_RANGE.0)
                / (SLOW_RANGE.1 - SLOW_RANGE.0);
            let suspicion = slow.max(sum + silences).max(excess / SUSPECT_FAILURES).clamp(0.0, 1.0);
            let recent = now.saturating_sub(s.last_answer_at) < MAX_ANSWER_AGE;
            ServerObservation {
                server: s.entry.id,
                suspicion,
                recent_answers: if recent { answers as u32 } else { 0 },
                sample_count: count + (answers + excess + silences) as u32,
            }
        };
        let recently_used = |i: &usize| {
            let s = &self.servers[*i];
            s.in_flight > 0 || now.saturating_sub(s.last_sent_at) < DECAY_US as Micros
        };
        members.copied().filter(recently_used).map(observation).collect()
    }

    /// Changes the number of nodes that share the work, and this node's rank among them.
    pub(super) fn fleet_changed(&mut self, balancers: u32, rank: u32) {
        if balancers == 0 || (balancers, rank) == (self.settings.balancers, self.settings.rank) {
            return;
        }
        (self.settings.balancers, self.settings.rank) = (balancers, rank);
        for (tenant, bucket) in self.settings.tenants.iter().zip(&mut self.buckets) {
            let rate = tenant.quota_per_s / f64::from(balancers);
            bucket.resize(self.now, rate, rate.max(MIN_BURST));
        }
        self.stale = true;
        self.rebuild_if_due();
        self.dispatch();
    }
}
