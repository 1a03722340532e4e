//! The order in which the parts of a batch run: the result is that of running them one after the other, but
//! consecutive read-only parts run concurrently.
//!
//! A part that is not read-only starts after all earlier parts have finished, and all later parts wait for
//! it. If it is not served, no later part that isn't read-only runs: the failed part may still be running, or
//! its client may send it again, and it would then run after the later part.

/// The final status of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartStatus {
    /// A server answered it.
    Served,
    /// It did not run, or running it again is harmless.
    Refused,
    /// It may have run.
    Failed,
    /// It was rejected and not sent to a server.
    Rejected,
    /// It was not started, because an earlier part was not served.
    Skipped,
}

/// An action for the caller, with the index of the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchStep {
    /// Send this part.
    Send(usize),
    /// Don't send this part; its status is [`PartStatus::Skipped`].
    Skip(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Pending,
    InFlight,
    Finished(PartStatus),
}

/// The state of the parts of one batch.
///
/// ```
/// use dunelink_graphql::{BatchSchedule, BatchStep, PartStatus};
///
/// // A query, two mutations and a query.
/// let mut schedule = BatchSchedule::new([true, false, false, true]);
/// assert_eq!(schedule.next(), [BatchStep::Send(0)]);
/// schedule.finish(0, PartStatus::Served);
/// assert_eq!(schedule.next(), [BatchStep::Send(1)]);
/// schedule.finish(1, PartStatus::Failed);
/// assert_eq!(schedule.next(), [BatchStep::Skip(2), BatchStep::Send(3)]);
/// schedule.finish(3, PartStatus::Served);
/// assert!(schedule.is_finished());
/// ```
#[derive(Clone, Debug)]
pub struct BatchSchedule {
    /// For each part, whether it is read-only, and its state.
    parts: Vec<(bool, State)>,
    /// All parts before this index have finished.
    first_unfinished: usize,
    /// Whether a part that isn't read-only has finished without being served.
    write_failed: bool,
}

impl BatchSchedule {
    /// Creates the schedule of a batch; the items say for each part whether it is read-only.
    pub fn new(read_only: impl IntoIterator<Item = bool>) -> BatchSchedule {
        let parts = read_only.into_iter().map(|read_only| (read_only, State::Pending)).collect();
        BatchSchedule { parts, first_unfinished: 0, write_failed: false }
    }

    /// The parts that can start or must be skipped now; each part is returned once.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Vec<BatchStep> {
        let mut steps = Vec::new();
        let mut earlier_finished = true;
        for index in self.first_unfinished..self.parts.len() {
            let (read_only, state) = self.parts[index];
            let can_start = state == State::Pending && (read_only || earlier_finished);
            if can_start && !read_only && self.write_failed {
                self.parts[index].1 = State::Finished(PartStatus::Skipped);
                steps.push(BatchStep::Skip(index));
            } else if can_start {
                self.parts[index].1 = State::InFlight;
                steps.push(BatchStep::Send(index));
            }
            let finished = matches!(self.parts[index].1, State::Finished(_));
            if finished && earlier_finished {
                self.first_unfinished = index + 1;
            }
            earlier_finished &= finished;
            // Later parts wait for a part that isn't read-only.
            if !finished && !read_only {
                break;
            }
        }
        steps
    }

    /// Records the status of a part that was sent; ignored if the part is not in flight.
    pub fn finish(&mut self, index: usize, status: PartStatus) {
        let Some((read_only, state)) = self.parts.get_mut(index) else { return };
        if *state == State::InFlight {
            *state = State::Finished(status);
            self.write_failed |= !*read_only && status != PartStatus::Served;
        }
    }

    /// Whether all parts have finished.
    pub fn is_finished(&self) -> bool {
        self.parts.iter().all(|(_, state)| matches!(state, State::Finished(_)))
    }
}
