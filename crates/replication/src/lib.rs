//! Raft consensus as a state machine without I/O: replicated log, leader lease, membership changes.
//!
//! [`Replica`] implements Raft (Ongaro and Ousterhout, 2014) with pre-vote, leader leases on the monotonic
//! clock and joint consensus. The host calls [`Replica::handle`] with an [`Input`] and the current time, and
//! carries out the returned [`Output`]s in order. This crate opens no sockets or files, reads no clock and
//! starts no threads.
//!
//! Requirements on the host:
//! - It writes the records of one [`Output::Write`] in order, and separate writes in the order of their
//!   sequence numbers. It passes [`Input::Written`] only after the records are synced. After a failed write
//!   it consults [`WriteFence`] before each further write.
//! - It delivers a message only to the identity named in [`Output::Send`], and drops a message addressed to
//!   an older identity at the same address.
//! - It applies [`Output::Apply`] and [`Output::Restore`] in output order, before the proposal results that
//!   follow them.
#![forbid(unsafe_code)]

mod chunks;
mod codec;
mod disk;
mod election;
mod event;
mod follower;
mod handover;
mod leader;
mod lease;
mod log;
mod members;
mod message;
mod persistence;
mod progress;
mod quorum;
mod reconfigure;
mod record;
mod replica;
mod settings;
mod status;

pub use codec::{CodecError, decode, encode};
pub use disk::WriteFence;
pub use event::{Input, Output, ProposalError};
pub use members::{Member, Membership, ReplicaId};
pub use message::{Message, TransferHeader};
pub use record::{Entry, HardState, Payload, Record, RecoveredState, Snapshot};
pub use replica::Replica;
pub use settings::Settings;
pub use status::{PeerStatus, Role, Status};

/// Time on the monotonic clock of one machine, or a duration, in microseconds. The epoch is arbitrary.
pub type Micros = u64;
