//! Invariants, checked outside the decision module: each request gets one reply and in time, no effect
//! happens twice, nothing new is sent to a draining server, and no cold server is overloaded.

use serde::Serialize;

use crate::Micros;
use crate::experiment::Effect;

/// The maximum number of violations that are recorded with details; all are counted.
const MAX_RECORDED: usize = 20;
/// How long after a node learns that a server is draining or gone new attempts may still be sent to it.
pub(crate) const DRAIN_GRACE: Micros = 1_000_000;
/// How long a cell deduplicates repeats of an idempotency key.
pub(crate) const KEY_WINDOW: Micros = 10_000_000;

/// A property that must hold in every run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// A request got no reply before the client's deadline.
    NoAnswer,
    /// A request got a second reply.
    TwoAnswers,
    /// An unsafe request ran twice, or a keyed one ran in another cell or outside the deduplication window.
    RanTwice,
    /// A request that ran, or still may run, was refused as harmless to repeat.
    RefusedAfterRunning,
    /// An attempt was sent to a server over 1 s after the node learned that it is draining or gone.
    SentToDraining,
    /// A cold server was overloaded by the attempts of all nodes together.
    PushedOver,
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The violated invariant.
    #[serde(rename = "rule")]
    pub invariant: Invariant,
    /// The time in seconds from the start.
    pub at: f64,
    /// A description of the cause.
    #[serde(rename = "what")]
    pub cause: String,
}

/// The executions of a request so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct ExecutionHistory {
    count: u32,
    first_cell: u16,
    first_sent: Micros,
}

/// Checks invariants and records violations.
#[derive(Debug, Default)]
pub(crate) struct InvariantChecks {
    pub(crate) violations: Vec<Violation>,
    pub(crate) count: u64,
}

impl InvariantChecks {
    pub(crate) fn report(&mut self, invariant: Invariant, at: Micros, cause: impl FnOnce() -> String) {
        self.count += 1;
        if self.violations.len() < MAX_RECORDED {
            self.violations.push(Violation { invariant, at: at as f64 / 1e6, cause: cause() });
        }
    }

    /// Records that a server of this cell starts to execute a request, and checks that this is harmless.
    pub(crate) fn record_execution(
        &mut self,
        now: Micros,
        request: u64,
        effect: Effect,
        history: &mut ExecutionHistory,
        cell: u16,
        sent: Micros,
    ) {
        if history.count == 0 {
            *history = ExecutionHistory { count: 1, first_cell: cell, first_sent: sent };
            return;
        }
        history.count += 1;
        let harmless = match effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed => {
                cell == history.first_cell && now.saturating_sub(history.first_sent) <= KEY_WINDOW
            }
        };
        if !harmless {
            self.report(Invariant::RanTwice, now, || {
                format!("request {request}, run {} in cell {cell}", history.count)
            });
        }
    }
}

impl ExecutionHistory {
    pub(crate) fn has_run(&self) -> bool {
        self.count > 0
    }
}
