//! The order in which a batch's parts run: as if one after the other, though what only reads runs at once.
//!
//! A part that may change something waits for all before it, and all behind it wait for it. After one that was not
//! served no other that may change something runs: the first may be running still, or its client will ask for it
//! again, and then it would be the later one.

/// How a part finish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartStatus {
    /// A server answered.
    Served,
    /// It did not run, or a repeat is harmless.
    Refused,
    /// It may have run.
    Failed,
    /// It was not to be passed on.
    Rejected,
    /// It was not begun, as one before it was not served.
    Skipped,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchStep {
    /// Send this part.
    Send(usize),
    /// Leave this part; it has finish as [`PartStatus::Skipped`].
    Skip(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waits,
    Out,
    Over(PartStatus),
}

/// The parts of one batch.
///
/// ```
/// use dunelink_graphql::{PartStatus, BatchSchedule, BatchStep};
///
/// // A query, two mutations and a query.
/// let mut order = BatchSchedule::new([true, false, false, true]);
/// assert_eq!(order.next(), [BatchStep::Send(0)]);
/// order.finish(0, PartStatus::Served);
/// assert_eq!(order.next(), [BatchStep::Send(1)]);
/// order.finish(1, PartStatus::Failed);
/// assert_eq!(order.next(), [BatchStep::Skip(2), BatchStep::Send(3)]);
/// order.finish(3, PartStatus::Served);
/// assert!(order.is_finished());
/// ```
#[derive(Clone, Debug)]
pub struct BatchSchedule {
    /// Whether a part only reads, and how it stands.
    parts: Vec<(bool, State)>,
    /// All parts before this one are over.
    from: usize,
    /// Whether one that may change something was not served.
    broken: bool,
}

impl BatchSchedule {
    /// Of parts of which it is known whether they only read.
    pub fn new(reads: impl IntoIterator<Item = bool>) -> BatchSchedule {
        let parts = reads.into_iter().map(|reads| (reads, State::Waits)).collect();
        BatchSchedule { parts, from: 0, broken: false }
    }

    /// What can be begun now, each once.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Vec<BatchStep> {
        let mut steps = Vec::new();
        let mut all_over = true;
        for at in self.from..self.parts.len() {
            let (reads, state) = self.parts[at];
            let begins = state == State::Waits && (reads || all_over);
            if begins && !reads && self.broken {
                self.parts[at].1 = State::Over(PartStatus::Skipped);
                steps.push(BatchStep::Skip(at));
            } else if begins {
                self.parts[at].1 = State::Out;
                steps.push(BatchStep::Send(at));
            }
            let over = matches!(self.parts[at].1, State::Over(_));
            if over && all_over {
                self.from = at + 1;
            }
            all_over &= over;
            // What is behind one that may change something waits for it.
            if !over && !reads {
                break;
            }
        }
        steps
    }

    /// A part that was sent has finish; another end of it is passed over.
    pub fn finish(&mut self, at: usize, end: PartStatus) {
        let Some((reads, state)) = self.parts.get_mut(at) else { return };
        if *state == State::Out {
            *state = State::Over(end);
            self.broken |= !*reads && end != PartStatus::Served;
        }
    }

    /// Whether all parts have finish.
    pub fn is_finished(&self) -> bool {
        self.parts.iter().all(|(_, state)| matches!(state, State::Over(_)))
    }
}
