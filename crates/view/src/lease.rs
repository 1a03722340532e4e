//! Leases from a majority of electors: at most one process holds a resource at any time, whatever clocks, pauses and
//! networks do, as long as clocks run at most so much faster or slower than true time.
//!
//! Who asks counts from the moment it asked, on its own clock, and stops early; an elector counts from the moment it
//! granted, and remembers longer. An elector that starts has forgotten what it granted: it grants nothing until every
//! lease that its name may have granted is over.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::process::{ElectorNames, Process};

/// What can be held: a number that all nodes derive from its name in the same way.
pub type Resource = u64;

/// Resources that an elector remembers at most.
const GRANTS_MOST: usize = 16_384;

/// How long leases last, and how true clocks are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseBounds {
    /// How long a lease lasts.
    pub lease: Micros,
    /// By how many millionths a clock may be fast or slow.
    pub drift_ppm: u64,
}

impl LeaseBounds {
    fn drifted(&self) -> Micros {
        (self.lease * self.drift_ppm).div_ceil(1_000_000)
    }

    /// For how long who holds it may act on it, on its own clock, from when it asked.
    pub fn holder_duration(&self) -> Micros {
        self.lease.saturating_sub(self.drifted())
    }

    /// For how long an elector keeps it for its holder, on its own clock, from when it granted. In true time that is
    /// at least a lease, and a holder's part at most one.
    pub fn grantor_duration(&self) -> Micros {
        // lease / (1 - drift), and a microsecond for what is rounded.
        self.lease + 2 * self.drifted() + 1
    }
}

/// Asks an elector for a resource, or for more of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// What.
    pub resource: Resource,
    /// Tells the answer's question: goes up with each.
    pub number: u64,
    /// Whether it is given back instead.
    pub release: bool,
}

/// What an elector answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// What was asked for.
    pub resource: Resource,
    /// In which question.
    pub number: u64,
    /// Whether it is granted; if not, another has it, or the elector has just started.
    pub granted: bool,
}

/// An elector's part.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Grantor {
    bounds: LeaseBounds,
    /// From when on it grants.
    from: Micros,
    grants: BTreeMap<Resource, (Process, Micros)>,
    /// The highest question of each that it has answered: what comes late is not taken.
    heard: BTreeMap<(Process, Resource), u64>,
}

impl Grantor {
    /// An elector that starts now.
    pub fn new(bounds: LeaseBounds, now: Micros) -> Grantor {
        let from = now + bounds.grantor_duration();
        Grantor { bounds, from, grants: BTreeMap::new(), heard: BTreeMap::new() }
    }

    /// Whether it grants: all that its name granted before is over.
    pub fn is_granting(&self, now: Micros) -> bool {
        now >= self.from
    }

    /// Answers a question.
    pub fn handle(&mut self, now: Micros, from: Process, ask: LeaseRequest) -> LeaseResponse {
        let answer = |granted| LeaseResponse { resource: ask.resource, number: ask.number, granted };
        if !self.is_granting(now) {
            return answer(false);
        }
        let heard = self.heard.get(&(from, ask.resource)).copied();
        if heard.is_some_and(|heard| ask.number < heard) {
            return answer(false);
        }
        let other = self.grants.get(&ask.resource).filter(|(to, until)| *to != from && now < *until);
        if other.is_some() {
            return answer(false);
        }
        if !self.grants.contains_key(&ask.resource) && self.grants.len() >= GRANTS_MOST {
            self.grants.retain(|_, (_, until)| now < *until);
            let grants = &self.grants;
            self.heard.retain(|(to, resource), _| grants.get(resource).is_some_and(|(by, _)| by == to));
            if self.grants.len() >= GRANTS_MOST {
                return answer(false);
            }
        }
        self.heard.insert((from, ask.resource), ask.number);
        if ask.release {
            self.grants.remove(&ask.resource);
            return answer(false);
        }
        self.grants.insert(ask.resource, (from, now + self.bounds.grantor_duration()));
        answer(true)
    }

    /// Who it has granted a resource to, if that is not over.
    pub fn holder(&self, now: Micros, resource: Resource) -> Option<Process> {
        self.grants.get(&resource).filter(|(_, until)| now < *until).map(|(to, _)| *to)
    }
}

/// What a process holds of one resource, or tries to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    bounds: LeaseBounds,
    names: ElectorNames,
    resource: Resource,
    number: u64,
    asked_at: Micros,
    granted: BTreeSet<Process>,
    until: Micros,
}

impl LeaseHolder {
    /// One that holds nothing.
    pub fn new(bounds: LeaseBounds, names: ElectorNames, resource: Resource) -> LeaseHolder {
        LeaseHolder { bounds, names, resource, number: 0, asked_at: 0, granted: BTreeSet::new(), until: 0 }
    }

    /// Asks all electors, at first or for more time.
    pub fn request(&mut self, now: Micros) -> LeaseRequest {
        self.number += 1;
        self.asked_at = now;
        self.granted.clear();
        LeaseRequest { resource: self.resource, number: self.number, release: false }
    }

    /// Gives it back: from now on it holds nothing.
    pub fn release(&mut self, now: Micros) -> LeaseRequest {
        self.until = 0;
        LeaseRequest { release: true, ..self.request(now) }
    }

    /// Takes in an elector's answer; whether it holds the resource by that from now on, or for longer.
    pub fn handle(&mut self, from: Process, answer: LeaseResponse) -> bool {
        let of_this = answer.resource == self.resource && answer.number == self.number;
        if !of_this || !answer.granted || !self.names.contains(from.name) {
            return false;
        }
        // One vote a name, whichever of its processes gives it.
        self.granted.retain(|process| process.name != from.name);
        self.granted.insert(from);
        let enough = self.granted.len() >= self.names.majority();
        if enough {
            self.until = self.until.max(self.asked_at + self.bounds.holder_duration());
        }
        enough
    }

    /// Whether it may act on the resource at this moment. Asked anew before each act: after a pause the answer is
    /// another.
    pub fn is_held(&self, now: Micros) -> bool {
        now < self.until
    }

    /// When it stops holding, if nothing more is granted.
    pub fn expires_at(&self) -> Micros {
        self.until
    }
}
