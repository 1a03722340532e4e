//! Sharding of the control state: the shard of each service, and the replicas and owner of each shard; no
//! I/O.
//!
//! Services are distributed over a fixed number of shards by a hash of their names. Shard 0 has the
//! configuration and no services. Every member computes the same [`Assignment`] from the same list of
//! members: the replicas of a shard by rendezvous hashing (Thaler and Ravishankar, 1998), distributed over
//! zones first, and one of the replicas as preferred owner, by stable matching with a capacity per member
//! (Gale and Shapley, 1962), so that all members own about equally many shards. After a membership change
//! [`Assignment::rebalanced`] keeps most owners.
//!
//! ```
//! use dunelink_shards::{Assignment, CONFIGURATION_SHARD, Member, MemberId, shard_of};
//!
//! let members = [
//!     Member { id: MemberId(1), zone: "a".to_owned() },
//!     Member { id: MemberId(2), zone: "b".to_owned() },
//!     Member { id: MemberId(3), zone: "c".to_owned() },
//! ];
//! let assignment = Assignment::new(&members, 16, 3);
//! let shard = shard_of("chat", 16);
//! assert_ne!(shard, CONFIGURATION_SHARD);
//! assert_eq!(assignment.replicas(shard).len(), 3);
//! assert!(assignment.owner(shard).is_some());
//! ```

#![forbid(unsafe_code)]

mod assignment;
mod owners;
mod rendezvous;
mod shard;

pub use assignment::{Assignment, Member, MemberId};
pub use shard::{CONFIGURATION_SHARD, SERVICE_HASH_SEED, ShardId, shard_of};
