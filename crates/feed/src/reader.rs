//! The reading end of one connection.

use dunelink_protocol::{FeedMessage, Heartbeat};

use crate::roster::UpdateOutcome;
use crate::{ConfigurationAssembler, FeedError, FeedState};

/// Applies the messages of one connection to a state.
#[derive(Debug, Default)]
pub struct FeedReader {
    assembler: ConfigurationAssembler,
}

/// The part of the state that a message changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing changed: the message was a chunk of an incomplete configuration, or stale.
    Nothing,
    /// The configuration.
    Configuration,
    /// The roster.
    Roster,
    /// The freshness, by this heartbeat.
    Heartbeat(Heartbeat),
    /// The grants.
    Grants,
    /// The list of control machines.
    Members,
    /// The suspected servers.
    Suspicions,
    /// The requests in flight at the servers.
    Loads,
    /// Nothing changed, as the roster update starts from another position: the reader has to subscribe again.
    Resubscribe,
}

impl FeedReader {
    /// Creates the reader of a new connection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a message received at `now`.
    ///
    /// # Errors
    ///
    /// The message violates the protocol; the state is unchanged, and the connection must be closed.
    pub fn apply(
        &mut self,
        state: &mut FeedState,
        message: FeedMessage,
        now: u64,
    ) -> Result<Change, FeedError> {
        match message {
            FeedMessage::Configuration(chunk) => {
                let Some(configuration) = self.assembler.accept(chunk, state.configuration_version())? else {
                    return Ok(Change::Nothing);
                };
                state.configuration = Some(configuration);
                Ok(Change::Configuration)
            }
            FeedMessage::Roster(update) => Ok(match state.roster.apply(update, now)? {
                UpdateOutcome::Applied => Change::Roster,
                UpdateOutcome::Stale => Change::Nothing,
                UpdateOutcome::Gap => Change::Resubscribe,
            }),
            FeedMessage::Heartbeat(heartbeat) => {
                let has_roster = state.roster.offset().is_some_and(|offset| offset >= heartbeat.roster);
                state.freshness.update(&heartbeat, has_roster, now);
                Ok(Change::Heartbeat(heartbeat))
            }
            FeedMessage::Grants(grants) => {
                state.grants.set(grants, now);
                Ok(Change::Grants)
            }
            FeedMessage::Members(members) => {
                state.members = members;
                Ok(Change::Members)
            }
            FeedMessage::Suspicions(suspicions) => {
                state.suspicions.set(suspicions, now);
                Ok(Change::Suspicions)
            }
            FeedMessage::Loads(loads) => {
                state.loads.set(loads, now);
                Ok(Change::Loads)
            }
        }
    }

    /// Whether a configuration is partially received.
    pub fn is_assembling(&self) -> bool {
        self.assembler.is_partial()
    }
}
