//! RequestCounters of how requests ended, by class; updated by engines and callers and read from any thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// How requests ended since the start. Every accepted request is eventually counted in one of `served`,
/// `refused`, `failed` and `left`.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// # use dunelink::{Config, Node, config::{Class, Effect}};
/// # use std::time::Duration;
/// # let classes = vec![Class::new("view", Effect::Safe, Duration::from_secs(1))];
/// # let node = Node::builder(Config { classes, ..Config::default() }).start()?;
/// node.handle().call(http::Request::get("/view/7").body(String::new())?).await?;
/// let counts = node.handle().counts();
/// assert_eq!(counts.taken, counts.served + counts.refused + counts.failed + counts.left);
/// # Ok(()) }
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that the node accepted.
    pub taken: u64,
    /// Answered by a server.
    pub served: u64,
    /// Refused by the node; a retry is harmless.
    pub refused: u64,
    /// Failed; the request may have run.
    pub failed: u64,
    /// Abandoned: the client left before the answer.
    pub left: u64,
    /// Rejected as invalid; not counted in `taken`.
    pub invalid: u64,
}

impl Counts {
    /// The sum of both, field by field.
    pub(crate) fn plus(self, other: Counts) -> Counts {
        Counts {
            taken: self.taken + other.taken,
            served: self.served + other.served,
            refused: self.refused + other.refused,
            failed: self.failed + other.failed,
            left: self.left + other.left,
            invalid: self.invalid + other.invalid,
        }
    }
}

/// How requests of one class ended since the start.
///
/// ```
/// # use dunelink::{Config, Node, config::{Class, Effect}};
/// # use std::time::Duration;
/// let classes = vec![Class::new("view", Effect::Safe, Duration::from_secs(1))];
/// let node = Node::builder(Config { classes, ..Config::default() }).start()?;
/// assert_eq!(node.handle().class_counts()["view"], dunelink::ClassCounts::default());
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Answered by a server.
    pub served: u64,
    /// Refused by the node; a retry is harmless.
    pub refused: u64,
    /// Failed; the request may have run.
    pub failed: u64,
}

impl ClassCounts {
    /// The sum of both, field by field.
    pub(crate) fn plus(self, other: ClassCounts) -> ClassCounts {
        ClassCounts {
            served: self.served + other.served,
            refused: self.refused + other.refused,
            failed: self.failed + other.failed,
        }
    }
}

/// A streamed answer in progress. If it is dropped before the end of the body, its client counts as having
/// left.
pub(crate) struct Transfer {
    counters: Arc<RequestCounters>,
    class: usize,
    ended: bool,
}

impl Transfer {
    /// Counts the answer as served: the body was read to its end.
    pub(crate) fn served(mut self) {
        self.ended = true;
        self.counters.increment_class(self.class, SERVED);
    }

    /// Counts the request as failed: the body broke off.
    pub(crate) fn failed(mut self) {
        self.ended = true;
        self.counters.increment_class(self.class, FAILED);
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        if !self.ended {
            self.counters.count_client_left();
        }
        self.counters.transfers.fetch_sub(1, Ordering::Relaxed);
    }
}

/// RequestCounters of one shard, shared by its engine and the callers.
pub(crate) struct RequestCounters {
    /// For each class the counts of [`SERVED`], [`REFUSED`] and [`FAILED`].
    classes: Box<[[AtomicU64; 3]]>,
    attempts: AtomicU64,
    /// Streamed answers in progress.
    transfers: AtomicU64,
    taken: AtomicU64,
    left: AtomicU64,
    invalid: AtomicU64,
    /// Whether the source of the server list has delivered anything since the start.
    has_list: AtomicBool,
    /// When the source of the list was lost, in milliseconds since `created` plus one; 0 while it is
    /// connected.
    list_lost_at_ms: AtomicU64,
    created: Instant,
}

fn increment(count: &AtomicU64) {
    count.fetch_add(1, Ordering::Relaxed);
}

/// How a request ended.
#[derive(Clone, Copy)]
pub(crate) enum FinalOutcome {
    Served,
    Refused,
    Failed,
}

const SERVED: usize = FinalOutcome::Served as usize;
const REFUSED: usize = FinalOutcome::Refused as usize;
const FAILED: usize = FinalOutcome::Failed as usize;

impl RequestCounters {
    pub(crate) fn new(classes: usize) -> RequestCounters {
        RequestCounters {
            classes: (0..classes).map(|_| Default::default()).collect(),
            attempts: AtomicU64::default(),
            transfers: AtomicU64::default(),
            taken: AtomicU64::default(),
            left: AtomicU64::default(),
            invalid: AtomicU64::default(),
            has_list: AtomicBool::default(),
            list_lost_at_ms: AtomicU64::default(),
            created: Instant::now(),
        }
    }

    /// Records that the source of the list has delivered an update.
    pub(crate) fn list_received(&self) {
        self.has_list.store(true, Ordering::Release);
        self.list_lost_at_ms.store(0, Ordering::Relaxed);
    }

    /// Records that the source of the list is lost.
    pub(crate) fn list_source_lost(&self) {
        let now = self.created.elapsed().as_millis() as u64 + 1;
        let _ = self.list_lost_at_ms.compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// How long the source of the list has been lost; zero while it is connected, `None` if it never
    /// delivered anything.
    pub(crate) fn list_source_silence(&self) -> Option<Duration> {
        let lost_at_ms = self.list_lost_at_ms.load(Ordering::Relaxed);
        let lost_for = || self.created.elapsed().saturating_sub(Duration::from_millis(lost_at_ms - 1));
        self.has_list().then(|| if lost_at_ms == 0 { Duration::ZERO } else { lost_for() })
    }

    pub(crate) fn has_list(&self) -> bool {
        self.has_list.load(Ordering::Acquire)
    }

    /// Counts an attempt whose request was written completely to a server.
    pub(crate) fn count_attempt(&self) {
        increment(&self.attempts);
    }

    pub(crate) fn attempts(&self) -> u64 {
        self.attempts.load(Ordering::Relaxed)
    }

    pub(crate) fn transfers(&self) -> usize {
        self.transfers.load(Ordering::Relaxed) as usize
    }

    fn increment_class(&self, class: usize, outcome: usize) {
        if let Some(counts) = self.classes.get(class) {
            increment(&counts[outcome]);
        }
    }

    pub(crate) fn class_counts(&self) -> impl Iterator<Item = ClassCounts> {
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        self.classes.iter().map(move |counts| ClassCounts {
            served: load(&counts[SERVED]),
            refused: load(&counts[REFUSED]),
            failed: load(&counts[FAILED]),
        })
    }

    pub(crate) fn count_taken(&self) {
        increment(&self.taken);
    }

    pub(crate) fn count_client_left(&self) {
        increment(&self.left);
    }

    pub(crate) fn count_invalid(&self) {
        increment(&self.invalid);
    }

    /// Counts a request that was refused without the engine.
    pub(crate) fn count_refused(&self, class: usize) {
        increment(&self.taken);
        self.increment_class(class, REFUSED);
    }

    /// Starts a streamed answer, which is counted when its body ends.
    pub(crate) fn begin_transfer(self: &Arc<Self>, class: usize) -> Transfer {
        increment(&self.transfers);
        Transfer { counters: self.clone(), class, ended: false }
    }

    /// Counts the final outcome of a request.
    pub(crate) fn count_outcome(&self, class: usize, outcome: FinalOutcome) {
        self.increment_class(class, outcome as usize);
    }

    pub(crate) fn counts(&self) -> Counts {
        let answered = self.class_counts().fold(ClassCounts::default(), ClassCounts::plus);
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        Counts {
            served: answered.served,
            refused: answered.refused,
            failed: answered.failed,
            left: load(&self.left),
            invalid: load(&self.invalid),
            taken: load(&self.taken),
        }
    }
}
