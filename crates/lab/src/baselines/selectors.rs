//! Rivals that choose by what a node sees by itself.

use cherryusher::Outcome;
use rand::Rng;
use rand_pcg::Pcg64;

use super::policy::{SelectionContext, ServerSelector, ServerView};
use crate::Micros;

/// Any, with equal chance.
pub(super) struct Random;

impl ServerSelector for Random {
    fn select(&mut self, view: &SelectionContext<'_>, rng: &mut Pcg64) -> usize {
        view.ready[rng.random_range(0..view.ready.len())]
    }
}

/// Each in turn; a node begins anywhere.
#[derive(Default)]
pub(super) struct RoundRobin {
    at: Option<usize>,
}

impl ServerSelector for RoundRobin {
    fn select(&mut self, view: &SelectionContext<'_>, rng: &mut Pcg64) -> usize {
        let at = self.at.map_or_else(|| rng.random_range(0..view.ready.len()), |at| at + 1);
        self.at = Some(at);
        view.ready[at % view.ready.len()]
    }
}

/// The one with the fewest requests of this node, against its weight where those count: "least connections", and with
/// weights the weighted least load by which join-the-shrink-queue is approached. Ties fall to chance.
pub(super) struct LeastRequests {
    pub(super) weighted: bool,
}

impl ServerSelector for LeastRequests {
    fn select(&mut self, view: &SelectionContext<'_>, rng: &mut Pcg64) -> usize {
        let load = |place: usize| {
            let server = &view.servers[place];
            let weight = if self.weighted { server.weight } else { 1.0 };
            // One more would be there.
            (f64::from(server.in_flight) + if self.weighted { 1.0 } else { 0.0 }) / weight
        };
        let (mut best, mut least, mut ties) = (view.ready[0], f64::INFINITY, 0u32);
        for place in view.ready.iter().copied() {
            let load = load(place);
            if load < least {
                (best, least, ties) = (place, load, 1);
            } else if load == least {
                ties += 1;
                if rng.random_range(0..ties) == 0 {
                    best = place;
                }
            }
        }
        best
    }
}

fn two(view: &SelectionContext<'_>, rng: &mut Pcg64) -> (usize, usize) {
    let count = view.ready.len();
    let first = rng.random_range(0..count);
    if count == 1 {
        return (view.ready[0], view.ready[0]);
    }
    let second = (first + rng.random_range(1..count)) % count;
    (view.ready[first], view.ready[second])
}

/// The less loaded of two random ones, by requests of this node (M. Mitzenmacher, The Power of Two Choices in
/// Randomized Load Balancing, 2001).
pub(super) struct TwoChoices;

impl ServerSelector for TwoChoices {
    fn select(&mut self, view: &SelectionContext<'_>, rng: &mut Pcg64) -> usize {
        let (a, b) = two(view, rng);
        if view.servers[b].in_flight < view.servers[a].in_flight { b } else { a }
    }
}

/// Of two random ones that with the lesser latency times requests out, where latency follows a rise at once and falls
/// exponentially: "peak EWMA", as described for Finagle and linkerd.
#[derive(Default)]
pub(super) struct PeakEwma {
    /// Latency and when it was known, by place.
    known: Vec<(f64, Micros)>,
}

/// How fast latency is forgotten (10 s in the descriptions), and what an unknown one is held to be while requests are
/// out.
const DECAY: f64 = 10e6;
const UNKNOWN: f64 = 1e6;

impl PeakEwma {
    fn cost(&self, view: &SelectionContext<'_>, place: usize) -> f64 {
        let (latency, at) = self.known.get(place).copied().unwrap_or_default();
        let out = f64::from(view.servers[place].in_flight);
        if latency == 0.0 {
            return if out > 0.0 { UNKNOWN + out } else { 0.0 };
        }
        let age = view.now.saturating_sub(at) as f64;
        latency * (-age / DECAY).exp() * (out + 1.0)
    }
}

impl ServerSelector for PeakEwma {
    fn list_changed(&mut self, servers: &[ServerView]) {
        self.known.resize(servers.len(), (0.0, 0));
    }

    fn select(&mut self, view: &SelectionContext<'_>, rng: &mut Pcg64) -> usize {
        let (a, b) = two(view, rng);
        if self.cost(view, b) < self.cost(view, a) { b } else { a }
    }

    fn attempt_ended(&mut self, now: Micros, server: usize, _: Outcome, took: Micros) {
        let Some((latency, at)) = self.known.get_mut(server) else { return };
        let took = took as f64;
        let keeps = (-(now.saturating_sub(*at) as f64) / DECAY).exp();
        *latency = if took > *latency { took } else { *latency * keeps + took * (1.0 - keeps) };
        *at = now;
    }
}

/// Deterministic subsetting (Site Reliability Engineering, 2016, chapter 20): nodes in rounds share shuffled servers
/// out, each node its own few; among them in turn.
pub(super) struct Subset {
    rank: u64,
    nodes: u64,
    size: usize,
    mine: Vec<usize>,
    at: usize,
}

impl Subset {
    pub(super) fn new(rank: u32, nodes: u32, size: usize) -> Subset {
        Subset { rank: rank.into(), nodes: nodes.into(), size, mine: Vec::new(), at: 0 }
    }
}

impl ServerSelector for Subset {
    fn list_changed(&mut self, servers: &[ServerView]) {
        let mut all: Vec<usize> = (0..servers.len()).filter(|place| servers[*place].ready).collect();
        let subsets = (all.len() / self.size.max(1)).max(1) as u64;
        let (round, number) = (self.rank / subsets, self.rank % subsets);
        // All nodes of a round shuffle alike: by names, not by what they happen to know first.
        all.sort_by_key(|place| {
            let mix = servers[*place].id ^ round.wrapping_mul(0xd1b5_4a32_d192_ed03);
            (
                mix.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(31).wrapping_mul(0x94d0_49bb_1331_11eb),
                *place,
            )
        });
        let from = number as usize * all.len() / subsets as usize;
        let to = (number as usize + 1) * all.len() / subsets as usize;
        self.mine = all[from..to].to_vec();
        self.at = (self.rank * self.mine.len() as u64 / self.nodes.max(1)) as usize;
    }

    fn select(&mut self, view: &SelectionContext<'_>, _: &mut Pcg64) -> usize {
        self.at += 1;
        match self.mine.is_empty() {
            true => view.ready[self.at % view.ready.len()],
            false => self.mine[self.at % self.mine.len()],
        }
    }
}
