//! The requests that are open: something of them was read, and their answers are not written yet. Those that the end
//! of the process cuts are named in its log.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use http::HeaderValue;
use slog::{Logger, warn};
use tokio::time::Instant;

/// Most requests that are named in the log at the end.
const MAX_LOGGED_REQUESTS: usize = 32;

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStage {
    /// Its head was read; its body may still be coming.
    Reading,
    /// It was read whole and let pass; no answer has begun.
    Admitted,
    /// Its answer is being written.
    Answering,
}

impl RequestStage {
    fn name(self) -> &'static str {
        match self {
            Self::Reading => "reading",
            Self::Admitted => "admitted",
            Self::Answering => "answering",
        }
    }
}

/// One request.
#[derive(Debug, Clone)]
pub struct OpenRequest {
    /// When its head was read.
    pub started_at: Instant,
    /// How far it has come.
    pub stage: RequestStage,
    /// Names the client's try, once it was read whole.
    pub id: Option<HeaderValue>,
    /// When its client's time or its route's is over, once it was let pass.
    pub deadline: Option<Instant>,
}

/// All open requests of the process.
#[derive(Debug, Default)]
pub struct OpenRequests {
    next_key: Cell<u64>,
    requests: RefCell<HashMap<u64, OpenRequest>>,
}

impl OpenRequests {
    /// None yet.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Counts a request as open until the guard is dropped.
    pub fn track(self: &Rc<Self>) -> OpenRequestGuard {
        let key = self.next_key.replace(self.next_key.get() + 1);
        let request = OpenRequest {
            started_at: Instant::now(),
            stage: RequestStage::Reading,
            id: None,
            deadline: None,
        };
        self.requests.borrow_mut().insert(key, request);
        OpenRequestGuard { requests: self.clone(), key }
    }

    /// Names in the log what the end of the process cuts: when each request came, seen from `signaled_at`, when the process
    /// was told to end, and what was left of its time.
    pub fn log_unfinished(&self, log: &Logger, signaled_at: Instant) {
        let now = Instant::now();
        let requests = self.requests.borrow();
        let mut oldest_first: Vec<&OpenRequest> = requests.values().collect();
        oldest_first.sort_unstable_by_key(|request| request.started_at);
        for request in oldest_first.iter().take(MAX_LOGGED_REQUESTS) {
            let id = request.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-");
            warn!(log, "request cut by the end of the process";
                "id" => id,
                "stage" => request.stage.name(),
                "age_ms" => signed_millis(now, request.started_at),
                "came_after_signal_ms" => signed_millis(request.started_at, signaled_at),
                "left_ms" => request.deadline.map(|deadline| signed_millis(deadline, now)));
        }
    }
}

/// Time from `earlier` to `later` in milliseconds, below zero if it is the other way round.
fn signed_millis(later: Instant, earlier: Instant) -> i64 {
    let forward = later.saturating_duration_since(earlier).as_millis() as i64;
    let backward = earlier.saturating_duration_since(later).as_millis() as i64;
    forward - backward
}

/// A request in hand.
#[derive(Debug)]
pub struct OpenRequestGuard {
    requests: Rc<OpenRequests>,
    key: u64,
}

impl OpenRequestGuard {
    /// The request of this id was read whole and let pass; its time is over at `deadline`.
    pub fn set_admitted(&self, id: &HeaderValue, deadline: Instant) {
        self.update(|request| {
            request.stage = RequestStage::Admitted;
            request.id = Some(id.clone());
            request.deadline = Some(deadline);
        });
    }

    /// Its answer begins.
    pub fn set_answering(&self) {
        self.update(|request| request.stage = RequestStage::Answering);
    }

    fn update(&self, update: impl FnOnce(&mut OpenRequest)) {
        if let Some(request) = self.requests.requests.borrow_mut().get_mut(&self.key) {
            update(request);
        }
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.requests.requests.borrow_mut().remove(&self.key);
    }
}
