//! Configuration changes of the operator that wait for a decision.
//!
//! Changes are decided one at a time: each is compared with the version that the previous one left current.

use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::Bytes;

use crate::state::Digest;

/// Most queued changes; the operator has at most eight in flight.
const MAX_QUEUED: usize = 32;
/// Most bytes of the bodies of queued changes.
const MAX_QUEUED_BYTES: usize = 48 * 1024 * 1024;

/// Number of a call, by which its reply finds the caller.
pub type CallId = u64;

/// Reply to a call of the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The change was applied, now or earlier.
    Accepted,
    /// The base is not the current version.
    Conflict {
        /// The current version.
        current: u64,
    },
    /// The request or the configuration is invalid, for this reason.
    Invalid(String),
    /// Only the leader can answer; its control address.
    Redirect(SocketAddr),
    /// The outcome is unknown or there is no leader, with a text for the caller; the same call may be sent
    /// again.
    Unavailable(&'static str),
    /// The current configuration: the operator's JSON.
    Configuration(Bytes),
    /// There is no configuration yet.
    NoConfiguration,
}

/// A change that replaces the configuration.
#[derive(Debug, Clone)]
pub struct ConfigurationChange {
    /// Version that it replaces; 0 for the first configuration.
    pub base: u64,
    /// Version of the new configuration.
    pub version: u64,
    /// Digest of the base version and the body, which identifies the change.
    pub digest: Digest,
    /// The new configuration: the operator's JSON.
    pub body: Bytes,
    /// Calls that wait for the outcome.
    pub calls: Vec<CallId>,
}

/// The changes that are proposed or queued.
#[derive(Debug, Default)]
pub struct ChangeQueue {
    /// The proposed change: its ticket, its digest and the calls that wait for it. Its body is in the log.
    proposed: Option<(u64, Digest, Vec<CallId>)>,
    queue: VecDeque<ConfigurationChange>,
    /// Ticket of the last proposal.
    last_ticket: u64,
}

impl ChangeQueue {
    /// Adds a call to the same change if that is proposed or queued; false if it is not.
    pub fn attach(&mut self, digest: &Digest, call: CallId) -> bool {
        if let Some((_, proposed, calls)) = &mut self.proposed
            && proposed == digest
        {
            calls.push(call);
            return true;
        }
        let same = self.queue.iter_mut().find(|change| change.digest == *digest);
        same.map(|change| change.calls.push(call)).is_some()
    }

    /// Queues a change; false if the queue is full.
    #[must_use]
    pub fn push(&mut self, change: ConfigurationChange) -> bool {
        let bytes: usize = self.queue.iter().map(|change| change.body.len()).sum();
        let fits = self.queue.len() < MAX_QUEUED && bytes + change.body.len() <= MAX_QUEUED_BYTES;
        if fits {
            self.queue.push_back(change);
        }
        fits
    }

    /// Takes the next change; `None` while a proposal is undecided.
    pub fn take_next(&mut self) -> Option<ConfigurationChange> {
        if self.proposed.is_some() {
            return None;
        }
        self.queue.pop_front()
    }

    /// Records a change as proposed and returns its ticket.
    pub fn begin_proposal(&mut self, digest: Digest, calls: Vec<CallId>) -> u64 {
        self.last_ticket += 1;
        self.proposed = Some((self.last_ticket, digest, calls));
        self.last_ticket
    }

    /// Removes the proposal with this ticket; returns its digest and the calls that wait for it.
    pub fn finish_proposal(&mut self, ticket: u64) -> Option<(Digest, Vec<CallId>)> {
        let (_, digest, calls) = self.proposed.take_if(|(proposed, _, _)| *proposed == ticket)?;
        Some((digest, calls))
    }

    /// Whether the change with this digest is proposed.
    pub fn is_proposed(&self, digest: &Digest) -> bool {
        self.proposed.as_ref().is_some_and(|(_, proposed, _)| proposed == digest)
    }

    /// Drops the proposal and all queued changes; returns the calls that wait for them.
    pub fn abandon_all(&mut self) -> Vec<CallId> {
        let mut calls: Vec<CallId> = self.queue.drain(..).flat_map(|change| change.calls).collect();
        if let Some((_, _, waiting)) = self.proposed.take() {
            calls.extend(waiting);
        }
        calls
    }

    /// Whether no change is proposed or queued.
    pub fn is_empty(&self) -> bool {
        self.proposed.is_none() && self.queue.is_empty()
    }
}
