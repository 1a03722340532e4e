//! What a node of gossip is told, says, and shows.

use std::net::SocketAddr;

use cherryusher::{PeerSuspicion, ServerObservation};

use crate::Micros;
use crate::evidence::Witness;
use crate::keys::{KeyRing, MemberId, Secret};
use crate::members::Liveness;
use crate::position::FleetPosition;

/// Bytes that can be carried in one packet.
pub const MAX_PAYLOAD_BYTES: usize = 1000;

/// What a node is told once.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name, which is in the ring.
    pub name: String,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Where it asks to be let in.
    pub seeds: Vec<SocketAddr>,
    /// How often a member is asked whether it is there.
    pub probe_period: Micros,
    /// The most bytes that it sends in any second, headers of UDP and IP included.
    pub max_bytes_per_second: u32,
    /// How many nodes there are meant to be.
    pub configured_nodes: u32,
    /// For random numbers, and for telling this process from the one before: never the same twice.
    pub seed: u64,
    /// The number of its first statement: higher than any that its name had before. One that is not is raised
    /// once others say what they know.
    pub first_statement_number: u64,
}

/// What happened.
#[derive(Debug)]
pub enum Input<'a> {
    /// A packet came.
    Packet(SocketAddr, &'a [u8]),
    /// Time has passed.
    Tick,
    /// What this node has seen of servers lately, by itself: all of it.
    Observations(Vec<ServerObservation>),
    /// Bytes for a member's process that are none of gossip's business, at most [`MAX_PAYLOAD_BYTES`].
    SendPayload(MemberId, Vec<u8>),
    /// Other keys count from now on.
    Keys(KeyRing, Secret),
    /// This node goes, for a moment or for good.
    Leave {
        /// Whether it will be back in a moment.
        restarts: bool,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a packet.
    Send(SocketAddr, Vec<u8>),
    /// What others say of servers, weighed: all of it.
    Suspicions(Vec<PeerSuspicion>),
    /// The number of nodes or this node's place has changed.
    FleetPosition(FleetPosition),
    /// Bytes that a member's process, told by its instance, had carried here.
    PayloadReceived(MemberId, u64, Vec<u8>),
    /// Something for the log, never more than one of a kind in a minute for each member.
    LogEvent(LogEvent),
}

/// Something for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A member is there.
    MemberUp(String),
    /// A member does not answer any more.
    MemberDown(String),
    /// Another process goes by this node's name.
    DuplicateName,
    /// A member tells ages that can't be.
    InvalidAges(String),
    /// This process stood still for so long.
    ProcessPaused(Micros),
}

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Packets sent, and their bytes with the headers of UDP and IP.
    pub packets_sent: u64,
    /// Bytes of those.
    pub bytes_sent: u64,
    /// Packets that the ceiling kept back.
    pub throttled: u64,
    /// Packets taken in.
    pub accepted: u64,
    /// Packets from addresses or members that send too many.
    pub rate_limited: u64,
    /// Packets that can't be read, or are of no version that is spoken.
    pub malformed: u64,
    /// Packets of strangers, or whose signature does not hold.
    pub unauthenticated: u64,
    /// Packets met before, or meant for another process.
    pub replayed: u64,
    /// Signatures that were checked.
    pub signatures_checked: u64,
}

/// A member, as this node sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberView {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// How it stands.
    pub liveness: Liveness,
    /// For how long it has stood so.
    pub liveness_age: Micros,
    /// Its place in the ring.
    pub rank: u32,
    /// How far its word on servers is believed, from 0 to 1.
    pub credit: f64,
}

/// A server that others suspect, and who does.
#[derive(Clone, Debug, PartialEq)]
pub struct SuspicionView {
    /// The server's id.
    pub server: u64,
    /// The doubt about it.
    pub level: f64,
    /// Witnesses by name.
    pub witnesses: Vec<(String, Witness)>,
}
