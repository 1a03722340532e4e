//! What arrives on one connection to a control machine: taken into the state, with a look at whether the source
//! leaves something out.

use dunelink_feed::{Change, FeedError, FeedReader, FeedState};
use dunelink_protocol::{FeedMessage, Heartbeat};

/// Shortest time between two subscriptions, in microseconds. A source that tells of something newer for this long
/// without sending it is asked again.
const SUBSCRIBE_PERIOD: u64 = 1_000_000;
/// After this long without a message, in microseconds, the next ones may have been held up on their way, or have
/// waited while this process was stopped.
const GAP: u64 = 800_000;
/// For how long after a gap messages may still be those that waited, in microseconds.
const BURST: u64 = 100_000;
/// Microseconds in a millisecond.
const MICROS: u64 = 1_000;

/// The reading end of one connection.
#[derive(Debug)]
pub struct LinkFeed {
    reader: FeedReader,
    subscribed_at: u64,
    received_at: u64,
    held_up: Option<HeldUp>,
    gap: bool,
    behind_since: Option<u64>,
}

/// Messages until `until` may be `micros` old.
#[derive(Debug)]
struct HeldUp {
    until: u64,
    micros: u64,
}

impl LinkFeed {
    /// A connection that subscribes at `now`.
    pub fn new(now: u64) -> Self {
        Self {
            reader: FeedReader::new(),
            subscribed_at: now,
            received_at: now,
            held_up: None,
            gap: false,
            behind_since: None,
        }
    }

    /// Takes a message received at `now`; true beside the change if a new subscription is to be sent.
    ///
    /// # Errors
    ///
    /// The message breaks the rules of the feed: the connection is to be closed.
    pub fn take(
        &mut self,
        state: &mut FeedState,
        message: FeedMessage,
        now: u64,
    ) -> Result<(Change, bool), FeedError> {
        let part = matches!(message, FeedMessage::Configuration(_) | FeedMessage::Roster(_));
        let message = self.aged(message, now);
        let change = self.reader.apply(state, message, now)?;
        match change {
            Change::Resubscribe => self.gap = true,
            Change::Roster => self.gap = false,
            Change::Heartbeat(tick) => self.compare(state, &tick, now),
            _ => {}
        }
        if part && !self.gap {
            // Something is on its way.
            self.behind_since = None;
        }
        let wanted = self.gap || self.is_stalled(now);
        let subscribe = wanted && now >= self.subscribed_at + SUBSCRIBE_PERIOD;
        if subscribe {
            self.subscribed_at = now;
            self.gap = false;
            self.behind_since = None;
        }
        Ok((change, subscribe))
    }

    /// The message with the age of its proof as it may really be: up to the whole time without messages, if that was
    /// long. It was sent after the message before it, but when is not known.
    fn aged(&mut self, message: FeedMessage, now: u64) -> FeedMessage {
        let pause = now.saturating_sub(std::mem::replace(&mut self.received_at, now));
        if pause >= GAP {
            self.held_up = Some(HeldUp { until: now + BURST, micros: pause });
        }
        let held_up = self.held_up.as_ref().filter(|held_up| now < held_up.until);
        let held_up_ms = held_up.map_or(0, |held_up| held_up.micros / MICROS);
        match message {
            FeedMessage::Heartbeat(tick) => {
                let confirmed_age_ms = tick.confirmed_age_ms.saturating_add(held_up_ms);
                FeedMessage::Heartbeat(Heartbeat { confirmed_age_ms, ..tick })
            }
            other => other,
        }
    }

    fn compare(&mut self, state: &FeedState, tick: &Heartbeat, now: u64) {
        let held = state.position();
        let behind = tick.configuration_version > held.configuration_version || tick.roster > held.roster;
        self.behind_since = if behind { self.behind_since.or(Some(now)) } else { None };
    }

    fn is_stalled(&self, now: u64) -> bool {
        self.behind_since.is_some_and(|since| now >= since + SUBSCRIBE_PERIOD)
    }
}
