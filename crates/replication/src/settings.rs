//! Timing and limits of a replica.

use crate::Micros;

const MILLISECOND: Micros = 1_000;

/// Timing and limits; all members of a group use the same values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time between two heartbeats of a leader to one follower.
    pub heartbeat_interval: Micros,
    /// Shortest time without a leader after which a follower stands; also the base of the lease.
    pub election_timeout_min: Micros,
    /// Longest time without a leader after which a follower stands.
    pub election_timeout_max: Micros,
    /// Largest difference between the rates of two clocks, in parts per thousand.
    pub max_clock_drift_permille: u64,
    /// Number of voters that the group grows to while caught-up learners are there.
    pub target_voters: usize,
    /// A voter that was not heard for this long is replaced by a caught-up learner.
    pub replace_voter_after: Micros,
    /// A learner that was not heard for this long is dropped.
    pub drop_learner_after: Micros,
    /// A write unfinished for this long counts as a stalled disk.
    pub disk_stall_timeout: Micros,
    /// Time between a failed write and the next attempt.
    pub write_retry_delay: Micros,
    /// Largest number of bytes in flight to one follower, and so of one message with entries or a part of them.
    pub max_append_bytes: usize,
    /// Largest number of bytes of proposals that are not yet committed; more are refused.
    pub max_uncommitted_bytes: usize,
    /// A snapshot is taken after this many bytes of log.
    pub snapshot_every_bytes: usize,
    /// A snapshot is taken after this many entries.
    pub snapshot_every_entries: u64,
    /// Entries kept behind the snapshot for slow followers.
    pub keep_entries: u64,
    /// Bytes of entries kept behind the snapshot for slow followers.
    pub keep_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_interval: 100 * MILLISECOND,
            election_timeout_min: 600 * MILLISECOND,
            election_timeout_max: 1_000 * MILLISECOND,
            max_clock_drift_permille: 20,
            target_voters: 3,
            replace_voter_after: 1_500 * MILLISECOND,
            drop_learner_after: 10_000 * MILLISECOND,
            disk_stall_timeout: 700 * MILLISECOND,
            write_retry_delay: 100 * MILLISECOND,
            max_append_bytes: 256 * 1024,
            max_uncommitted_bytes: 16 * 1024 * 1024,
            snapshot_every_bytes: 8 * 1024 * 1024,
            snapshot_every_entries: 512,
            keep_entries: 64,
            keep_bytes: 1024 * 1024,
        }
    }
}

impl Settings {
    /// How long after the send time of an acknowledged heartbeat the lease lasts.
    pub fn lease_duration(&self) -> Micros {
        let margin = self.election_timeout_min.saturating_mul(self.max_clock_drift_permille) / 1_000;
        self.election_timeout_min.saturating_sub(margin)
    }
}
