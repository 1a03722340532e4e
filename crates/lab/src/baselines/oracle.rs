//! Who sees how long each server would take: the limit for whoever chooses when a request comes.

use rand::Rng;
use rand_pcg::Pcg64;

use super::policy::{SelectionContext, ServerSelector};

/// So many servers are all looked at; of more, as many at random.
const ALL: usize = 256;

/// The policy.
pub(super) struct Oracle {
    /// What a request is held to take.
    pub(super) work: f64,
}

impl ServerSelector for Oracle {
    fn select(&mut self, view: &SelectionContext<'_>, rng: &mut Pcg64) -> usize {
        let count = view.ready.len();
        let from = rng.random_range(0..count);
        let sojourn = |place: usize| view.truth.expected_sojourn(view.servers[place].id, self.work);
        let looked: Vec<usize> = match count <= ALL {
            true => (0..count).map(|step| view.ready[(from + step) % count]).collect(),
            false => (0..ALL).map(|_| view.ready[rng.random_range(0..count)]).collect(),
        };
        let best = looked.into_iter().min_by(|a, b| sojourn(*a).total_cmp(&sojourn(*b)));
        best.unwrap_or(view.ready[from])
    }
}
