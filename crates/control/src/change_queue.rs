//! Orders of the operator that wait to be decided.
//!
//! One order is decided at a time: the next one is compared with the version that the one before it left in force.

use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::Bytes;

use crate::state::Digest;

/// Orders that may wait; the operator has at most eight under way.
const WAITING_ORDERS: usize = 32;
/// Bytes of bodies that may wait.
const WAITING_BYTES: usize = 48 * 1024 * 1024;

/// Number that the caller gave to a call, for its answer.
pub type CallId = u64;

/// What the operator is answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The configuration is in force or was taken before.
    Accepted,
    /// It builds on a version that is not the current one.
    Conflict {
        /// The current version.
        current: u64,
    },
    /// It can't be used.
    Invalid(String),
    /// The leader answers such calls; its control address.
    Redirect(SocketAddr),
    /// The outcome is not known, or nobody can decide now; the same call may be sent again.
    Unavailable(&'static str),
    /// The configuration in force.
    Configuration(Bytes),
    /// There is no configuration yet.
    NoConfiguration,
}

/// A configuration to put in force.
#[derive(Debug, Clone)]
pub struct ConfigurationChange {
    /// Version that it builds on.
    pub base: u64,
    /// Its version.
    pub version: u64,
    /// Identity of the order.
    pub digest: Digest,
    /// The operator's JSON.
    pub body: Bytes,
    /// Calls that wait for its outcome.
    pub calls: Vec<CallId>,
}

/// The orders under way.
#[derive(Debug, Default)]
pub struct ChangeQueue {
    /// The order that is being decided, with its ticket. Its body is in the log.
    proposed: Option<(u64, Digest, Vec<CallId>)>,
    waiting: VecDeque<ConfigurationChange>,
    tickets: u64,
}

impl ChangeQueue {
    /// Lets a call wait for the same order if that is under way; false if it is not.
    pub fn attach(&mut self, digest: &Digest, call: CallId) -> bool {
        if let Some((_, proposed, calls)) = &mut self.proposed
            && proposed == digest
        {
            calls.push(call);
            return true;
        }
        let same = self.waiting.iter_mut().find(|order| order.digest == *digest);
        same.map(|order| order.calls.push(call)).is_some()
    }

    /// Adds an order; false if too much is waiting.
    #[must_use]
    pub fn push(&mut self, order: ConfigurationChange) -> bool {
        let bytes: usize = self.waiting.iter().map(|order| order.body.len()).sum();
        let room = self.waiting.len() < WAITING_ORDERS && bytes + order.body.len() <= WAITING_BYTES;
        if room {
            self.waiting.push_back(order);
        }
        room
    }

    /// The next order, if none is being decided.
    pub fn take_next(&mut self) -> Option<ConfigurationChange> {
        if self.proposed.is_some() {
            return None;
        }
        self.waiting.pop_front()
    }

    /// Notes that an order is being decided; its ticket.
    pub fn begin_proposal(&mut self, digest: Digest, calls: Vec<CallId>) -> u64 {
        self.tickets += 1;
        self.proposed = Some((self.tickets, digest, calls));
        self.tickets
    }

    /// The order with this ticket is decided; who waits for it.
    pub fn finish_proposal(&mut self, ticket: u64) -> Option<(Digest, Vec<CallId>)> {
        let (_, digest, calls) = self.proposed.take_if(|(proposed, _, _)| *proposed == ticket)?;
        Some((digest, calls))
    }

    /// Whether this order is being decided.
    pub fn is_proposed(&self, digest: &Digest) -> bool {
        self.proposed.as_ref().is_some_and(|(_, proposed, _)| proposed == digest)
    }

    /// Gives up everything; the calls that waited.
    pub fn abandon_all(&mut self) -> Vec<CallId> {
        let mut calls: Vec<CallId> = self.waiting.drain(..).flat_map(|order| order.calls).collect();
        if let Some((_, _, waiting)) = self.proposed.take() {
            calls.extend(waiting);
        }
        calls
    }

    /// Whether nothing is under way.
    pub fn is_empty(&self) -> bool {
        self.proposed.is_none() && self.waiting.is_empty()
    }
}
