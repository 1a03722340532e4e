//! Replica identities and group membership.

use std::fmt;
use std::net::SocketAddr;

use minicbor::{Decode, Encode};

use crate::codec;
use crate::record::{Entry, Payload};

/// Identity of one generation of a replica's disk. A replica whose disk was wiped gets a new identity, even
/// if its address is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct ReplicaId(#[n(0)] pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// A replica and its addresses.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Member {
    /// Identity of the disk generation.
    #[n(0)]
    pub id: ReplicaId,
    /// Address for traffic from other replicas and from agents.
    #[n(1)]
    #[cbor(with = "codec::address")]
    pub internal_address: SocketAddr,
    /// Address of the operator API.
    #[n(2)]
    #[cbor(with = "codec::address")]
    pub control_address: SocketAddr,
    /// Failure zone; empty if unknown.
    #[n(3)]
    pub zone: String,
}

/// Voters and learners of a group. While `incoming_voters` is set, a joint change is under way: every
/// decision needs a majority of both voter sets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Membership {
    /// Members whose majority elects leaders and commits entries.
    #[n(0)]
    pub voters: Vec<Member>,
    /// Voter set after the joint change under way; `None` if there is none.
    #[n(1)]
    pub incoming_voters: Option<Vec<Member>>,
    /// Members that receive the log but do not vote.
    #[n(2)]
    pub learners: Vec<Member>,
}

impl Membership {
    /// A membership without learners.
    pub fn of_voters(voters: Vec<Member>) -> Self {
        Self { voters, incoming_voters: None, learners: Vec::new() }
    }

    /// Whether there are no voters, as on a replica that has not joined yet.
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty()
    }

    /// Whether `id` is in either voter set.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.all_voters().any(|member| member.id == id)
    }

    /// Whether `id` is a learner.
    pub fn is_learner(&self, id: ReplicaId) -> bool {
        self.learners.iter().any(|member| member.id == id)
    }

    /// Whether `id` is a member in any role.
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.get(id).is_some()
    }

    /// The member with this identity.
    pub fn get(&self, id: ReplicaId) -> Option<&Member> {
        self.all_members().find(|member| member.id == id)
    }

    /// All members, voters first, each once.
    pub fn all_members(&self) -> impl Iterator<Item = &Member> {
        self.all_voters().chain(self.learners.iter().filter(|learner| !self.is_voter(learner.id)))
    }

    /// The voters of both sets, each once.
    pub fn all_voters(&self) -> impl Iterator<Item = &Member> {
        let incoming_voters = self.incoming_voters.iter().flatten();
        let added = incoming_voters.filter(|member| !self.voters.iter().any(|voter| voter.id == member.id));
        self.voters.iter().chain(added)
    }
}

/// Memberships in the log as (entry index, membership), in index order. The first one is that of the
/// snapshot.
#[derive(Clone, Debug)]
pub(crate) struct MembershipHistory {
    changes: Vec<(u64, Membership)>,
}

impl MembershipHistory {
    pub(crate) fn new(base: Option<(u64, Membership)>) -> Self {
        Self { changes: vec![base.unwrap_or_default()] }
    }

    /// Records an appended entry; returns whether it changes the membership.
    pub(crate) fn record_entry(&mut self, entry: &Entry) -> bool {
        let Payload::Membership(membership) = &entry.payload else { return false };
        self.changes.push((entry.index, membership.clone()));
        true
    }

    /// Removes the changes made by entries at and after `index`; returns whether there were any.
    pub(crate) fn truncate(&mut self, index: u64) -> bool {
        let previous_length = self.changes.len();
        let kept = self.changes.iter().skip(1).take_while(|(changed, _)| *changed < index).count();
        self.changes.truncate(1 + kept);
        self.changes.len() < previous_length
    }

    /// Membership in force at the end of the log.
    pub(crate) fn latest(&self) -> &Membership {
        &self.changes[self.changes.len() - 1].1
    }

    /// Index of the entry that introduced the latest membership.
    pub(crate) fn latest_index(&self) -> u64 {
        self.changes[self.changes.len() - 1].0
    }

    /// Membership in force at `index`. The first membership kept applies to all earlier indices.
    pub(crate) fn at(&self, index: u64) -> &Membership {
        let before = self.changes.iter().rev().find(|(changed, _)| *changed <= index);
        &before.unwrap_or(&self.changes[0]).1
    }

    /// Removes memberships that were superseded at or before `index`.
    pub(crate) fn compact(&mut self, index: u64) {
        let needed = self.changes.iter().rposition(|(changed, _)| *changed <= index).unwrap_or(0);
        self.changes.drain(..needed);
    }
}
