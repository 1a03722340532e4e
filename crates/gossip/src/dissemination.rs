//! Which updates to send next: each new statement is sent a number of times that grows with the logarithm of
//! the number of nodes, the least-sent ones first; statements that add nothing to what others reported are
//! sent once.

use std::collections::{BTreeMap, VecDeque};

use crate::keys::MemberId;
use crate::packet::Accusation;

/// Transmissions of a statement, as a multiple of the base-2 logarithm of the number of nodes.
const TRANSMISSION_FACTOR: f64 = 2.0;
/// The largest number of accusations queued for sending.
const MAX_QUEUED_ACCUSATIONS: usize = 64;

/// With more queued statements than this, each is sent at most [`MAX_TRANSMISSIONS_WHEN_FULL`] times.
const FULL_QUEUE: usize = 48;
/// Transmissions of each statement while the queue is full.
pub(crate) const MAX_TRANSMISSIONS_WHEN_FULL: u32 = 2;
/// An accusation is urgent until it has been sent this many times.
const URGENT_TRANSMISSIONS: u32 = 4;

/// How often each update is sent in a fleet of this many nodes.
pub(crate) fn transmission_limit(nodes: usize) -> u32 {
    (TRANSMISSION_FACTOR * ((nodes + 1) as f64).log2()).ceil().max(2.0) as u32
}

#[derive(Default)]
pub(crate) struct UpdateQueue {
    /// The number of transmissions so far of each member's statement.
    statements: BTreeMap<MemberId, u32>,
    /// Queued accusations, each with its number of transmissions so far.
    accusations: VecDeque<(Accusation, u32)>,
}

impl UpdateQueue {
    /// Queues a member's new statement.
    pub(crate) fn push(&mut self, id: MemberId) {
        self.statements.insert(id, 0);
    }

    pub(crate) fn has_updates(&self) -> bool {
        !self.statements.is_empty() || !self.accusations.is_empty()
    }

    /// Whether more is queued than pushing can spread efficiently: nodes that lack statements request them.
    pub(crate) fn is_full(&self) -> bool {
        self.statements.len() > FULL_QUEUE
    }

    /// Whether there is an accusation that was not sent often yet.
    pub(crate) fn is_urgent(&self) -> bool {
        self.accusations.iter().any(|(_, sent)| *sent < URGENT_TRANSMISSIONS)
    }

    /// Drops accusations of a member that has responded or is known to be dead.
    pub(crate) fn drop_accusations(&mut self, accused: MemberId) {
        self.accusations.retain(|(accusation, _)| accusation.accused != accused);
    }

    /// The members whose statements are queued.
    pub(crate) fn statements(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.statements.keys().copied()
    }

    /// Picks up to `space` bytes of the least-sent statements. `size` returns the size of a member's
    /// statement, `None` if it is no longer known; `max_sent` returns how often it should be sent in all.
    pub(crate) fn pick(
        &mut self,
        mut space: usize,
        size: impl Fn(MemberId) -> Option<usize>,
        max_sent: impl Fn(MemberId) -> u32,
    ) -> Vec<MemberId> {
        let mut by_sent: Vec<(u32, MemberId)> =
            self.statements.iter().map(|(id, sent)| (*sent, *id)).collect();
        by_sent.sort_unstable();
        let mut picked = Vec::new();
        for (sent, id) in by_sent {
            match size(id) {
                Some(size) if size <= space => {
                    space -= size;
                    picked.push(id);
                    if sent + 1 >= max_sent(id) {
                        self.statements.remove(&id);
                    } else {
                        self.statements.insert(id, sent + 1);
                    }
                }
                Some(_) => {}
                None => drop(self.statements.remove(&id)),
            }
        }
        picked
    }

    /// Queues an accusation.
    pub(crate) fn accuse(&mut self, accusation: Accusation) {
        let is_same = |(known, _): &(Accusation, u32)| *known == accusation;
        if !self.accusations.iter().any(is_same) {
            self.accusations.truncate(MAX_QUEUED_ACCUSATIONS - 1);
            self.accusations.push_front((accusation, 0));
        }
    }

    /// Returns up to `max_count` of the least-sent accusations.
    pub(crate) fn accusations(&mut self, max_count: usize, transmission_limit: u32) -> Vec<Accusation> {
        self.accusations.make_contiguous().sort_by_key(|(_, sent)| *sent);
        let picked = self.accusations.iter_mut().take(max_count);
        let picked = picked.map(|(accusation, sent)| (*sent += 1, *accusation).1).collect();
        self.accusations.retain(|(_, sent)| *sent < transmission_limit.div_ceil(2));
        picked
    }
}
