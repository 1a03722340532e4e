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
    configuration_version: u64,
    sending: Option<ConfigurationTransfer>,
    roster: Option<RosterOffset>,
    grants: u64,
    suspicions: u64,
    loads: u64,
    heartbeat: Option<SentHeartbeat>,
}

/// A configuration that is being sent, and the offset of its next chunk. It shares the bytes until the last
/// chunk.
#[derive(Debug)]
struct ConfigurationTransfer {
    configuration: Configuration,
    offset: u64,
}

/// Time and contents of the last heartbeat sent.
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
            configuration_version: position.configuration_version,
            sending: None,
            roster,
            grants: 0,
            suspicions: 0,
            loads: 0,
            heartbeat: None,
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
            state.configuration.as_ref().filter(|newest| newest.version > self.configuration_version);
        if let Some(newest) = newest {
            self.configuration_version = newest.version;
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
        if self.roster.is_some_and(|sent| sent >= newest) {
            return None;
        }
        let changes = self.roster.and_then(|base| state.roster.changes_since(base, now));
        let update = changes.or_else(|| state.roster.full_update(now))?;
        self.roster = Some(newest);
        Some(FeedMessage::Roster(update))
    }

    fn next_grants(&mut self, state: &FeedState, now: u64) -> Option<FeedMessage> {
        if self.grants == state.grants.version() {
            return None;
        }
        self.grants = state.grants.version();
        let (grants, received_at) = state.grants.get()?;
        unexpired(grants, received_at, now).map(FeedMessage::Grants)
    }

    fn next_suspicions(&mut self, state: &FeedState) -> Option<FeedMessage> {
        if self.suspicions == state.suspicions.version() {
            return None;
        }
        self.suspicions = state.suspicions.version();
        let (suspicions, _) = state.suspicions.get()?;
        Some(FeedMessage::Suspicions(suspicions.clone()))
    }

    fn next_loads(&mut self, state: &FeedState, now: u64) -> Option<FeedMessage> {
        if self.loads == state.loads.version() {
            return None;
        }
        self.loads = state.loads.version();
        let (loads, received_at) = state.loads.get()?;
        (now < received_at + MAX_LOADS_AGE_US).then(|| FeedMessage::Loads(loads.clone()))
    }

    fn next_heartbeat(&mut self, state: &FeedState, period: u64, now: u64) -> Option<FeedMessage> {
        let heartbeat = state.heartbeat(now);
        let is_up_to_date = self.heartbeat.as_ref().is_some_and(|sent| {
            sent.configuration_version == heartbeat.configuration_version
                && sent.roster == heartbeat.roster
                && now < sent.at.saturating_add(period)
        });
        if is_up_to_date {
            return None;
        }
        let (configuration_version, roster) = (heartbeat.configuration_version, heartbeat.roster);
        self.heartbeat = Some(SentHeartbeat { at: now, configuration_version, roster });
        Some(FeedMessage::Heartbeat(heartbeat))
    }
}

/// The grants with their remaining lifetime at `now`; `None` if they have expired.
fn unexpired(grants: &GrantUpdate, received_at: u64, now: u64) -> Option<GrantUpdate> {
    let elapsed_ms = now.saturating_sub(received_at).div_ceil(MICROS_PER_MS);
    let valid_ms = grants.valid_ms.checked_sub(elapsed_ms).filter(|remaining_ms| *remaining_ms > 0)?;
    Some(GrantUpdate { valid_ms, ..grants.clone() })
}
