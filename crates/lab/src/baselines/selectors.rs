//! Baselines that select servers by a node's own observations.

use cherryusher::Outcome;
use rand::Rng;
use rand_pcg::Pcg64;

use super::policy::{SelectionContext, ServerSelector, ServerView};
use crate::Micros;

/// Selects a server at random, all with the same probability.
pub(super) struct Random;

impl ServerSelector for Random {
    fn select(&mut self, view: &SelectionContext<'_>, rng: &mut Pcg64) -> usize {
        view.ready[rng.random_range(0..view.ready.len())]
    }
}

/// Selects servers in turn, from a random first one.
#[derive(Default)]
pub(super) struct RoundRobin {
    last: Option<usize>,
}

impl ServerSelector for RoundRobin {
    fn select(&mut self, view: &SelectionContext<'_>, rng: &mut Pcg64) -> usize {
        let at = self.last.map_or_else(|| rng.random_range(0..view.ready.len()), |at| at + 1);
        self.last = Some(at);
        view.ready[at % view.ready.len()]
    }
}

/// Selects the server with the fewest requests of this node in flight ("least connections"), optionally
/// relative to its weight (weighted least load, which approximates join-the-shortest-queue). Ties are broken
/// at random.
pub(super) struct LeastRequests {
    pub(super) weighted: bool,
}

impl ServerSelector for LeastRequests {
    fn select(&mut self, view: &SelectionContext<'_>, rng: &mut Pcg64) -> usize {
        let load = |index: usize| {
            let server = &view.servers[index];
            let weight = if self.weighted { server.weight } else { 1.0 };
            // With weights, the new request is counted too.
            (f64::from(server.in_flight) + if self.weighted { 1.0 } else { 0.0 }) / weight
        };
        let (mut best, mut least, mut ties) = (view.ready[0], f64::INFINITY, 0u32);
        for index in view.ready.iter().copied() {
            let load = load(index);
            if load < least {
                (best, least, ties) = (index, load, 1);
            } else if load == least {
                ties += 1;
                if rng.random_range(0..ties) == 0 {
                    best = index;
                }
            }
        }
        best
    }
}

fn sample_two(view: &SelectionContext<'_>, rng: &mut Pcg64) -> (usize, usize) {
    let count = view.ready.len();
    let first = rng.random_range(0..count);
    if count == 1 {
        return (view.ready[0], view.ready[0]);
    }
    let second = (first + rng.random_range(1..count)) % count;
    (view.ready[first], view.ready[second])
}

/// Selects the less loaded of two random servers, by requests of this node in flight (M. Mitzenmacher, The
/// Power of Two Choices in Randomized Load Balancing, 2001).
pub(super) struct TwoChoices;

impl ServerSelector for TwoChoices {
    fn select(&mut self, view: &SelectionContext<'_>, rng: &mut Pcg64) -> usize {
        let (a, b) = sample_two(view, rng);
        if view.servers[b].in_flight < view.servers[a].in_flight { b } else { a }
    }
}

/// Selects, of two random servers, the one with the lower product of latency and requests in flight, where
/// the latency estimate follows a rise at once and decays exponentially: "peak EWMA", as described for
/// Finagle and linkerd.
#[derive(Default)]
pub(super) struct PeakEwma {
    /// The latency estimate in microseconds (0 if unknown), and when it was updated, by server index.
    latencies: Vec<(f64, Micros)>,
}

/// The time constant of the latency's decay (10 s in the descriptions), and the cost of a server with unknown
/// latency while requests are in flight.
const DECAY_US: f64 = 10e6;
const UNKNOWN_LATENCY_COST: f64 = 1e6;

impl PeakEwma {
    fn cost(&self, view: &SelectionContext<'_>, index: usize) -> f64 {
        let (latency, at) = self.latencies.get(index).copied().unwrap_or_default();
        let out = f64::from(view.servers[index].in_flight);
        if latency == 0.0 {
            return if out > 0.0 { UNKNOWN_LATENCY_COST + out } else { 0.0 };
        }
        let age = view.now.saturating_sub(at) as f64;
        latency * (-age / DECAY_US).exp() * (out + 1.0)
    }
}

impl ServerSelector for PeakEwma {
    fn list_changed(&mut self, servers: &[ServerView]) {
        self.latencies.resize(servers.len(), (0.0, 0));
    }

    fn select(&mut self, view: &SelectionContext<'_>, rng: &mut Pcg64) -> usize {
        let (a, b) = sample_two(view, rng);
        if self.cost(view, b) < self.cost(view, a) { b } else { a }
    }

    fn attempt_ended(&mut self, now: Micros, server: usize, _: Outcome, took: Micros) {
        let Some((latency, at)) = self.latencies.get_mut(server) else { return };
        let took = took as f64;
        let decay = (-(now.saturating_sub(*at) as f64) / DECAY_US).exp();
        *latency = if took > *latency { took } else { *latency * decay + took * (1.0 - decay) };
        *at = now;
    }
}

/// Deterministic subsetting (Site Reliability Engineering, 2016, chapter 20): the nodes of a round divide the
/// shuffled servers among themselves. Each node selects the servers of its subset in turn.
pub(super) struct Subset {
    rank: u64,
    nodes: u64,
    size: usize,
    subset: Vec<usize>,
    last: usize,
}

impl Subset {
    pub(super) fn new(rank: u32, nodes: u32, size: usize) -> Subset {
        Subset { rank: rank.into(), nodes: nodes.into(), size, subset: Vec::new(), last: 0 }
    }
}

impl ServerSelector for Subset {
    fn list_changed(&mut self, servers: &[ServerView]) {
        let mut all: Vec<usize> = (0..servers.len()).filter(|index| servers[*index].ready).collect();
        let subsets = (all.len() / self.size.max(1)).max(1) as u64;
        let (round, subset_number) = (self.rank / subsets, self.rank % subsets);
        // All nodes of a round shuffle alike: by server ids, not by the order in which they learned of the
        // servers.
        all.sort_by_key(|index| {
            let mix = servers[*index].id ^ round.wrapping_mul(0xd1b5_4a32_d192_ed03);
            (
                mix.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(31).wrapping_mul(0x94d0_49bb_1331_11eb),
                *index,
            )
        });
        let from = subset_number as usize * all.len() / subsets as usize;
        let to = (subset_number as usize + 1) * all.len() / subsets as usize;
        self.subset = all[from..to].to_vec();
        self.last = (self.rank * self.subset.len() as u64 / self.nodes.max(1)) as usize;
    }

    fn select(&mut self, view: &SelectionContext<'_>, _: &mut Pcg64) -> usize {
        self.last += 1;
        match self.subset.is_empty() {
            true => view.ready[self.last % view.ready.len()],
            false => self.subset[self.last % self.subset.len()],
        }
    }
}
