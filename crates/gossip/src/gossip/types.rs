//! Settings, inputs, outputs and views of a gossip node.

use std::net::SocketAddr;

use cherryusher::{PeerSuspicion, ServerObservation};

use crate::Micros;
use crate::evidence::Witness;
use crate::keys::{KeyRing, MemberId, Secret};
use crate::members::Liveness;
use crate::position::FleetPosition;

/// The largest payload of one packet.
pub const MAX_PAYLOAD_BYTES: usize = 1000;

/// Fixed settings of one node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's name, which has to be in the ring.
    pub name: String,
    /// The address at which other members reach the node.
    pub address: SocketAddr,
    /// The addresses at which it tries to join.
    pub seeds: Vec<SocketAddr>,
    /// The time between two regular probes.
    pub probe_period: Micros,
    /// The largest number of bytes sent in any second, including UDP and IP headers.
    pub max_bytes_per_second: u32,
    /// The configured number of nodes of the fleet.
    pub configured_nodes: u32,
    /// The seed for random numbers, among them the number that identifies this process: it must differ at
    /// each start.
    pub seed: u64,
    /// The number of the first statement, which should be higher than any used earlier under this name. A
    /// number that is too low is raised once other members report the known one.
    pub first_statement_number: u64,
}

/// An event for the gossip node.
#[derive(Debug)]
pub enum Input<'a> {
    /// A packet was received from this address.
    Packet(SocketAddr, &'a [u8]),
    /// Time has passed.
    Tick,
    /// All of this node's own recent observations of servers.
    Observations(Vec<ServerObservation>),
    /// Bytes to deliver to a member's process, at most [`MAX_PAYLOAD_BYTES`].
    SendPayload(MemberId, Vec<u8>),
    /// Replaces the key ring and this node's secret.
    Keys(KeyRing, Secret),
    /// This node leaves, temporarily or permanently.
    Leave {
        /// Whether it will be back shortly.
        restarts: bool,
    },
}

/// An action for the adapter, or a notification.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this packet to this address.
    Send(SocketAddr, Vec<u8>),
    /// The weighed suspicions of other nodes, replacing all earlier ones.
    Suspicions(Vec<PeerSuspicion>),
    /// The number of nodes or this node's rank has changed.
    FleetPosition(FleetPosition),
    /// Bytes that a member's process sent: the member, the process's instance and the bytes.
    PayloadReceived(MemberId, u64, Vec<u8>),
    /// Something to log: at most one event of each kind per member and minute.
    LogEvent(LogEvent),
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A member is alive.
    MemberUp(String),
    /// A member does not answer any more.
    MemberDown(String),
    /// Another process uses this node's name.
    DuplicateName,
    /// A member's statement contains ages that are not possible.
    InvalidAges(String),
    /// This process was paused for this long.
    ProcessPaused(Micros),
}

/// Counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Packets sent.
    pub packets_sent: u64,
    /// Bytes sent, including UDP and IP headers.
    pub bytes_sent: u64,
    /// Packets not sent because of the rate limit.
    pub throttled: u64,
    /// Packets accepted.
    pub accepted: u64,
    /// Packets dropped because their address or member sent too many.
    pub rate_limited: u64,
    /// Packets that are malformed or in a version that is not supported.
    pub malformed: u64,
    /// Packets from unknown members or with an invalid signature.
    pub unauthenticated: u64,
    /// Packets received before, or addressed to another process.
    pub replayed: u64,
    /// Signatures checked.
    pub signatures_checked: u64,
}

/// A member, as this node sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberView {
    /// The member's name.
    pub name: String,
    /// The address at which it is reached.
    pub address: SocketAddr,
    /// Its state.
    pub liveness: Liveness,
    /// How long it has been in this state.
    pub liveness_age: Micros,
    /// Its position in the ring.
    pub rank: u32,
    /// How much its reports about servers count, from 0 to 1.
    pub credit: f64,
}

/// A server that other nodes suspect, with their reports.
#[derive(Clone, Debug, PartialEq)]
pub struct SuspicionView {
    /// The server's id.
    pub server: u64,
    /// The strength of the suspicion, from 0 to 1.
    pub level: f64,
    /// The reports, each with its witness's name.
    pub witnesses: Vec<(String, Witness)>,
}
