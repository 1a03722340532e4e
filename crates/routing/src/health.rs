//! Outlier ejection: a server that fails real requests is left alone for a while, then probed by single requests.

use dunelink_serving_model::Micros;

use crate::{AttemptId, Outcome};

/// The first cool-down; it doubles with each further ejection.
const COOL_DOWN: Micros = 1_000_000;
/// The longest cool-down.
const COOL_DOWN_MOST: Micros = 16_000_000;
/// Failed connections in a row that eject.
const CONNECTS: u32 = 2;
/// Broken answers in a row that eject.
const BREAKS: u32 = 3;
/// The failing part of recent answers that ejects, and how many answers it takes to tell.
const FAILING_PART: f64 = 0.5;
const FAILING_FROM: f64 = 6.0;
/// How far one answer moves the failing part.
const STEP: f64 = 0.15;
/// Good answers after which earlier ejections are forgotten.
const FORGIVEN_AFTER: u32 = 10;
/// How long a server that said it is full is left alone at first; doubles while it goes on saying so.
const FULL_FOR: Micros = 40_000;
/// The longest such time.
const FULL_MOST: Micros = 640_000;
/// How long a word of other processes stands if it is not renewed.
const SUSPECTED_FOR: Micros = 3_000_000;

/// What is known of one server's failures.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    connects_failed: u32,
    broken: u32,
    good: u32,
    failing: f64,
    answers: f64,
    ejections: u32,
    /// Ejected until then; it then needs a good probe.
    until: Option<Micros>,
    probe: Option<AttemptId>,
    full_until: Micros,
    full_in_row: u32,
    /// The failing part of what other processes saw, and until when that stands.
    suspected: f64,
    suspected_until: Micros,
}

impl Health {
    /// Whether it is to be left alone: in its cool-down, or a probe is out.
    pub(crate) fn is_ejected(&self, now: Micros) -> bool {
        self.until.is_some_and(|until| now < until || self.probe.is_some())
    }

    /// Whether its next request is a probe.
    pub(crate) fn needs_probe(&self) -> bool {
        self.until.is_some() && self.probe.is_none()
    }

    /// How much longer its cool-down lasts.
    pub(crate) fn ejected_for(&self, now: Micros) -> Micros {
        self.until.map_or(0, |until| until.saturating_sub(now))
    }

    /// Whether it said lately that it is full.
    pub(crate) fn is_full(&self, now: Micros) -> bool {
        now < self.full_until
    }

    /// When it stops being full by its own word.
    pub(crate) fn full_until(&self) -> Micros {
        self.full_until
    }

    /// The failing part of its recent answers, by what this process or others saw; few answers say little.
    pub(crate) fn failing(&self, now: Micros) -> f64 {
        let own = self.failing * self.answers / (self.answers + FAILING_FROM);
        if now < self.suspected_until { own.max(self.suspected) } else { own }
    }

    /// Takes in what other processes saw: the failing part of its answers.
    pub(crate) fn suspect(&mut self, now: Micros, failed_share: f64) {
        self.suspected = failed_share;
        self.suspected_until = now + SUSPECTED_FOR;
    }

    /// Notes that a request is sent; it probes a server whose cool-down has passed.
    pub(crate) fn sent(&mut self, now: Micros, attempt: AttemptId) {
        if self.needs_probe() && !self.is_ejected(now) {
            self.probe = Some(attempt);
        }
    }

    /// A sign of life: an event or a head came.
    pub(crate) fn alive(&mut self) {
        (self.connects_failed, self.broken) = (0, 0);
        (self.full_in_row, self.full_until) = (0, 0);
        if self.until.is_some() && self.probe.is_some() {
            self.recover();
        }
    }

    fn recover(&mut self) {
        (self.until, self.probe) = (None, None);
        (self.failing, self.answers) = (0.0, 0.0);
        self.good = 0;
    }

    /// Takes in an outcome; true if the server should be ejected for it.
    pub(crate) fn ended(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) -> bool {
        let probed = self.probe == Some(attempt);
        let failed = match outcome {
            Outcome::Served => return self.served(),
            Outcome::Rejected => {
                self.full_until = now + (FULL_FOR << self.full_in_row.min(4)).min(FULL_MOST);
                self.full_in_row += 1;
                self.release_probe(probed);
                return false;
            }
            Outcome::Cancelled => {
                self.release_probe(probed);
                return false;
            }
            Outcome::ConnectFailed => {
                self.connects_failed += 1;
                self.connects_failed >= CONNECTS
            }
            Outcome::WrongInstance => true,
            Outcome::Broken | Outcome::TimedOut => {
                self.broken += 1;
                self.broken >= BREAKS
            }
            Outcome::ServerError => false,
        };
        self.good = 0;
        self.count(1.0);
        let mostly = self.answers >= FAILING_FROM && self.failing >= FAILING_PART;
        if probed {
            self.probe = None;
        }
        probed || failed || mostly
    }

    fn served(&mut self) -> bool {
        self.alive();
        self.count(0.0);
        self.good += 1;
        if self.good >= FORGIVEN_AFTER {
            self.ejections = 0;
        }
        false
    }

    fn release_probe(&mut self, probed: bool) {
        if probed {
            self.probe = None;
        }
    }

    fn count(&mut self, failed: f64) {
        self.answers = (self.answers + 1.0).min(100.0);
        let step = STEP.max(1.0 / self.answers);
        self.failing += (failed - self.failing) * step;
    }

    /// Ejects it for a time that doubles with each ejection.
    pub(crate) fn eject(&mut self, now: Micros) {
        if self.until.is_some_and(|until| now < until) {
            return;
        }
        let span = (COOL_DOWN << self.ejections.min(8)).min(COOL_DOWN_MOST);
        self.until = Some(now + span);
        self.ejections += 1;
        (self.connects_failed, self.broken) = (0, 0);
        // The cool-down stands for these; they must not keep its probe away.
        (self.failing, self.answers) = (0.0, 0.0);
    }

    /// Gives it back to its pool at once.
    pub(crate) fn readmit(&mut self) {
        self.recover();
    }
}
