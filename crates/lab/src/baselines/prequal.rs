//! Prequal (B. Wydrowski and others, Load is not what you should balance, NSDI 2024): a pool of answers to probes, and of
//! those the hot-cold lexicographic rule. A probe tells how many requests a server has and how long one would take; its
//! cost at the server is not modelled.

use std::collections::VecDeque;

use rand::Rng;
use rand_pcg::Pcg64;

use super::policy::{SelectionContext, ServerSelector};
use crate::Micros;

/// By the paper: three probes a request, 16 answers kept for a second; a server is hot over this quantile of requests.
const PROBES: usize = 3;
const POOL: usize = 16;
const KEPT_FOR: Micros = 1_000_000;
const HOT: f64 = 0.84;
/// How often an answer is used.
const USES: u32 = 2;

#[derive(Clone, Copy)]
struct Answer {
    place: usize,
    at: Micros,
    load: f64,
    latency: f64,
    uses: u32,
}

/// The policy.
pub(super) struct Prequal {
    /// How long a probe is under way, there and back.
    trip: Micros,
    pending: VecDeque<Answer>,
    pool: VecDeque<Answer>,
    /// The worst is removed in turn with the oldest, once a request.
    turn: bool,
}

impl Prequal {
    pub(super) fn new(trip: Micros) -> Prequal {
        Prequal { trip, pending: VecDeque::new(), pool: VecDeque::new(), turn: false }
    }

    fn threshold(&self) -> f64 {
        let mut loads: Vec<f64> = self.pool.iter().map(|answer| answer.load).collect();
        loads.sort_by(f64::total_cmp);
        loads.get((HOT * loads.len() as f64) as usize).copied().unwrap_or(f64::INFINITY)
    }

    /// Whether one answer is worse than another: hot ones are, the more loaded or else the slower first.
    fn key(answer: &Answer, threshold: f64) -> (bool, f64) {
        let hot = answer.load >= threshold && answer.load > 0.0;
        (hot, if hot { answer.load } else { answer.latency })
    }

    fn best(&self, threshold: f64, worst: bool) -> Option<usize> {
        let order = |a: &Answer, b: &Answer| {
            let (a, b) = (Prequal::key(a, threshold), Prequal::key(b, threshold));
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
        while self.pending.front().is_some_and(|answer| answer.at + self.trip <= view.now) {
            self.pool.extend(self.pending.pop_front());
        }
        // A server has one answer in the pool, the last.
        let last: Vec<Answer> = self.pool.drain(..).collect();
        for (at, answer) in last.iter().enumerate() {
            let fresh =
                answer.at + KEPT_FOR > view.now && answer.uses < USES && view.servers[answer.place].ready;
            if fresh && !last[at + 1..].iter().any(|later| later.place == answer.place) {
                self.pool.push_back(*answer);
            }
        }
        while self.pool.len() > POOL {
            self.pool.pop_front();
        }
        for _ in 0..PROBES {
            let place = view.ready[rng.random_range(0..view.ready.len())];
            if let Some((load, latency)) = view.truth.probe(view.servers[place].id) {
                self.pending.push_back(Answer { place, at: view.now, load, latency, uses: 0 });
            }
        }
        let threshold = self.threshold();
        let Some(best) = self.best(threshold, false) else {
            return view.ready[rng.random_range(0..view.ready.len())];
        };
        let place = self.pool[best].place;
        self.pool[best].uses += 1;
        // It will have one more, which later choices should know.
        self.pool[best].load += 1.0;
        if self.pool.len() >= POOL {
            self.turn = !self.turn;
            let remove = if self.turn { self.best(threshold, true) } else { Some(0) };
            remove.and_then(|at| self.pool.remove(at));
        }
        place
    }
}
