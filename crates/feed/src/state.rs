//! The newest of everything that is fed.

use dunelink_protocol::{
    ControlMember, FeedPosition, FleetLoads, GrantUpdate, Heartbeat, RosterOffset, ServerSuspicion,
};

use crate::{Configuration, Freshness, Roster};

/// The newest of everything that is fed, from whatever source.
#[derive(Debug, Default)]
pub struct FeedState {
    /// The configuration; nothing before the first one.
    pub configuration: Option<Configuration>,
    /// The servers.
    pub roster: Roster,
    /// How far configuration and roster can be trusted.
    pub freshness: Freshness,
    /// Grants, as received.
    pub grants: Versioned<GrantUpdate>,
    /// Servers suspected, as received.
    pub suspicions: Versioned<Vec<ServerSuspicion>>,
    /// Requests of the fleet at servers, as received.
    pub loads: Versioned<FleetLoads>,
    /// Control machines, as last told.
    pub members: Vec<ControlMember>,
}

/// The latest value of a kind, numbered so that a receiver can tell whether it has been sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Versioned<T> {
    number: u64,
    received_at: u64,
    value: Option<T>,
}

impl<T> Default for Versioned<T> {
    fn default() -> Self {
        Self { number: 0, received_at: 0, value: None }
    }
}

impl<T> Versioned<T> {
    /// Replaces the value by one received at `now`.
    pub fn set(&mut self, value: T, now: u64) {
        self.number += 1;
        self.received_at = now;
        self.value = Some(value);
    }

    /// Number of the value; 0 before the first.
    pub fn version(&self) -> u64 {
        self.number
    }

    /// The value with the time of its receipt.
    pub fn get(&self) -> Option<(&T, u64)> {
        self.value.as_ref().map(|value| (value, self.received_at))
    }
}

impl FeedState {
    /// Version of the configuration held; 0 for none.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.version)
    }

    /// Where this state stands, for a new subscription.
    pub fn position(&self) -> FeedPosition {
        FeedPosition { configuration_version: self.configuration_version(), roster: self.roster_offset() }
    }

    /// The sign of life that passes this state's freshness on, at `now`.
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
