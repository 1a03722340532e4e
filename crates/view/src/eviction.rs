//! Nodes that operators have temporarily excluded from the fleet. Evictions are facts of the view, so that
//! all nodes act on the same ones.
//!
//! An evicted node is no member: its share of the limits is the minimum, and it does not run any task that
//! one node does for the whole fleet. It still serves its clients. An evicted elector still votes, as the
//! number of votes needed must not shrink.

use std::collections::BTreeMap;
use std::fmt;

use crate::Micros;
use crate::process::{ElectorNames, Name};
use crate::view::{Change, View};

/// The prefix of eviction facts' keys; the node's name follows in hexadecimal.
const KEY_PREFIX: &str = "out ";
/// The largest size of a reason: facts have to fit a packet.
pub const MAX_REASON_BYTES: usize = 40;
/// The longest eviction, in seconds: one week.
pub const MAX_EVICTION_SECONDS: u64 = 7 * 24 * 3600;

/// Why a change cannot be decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No view is decided yet, or this node does not know of one.
    NoView,
    /// Only electors accept evictions.
    NotElector,
    /// Fewer than half of the nodes would be left.
    TooFewLeft,
    /// If the evicted electors restarted, they could not vote, and no majority of electors would be left.
    NoElectorMajority,
    /// The node is not evicted.
    NotEvicted,
    /// The reason or the duration is out of range.
    InvalidEviction,
    /// The view has no room for another fact.
    FactsFull,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Refusal::NoView => {
                "this node knows no view: it is partitioned from the fleet, or the fleet has just started"
            }
            Refusal::NotElector => {
                "send the request to an elector: evictions from other nodes are not accepted"
            }
            Refusal::TooFewLeft => "fewer than half of the nodes would be left in the fleet",
            Refusal::NoElectorMajority => "no majority of electors would be left if the evicted ones restart",
            Refusal::NotEvicted => "the node is not evicted",
            Refusal::InvalidEviction => {
                "expected a reason of at most 40 bytes and a duration of 1 second to 7 days"
            }
            Refusal::FactsFull => "the view has no room for more facts",
        })
    }
}

impl std::error::Error for Refusal {}

/// When this node learned of each eviction, by the fact's key: the fact's value and the time. Each node
/// measures evictions on its own clock, so that whichever node holds the proposer lease knows when one ends;
/// a new proposer that has only just learned of an eviction counts from that moment, and so ends it later
/// rather than earlier.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evictions(BTreeMap<String, (String, Micros)>);

fn key(name: Name) -> String {
    format!("{KEY_PREFIX}{name:x}")
}

impl Evictions {
    /// The change that evicts a node for `seconds`.
    pub fn evict(name: Name, seconds: u64, reason: &str) -> Change {
        Change::Set(key(name), format!("{seconds} {reason}"))
    }

    /// The change that ends a node's eviction.
    pub fn restore(name: Name) -> Change {
        Change::Clear(key(name))
    }

    /// Whether a change starts or ends an eviction.
    pub fn is_eviction(change: &Change) -> bool {
        matches!(change, Change::Set(key, _) | Change::Clear(key) if key.starts_with(KEY_PREFIX))
    }

    /// Whether a node is evicted in this view.
    pub fn is_evicted(view: &View, name: Name) -> bool {
        view.facts.contains_key(&key(name))
    }

    /// All evicted nodes with the duration in seconds, counted from the decision, and the reason.
    pub fn evicted(view: &View) -> impl Iterator<Item = (Name, u64, &str)> {
        view.facts.iter().filter_map(|(key, value)| {
            let name = Name::from_str_radix(key.strip_prefix(KEY_PREFIX)?, 16).ok()?;
            let (seconds, reason) = value.split_once(' ')?;
            Some((name, seconds.parse().ok()?, reason))
        })
    }

    /// Whether a change may be decided in a fleet of `nodes` configured nodes.
    pub(crate) fn validate(
        change: &Change,
        view: &View,
        names: &ElectorNames,
        nodes: usize,
    ) -> Result<(), Refusal> {
        match change {
            Change::Set(fact, value) if fact.starts_with(KEY_PREFIX) => {
                let (seconds, reason) = value.split_once(' ').unwrap_or((value, ""));
                let valid_duration =
                    seconds.parse().is_ok_and(|seconds| (1..=MAX_EVICTION_SECONDS).contains(&seconds));
                if !valid_duration || reason.len() > MAX_REASON_BYTES {
                    return Err(Refusal::InvalidEviction);
                }
                let evicted_names: Vec<Name> = Evictions::evicted(view).map(|(name, ..)| name).collect();
                let name = Name::from_str_radix(&fact[KEY_PREFIX.len()..], 16)
                    .map_err(|_| Refusal::InvalidEviction)?;
                let other_evicted = evicted_names.iter().filter(|other| **other != name);
                let evicted_electors = other_evicted.clone().filter(|other| names.contains(**other)).count();
                if 2 * (other_evicted.count() + 1) > nodes {
                    return Err(Refusal::TooFewLeft);
                }
                if names.contains(name) && names.iter().count() - evicted_electors - 1 < names.majority() {
                    return Err(Refusal::NoElectorMajority);
                }
            }
            Change::Clear(fact) if fact.starts_with(KEY_PREFIX) && !view.facts.contains_key(fact) => {
                return Err(Refusal::NotEvicted);
            }
            _ => {}
        }
        match change {
            Change::Set(fact, value)
                if view.facts.get(fact) != Some(value) && view.apply(change, false).is_none() =>
            {
                Err(Refusal::FactsFull)
            }
            _ => Ok(()),
        }
    }

    /// Records the evictions of a newly decided view.
    pub(crate) fn record_view(&mut self, now: Micros, view: &View) {
        self.0.retain(|key, (value, _)| view.facts.get(key) == Some(value));
        for (key, value) in view.facts.iter().filter(|(key, _)| key.starts_with(KEY_PREFIX)) {
            self.0.entry(key.clone()).or_insert_with(|| (value.clone(), now));
        }
    }

    /// The change that ends an eviction whose time is over, if there is one.
    pub(crate) fn expired(&self, now: Micros, view: &View) -> Option<Change> {
        let mut evicted_names = Evictions::evicted(view);
        evicted_names.find_map(|(name, seconds, _)| {
            let (_, since) = self.0.get(&key(name))?;
            (now.saturating_sub(*since) >= seconds.saturating_mul(1_000_000))
                .then(|| Evictions::restore(name))
        })
    }
}
