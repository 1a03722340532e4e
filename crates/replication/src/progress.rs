//! What a leader knows of one peer.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::Micros;
use crate::message::TransferHeader;
use crate::record::Snapshot;

const MAX_MESSAGES: usize = 8;
const MIN_BUDGET: usize = 16 * 1024;
const FIRST_BUDGET: usize = 64 * 1024;
const FAST: Micros = 50_000;
const SLOW: Micros = 200_000;
const FIRST_RESEND: Micros = 300_000;
const MAX_RESEND: Micros = 2_400_000;

/// Part of a blob in flight.
#[derive(Clone, Debug)]
pub(crate) struct Transfer {
    pub(crate) header: TransferHeader,
    /// The snapshot, held while it is sent; none for a command, which is in the log.
    pub(crate) snapshot: Option<Arc<Snapshot>>,
    /// Bytes that the peer has.
    pub(crate) received_bytes: u64,
    /// When the part after `received_bytes` was sent.
    pub(crate) sent: Option<Micros>,
}

/// How entries are sent.
#[derive(Clone, Debug)]
pub(crate) enum Mode {
    /// One message at a time until the peer's log is known.
    Probe { sent: Option<Micros> },
    /// Several messages in flight.
    Stream { in_flight: VecDeque<InFlight> },
    /// A snapshot or a large command in parts.
    Chunks(Transfer),
}

/// One message of entries that is not yet answered.
#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    last_index: u64,
    bytes: usize,
    sent: Micros,
}

/// State of one peer.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Last index known to be synced there.
    pub(crate) match_index: u64,
    /// Next index to send.
    pub(crate) next: u64,
    pub(crate) mode: Mode,
    /// When the peer was last heard by this leader.
    pub(crate) heard: Option<Micros>,
    /// When the newest heartbeat that it answered was sent.
    pub(crate) acknowledged: Option<Micros>,
    pub(crate) disk_healthy: bool,
    /// The peer's process is about to end.
    pub(crate) shutting_down: bool,
    /// When this leader began to follow the peer.
    pub(crate) since: Micros,
    /// The peer asked for a snapshot.
    pub(crate) needs_snapshot: bool,
    /// Committed index that the peer was told.
    pub(crate) told_commit: u64,
    budget: usize,
    resend: Micros,
}

impl Progress {
    pub(crate) fn new(next: u64, now: Micros) -> Self {
        Self {
            match_index: 0,
            next,
            mode: Mode::Probe { sent: None },
            heard: None,
            acknowledged: None,
            disk_healthy: true,
            shutting_down: false,
            since: now,
            needs_snapshot: false,
            told_commit: 0,
            budget: FIRST_BUDGET,
            resend: FIRST_RESEND,
        }
    }

    /// Time since the peer was heard, or since this leader began.
    pub(crate) fn silent_for(&self, now: Micros) -> Micros {
        now.saturating_sub(self.heard.unwrap_or(self.since))
    }

    /// Whether the peer has answered a heartbeat that was sent within `limit`.
    pub(crate) fn answered_within(&self, now: Micros, limit: Micros) -> bool {
        self.acknowledged.is_some_and(|sent| now.saturating_sub(sent) < limit)
    }

    /// Largest number of bytes in flight.
    pub(crate) fn budget(&self, limit: usize) -> usize {
        self.budget.min(limit).max(1)
    }

    /// Whether one more message of entries may be sent now.
    pub(crate) fn has_room(&self, limit: usize) -> bool {
        match &self.mode {
            Mode::Probe { sent } => sent.is_none(),
            Mode::Chunks(_) => false,
            Mode::Stream { in_flight } => {
                let bytes: usize = in_flight.iter().map(|message| message.bytes).sum();
                in_flight.len() < MAX_MESSAGES && bytes < self.budget(limit)
            }
        }
    }

    /// Whether the last message of entries had no answer in time.
    pub(crate) fn resends(&self) -> bool {
        self.resend > FIRST_RESEND
    }

    /// Whether nothing is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        match &self.mode {
            Mode::Probe { sent } => sent.is_none(),
            Mode::Chunks(_) => false,
            Mode::Stream { in_flight } => in_flight.is_empty(),
        }
    }

    /// Notes entries that were sent.
    pub(crate) fn sent(&mut self, now: Micros, last_index: u64, bytes: usize) {
        match &mut self.mode {
            Mode::Probe { sent } => *sent = Some(now),
            Mode::Stream { in_flight } => {
                in_flight.push_back(InFlight { last_index, bytes, sent: now });
                self.next = last_index + 1;
            }
            Mode::Chunks(_) => {}
        }
    }

    /// The peer has all up to `match_index` synced.
    pub(crate) fn appended(&mut self, now: Micros, match_index: u64) {
        let advanced = match_index > self.match_index;
        self.needs_snapshot = false;
        self.match_index = self.match_index.max(match_index);
        self.next = self.next.max(self.match_index + 1);
        match &mut self.mode {
            Mode::Probe { .. } => self.stream(),
            Mode::Chunks(transfer) if match_index >= transfer.header.index() => self.stream(),
            Mode::Chunks(_) => {}
            Mode::Stream { in_flight } => {
                let mut sent = None;
                while in_flight.front().is_some_and(|message| message.last_index <= match_index) {
                    sent = in_flight.pop_front().map(|message| message.sent);
                }
                if let Some(sent) = sent {
                    self.adapt(now.saturating_sub(sent));
                }
            }
        }
        if advanced {
            self.resend = FIRST_RESEND;
        }
    }

    /// Sends from `next` again, one message at a time.
    pub(crate) fn probe(&mut self, next: u64) {
        self.next = next.max(self.match_index + 1);
        self.mode = Mode::Probe { sent: None };
    }

    /// Starts to send a blob.
    pub(crate) fn transfer(&mut self, header: TransferHeader, snapshot: Option<Arc<Snapshot>>) {
        self.mode = Mode::Chunks(Transfer { header, snapshot, received_bytes: 0, sent: None });
    }

    /// The peer has some bytes of the blob at `index`.
    pub(crate) fn received(&mut self, now: Micros, index: u64, received_bytes: u64) {
        let Mode::Chunks(transfer) = &mut self.mode else { return };
        if transfer.header.index() != index {
            return;
        }
        let Some(sent) = transfer.sent.take() else { return };
        let advanced = received_bytes > transfer.received_bytes;
        transfer.received_bytes = received_bytes;
        if advanced {
            self.resend = FIRST_RESEND;
            self.adapt(now.saturating_sub(sent));
        }
    }

    /// Gives up waiting for answers that are overdue, so that the messages are sent again.
    pub(crate) fn expire(&mut self, now: Micros) {
        let oldest = match &self.mode {
            Mode::Probe { sent } => *sent,
            Mode::Stream { in_flight } => in_flight.front().map(|message| message.sent),
            Mode::Chunks(transfer) => transfer.sent,
        };
        if oldest.is_none_or(|sent| now.saturating_sub(sent) < self.resend) {
            return;
        }
        self.resend = (2 * self.resend).min(MAX_RESEND);
        self.budget = (self.budget / 2).max(MIN_BUDGET);
        match &mut self.mode {
            Mode::Chunks(transfer) => transfer.sent = None,
            Mode::Probe { .. } | Mode::Stream { .. } => self.probe(self.match_index + 1),
        }
    }

    fn stream(&mut self) {
        self.next = self.match_index + 1;
        self.mode = Mode::Stream { in_flight: VecDeque::new() };
    }

    /// Large messages on a slow link would hold up heartbeats, so the amount in flight follows the time of an answer.
    fn adapt(&mut self, elapsed: Micros) {
        if elapsed < FAST {
            self.budget = self.budget.saturating_mul(2).min(1 << 30);
        } else if elapsed > SLOW {
            self.budget = (self.budget / 2).max(MIN_BUDGET);
        }
    }
}
