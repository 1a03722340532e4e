//! The reading end of one connection.

use dunelink_protocol::{FeedMessage, Heartbeat};

use crate::roster::UpdateOutcome;
use crate::{ConfigurationAssembler, FeedError, FeedState};

/// Takes the messages of one connection into a state.
#[derive(Debug, Default)]
pub struct FeedReader {
    assembly: ConfigurationAssembler,
}

/// What a message changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing: a part of a configuration that is still incomplete, or something old.
    Nothing,
    /// The configuration.
    Configuration,
    /// The roster.
    Roster,
    /// The freshness: a sign of life, as received.
    Heartbeat(Heartbeat),
    /// The grants.
    Grants,
    /// The list of control machines.
    Members,
    /// The servers suspected.
    Suspicions,
    /// The requests of the fleet at servers.
    Loads,
    /// Nothing, as the source's changes do not follow what is held: the reader has to subscribe anew.
    Resubscribe,
}

impl FeedReader {
    /// A reader for a new connection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a message received at `now`.
    ///
    /// # Errors
    ///
    /// The message breaks the rules of the feed; the state is as before, and the connection is of no use.
    pub fn apply(
        &mut self,
        state: &mut FeedState,
        message: FeedMessage,
        now: u64,
    ) -> Result<Change, FeedError> {
        match message {
            FeedMessage::Configuration(chunk) => {
                let Some(configuration) = self.assembly.accept(chunk, state.configuration_version())? else {
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
            FeedMessage::Heartbeat(tick) => {
                let roster_held = state.roster.offset().is_some_and(|held| held >= tick.roster);
                state.freshness.update(&tick, roster_held, now);
                Ok(Change::Heartbeat(tick))
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

    /// True while parts of a configuration are still to come.
    pub fn is_assembling(&self) -> bool {
        self.assembly.is_partial()
    }
}
