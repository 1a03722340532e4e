//! Shrinks a case that violates an invariant.

use std::time::Duration;

use crate::experiment::Case;
use crate::invariants::Violation;
use crate::metrics::RunMetrics;

/// Shrinks a case that violates an invariant to fewer faults, fewer nodes and a shorter span, as long as the
/// same invariant is violated. Returns `None` if the case violates none. `run` runs a case.
pub fn shrink_case(case: &Case, run: &dyn Fn(&Case) -> RunMetrics) -> Option<(Case, Violation)> {
    let first = run(case).violations.into_iter().next()?;
    let invariant = first.invariant;
    let violates =
        |case: &Case| run(case).violations.into_iter().find(|violation| violation.invariant == invariant);
    let (mut smallest, mut violation) = (case.clone(), first);
    // The first violation does not depend on later events.
    let mut shortened = smallest.clone();
    shortened.experiment.span = Duration::from_secs_f64(violation.at.max(0.01)).min(smallest.experiment.span);
    shortened.experiment.settle = Duration::ZERO;
    if let Some(found) = violates(&shortened) {
        (smallest, violation) = (shortened, found);
    }
    let mut index = 0;
    while index < smallest.experiment.faults.len() {
        let mut candidate = smallest.clone();
        candidate.experiment.faults.remove(index);
        match violates(&candidate) {
            Some(found) => (smallest, violation) = (candidate, found),
            None => index += 1,
        }
    }
    while smallest.experiment.nodes.count > 1 {
        let mut candidate = smallest.clone();
        candidate.experiment.nodes.count /= 2;
        let Some(found) = violates(&candidate) else { break };
        (smallest, violation) = (candidate, found);
    }
    // Binary search for the shortest span with a violation.
    let (mut too_short, mut sufficient) = (0.0, smallest.experiment.span.as_secs_f64());
    for _ in 0..12 {
        let mut candidate = smallest.clone();
        let middle = (too_short + sufficient) / 2.0;
        candidate.experiment.span = Duration::from_secs_f64(middle.max(0.01));
        match violates(&candidate) {
            Some(found) => (sufficient, smallest, violation) = (middle, candidate, found),
            None => too_short = middle,
        }
        if sufficient - too_short < 0.01 {
            break;
        }
    }
    Some((smallest, violation))
}
