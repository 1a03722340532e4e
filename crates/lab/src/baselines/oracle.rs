//! The oracle knows the real state of all servers: the bound for policies that select a server when a request
//! arrives.

use rand::Rng;
use rand_pcg::Pcg64;

use super::policy::{SelectionContext, ServerSelector};

/// The maximum number of servers that are compared; of more servers, this many are sampled.
const MAX_COMPARED: usize = 256;

/// The policy.
pub(super) struct Oracle {
    /// The assumed work of a request in microseconds.
    pub(super) work: f64,
}

impl ServerSelector for Oracle {
    fn select(&mut self, view: &SelectionContext<'_>, rng: &mut Pcg64) -> usize {
        let count = view.ready.len();
        let from = rng.random_range(0..count);
        let sojourn = |index: usize| view.truth.expected_sojourn(view.servers[index].id, self.work);
        let candidates: Vec<usize> = match count <= MAX_COMPARED {
            true => (0..count).map(|step| view.ready[(from + step) % count]).collect(),
            false => (0..MAX_COMPARED).map(|_| view.ready[rng.random_range(0..count)]).collect(),
        };
        let best = candidates.into_iter().min_by(|a, b| sojourn(*a).total_cmp(&sojourn(*b)));
        best.unwrap_or(view.ready[from])
    }
}
