//! Tracks open requests: those whose head was read and whose response is not fully written. Requests that are
//! cut off when the process exits are logged.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use http::HeaderValue;
use slog::{Logger, warn};
use tokio::time::Instant;

/// Maximum number of open requests that are logged at exit.
const MAX_LOGGED_REQUESTS: usize = 32;

/// Processing stage of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStage {
    /// The head was read; the body may still be arriving.
    Reading,
    /// The request was read completely and admitted; no response has started.
    Admitted,
    /// The response is being written.
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

/// State of one open request.
#[derive(Debug, Clone)]
pub struct OpenRequest {
    /// When the head was read.
    pub started_at: Instant,
    /// Processing stage.
    pub stage: RequestStage,
    /// Client-chosen request id; `None` until the request is admitted.
    pub id: Option<HeaderValue>,
    /// Deadline from the client's and the route's timeout; `None` until the request is admitted.
    pub deadline: Option<Instant>,
}

/// All open requests of the process.
#[derive(Debug, Default)]
pub struct OpenRequests {
    next_key: Cell<u64>,
    requests: RefCell<HashMap<u64, OpenRequest>>,
}

impl OpenRequests {
    /// Creates an empty set.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Returns the number of open requests.
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

    /// Logs the requests that are cut off when the process exits: when each arrived relative to
    /// `signaled_at`, the time of the shutdown signal, and how much of its time was left.
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

/// Returns the time from `earlier` to `later` in milliseconds; negative if `later` is before `earlier`.
fn signed_millis(later: Instant, earlier: Instant) -> i64 {
    let forward = later.saturating_duration_since(earlier).as_millis() as i64;
    let backward = earlier.saturating_duration_since(later).as_millis() as i64;
    forward - backward
}

/// Counts a request as open until it is dropped.
#[derive(Debug)]
pub struct OpenRequestGuard {
    requests: Rc<OpenRequests>,
    key: u64,
}

impl OpenRequestGuard {
    /// Records that the request with this id was read completely and admitted.
    pub fn set_admitted(&self, id: &HeaderValue, deadline: Instant) {
        self.update(|request| {
            request.stage = RequestStage::Admitted;
            request.id = Some(id.clone());
            request.deadline = Some(deadline);
        });
    }

    /// Records that the response has started.
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
