//! Timeouts and limits of a replica.

use crate::Micros;

const MILLISECOND: Micros = 1_000;

/// Timeouts and limits. All members of a group must use the same values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Interval at which a leader sends heartbeats to each peer.
    pub heartbeat_interval: Micros,
    /// Shortest election timeout. The lease duration derives from it.
    pub election_timeout_min: Micros,
    /// Longest election timeout.
    pub election_timeout_max: Micros,
    /// Largest relative difference between the rates of two members' clocks, in parts per thousand.
    pub max_clock_drift_permille: u64,
    /// Number of voters up to which the leader promotes caught-up learners.
    pub target_voters: usize,
    /// Time without a message from a voter after which a caught-up learner replaces it.
    pub replace_voter_after: Micros,
    /// Time without a message from a learner after which it is removed from the group.
    pub drop_learner_after: Micros,
    /// Time without a completed write, while writes are pending, after which the disk counts as stalled.
    pub disk_stall_timeout: Micros,
    /// Delay before a failed write is retried.
    pub write_retry_delay: Micros,
    /// Most bytes of entries in flight to one follower, and therefore in one message.
    pub max_append_bytes: usize,
    /// Most bytes of uncommitted proposals; further proposals are rejected as
    /// [`crate::ProposalError::Overloaded`].
    pub max_uncommitted_bytes: usize,
    /// Bytes of committed entries since the last snapshot that trigger the next one.
    pub snapshot_every_bytes: usize,
    /// Number of committed entries since the last snapshot that triggers the next one.
    pub snapshot_every_entries: u64,
    /// Most entries covered by the snapshot that stay in memory for slow followers.
    pub keep_entries: u64,
    /// Most bytes of entries covered by the snapshot that stay in memory for slow followers.
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
    /// Duration of the lease, counted from the time at which an acknowledged heartbeat was sent.
    pub fn lease_duration(&self) -> Micros {
        let margin = self.election_timeout_min.saturating_mul(self.max_clock_drift_permille) / 1_000;
        self.election_timeout_min.saturating_sub(margin)
    }
}
