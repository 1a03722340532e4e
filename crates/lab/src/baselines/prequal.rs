//! Prequal (B. Wydrowski and others, Load is not what you should balance, NSDI 2024): a pool of answers to
//! probes, from which the hot-cold lexicographic rule selects. A probe returns the number of requests at a
//! server and the expected latency; its cost at the server is not modelled.

use std::collections::VecDeque;

use rand::Rng;
use rand_pcg::Pcg64;

use super::policy::{SelectionContext, ServerSelector};
use crate::Micros;

/// As in the paper: three probes per request, a pool of 16 answers that expire after a second; a server is
/// hot above this quantile of the number of requests.
const PROBES_PER_REQUEST: usize = 3;
const POOL_SIZE: usize = 16;
const MAX_ANSWER_AGE: Micros = 1_000_000;
const HOT_QUANTILE: f64 = 0.84;
/// The maximum number of selections by one answer.
const MAX_USES: u32 = 2;

#[derive(Clone, Copy)]
struct ProbeAnswer {
    index: usize,
    at: Micros,
    load: f64,
    latency: f64,
    uses: u32,
}

/// The policy.
pub(super) struct Prequal {
    /// The round-trip time of a probe.
    round_trip: Micros,
    pending: VecDeque<ProbeAnswer>,
    pool: VecDeque<ProbeAnswer>,
    /// Whether the last removal took the worst answer; requests remove the worst and the oldest in turn.
    removed_worst: bool,
}

impl Prequal {
    pub(super) fn new(round_trip: Micros) -> Prequal {
        Prequal { round_trip, pending: VecDeque::new(), pool: VecDeque::new(), removed_worst: false }
    }

    fn threshold(&self) -> f64 {
        let mut loads: Vec<f64> = self.pool.iter().map(|answer| answer.load).collect();
        loads.sort_by(f64::total_cmp);
        loads.get((HOT_QUANTILE * loads.len() as f64) as usize).copied().unwrap_or(f64::INFINITY)
    }

    /// The sort key of an answer, better ones first: cold before hot; cold ones by latency, hot ones by load.
    fn sort_key(answer: &ProbeAnswer, threshold: f64) -> (bool, f64) {
        let hot = answer.load >= threshold && answer.load > 0.0;
        (hot, if hot { answer.load } else { answer.latency })
    }

    fn find(&self, threshold: f64, worst: bool) -> Option<usize> {
        let order = |a: &ProbeAnswer, b: &ProbeAnswer| {
            let (a, b) = (Prequal::sort_key(a, threshold), Prequal::sort_key(b, threshold));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        };
        let all = self.pool.iter().enumerate();
        let found =
            if worst { all.max_by(|a, b| order(a.1, b.1)) } else { all.min_by(|a, b| order(a.1, b.1)) };
        found.map(|(at, _)| at)
    }
}

impl ServerSelector for Prequal {
    fn select(&mut self, view: &SelectionContext<'_>, rng: &mut Pcg64) -> usize {
        while self.pending.front().is_some_and(|answer| answer.at + self.round_trip <= view.now) {
            self.pool.extend(self.pending.pop_front());
        }
        // The pool keeps only the last answer of each server.
        let last: Vec<ProbeAnswer> = self.pool.drain(..).collect();
        for (at, answer) in last.iter().enumerate() {
            let fresh = answer.at + MAX_ANSWER_AGE > view.now
                && answer.uses < MAX_USES
                && view.servers[answer.index].ready;
            if fresh && !last[at + 1..].iter().any(|later| later.index == answer.index) {
                self.pool.push_back(*answer);
            }
        }
        while self.pool.len() > POOL_SIZE {
            self.pool.pop_front();
        }
        for _ in 0..PROBES_PER_REQUEST {
            let index = view.ready[rng.random_range(0..view.ready.len())];
            if let Some((load, latency)) = view.truth.probe(view.servers[index].id) {
                self.pending.push_back(ProbeAnswer { index, at: view.now, load, latency, uses: 0 });
            }
        }
        let threshold = self.threshold();
        let Some(best) = self.find(threshold, false) else {
            return view.ready[rng.random_range(0..view.ready.len())];
        };
        let index = self.pool[best].index;
        self.pool[best].uses += 1;
        // Later selections take into account that the server has one more request.
        self.pool[best].load += 1.0;
        if self.pool.len() >= POOL_SIZE {
            self.removed_worst = !self.removed_worst;
            let remove = if self.removed_worst { self.find(threshold, true) } else { Some(0) };
            remove.and_then(|at| self.pool.remove(at));
        }
        index
    }
}
