//! The messages that one agent is sent, in their order.

use dunelink_feed::{FeedSource, FeedState};
use dunelink_protocol::{ControlMember, FeedMessage, FeedPosition, GrantUpdate};

/// Interval of the ticks, in microseconds. A tick is a heartbeat with the age of the fed state.
pub const TICK_PERIOD_US: u64 = 250_000;
/// A tick that is due within this time is sent early if the session is asked for a message, in microseconds.
const TICK_EARLY_US: u64 = 60_000;

/// The sender's state of one agent connection. It holds the position of the agent and no messages that wait
/// to be sent, so an agent that does not read costs no more memory than one that does.
#[derive(Debug)]
pub struct FeedSession {
    source: FeedSource,
    /// Control machines as last sent.
    members: Vec<ControlMember>,
    /// Grants that have not been sent.
    grants: Option<GrantUpdate>,
    /// Time of the last tick in microseconds; `None` before the first.
    last_tick_at: Option<u64>,
}

impl FeedSession {
    /// Starts from the position in the agent's subscription.
    pub fn new(subscribe: &FeedPosition) -> Self {
        Self { source: FeedSource::new(subscribe), members: Vec::new(), grants: None, last_tick_at: None }
    }

    /// Sets the grants to send; they replace older ones that have not been sent.
    pub fn set_grants(&mut self, update: GrantUpdate) {
        self.grants = Some(update);
    }

    /// Next message to send at `now`; `None` if the agent has everything.
    pub fn next_message(&mut self, state: &FeedState, now: u64) -> Option<FeedMessage> {
        if self.last_tick_at.is_none_or(|at| now + TICK_EARLY_US >= at + TICK_PERIOD_US) {
            self.last_tick_at = Some(now);
            return Some(FeedMessage::Heartbeat(state.heartbeat(now)));
        }
        if state.members != self.members && !state.members.is_empty() {
            self.members.clone_from(&state.members);
            return Some(FeedMessage::Members(state.members.clone()));
        }
        if let Some(grants) = self.grants.take() {
            return Some(FeedMessage::Grants(grants));
        }
        // The source ticks only on changes: the periodic ticks are sent above, also between the chunks of a
        // configuration.
        let message = self.source.next_message(state, u64::MAX, now);
        if let Some(FeedMessage::Heartbeat(_)) = message {
            self.last_tick_at = Some(now);
        }
        message
    }

    /// Time at which the next tick is due, in microseconds.
    pub fn next_tick_due(&self) -> u64 {
        self.last_tick_at.map_or(0, |at| at + TICK_PERIOD_US)
    }
}
