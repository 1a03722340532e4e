//! Replication progress of one peer, as tracked by the leader.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::Micros;
use crate::message::TransferHeader;
use crate::record::Snapshot;

/// Most messages with entries in flight to one peer.
const MAX_IN_FLIGHT_MESSAGES: usize = 8;
/// Lower bound of the in-flight window.
const MIN_WINDOW_BYTES: usize = 16 * 1024;
/// In-flight window of a new peer.
const INITIAL_WINDOW_BYTES: usize = 64 * 1024;
/// A reply faster than this doubles the in-flight window.
const FAST_REPLY: Micros = 50_000;
/// A reply slower than this halves the in-flight window.
const SLOW_REPLY: Micros = 200_000;
/// Resend timeout while the peer's log advances.
const INITIAL_RESEND_TIMEOUT: Micros = 300_000;
/// Upper bound of the resend timeout, which doubles with each expiry.
const MAX_RESEND_TIMEOUT: Micros = 2_400_000;

/// A snapshot or large command that is being sent in chunks.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingTransfer {
    pub(crate) header: TransferHeader,
    /// The snapshot to send; `None` for a command, which is read from the log.
    pub(crate) snapshot: Option<Arc<Snapshot>>,
    /// Number of bytes that the peer has acknowledged.
    pub(crate) received_bytes: u64,
    /// When the chunk at `received_bytes` was sent; `None` if it is not in flight.
    pub(crate) sent_at: Option<Micros>,
}

/// How entries are sent to a peer.
#[derive(Clone, Debug)]
pub(crate) enum SendMode {
    /// One message at a time, until the peer's matching index is known.
    Probe { sent_at: Option<Micros> },
    /// Several messages in flight.
    Pipeline { in_flight: VecDeque<InFlight> },
    /// A snapshot or a large command is sent in chunks.
    Chunks(OutgoingTransfer),
}

/// An unacknowledged message with entries.
#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    last_index: u64,
    bytes: usize,
    sent_at: Micros,
}

/// Replication state of one peer.
#[derive(Clone, Debug)]
pub(crate) struct PeerProgress {
    /// Last index known to be synced on the peer and to match this log.
    pub(crate) match_index: u64,
    /// Index of the next entry to send.
    pub(crate) next_index: u64,
    pub(crate) mode: SendMode,
    /// When this leader last received a message from the peer; `None` if never.
    pub(crate) last_message_at: Option<Micros>,
    /// When the newest acknowledged heartbeat was sent; `None` if none was acknowledged.
    pub(crate) acked_heartbeat_sent_at: Option<Micros>,
    pub(crate) disk_healthy: bool,
    /// Whether the peer's process is shutting down.
    pub(crate) shutting_down: bool,
    /// When this leader began to track the peer.
    pub(crate) tracked_since: Micros,
    /// Whether the peer has asked for a snapshot.
    pub(crate) needs_snapshot: bool,
    /// Last commit index sent to the peer.
    pub(crate) announced_commit_index: u64,
    window_bytes: usize,
    resend_timeout: Micros,
}

impl PeerProgress {
    pub(crate) fn new(next_index: u64, now: Micros) -> Self {
        Self {
            match_index: 0,
            next_index,
            mode: SendMode::Probe { sent_at: None },
            last_message_at: None,
            acked_heartbeat_sent_at: None,
            disk_healthy: true,
            shutting_down: false,
            tracked_since: now,
            needs_snapshot: false,
            announced_commit_index: 0,
            window_bytes: INITIAL_WINDOW_BYTES,
            resend_timeout: INITIAL_RESEND_TIMEOUT,
        }
    }

    /// Time since the last message from the peer, or since this leader began to track it.
    pub(crate) fn silent_for(&self, now: Micros) -> Micros {
        now.saturating_sub(self.last_message_at.unwrap_or(self.tracked_since))
    }

    /// Whether the peer has acknowledged a heartbeat sent less than `limit` ago.
    pub(crate) fn acked_heartbeat_within(&self, now: Micros, limit: Micros) -> bool {
        self.acked_heartbeat_sent_at.is_some_and(|sent_at| now.saturating_sub(sent_at) < limit)
    }

    /// Current in-flight window in bytes, at most `limit`.
    pub(crate) fn window_bytes(&self, limit: usize) -> usize {
        self.window_bytes.min(limit).max(1)
    }

    /// Whether another message with entries may be sent now.
    pub(crate) fn can_send(&self, limit: usize) -> bool {
        match &self.mode {
            SendMode::Probe { sent_at } => sent_at.is_none(),
            SendMode::Chunks(_) => false,
            SendMode::Pipeline { in_flight } => {
                let bytes: usize = in_flight.iter().map(|message| message.bytes).sum();
                in_flight.len() < MAX_IN_FLIGHT_MESSAGES && bytes < self.window_bytes(limit)
            }
        }
    }

    /// Whether a message has expired since the peer's log last advanced.
    pub(crate) fn has_timed_out(&self) -> bool {
        self.resend_timeout > INITIAL_RESEND_TIMEOUT
    }

    /// Whether nothing is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        match &self.mode {
            SendMode::Probe { sent_at } => sent_at.is_none(),
            SendMode::Chunks(_) => false,
            SendMode::Pipeline { in_flight } => in_flight.is_empty(),
        }
    }

    /// Records a sent message with entries.
    pub(crate) fn record_sent(&mut self, now: Micros, last_index: u64, bytes: usize) {
        match &mut self.mode {
            SendMode::Probe { sent_at } => *sent_at = Some(now),
            SendMode::Pipeline { in_flight } => {
                in_flight.push_back(InFlight { last_index, bytes, sent_at: now });
                self.next_index = last_index + 1;
            }
            SendMode::Chunks(_) => {}
        }
    }

    /// Records that the peer has synced all entries up to `match_index`.
    pub(crate) fn on_append_accepted(&mut self, now: Micros, match_index: u64) {
        let advanced = match_index > self.match_index;
        self.needs_snapshot = false;
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
        match &mut self.mode {
            SendMode::Probe { .. } => self.begin_pipeline(),
            SendMode::Chunks(transfer) if match_index >= transfer.header.index() => self.begin_pipeline(),
            SendMode::Chunks(_) => {}
            SendMode::Pipeline { in_flight } => {
                let mut sent_at = None;
                while in_flight.front().is_some_and(|message| message.last_index <= match_index) {
                    sent_at = in_flight.pop_front().map(|message| message.sent_at);
                }
                if let Some(sent_at) = sent_at {
                    self.adapt_window(now.saturating_sub(sent_at));
                }
            }
        }
        if advanced {
            self.resend_timeout = INITIAL_RESEND_TIMEOUT;
        }
    }

    /// Restarts at `next_index`, one message at a time.
    pub(crate) fn begin_probe(&mut self, next_index: u64) {
        self.next_index = next_index.max(self.match_index + 1);
        self.mode = SendMode::Probe { sent_at: None };
    }

    /// Starts a transfer in chunks.
    pub(crate) fn begin_transfer(&mut self, header: TransferHeader, snapshot: Option<Arc<Snapshot>>) {
        self.mode = SendMode::Chunks(OutgoingTransfer { header, snapshot, received_bytes: 0, sent_at: None });
    }

    /// Records that the peer has the first `received_bytes` bytes of the transfer at `index`.
    pub(crate) fn on_chunk_reply(&mut self, now: Micros, index: u64, received_bytes: u64) {
        let SendMode::Chunks(transfer) = &mut self.mode else { return };
        if transfer.header.index() != index {
            return;
        }
        let Some(sent_at) = transfer.sent_at.take() else { return };
        let advanced = received_bytes > transfer.received_bytes;
        transfer.received_bytes = received_bytes;
        if advanced {
            self.resend_timeout = INITIAL_RESEND_TIMEOUT;
            self.adapt_window(now.saturating_sub(sent_at));
        }
    }

    /// Gives up on overdue replies, so that the messages are sent again.
    pub(crate) fn expire_overdue(&mut self, now: Micros) {
        let oldest = match &self.mode {
            SendMode::Probe { sent_at } => *sent_at,
            SendMode::Pipeline { in_flight } => in_flight.front().map(|message| message.sent_at),
            SendMode::Chunks(transfer) => transfer.sent_at,
        };
        if oldest.is_none_or(|sent_at| now.saturating_sub(sent_at) < self.resend_timeout) {
            return;
        }
        self.resend_timeout = (2 * self.resend_timeout).min(MAX_RESEND_TIMEOUT);
        self.window_bytes = (self.window_bytes / 2).max(MIN_WINDOW_BYTES);
        match &mut self.mode {
            SendMode::Chunks(transfer) => transfer.sent_at = None,
            SendMode::Probe { .. } | SendMode::Pipeline { .. } => self.begin_probe(self.match_index + 1),
        }
    }

    fn begin_pipeline(&mut self) {
        self.next_index = self.match_index + 1;
        self.mode = SendMode::Pipeline { in_flight: VecDeque::new() };
    }

    /// Adapts the in-flight window to the time of a reply, since large messages on a slow link would delay
    /// heartbeats.
    fn adapt_window(&mut self, elapsed: Micros) {
        if elapsed < FAST_REPLY {
            self.window_bytes = self.window_bytes.saturating_mul(2).min(1 << 30);
        } else if elapsed > SLOW_REPLY {
            self.window_bytes = (self.window_bytes / 2).max(MIN_WINDOW_BYTES);
        }
    }
}
