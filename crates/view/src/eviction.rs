//! Nodes that operators have put out of the fleet for a time: small facts of the view, so that all nodes go by the same.
//!
//! Who is out is no member: it holds no part but the floor, and is given nothing that one node does for all. It goes on
//! serving whoever asks it. An elector that is out still votes, as the number of votes needed must not shrink.

use std::collections::BTreeMap;
use std::fmt;

use crate::Micros;
use crate::process::{ElectorNames, Name};
use crate::view::{Change, View};

/// What the facts are called: this, and the name's number in hexadecimal.
const KEY: &str = "out ";
/// Bytes of a reason: facts have to fit a packet.
pub const MAX_REASON_BYTES: usize = 40;
/// The longest time for which a node may be put out, in seconds: a week.
pub const MAX_EVICTION_SECONDS: u64 = 7 * 24 * 3600;

/// Why something can't be decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Nothing is decided yet, or this node does not know of it.
    NoView,
    /// Only electors take this in.
    NotElector,
    /// Fewer than half of the nodes would be left.
    TooFewLeft,
    /// Electors that are out and restart could not vote, and no majority would be left.
    NoElectorMajority,
    /// The node is not out.
    NotEvicted,
    /// The reason is too long, or the time is.
    InvalidEviction,
    /// As many facts as fit are there.
    FactsFull,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Refusal::NoView => "this node knows of no view: it is cut off, or the fleet has just started",
            Refusal::NotElector => "ask one of the electors: other nodes' word on this does not count",
            Refusal::TooFewLeft => "fewer than half of the nodes would be left",
            Refusal::NoElectorMajority => {
                "no majority of electors would be left if those that are out restart"
            }
            Refusal::NotEvicted => "it is not out",
            Refusal::InvalidEviction => {
                "expected a reason of at most 40 bytes and a time of 1 second to 7 days"
            }
            Refusal::FactsFull => "there is no room for more decisions of this kind",
        })
    }
}

impl std::error::Error for Refusal {}

/// Since when this node has known who is out. Each counts by its own clock, so that whoever holds the chair knows when
/// the time is over; a chair that has just learned of it counts anew, which is later at most.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evictions(BTreeMap<String, (String, Micros)>);

fn key(name: Name) -> String {
    format!("{KEY}{name:x}")
}

impl Evictions {
    /// The change that puts a node out for so many seconds.
    pub fn evict(name: Name, seconds: u64, reason: &str) -> Change {
        Change::Set(key(name), format!("{seconds} {reason}"))
    }

    /// The change that lets it in again.
    pub fn restore(name: Name) -> Change {
        Change::Clear(key(name))
    }

    /// Whether a change is of this kind.
    pub fn is_eviction(change: &Change) -> bool {
        matches!(change, Change::Set(key, _) | Change::Clear(key) if key.starts_with(KEY))
    }

    /// Whether a node is out.
    pub fn is_evicted(view: &View, name: Name) -> bool {
        view.facts.contains_key(&key(name))
    }

    /// All that are out: for how many seconds from the decision on, and why.
    pub fn evicted(view: &View) -> impl Iterator<Item = (Name, u64, &str)> {
        view.facts.iter().filter_map(|(key, value)| {
            let name = Name::from_str_radix(key.strip_prefix(KEY)?, 16).ok()?;
            let (seconds, reason) = value.split_once(' ')?;
            Some((name, seconds.parse().ok()?, reason))
        })
    }

    /// Whether a change may be decided, in a fleet of so many nodes.
    pub(crate) fn may(
        change: &Change,
        view: &View,
        names: &ElectorNames,
        nodes: usize,
    ) -> Result<(), Refusal> {
        match change {
            Change::Set(fact, value) if fact.starts_with(KEY) => {
                let (seconds, reason) = value.split_once(' ').unwrap_or((value, ""));
                let sound =
                    seconds.parse().is_ok_and(|seconds| (1..=MAX_EVICTION_SECONDS).contains(&seconds));
                if !sound || reason.len() > MAX_REASON_BYTES {
                    return Err(Refusal::InvalidEviction);
                }
                let out: Vec<Name> = Evictions::evicted(view).map(|(name, ..)| name).collect();
                let name =
                    Name::from_str_radix(&fact[KEY.len()..], 16).map_err(|_| Refusal::InvalidEviction)?;
                let others = out.iter().filter(|other| **other != name);
                let electors = others.clone().filter(|other| names.contains(**other)).count();
                if 2 * (others.count() + 1) > nodes {
                    return Err(Refusal::TooFewLeft);
                }
                if names.contains(name) && names.iter().count() - electors - 1 < names.majority() {
                    return Err(Refusal::NoElectorMajority);
                }
            }
            Change::Clear(fact) if fact.starts_with(KEY) && !view.facts.contains_key(fact) => {
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

    /// A view is known from now on.
    pub(crate) fn see(&mut self, now: Micros, view: &View) {
        self.0.retain(|key, (value, _)| view.facts.get(key) == Some(value));
        for (key, value) in view.facts.iter().filter(|(key, _)| key.starts_with(KEY)) {
            self.0.entry(key.clone()).or_insert_with(|| (value.clone(), now));
        }
    }

    /// What is to be decided since a time is over.
    pub(crate) fn over(&self, now: Micros, view: &View) -> Option<Change> {
        let mut out = Evictions::evicted(view);
        out.find_map(|(name, seconds, _)| {
            let (_, since) = self.0.get(&key(name))?;
            (now.saturating_sub(*since) >= seconds.saturating_mul(1_000_000))
                .then(|| Evictions::restore(name))
        })
    }
}
