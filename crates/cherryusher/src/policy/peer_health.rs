//! What nodes tell each other: what this one has seen of servers, and what the word of others does here.
//!
//! Hearsay alone never takes a server out of use: it lowers its part of the work, to a quarter at most, and
//! makes own silent attempts count for more. Own answers that come as usual speak against it. Nothing of what
//! is told on comes from hearsay, so that a rumour does not feed itself.

use super::*;

/// The part of its work that a server loses to the most doubt.
const DOUBT_MOST: f64 = 0.75;
/// That much of the doubt counts against own answers that come as usual.
const OWN_PROOF: f64 = 0.5;
/// For how long a server is left alone after an own attempt there was silent, at the most doubt (outlier
/// ejection).
const STAY: f64 = 2_000_000.0;
/// For how long hearsay counts that is not said again.
const HEARSAY: Micros = 3_000_000;
/// Answers are lately while the last one is younger than this; and so many of them prove something.
const LATELY: Micros = 1_000_000;
const PROOF: f64 = 4.0;
/// From and to which multiple of the usual time an attempt is more and more silent, while nothing else comes
/// from its server.
const SILENT: (f64, f64) = (4.0, 8.0);
/// From and to which pace a server is more and more suspect; how many failures beyond the usual make it
/// wholly so.
const SLOW: (f64, f64) = (1.5, 3.5);
const FAILS: f64 = 4.0;

impl Balancer {
    /// Takes in all that others say; of whom nothing is said there is no doubt.
    pub(super) fn heard(&mut self, doubts: &[PeerSuspicion]) {
        if doubts.is_empty() && !self.doubting {
            return;
        }
        self.doubting = !doubts.is_empty();
        self.servers.iter_mut().for_each(|s| s.doubt = 0.0);
        for told in doubts {
            if let Some(i) = self.find(told.server) {
                let server = &mut self.servers[i];
                // What is no number is no doubt.
                server.doubt = if told.level > 0.0 { told.level.min(1.0) } else { 0.0 };
                server.doubted_at = self.now;
            }
        }
        self.heard_at = self.now;
        for p in 0..self.pools.len() {
            let members = &self.pools[p].members;
            let sum: f64 = members.iter().map(|i| self.servers[*i].doubt).sum();
            self.pools[p].doubt = sum / members.len().max(1) as f64;
        }
    }

    /// The part of its draws that a server keeps for what others say, from a quarter to all. Comparisons go
    /// by own counts alone: there a little doubt would lose every tie.
    pub(super) fn trust(&self, i: usize) -> f64 {
        1.0 - DOUBT_MOST * self.doubt(i).max(self.doubt_around(i))
    }

    /// A starting server gains nothing from doubts about the others: they would push it over.
    fn doubt_around(&self, i: usize) -> f64 {
        let s = &self.servers[i];
        if self.now.saturating_sub(self.heard_at) >= HEARSAY || self.ramp(&s.entry) >= 1.0 {
            return 0.0;
        }
        s.pool.map_or(0.0, |p| self.pools[p].doubt).max(self.everyone().doubt)
    }

    /// What is left of what others say, after its age and what own answers say against it.
    fn doubt(&self, i: usize) -> f64 {
        let s = &self.servers[i];
        if s.doubt == 0.0 || self.now.saturating_sub(s.doubted_at) >= HEARSAY {
            return 0.0;
        }
        let counts = if self.proves(i) && s.pace_at(self.now) < SLOW.0 { OWN_PROOF } else { 1.0 };
        s.doubt * counts
    }

    /// Whether its own answers tell of a server now.
    fn proves(&self, i: usize) -> bool {
        let s = &self.servers[i];
        self.now.saturating_sub(s.answered_at) < LATELY && s.answers.now(self.now) >= PROOF
    }

    /// How silent a server is, by an attempt that was out from then until now, from 0 to 1.
    fn quiet(&self, class: usize, to: ServerId, now: Micros, sent_at: Micros) -> f64 {
        let usual = self.times[class].usual.max(1.0);
        let since = self.find(to).map_or(sent_at, |i| self.servers[i].answered_at.max(sent_at));
        let waited = now.saturating_sub(since) as f64 / usual;
        if waited < SILENT.0 { 0.0 } else { (waited / SILENT.1).min(1.0) }
    }

    /// An attempt has ended: what was given up in silence is kept in mind, an answer ends that. Where others
    /// say the same of a server, one own silence is enough to leave it alone for a while.
    pub(super) fn hushed(&mut self, i: usize, class: usize, end: &AttemptEnd) {
        let (now, id) = (self.now, self.servers[i].entry.id);
        match end.outcome {
            Outcome::Served => self.servers[i].silences = Fading::default(),
            Outcome::Cancelled | Outcome::TimedOut => {
                let quiet = self.quiet(class, id, now, now.saturating_sub(end.elapsed));
                let stay = quiet * self.doubt(i) * STAY;
                let server = &mut self.servers[i];
                server.silences.add(now, quiet);
                server.avoid_until = server.avoid_until.max(now + stay as Micros);
            }
            _ => {}
        }
    }

    /// What this node has seen of the servers that it sent to lately.
    pub(crate) fn seen(&self, now: Micros) -> Vec<ServerObservation> {
        let mut silent: HashMap<ServerId, (u32, f64)> = HashMap::new();
        for job in self.jobs.values() {
            for a in job.attempts.iter().filter(|a| a.fate == Fate::Out && a.in_hand) {
                let quiet = self.quiet(job.ask.class, a.to.id, now, a.sent_at);
                let (count, sum) = silent.entry(a.to.id).or_default();
                (*count, *sum) = (*count + u32::from(quiet > 0.0), *sum + quiet);
            }
        }
        let members = self.everyone().members.iter().filter(|i| self.servers[**i].pool.is_some());
        let sight = |i: usize| {
            let s = &self.servers[i];
            let (quiet, sum) = silent.get(&s.entry.id).copied().unwrap_or_default();
            let silences = s.silences.now(now);
            let (answers, excess) = (s.answers.now(now), self.excess(i));
            // A starting server is slow for a reason that all know.
            let slow = (s.pace_at(now) * self.ramp(&s.entry) - SLOW.0) / (SLOW.1 - SLOW.0);
            let suspicion = slow.max(sum + silences).max(excess / FAILS).clamp(0.0, 1.0);
            let lately = now.saturating_sub(s.answered_at) < LATELY;
            ServerObservation {
                server: s.entry.id,
                suspicion,
                recent_answers: if lately { answers as u32 } else { 0 },
                sample_count: quiet + (answers + excess + silences) as u32,
            }
        };
        let tried = |i: &usize| {
            let s = &self.servers[*i];
            s.in_flight > 0 || now.saturating_sub(s.last_sent) < MEMORY as Micros
        };
        members.copied().filter(tried).map(sight).collect()
    }

    /// The work is shared by another number of nodes from now on.
    pub(super) fn fleet_changed(&mut self, balancers: u32, rank: u32) {
        if balancers == 0 || (balancers, rank) == (self.settings.balancers, self.settings.rank) {
            return;
        }
        (self.settings.balancers, self.settings.rank) = (balancers, rank);
        for (tenant, bucket) in self.settings.tenants.iter().zip(&mut self.buckets) {
            let part = tenant.quota_per_s / f64::from(balancers);
            bucket.change(self.now, part, part.max(DEPTH_LEAST));
        }
        self.stale = true;
        self.build_if_due();
        self.dispatch();
    }
}
