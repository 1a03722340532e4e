//! The engines of a node, as their callers see them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize};

use tokio_util::sync::CancellationToken;

use crate::counts::RequestCounters;
use crate::engine::Mailbox;

/// The engine of one shard, as its callers see it.
pub(super) struct EngineHandle {
    pub(super) mailbox: Mailbox,
    pub(super) counters: Arc<RequestCounters>,
    pub(super) any_ready: Arc<AtomicBool>,
    /// The number of calls that wait for it, counted by the callers because a stalled engine counts nothing.
    pub(super) waiting_calls: AtomicUsize,
    /// Cancelled once the engine has ended.
    pub(super) ended: CancellationToken,
}
