//! The rules, checked from outside the module: one answer each and in time, no effect twice, nothing new to who drains,
//! no cold server pushed over.

use serde::Serialize;

use crate::Micros;
use crate::experiment::Effect;

/// Breaches that are told one by one; all are counted.
const TOLD: usize = 20;
/// How long after hearing that a server drains or is gone something new may still go there.
pub(crate) const GRACE: Micros = 1_000_000;
/// For how long a cell drops a key's repeats.
pub(crate) const KEY_WINDOW: Micros = 10_000_000;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// A request had no final answer within its time.
    NoAnswer,
    /// A request had a second final answer.
    TwoAnswers,
    /// An unsafe request ran twice, or a keyed one where it is not known, or too late.
    RanTwice,
    /// A request was answered as harmless to repeat that ran, or still may.
    RefusedAfterRunning,
    /// Something new went to a server over 1 s after the node had heard that it drains or is gone.
    SentToDraining,
    /// A cold server was sent more than it bears, by all nodes together.
    PushedOver,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// TargetSelector.
    pub rule: Invariant,
    /// When, in seconds from the start.
    pub at: f64,
    /// By what.
    pub what: String,
}

/// What a request's runs have been so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Runs {
    count: u32,
    cell: u16,
    first_sent: Micros,
}

/// Keeps what was broken.
#[derive(Debug, Default)]
pub(crate) struct Rules {
    pub(crate) violations: Vec<Violation>,
    pub(crate) count: u64,
}

impl Rules {
    pub(crate) fn breach(&mut self, rule: Invariant, at: Micros, what: impl FnOnce() -> String) {
        self.count += 1;
        if self.violations.len() < TOLD {
            self.violations.push(Violation { rule, at: at as f64 / 1e6, what: what() });
        }
    }

    /// A request begins to be worked on at a server of this cell.
    pub(crate) fn runs(
        &mut self,
        now: Micros,
        request: u64,
        effect: Effect,
        runs: &mut Runs,
        cell: u16,
        sent: Micros,
    ) {
        if runs.count == 0 {
            *runs = Runs { count: 1, cell, first_sent: sent };
            return;
        }
        runs.count += 1;
        let harmless = match effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed => cell == runs.cell && now.saturating_sub(runs.first_sent) <= KEY_WINDOW,
        };
        if !harmless {
            self.breach(Invariant::RanTwice, now, || {
                format!("request {request}, run {} in cell {cell}", runs.count)
            });
        }
    }
}

impl Runs {
    pub(crate) fn any(&self) -> bool {
        self.count > 0
    }
}
