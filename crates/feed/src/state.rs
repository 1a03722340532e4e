//! The newest data of the feed.

use dunelink_protocol::{
    ControlMember, FeedPosition, FleetLoads, GrantUpdate, Heartbeat, RosterOffset, ServerSuspicion,
};

use crate::{Configuration, Freshness, Roster};

/// The newest data of the feed, merged from all sources.
#[derive(Debug, Default)]
pub struct FeedState {
    /// The configuration; `None` before the first one.
    pub configuration: Option<Configuration>,
    /// The server roster.
    pub roster: Roster,
    /// Freshness of configuration and roster.
    pub freshness: Freshness,
    /// The last grants received.
    pub grants: Versioned<GrantUpdate>,
    /// The last list of suspected servers received.
    pub suspicions: Versioned<Vec<ServerSuspicion>>,
    /// The last requests in flight at the servers received.
    pub loads: Versioned<FleetLoads>,
    /// The last list of control machines received.
    pub members: Vec<ControlMember>,
}

/// A value with a version that counts its replacements, so that a sender knows whether it has sent it.
#[derive(Debug, Clone, PartialEq)]
pub struct Versioned<T> {
    version: u64,
    /// Time of receipt in microseconds.
    received_at: u64,
    value: Option<T>,
}

impl<T> Default for Versioned<T> {
    fn default() -> Self {
        Self { version: 0, received_at: 0, value: None }
    }
}

impl<T> Versioned<T> {
    /// Replaces the value with one received at `now`.
    pub fn set(&mut self, value: T, now: u64) {
        self.version += 1;
        self.received_at = now;
        self.value = Some(value);
    }

    /// Number of values set so far.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The value and the time of its receipt in microseconds; `None` before the first value.
    pub fn get(&self) -> Option<(&T, u64)> {
        self.value.as_ref().map(|value| (value, self.received_at))
    }
}

impl FeedState {
    /// Version of the configuration; 0 for none.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.version)
    }

    /// Position of this state in the feed, for a new subscription.
    pub fn position(&self) -> FeedPosition {
        FeedPosition { configuration_version: self.configuration_version(), roster: self.roster_offset() }
    }

    /// The heartbeat to send at `now`, which states the freshness of this state.
    pub fn heartbeat(&self, now: u64) -> Heartbeat {
        Heartbeat {
            confirmed_age_ms: self.freshness.confirmed_age_ms(now),
            configuration_version: self.freshness.known_version().max(self.configuration_version()),
            roster: self.roster_offset(),
            roster_age_ms: self.freshness.roster_age_ms(now),
        }
    }

    fn roster_offset(&self) -> RosterOffset {
        self.roster.offset().unwrap_or_default()
    }
}
