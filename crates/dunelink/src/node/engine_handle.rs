//! The engines of a node, as their callers see them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize};

use tokio_util::sync::CancellationToken;

use crate::counts::Counters;
use crate::engine::Mailbox;

/// One shard's engine, as its callers see it.
pub(super) struct EngineHandle {
    pub(super) mailbox: Mailbox,
    pub(super) counters: Arc<Counters>,
    pub(super) any_ready: Arc<AtomicBool>,
    /// Calls that wait for it, as callers count them: an engine that stands still counts nothing.
    pub(super) waiting_calls: AtomicUsize,
    /// Told once it has ended.
    pub(super) ended: CancellationToken,
}
