//! Leases granted by a majority of electors: at most one process holds a resource at any time, whatever
//! clocks, pauses and the network do, as long as the drift of all clocks stays within a known bound.
//!
//! The holder counts the lease from the moment of its request, on its own clock, and stops early; an elector
//! counts from the moment of its grant, and remembers the grant for longer. An elector that starts has lost
//! its grants: it grants nothing until every lease that the previous process of its name may have granted has
//! expired.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::process::{ElectorNames, Process};

/// What a lease is for: a number that all nodes derive in the same way from the resource's name.
pub type Resource = u64;

/// The largest number of resources that an elector remembers grants for.
const MAX_GRANTS: usize = 16_384;

/// How long leases last, and how accurate clocks are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseBounds {
    /// The duration of a lease.
    pub lease: Micros,
    /// The largest error of a clock's rate, in parts per million, fast or slow.
    pub drift_ppm: u64,
}

impl LeaseBounds {
    fn drift(&self) -> Micros {
        (self.lease * self.drift_ppm).div_ceil(1_000_000)
    }

    /// How long the holder may rely on a lease, on its own clock, from the moment of its request.
    pub fn holder_duration(&self) -> Micros {
        self.lease.saturating_sub(self.drift())
    }

    /// How long an elector reserves a resource for its holder, on its own clock, from the moment of its
    /// grant. In true time this is at least the lease duration, and [`Self::holder_duration`] is at most
    /// that.
    pub fn grantor_duration(&self) -> Micros {
        // lease / (1 - drift), and one microsecond for rounding.
        self.lease + 2 * self.drift() + 1
    }
}

/// Requests, renews or releases a lease at an elector.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The resource that the lease is for.
    pub resource: Resource,
    /// Matches a response to its request: the holder increases it with each request.
    pub number: u64,
    /// Whether the lease is released instead of requested.
    pub release: bool,
}

/// An elector's response to a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The resource that was requested.
    pub resource: Resource,
    /// The number of the request.
    pub number: u64,
    /// Whether the lease is granted. It is refused while another process holds it, and for some time after
    /// the elector has started. A release is always answered with `false`.
    pub granted: bool,
}

/// The elector's side of leases.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Grantor {
    bounds: LeaseBounds,
    /// The elector grants nothing before this time.
    grants_from: Micros,
    grants: BTreeMap<Resource, (Process, Micros)>,
    /// The highest request number answered for each process and resource: requests that arrive late are
    /// refused.
    answered: BTreeMap<(Process, Resource), u64>,
}

impl Grantor {
    /// An elector whose process starts at `now`.
    pub fn new(bounds: LeaseBounds, now: Micros) -> Grantor {
        let grants_from = now + bounds.grantor_duration();
        Grantor { bounds, grants_from, grants: BTreeMap::new(), answered: BTreeMap::new() }
    }

    /// Whether the elector grants leases: everything that the previous process of its name granted has
    /// expired.
    pub fn is_granting(&self, now: Micros) -> bool {
        now >= self.grants_from
    }

    /// Answers a request.
    pub fn handle(&mut self, now: Micros, from: Process, lease_request: LeaseRequest) -> LeaseResponse {
        let response = |granted| LeaseResponse {
            resource: lease_request.resource,
            number: lease_request.number,
            granted,
        };
        if !self.is_granting(now) {
            return response(false);
        }
        let answered = self.answered.get(&(from, lease_request.resource)).copied();
        if answered.is_some_and(|answered| lease_request.number < answered) {
            return response(false);
        }
        let held_by_other =
            self.grants.get(&lease_request.resource).filter(|(to, expiry)| *to != from && now < *expiry);
        if held_by_other.is_some() {
            return response(false);
        }
        if !self.grants.contains_key(&lease_request.resource) && self.grants.len() >= MAX_GRANTS {
            self.grants.retain(|_, (_, expiry)| now < *expiry);
            let grants = &self.grants;
            self.answered.retain(|(to, resource), _| grants.get(resource).is_some_and(|(by, _)| by == to));
            if self.grants.len() >= MAX_GRANTS {
                return response(false);
            }
        }
        self.answered.insert((from, lease_request.resource), lease_request.number);
        if lease_request.release {
            self.grants.remove(&lease_request.resource);
            return response(false);
        }
        self.grants.insert(lease_request.resource, (from, now + self.bounds.grantor_duration()));
        response(true)
    }

    /// The process that this elector has granted a resource to, if the grant has not expired.
    pub fn holder(&self, now: Micros, resource: Resource) -> Option<Process> {
        self.grants.get(&resource).filter(|(_, expiry)| now < *expiry).map(|(to, _)| *to)
    }
}

/// The holder's side of the lease on one resource.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    bounds: LeaseBounds,
    names: ElectorNames,
    resource: Resource,
    number: u64,
    asked_at: Micros,
    granted: BTreeSet<Process>,
    expiry: Micros,
}

impl LeaseHolder {
    /// A process that does not hold the resource.
    pub fn new(bounds: LeaseBounds, names: ElectorNames, resource: Resource) -> LeaseHolder {
        LeaseHolder { bounds, names, resource, number: 0, asked_at: 0, granted: BTreeSet::new(), expiry: 0 }
    }

    /// Creates a request to all electors, for a new lease or for a renewal.
    pub fn request(&mut self, now: Micros) -> LeaseRequest {
        self.number += 1;
        self.asked_at = now;
        self.granted.clear();
        LeaseRequest { resource: self.resource, number: self.number, release: false }
    }

    /// Creates a release; the lease is not held any more from now on.
    pub fn release(&mut self, now: Micros) -> LeaseRequest {
        self.expiry = 0;
        LeaseRequest { release: true, ..self.request(now) }
    }

    /// Takes in an elector's response; returns whether a majority has granted the request by now.
    pub fn handle(&mut self, from: Process, response: LeaseResponse) -> bool {
        let is_current = response.resource == self.resource && response.number == self.number;
        if !is_current || !response.granted || !self.names.contains(from.name) {
            return false;
        }
        // One vote for each name, whichever of its processes it comes from.
        self.granted.retain(|process| process.name != from.name);
        self.granted.insert(from);
        let has_majority = self.granted.len() >= self.names.majority();
        if has_majority {
            self.expiry = self.expiry.max(self.asked_at + self.bounds.holder_duration());
        }
        has_majority
    }

    /// Whether the lease is held at `now`. Check it again before each action that relies on it: after a pause
    /// the lease may have expired.
    pub fn is_held(&self, now: Micros) -> bool {
        now < self.expiry
    }

    /// When the lease expires unless it is renewed; 0 after a release.
    pub fn expires_at(&self) -> Micros {
        self.expiry
    }
}
