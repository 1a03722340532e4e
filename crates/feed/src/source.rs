//! The serving end of one connection.

use dunelink_protocol::{FeedMessage, FeedPosition, GrantUpdate, RosterOffset};

use crate::{Configuration, FeedState};

/// Microseconds per millisecond.
const MICROS_PER_MS: u64 = 1_000;
/// Loads older than this are too stale to send, in microseconds.
const MAX_LOADS_AGE_US: u64 = 500_000;

/// Produces the messages that one reader lacks, one at a time.
///
/// Each message is built from the state at the time when the connection can take it: a slow reader gets the
/// newest data and no outdated messages.
#[derive(Debug)]
pub struct FeedSource {
    /// Version of the last configuration sent, in part or in full.
    sent_configuration_version: u64,
    sending: Option<ConfigurationTransfer>,
    /// Position of the last roster sent; `None` if the reader has no roster.
    sent_roster: Option<RosterOffset>,
    /// [`Versioned::version`](crate::Versioned::version) of the last grants sent.
    sent_grants_version: u64,
    /// As `sent_grants_version`, for the suspected servers.
    sent_suspicions_version: u64,
    /// As `sent_grants_version`, for the loads.
    sent_loads_version: u64,
    last_heartbeat: Option<SentHeartbeat>,
}

/// A configuration that is being sent, and the offset of its next chunk. Its bytes are kept until the last
/// chunk.
#[derive(Debug)]
struct ConfigurationTransfer {
    configuration: Configuration,
    offset: u64,
}

/// Time in microseconds and contents of the last heartbeat sent.
#[derive(Debug)]
struct SentHeartbeat {
    at: u64,
    configuration_version: u64,
    roster: RosterOffset,
}

impl FeedSource {
    /// Creates the source for a reader at `position`.
    pub fn new(position: &FeedPosition) -> Self {
        let roster = Some(position.roster).filter(|offset| *offset != RosterOffset::default());
        Self {
            sent_configuration_version: position.configuration_version,
            sending: None,
            sent_roster: roster,
            sent_grants_version: 0,
            sent_suspicions_version: 0,
            sent_loads_version: 0,
            last_heartbeat: None,
        }
    }

    /// Creates the source for a reader without any data.
    pub fn for_empty_reader() -> Self {
        Self::new(&FeedPosition { configuration_version: 0, roster: RosterOffset::default() })
    }

    /// The next message to send at `now`; `None` if the reader is up to date. A heartbeat is due when the
    /// versions that it states have changed, or `heartbeat_period` microseconds after the last one.
    pub fn next_message(
        &mut self,
        state: &FeedState,
        heartbeat_period: u64,
        now: u64,
    ) -> Option<FeedMessage> {
        self.next_configuration(state)
            .or_else(|| self.next_roster(state, now))
            .or_else(|| self.next_grants(state, now))
            .or_else(|| self.next_suspicions(state))
            .or_else(|| self.next_loads(state, now))
            .or_else(|| self.next_heartbeat(state, heartbeat_period, now))
    }

    fn next_configuration(&mut self, state: &FeedState) -> Option<FeedMessage> {
        let newest =
            state.configuration.as_ref().filter(|newest| newest.version > self.sent_configuration_version);
        if let Some(newest) = newest {
            self.sent_configuration_version = newest.version;
            self.sending = Some(ConfigurationTransfer { configuration: newest.clone(), offset: 0 });
        }
        let sending = self.sending.as_mut()?;
        let chunk = sending.configuration.chunk(sending.offset);
        match &chunk {
            Some(chunk) => sending.offset += chunk.bytes.len() as u64,
            None => self.sending = None,
        }
        chunk.map(FeedMessage::Configuration)
    }

    fn next_roster(&mut self, state: &FeedState, now: u64) -> Option<FeedMessage> {
        let newest = state.roster.offset()?;
        if self.sent_roster.is_some_and(|sent| sent >= newest) {
            return None;
        }
        let changes = self.sent_roster.and_then(|base| state.roster.changes_since(base, now));
        let update = changes.or_else(|| state.roster.full_update(now))?;
        self.sent_roster = Some(newest);
        Some(FeedMessage::Roster(update))
    }

    fn next_grants(&mut self, state: &FeedState, now: u64) -> Option<FeedMessage> {
        if self.sent_grants_version == state.grants.version() {
            return None;
        }
        self.sent_grants_version = state.grants.version();
        let (grants, received_at) = state.grants.get()?;
        unexpired(grants, received_at, now).map(FeedMessage::Grants)
    }

    fn next_suspicions(&mut self, state: &FeedState) -> Option<FeedMessage> {
        if self.sent_suspicions_version == state.suspicions.version() {
            return None;
        }
        self.sent_suspicions_version = state.suspicions.version();
        let (suspicions, _) = state.suspicions.get()?;
        Some(FeedMessage::Suspicions(suspicions.clone()))
    }

    fn next_loads(&mut self, state: &FeedState, now: u64) -> Option<FeedMessage> {
        if self.sent_loads_version == state.loads.version() {
            return None;
        }
        self.sent_loads_version = state.loads.version();
        let (loads, received_at) = state.loads.get()?;
        (now < received_at + MAX_LOADS_AGE_US).then(|| FeedMessage::Loads(loads.clone()))
    }

    fn next_heartbeat(&mut self, state: &FeedState, period: u64, now: u64) -> Option<FeedMessage> {
        let heartbeat = state.heartbeat(now);
        let is_up_to_date = self.last_heartbeat.as_ref().is_some_and(|sent| {
            sent.configuration_version == heartbeat.configuration_version
                && sent.roster == heartbeat.roster
                && now < sent.at.saturating_add(period)
        });
        if is_up_to_date {
            return None;
        }
        let (configuration_version, roster) = (heartbeat.configuration_version, heartbeat.roster);
        self.last_heartbeat = Some(SentHeartbeat { at: now, configuration_version, roster });
        Some(FeedMessage::Heartbeat(heartbeat))
    }
}

/// The grants with their remaining lifetime at `now`; `None` if they have expired.
fn unexpired(grants: &GrantUpdate, received_at: u64, now: u64) -> Option<GrantUpdate> {
    let elapsed_ms = now.saturating_sub(received_at).div_ceil(MICROS_PER_MS);
    let valid_ms = grants.valid_ms.checked_sub(elapsed_ms).filter(|remaining_ms| *remaining_ms > 0)?;
    Some(GrantUpdate { valid_ms, ..grants.clone() })
}
