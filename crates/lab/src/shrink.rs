//! The shortest time line that still breaks a rule.

use std::time::Duration;

use crate::experiment::Case;
use crate::invariants::Violation;
use crate::metrics::RunMetrics;

/// Shrinks a case that breaks a rule: fewer troubles, fewer nodes and a shorter span, as long as the same rule is broken.
/// Nothing if none is. `play` plays a case.
pub fn shrink_case(case: &Case, play: &dyn Fn(&Case) -> RunMetrics) -> Option<(Case, Violation)> {
    let first = play(case).violations.into_iter().next()?;
    let rule = first.rule;
    let breaks = |case: &Case| play(case).violations.into_iter().find(|breach| breach.rule == rule);
    let (mut best, mut breach) = (case.clone(), first);
    // The first breach does not depend on what comes after it.
    let mut cut = best.clone();
    cut.experiment.span = Duration::from_secs_f64(breach.at.max(0.01)).min(best.experiment.span);
    cut.experiment.settle = Duration::ZERO;
    if let Some(still) = breaks(&cut) {
        (best, breach) = (cut, still);
    }
    let mut at = 0;
    while at < best.experiment.faults.len() {
        let mut less = best.clone();
        less.experiment.faults.remove(at);
        match breaks(&less) {
            Some(still) => (best, breach) = (less, still),
            None => at += 1,
        }
    }
    while best.experiment.nodes.count > 1 {
        let mut less = best.clone();
        less.experiment.nodes.count /= 2;
        let Some(still) = breaks(&less) else { break };
        (best, breach) = (less, still);
    }
    // Halve the span while that is enough, then look between.
    let (mut fails, mut holds) = (0.0, best.experiment.span.as_secs_f64());
    for _ in 0..12 {
        let mut less = best.clone();
        let middle = (fails + holds) / 2.0;
        less.experiment.span = Duration::from_secs_f64(middle.max(0.01));
        match breaks(&less) {
            Some(still) => (holds, best, breach) = (middle, less, still),
            None => fails = middle,
        }
        if holds - fails < 0.01 {
            break;
        }
    }
    Some((best, breach))
}
