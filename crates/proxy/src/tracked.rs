//! An attempt as the router counts it, ended exactly once.

use std::rc::Rc;

use dunelink_routing::{AttemptId, Outcome, ServerHandle};

use crate::node::Node;

/// An attempt that is out. Dropped without [`Tracked::end`], it counts as cancelled.
pub struct Tracked {
    node: Rc<Node>,
    attempt: Option<AttemptId>,
    server: ServerHandle,
}

impl Tracked {
    /// Follows an attempt that the router decided on.
    pub fn new(node: Rc<Node>, attempt: AttemptId, server: ServerHandle) -> Self {
        Self { node, attempt: Some(attempt), server }
    }

    /// The server it goes to.
    pub fn server(&self) -> ServerHandle {
        self.server
    }

    /// The first byte is about to be written.
    pub fn sent(&self) {
        if let Some(attempt) = self.attempt {
            self.node.router.borrow_mut().record_sent(self.node.clock.now(), attempt);
        }
    }

    /// The first event of a stream, or the head of another answer, has come.
    pub fn first_event(&self) {
        if let Some(attempt) = self.attempt {
            self.node.router.borrow_mut().record_first_event(self.node.clock.now(), attempt);
        }
    }

    /// More events of a stream have come.
    pub fn progressed(&self, events: u32) {
        if let Some(attempt) = self.attempt {
            self.node.router.borrow_mut().record_progress(self.node.clock.now(), attempt, events);
        }
    }

    /// The attempt has ended.
    pub fn end(mut self, outcome: Outcome) {
        self.finish(outcome);
    }

    fn finish(&mut self, outcome: Outcome) {
        let Some(attempt) = self.attempt.take() else { return };
        let mut router = self.node.router.borrow_mut();
        router.record_outcome(self.node.clock.now(), attempt, outcome);
        let served = match outcome {
            Outcome::Served => true,
            Outcome::ServerError | Outcome::Broken | Outcome::ConnectFailed | Outcome::TimedOut => false,
            Outcome::Rejected | Outcome::WrongInstance | Outcome::Cancelled => return,
        };
        if let Some(server) = router.server(self.server) {
            self.node.observe(&server.id, served);
        }
    }
}

impl Drop for Tracked {
    fn drop(&mut self) {
        self.finish(Outcome::Cancelled);
    }
}
