//! Bugs injected around the production state machines, to show that the checks detect them.

/// A bug in the code that applies the effects of the state machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mutation {
    /// A write is reported as durable before its sync.
    DurableBeforeSync,
    /// Syncs of files do nothing.
    FileSyncSkipped,
    /// Syncs of the folder do nothing.
    FolderSyncSkipped,
    /// A clock reading from before a pause of the process is used after it.
    ClockReadBeforePause,
    /// A failed write is reported as durable.
    FailedWriteReportedDurable,
    /// Term and vote are not persisted.
    VoteNotPersisted,
    /// A wiped machine keeps its former identity.
    IdentityReusedAfterWipe,
    /// Clock rates differ by more than the safety margin of the lease.
    ClockDriftBeyondMargin,
    /// A change is acknowledged when its log entry is appended.
    AcknowledgedAtAppend,
    /// Reads are answered without a lease.
    ReadWithoutLease,
    /// A change that was applied is refused when it is retried.
    RetryRefused,
    /// A retried change is acknowledged merely because an equal or higher version is applied.
    RetryAcknowledgedByVersion,
}
