//! Reports the progress of an attempt to the router, and its outcome exactly once.

use std::rc::Rc;

use dunelink_routing::{AttemptId, Outcome, ServerHandle};

use crate::node::Node;

/// An attempt in progress. If it is dropped without [`AttemptGuard::finish`], it counts as cancelled.
pub struct AttemptGuard {
    node: Rc<Node>,
    attempt: Option<AttemptId>,
    server: ServerHandle,
}

impl AttemptGuard {
    /// Tracks an attempt that the router has started.
    pub fn new(node: Rc<Node>, attempt: AttemptId, server: ServerHandle) -> Self {
        Self { node, attempt: Some(attempt), server }
    }

    /// Returns the server of the attempt.
    pub fn server(&self) -> ServerHandle {
        self.server
    }

    /// Records that the request is about to be written.
    pub fn record_sent(&self) {
        if let Some(attempt) = self.attempt {
            self.node.router.borrow_mut().record_sent(self.node.clock.now(), attempt);
        }
    }

    /// Records the first event of a stream, or the head of another response.
    pub fn record_first_event(&self) {
        if let Some(attempt) = self.attempt {
            self.node.router.borrow_mut().record_first_event(self.node.clock.now(), attempt);
        }
    }

    /// Records further events of a stream.
    pub fn record_progress(&self, events: u32) {
        if let Some(attempt) = self.attempt {
            self.node.router.borrow_mut().record_progress(self.node.clock.now(), attempt, events);
        }
    }

    /// Records the outcome of the attempt.
    pub fn finish(mut self, outcome: Outcome) {
        self.record(outcome);
    }

    fn record(&mut self, outcome: Outcome) {
        let Some(attempt) = self.attempt.take() else { return };
        let mut router = self.node.router.borrow_mut();
        router.record_outcome(self.node.clock.now(), attempt, outcome);
        let served = match outcome {
            Outcome::Served => true,
            Outcome::ServerError | Outcome::Broken | Outcome::ConnectFailed | Outcome::TimedOut => false,
            Outcome::Rejected | Outcome::WrongInstance | Outcome::Cancelled => return,
        };
        if let Some(server) = router.server(self.server) {
            self.node.record_attempt(&server.id, served);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.record(Outcome::Cancelled);
    }
}
