//! The feed received on one connection to a control machine: it applies the messages to the state, detects
//! missing data and asks for a new subscription.

use dunelink_feed::{Change, FeedError, FeedReader, FeedState};
use dunelink_protocol::{FeedMessage, Heartbeat};

/// Shortest time between two subscriptions in microseconds. A source whose heartbeats announce newer data for
/// this long without sending it receives a new subscription.
const MIN_SUBSCRIBE_INTERVAL_US: u64 = 1_000_000;
/// After a pause of this many microseconds without a message, the next messages may have been delayed on the
/// network, or have waited in the socket while this process was stopped.
const SUSPECT_PAUSE_US: u64 = 800_000;
/// Time in microseconds after such a pause during which received messages may still be delayed ones.
const BACKLOG_WINDOW_US: u64 = 100_000;
/// Microseconds in a millisecond.
const MICROS_PER_MS: u64 = 1_000;

/// The receiving side of one connection. Times are microseconds on the clock of the agent.
#[derive(Debug)]
pub struct LinkFeed {
    reader: FeedReader,
    /// Time of the last subscription.
    subscribed_at: u64,
    /// Time at which the last message was received.
    received_at: u64,
    /// The possible delay of messages after the last long pause.
    delay: Option<DeliveryDelay>,
    /// True if a roster update could not be applied and no later one was.
    missed_update: bool,
    /// Time since which heartbeats announce newer data than was received; `None` if they do not.
    behind_since: Option<u64>,
}

/// Messages received before `until` may have been sent up to `delay_us` microseconds before they arrived.
#[derive(Debug)]
struct DeliveryDelay {
    until: u64,
    delay_us: u64,
}

impl LinkFeed {
    /// Creates the receiver of a connection that sends its first subscription at `now`.
    pub fn new(now: u64) -> Self {
        Self {
            reader: FeedReader::new(),
            subscribed_at: now,
            received_at: now,
            delay: None,
            missed_update: false,
            behind_since: None,
        }
    }

    /// Applies a message received at `now` to `state`. Returns the change, and whether a new subscription has
    /// to be sent.
    ///
    /// # Errors
    ///
    /// The message violates the feed protocol; the connection has to be closed.
    pub fn receive(
        &mut self,
        state: &mut FeedState,
        message: FeedMessage,
        now: u64,
    ) -> Result<(Change, bool), FeedError> {
        let is_content = matches!(message, FeedMessage::Configuration(_) | FeedMessage::Roster(_));
        let message = self.add_delivery_delay(message, now);
        let change = self.reader.apply(state, message, now)?;
        match change {
            Change::Resubscribe => self.missed_update = true,
            Change::Roster => self.missed_update = false,
            Change::Heartbeat(heartbeat) => self.compare_position(state, &heartbeat, now),
            _ => {}
        }
        if is_content && !self.missed_update {
            // The source is sending the announced data.
            self.behind_since = None;
        }
        let should_subscribe = self.missed_update || self.is_stalled(now);
        let subscribe = should_subscribe && now >= self.subscribed_at + MIN_SUBSCRIBE_INTERVAL_US;
        if subscribe {
            self.subscribed_at = now;
            self.missed_update = false;
            self.behind_since = None;
        }
        Ok((change, subscribe))
    }

    /// Adds the possible delivery delay to the `confirmed_age_ms` of a heartbeat: after a long pause, the
    /// whole length of the pause. The message was sent after the previous one, but the exact time is unknown.
    fn add_delivery_delay(&mut self, message: FeedMessage, now: u64) -> FeedMessage {
        let pause = now.saturating_sub(std::mem::replace(&mut self.received_at, now));
        if pause >= SUSPECT_PAUSE_US {
            self.delay = Some(DeliveryDelay { until: now + BACKLOG_WINDOW_US, delay_us: pause });
        }
        let delay = self.delay.as_ref().filter(|delay| now < delay.until);
        let delay_ms = delay.map_or(0, |delay| delay.delay_us / MICROS_PER_MS);
        match message {
            FeedMessage::Heartbeat(heartbeat) => {
                let confirmed_age_ms = heartbeat.confirmed_age_ms.saturating_add(delay_ms);
                FeedMessage::Heartbeat(Heartbeat { confirmed_age_ms, ..heartbeat })
            }
            other => other,
        }
    }

    fn compare_position(&mut self, state: &FeedState, heartbeat: &Heartbeat, now: u64) {
        let position = state.position();
        let behind = heartbeat.configuration_version > position.configuration_version
            || heartbeat.roster > position.roster;
        self.behind_since = if behind { self.behind_since.or(Some(now)) } else { None };
    }

    fn is_stalled(&self, now: u64) -> bool {
        self.behind_since.is_some_and(|since| now >= since + MIN_SUBSCRIBE_INTERVAL_US)
    }
}
