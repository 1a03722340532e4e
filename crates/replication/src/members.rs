//! Identity and membership of a replica group.

use std::fmt;
use std::net::SocketAddr;

use minicbor::{Decode, Encode};

use crate::codec;
use crate::record::{Entry, Payload};

/// Identity of one generation of a disk. A wiped disk gets a new one, at the same address too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct ReplicaId(#[n(0)] pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// One replica and where to reach it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Member {
    /// Identity of its disk generation.
    #[n(0)]
    pub id: ReplicaId,
    /// Address for replicas and agents.
    #[n(1)]
    #[cbor(with = "codec::address")]
    pub internal_address: SocketAddr,
    /// Address of its operator's API.
    #[n(2)]
    #[cbor(with = "codec::address")]
    pub control_address: SocketAddr,
    /// Failure zone, empty if unknown.
    #[n(3)]
    pub zone: String,
}

/// Who votes and who follows. With `incoming_voters` the change is joint: every decision needs a majority of both sets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Membership {
    /// Members whose majority decides.
    #[n(0)]
    pub voters: Vec<Member>,
    /// Voters after the change that is under way.
    #[n(1)]
    pub incoming_voters: Option<Vec<Member>>,
    /// Members that receive the log and do not vote.
    #[n(2)]
    pub learners: Vec<Member>,
}

impl Membership {
    /// A membership of voters only.
    pub fn of_voters(voters: Vec<Member>) -> Self {
        Self { voters, incoming_voters: None, learners: Vec::new() }
    }

    /// Whether no voter is known, as on a replica that has not yet joined.
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty()
    }

    /// Whether `id` votes, in either set.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.all_voters().any(|member| member.id == id)
    }

    /// Whether `id` is a learner.
    pub fn is_learner(&self, id: ReplicaId) -> bool {
        self.learners.iter().any(|member| member.id == id)
    }

    /// Whether `id` is in any role a member.
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.get(id).is_some()
    }

    /// The member `id`.
    pub fn get(&self, id: ReplicaId) -> Option<&Member> {
        self.all_members().find(|member| member.id == id)
    }

    /// All members, voters first. A voter of both sets comes once.
    pub fn all_members(&self) -> impl Iterator<Item = &Member> {
        self.all_voters().chain(self.learners.iter().filter(|learner| !self.is_voter(learner.id)))
    }

    /// Voters of both sets, each once.
    pub fn all_voters(&self) -> impl Iterator<Item = &Member> {
        let incoming_voters = self.incoming_voters.iter().flatten();
        let added = incoming_voters.filter(|member| !self.voters.iter().any(|voter| voter.id == member.id));
        self.voters.iter().chain(added)
    }
}

/// Memberships of the log by the index of their entry; the first is that of the snapshot.
#[derive(Clone, Debug)]
pub(crate) struct History {
    changes: Vec<(u64, Membership)>,
}

impl History {
    pub(crate) fn new(base: Option<(u64, Membership)>) -> Self {
        Self { changes: vec![base.unwrap_or_default()] }
    }

    /// Takes in an entry that was appended; whether it changes the membership.
    pub(crate) fn note(&mut self, entry: &Entry) -> bool {
        let Payload::Membership(membership) = &entry.payload else { return false };
        self.changes.push((entry.index, membership.clone()));
        true
    }

    /// Forgets changes by entries from `index` on; whether there were any.
    pub(crate) fn truncate(&mut self, index: u64) -> bool {
        let length = self.changes.len();
        let kept = self.changes.iter().skip(1).take_while(|(changed, _)| *changed < index).count();
        self.changes.truncate(1 + kept);
        self.changes.len() < length
    }

    /// Membership that is in force at the end of the log.
    pub(crate) fn newest(&self) -> &Membership {
        &self.changes[self.changes.len() - 1].1
    }

    /// Index of the entry that brought it.
    pub(crate) fn newest_index(&self) -> u64 {
        self.changes[self.changes.len() - 1].0
    }

    /// Membership in force at `index`, which is not before the first one kept.
    pub(crate) fn at(&self, index: u64) -> &Membership {
        let before = self.changes.iter().rev().find(|(changed, _)| *changed <= index);
        &before.unwrap_or(&self.changes[0]).1
    }

    /// Forgets what is only needed for entries before `index`.
    pub(crate) fn forget_before(&mut self, index: u64) {
        let needed = self.changes.iter().rposition(|(changed, _)| *changed <= index).unwrap_or(0);
        self.changes.drain(..needed);
    }
}
