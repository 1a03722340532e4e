//! Replicated state by majority: log, leader lease, change of members; no I/O.
//!
//! [`Replica`] is a state machine in the manner of Raft (Ongaro and Ousterhout, 2014) with pre-vote, leases on the
//! steady clock and joint consensus. The host calls [`Replica::handle`] with an [`Input`] and the time, and carries
//! out the [`Output`]s in their order. Nothing here opens a socket or a file, reads a clock or starts a thread.
//!
//! What the host must keep to:
//! - Records of one [`Output::Write`] go to the disk in their order, and writes in the order of their sequences.
//!   [`Input::Written`] is handed in only after the records are synced. After a failed write the disk follows
//!   [`WriteFence`].
//! - A message reaches only the identity that [`Output::Send`] names: one that was sent to an older identity at the
//!   same address is dropped.
//! - [`Output::Apply`] and [`Output::Restore`] change the state in the order of the outputs, before the answers that
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

/// Steady clock of one machine, in microseconds from an arbitrary start.
pub type Micros = u64;
