//! The serving end of one connection.

use dunelink_protocol::{FeedMessage, FeedPosition, GrantUpdate, RosterOffset};

use crate::{Configuration, FeedState};

/// Microseconds in a millisecond.
const MICROS: u64 = 1_000;
/// Loads that were received longer ago say nothing any more, in microseconds.
const LOADS_FOR: u64 = 500_000;

/// Tells one reader what it lacks, one message at a time.
///
/// Messages are made when the connection can take them, from the state as it is then: a slow reader gets the
/// newest of everything and nothing that is outdated.
#[derive(Debug)]
pub struct FeedSource {
    configuration_version: u64,
    sending: Option<Sending>,
    roster: Option<RosterOffset>,
    grants: u64,
    suspicions: u64,
    loads: u64,
    tick: Option<SentTick>,
}

/// A configuration that is being sent, and where its next part begins. It holds the bytes until the last part.
#[derive(Debug)]
struct Sending {
    configuration: Configuration,
    offset: u64,
}

/// When the last sign of life was sent, and what it told.
#[derive(Debug)]
struct SentTick {
    at: u64,
    configuration_version: u64,
    roster: RosterOffset,
}

impl FeedSource {
    /// Serves a reader that stands where `subscribe` tells.
    pub fn new(subscribe: &FeedPosition) -> Self {
        let roster = Some(subscribe.roster).filter(|offset| *offset != RosterOffset::default());
        Self {
            configuration_version: subscribe.configuration_version,
            sending: None,
            roster,
            grants: 0,
            suspicions: 0,
            loads: 0,
            tick: None,
        }
    }

    /// Serves a reader that has nothing.
    pub fn for_empty_reader() -> Self {
        Self::new(&FeedPosition { configuration_version: 0, roster: RosterOffset::default() })
    }

    /// The next message to send at `now`; nothing if the reader has everything. A sign of life is due when what it
    /// tells has changed, or `tick_period` microseconds after the one before.
    pub fn next_message(&mut self, state: &FeedState, tick_period: u64, now: u64) -> Option<FeedMessage> {
        self.next_configuration(state)
            .or_else(|| self.next_roster(state, now))
            .or_else(|| self.next_grants(state, now))
            .or_else(|| self.next_suspicions(state))
            .or_else(|| self.next_loads(state, now))
            .or_else(|| self.next_tick(state, tick_period, now))
    }

    fn next_configuration(&mut self, state: &FeedState) -> Option<FeedMessage> {
        let newest =
            state.configuration.as_ref().filter(|newest| newest.version > self.configuration_version);
        if let Some(newest) = newest {
            self.configuration_version = newest.version;
            self.sending = Some(Sending { configuration: newest.clone(), offset: 0 });
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
        remaining(grants, received_at, now).map(FeedMessage::Grants)
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
        (now < received_at + LOADS_FOR).then(|| FeedMessage::Loads(loads.clone()))
    }

    fn next_tick(&mut self, state: &FeedState, period: u64, now: u64) -> Option<FeedMessage> {
        let tick = state.heartbeat(now);
        let told = self.tick.as_ref().is_some_and(|sent| {
            sent.configuration_version == tick.configuration_version
                && sent.roster == tick.roster
                && now < sent.at.saturating_add(period)
        });
        if told {
            return None;
        }
        let (configuration_version, roster) = (tick.configuration_version, tick.roster);
        self.tick = Some(SentTick { at: now, configuration_version, roster });
        Some(FeedMessage::Heartbeat(tick))
    }
}

/// The grants with the validity that is left; nothing once they have run out.
fn remaining(grants: &GrantUpdate, received_at: u64, now: u64) -> Option<GrantUpdate> {
    let held_ms = now.saturating_sub(received_at).div_ceil(MICROS);
    let valid_ms = grants.valid_ms.checked_sub(held_ms).filter(|left| *left > 0)?;
    Some(GrantUpdate { valid_ms, ..grants.clone() })
}
