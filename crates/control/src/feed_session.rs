//! What one agent is sent next.

use dunelink_feed::{FeedSource, FeedState};
use dunelink_protocol::{ControlMember, FeedMessage, FeedPosition, GrantUpdate};

/// Time between two signs of life, in microseconds.
pub const TICK_PERIOD_US: u64 = 250_000;
/// A sign of life may be this much early when something else is sent anyway, in microseconds.
const TICK_EARLY: u64 = 60_000;

/// The serving end of one agent's connection. It holds where the agent stands and nothing that waits to be sent, so
/// an agent that does not read costs no more than one that does.
#[derive(Debug)]
pub struct FeedSession {
    source: FeedSource,
    members: Vec<ControlMember>,
    grants: Option<GrantUpdate>,
    ticked_at: Option<u64>,
}

impl FeedSession {
    /// Serves an agent that stands where `subscribe` tells.
    pub fn new(subscribe: &FeedPosition) -> Self {
        Self { source: FeedSource::new(subscribe), members: Vec::new(), grants: None, ticked_at: None }
    }

    /// New grants for the agent; they replace older ones that were not sent.
    pub fn set_grants(&mut self, update: GrantUpdate) {
        self.grants = Some(update);
    }

    /// The next message to send at `now`; nothing if the agent has everything.
    pub fn next_message(&mut self, state: &FeedState, now: u64) -> Option<FeedMessage> {
        if self.ticked_at.is_none_or(|at| now + TICK_EARLY >= at + TICK_PERIOD_US) {
            self.ticked_at = Some(now);
            return Some(FeedMessage::Heartbeat(state.heartbeat(now)));
        }
        if state.members != self.members && !state.members.is_empty() {
            self.members.clone_from(&state.members);
            return Some(FeedMessage::Members(state.members.clone()));
        }
        if let Some(grants) = self.grants.take() {
            return Some(FeedMessage::Grants(grants));
        }
        // Its own ticks tell of changes only: the regular ones are sent above, also between parts of a configuration.
        let message = self.source.next_message(state, u64::MAX, now);
        if let Some(FeedMessage::Heartbeat(_)) = message {
            self.ticked_at = Some(now);
        }
        message
    }

    /// When the next sign of life is due, in microseconds.
    pub fn next_tick_due(&self) -> u64 {
        self.ticked_at.map_or(0, |at| at + TICK_PERIOD_US)
    }
}
