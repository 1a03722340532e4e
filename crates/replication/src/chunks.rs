//! Transfer of snapshots and large commands in chunks.

use std::sync::Arc;

use crate::members::Member;
use crate::message::{Message, TransferHeader};
use crate::progress::{OutgoingTransfer, PeerProgress, SendMode};
use crate::record::{Entry, Payload, Snapshot};
use crate::replica::Replica;

/// Largest transfer that a follower accepts.
const MAX_TRANSFER_BYTES: u64 = 64 * 1024 * 1024;

/// The received part of an incoming transfer.
#[derive(Clone, Debug)]
pub(crate) struct PartialTransfer {
    header: TransferHeader,
    total_bytes: u64,
    bytes: Vec<u8>,
}

impl Replica {
    pub(crate) fn begin_snapshot_transfer(&mut self, progress: &mut PeerProgress) {
        let Some(snapshot) = self.log.snapshot() else { return };
        let header = TransferHeader::Snapshot {
            index: snapshot.index,
            term: snapshot.term,
            membership: snapshot.membership.clone(),
        };
        progress.begin_transfer(header, Some(Arc::clone(snapshot)));
    }

    pub(crate) fn begin_command_transfer(&mut self, progress: &mut PeerProgress) {
        if !progress.is_idle() {
            return;
        }
        let index = progress.next_index;
        let (Some(entry), Some(prev_term)) = (self.log.get(index), self.log.term_at(index - 1)) else {
            return;
        };
        progress.begin_transfer(TransferHeader::Command { index, term: entry.term, prev_term }, None);
    }

    /// Sends the next chunk of the peer's transfer if none is in flight.
    pub(crate) fn send_chunk(&mut self, member: &Member, progress: &mut PeerProgress) {
        let limit = progress.window_bytes(self.settings.max_append_bytes);
        let SendMode::Chunks(transfer) = &mut progress.mode else { return };
        if transfer.sent_at.is_some() {
            return;
        }
        let content = self.transfer_content(transfer);
        let start = usize::try_from(transfer.received_bytes).unwrap_or(usize::MAX);
        let Some(remaining) = content.and_then(|content| content.get(start..)) else {
            return progress.begin_probe(progress.match_index + 1);
        };
        let message = Message::Chunk {
            term: self.hard_state.term,
            header: transfer.header.clone(),
            offset: transfer.received_bytes,
            total_bytes: transfer.received_bytes + remaining.len() as u64,
            bytes: remaining[..remaining.len().min(limit)].to_vec(),
        };
        transfer.sent_at = Some(self.now);
        self.send(member.clone(), message);
    }

    fn transfer_content<'a>(&'a self, transfer: &'a OutgoingTransfer) -> Option<&'a [u8]> {
        if let Some(snapshot) = &transfer.snapshot {
            return Some(&snapshot.state);
        }
        match &self.log.get(transfer.header.index())?.payload {
            Payload::Command(command) => Some(command),
            Payload::Noop | Payload::Membership(_) => None,
        }
    }

    pub(crate) fn on_chunk(
        &mut self,
        leader: Member,
        header: TransferHeader,
        offset: u64,
        total_bytes: u64,
        bytes: Vec<u8>,
    ) {
        if let Some(match_index) = self.stored_transfer_index(&header) {
            self.incoming_transfer = None;
            return self.acknowledge(leader, match_index);
        }
        if total_bytes > MAX_TRANSFER_BYTES
            || (self.membership().is_empty() && matches!(header, TransferHeader::Command { .. }))
        {
            return;
        }
        let index = header.index();
        let mut partial = self
            .incoming_transfer
            .take()
            .filter(|partial| partial.header == header && partial.total_bytes == total_bytes);
        if offset == 0 {
            partial = Some(PartialTransfer { header, total_bytes, bytes: Vec::new() });
        }
        let Some(mut partial) = partial else { return self.send_chunk_reply(leader, index, 0) };
        if offset == partial.bytes.len() as u64 {
            partial.bytes.extend_from_slice(&bytes);
        }
        let received_bytes = partial.bytes.len() as u64;
        if received_bytes < total_bytes {
            self.incoming_transfer = Some(partial);
            return self.send_chunk_reply(leader, index, received_bytes);
        }
        if received_bytes == total_bytes {
            self.complete_transfer(leader, partial);
        }
    }

    fn send_chunk_reply(&mut self, leader: Member, index: u64, received_bytes: u64) {
        let term = self.hard_state.term;
        self.send_after_term_sync(leader, Message::ChunkReply { term, index, received_bytes });
    }

    /// Index up to which this log is known to match the leader's, if the log already contains the transfer's
    /// content.
    fn stored_transfer_index(&mut self, header: &TransferHeader) -> Option<u64> {
        if self.membership().is_empty() {
            return None;
        }
        let (TransferHeader::Snapshot { index, term, .. } | TransferHeader::Command { index, term, .. }) =
            header;
        if *index <= self.commit_index {
            return Some(self.commit_index);
        }
        if self.log.term_at(*index) != Some(*term) {
            return None;
        }
        self.verified_index = self.verified_index.max(*index);
        if let TransferHeader::Snapshot { index, .. } = header {
            self.commit_up_to(*index);
        }
        Some(*index)
    }

    fn complete_transfer(&mut self, leader: Member, partial: PartialTransfer) {
        match partial.header {
            TransferHeader::Snapshot { index, term, membership } => {
                self.restore_snapshot(Snapshot { index, term, membership, state: partial.bytes });
                self.acknowledge(leader, index);
            }
            TransferHeader::Command { index, term, prev_term } => {
                let prev_index = index - 1;
                if self.log.term_at(prev_index) != Some(prev_term) {
                    return;
                }
                let entry = Entry { index, term, payload: Payload::Command(partial.bytes) };
                self.append_entries(leader, prev_index, vec![entry]);
            }
        }
    }
}
