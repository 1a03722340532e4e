//! Snapshots and large commands in parts.

use std::sync::Arc;

use crate::members::Member;
use crate::message::{Message, TransferHeader};
use crate::progress::{Mode, Progress, Transfer};
use crate::record::{Entry, Payload, Snapshot};
use crate::replica::Replica;

/// Largest blob that a follower takes in.
const MAX_BLOB: u64 = 64 * 1024 * 1024;

/// Parts of a blob that have arrived.
#[derive(Clone, Debug)]
pub(crate) struct Assembly {
    header: TransferHeader,
    total_bytes: u64,
    bytes: Vec<u8>,
}

impl Replica {
    pub(crate) fn begin_snapshot(&mut self, progress: &mut Progress) {
        let Some(snapshot) = self.log.snapshot() else { return };
        let header = TransferHeader::Snapshot {
            index: snapshot.index,
            term: snapshot.term,
            membership: snapshot.membership.clone(),
        };
        progress.transfer(header, Some(Arc::clone(snapshot)));
    }

    pub(crate) fn begin_command(&mut self, progress: &mut Progress) {
        if !progress.is_idle() {
            return;
        }
        let index = progress.next;
        let (Some(entry), Some(prev_term)) = (self.log.get(index), self.log.term_at(index - 1)) else {
            return;
        };
        progress.transfer(TransferHeader::Command { index, term: entry.term, prev_term }, None);
    }

    /// Sends the next part of a transfer if none is in flight.
    pub(crate) fn send_chunk(&mut self, member: &Member, progress: &mut Progress) {
        let limit = progress.budget(self.settings.max_append_bytes);
        let Mode::Chunks(transfer) = &mut progress.mode else { return };
        if transfer.sent.is_some() {
            return;
        }
        let whole = self.blob_bytes(transfer);
        let start = usize::try_from(transfer.received_bytes).unwrap_or(usize::MAX);
        let Some(rest) = whole.and_then(|whole| whole.get(start..)) else {
            return progress.probe(progress.match_index + 1);
        };
        let message = Message::Chunk {
            term: self.hard_state.term,
            header: transfer.header.clone(),
            offset: transfer.received_bytes,
            total_bytes: transfer.received_bytes + rest.len() as u64,
            bytes: rest[..rest.len().min(limit)].to_vec(),
        };
        transfer.sent = Some(self.now);
        self.send(member.clone(), message);
    }

    fn blob_bytes<'a>(&'a self, transfer: &'a Transfer) -> Option<&'a [u8]> {
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
        if let Some(match_index) = self.has_blob(&header) {
            self.assembly = None;
            return self.confirm(leader, match_index);
        }
        if total_bytes > MAX_BLOB
            || (self.membership().is_empty() && matches!(header, TransferHeader::Command { .. }))
        {
            return;
        }
        let index = header.index();
        let mut assembly =
            self.assembly.take().filter(|known| known.header == header && known.total_bytes == total_bytes);
        if offset == 0 {
            assembly = Some(Assembly { header, total_bytes, bytes: Vec::new() });
        }
        let Some(mut assembly) = assembly else { return self.answer_chunk(leader, index, 0) };
        if offset == assembly.bytes.len() as u64 {
            assembly.bytes.extend_from_slice(&bytes);
        }
        let received_bytes = assembly.bytes.len() as u64;
        if received_bytes < total_bytes {
            self.assembly = Some(assembly);
            return self.answer_chunk(leader, index, received_bytes);
        }
        if received_bytes == total_bytes {
            self.take_blob(leader, assembly);
        }
    }

    fn answer_chunk(&mut self, leader: Member, index: u64, received_bytes: u64) {
        let term = self.hard_state.term;
        self.send_in_term(leader, Message::ChunkReply { term, index, received_bytes });
    }

    /// Index up to which this log is known to equal the leader's, if it holds the blob already.
    fn has_blob(&mut self, header: &TransferHeader) -> Option<u64> {
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
        self.verified = self.verified.max(*index);
        if let TransferHeader::Snapshot { index, .. } = header {
            self.commit_to(*index);
        }
        Some(*index)
    }

    fn take_blob(&mut self, leader: Member, assembly: Assembly) {
        match assembly.header {
            TransferHeader::Snapshot { index, term, membership } => {
                self.restore(Snapshot { index, term, membership, state: assembly.bytes });
                self.confirm(leader, index);
            }
            TransferHeader::Command { index, term, prev_term } => {
                let prev_index = index - 1;
                if self.log.term_at(prev_index) != Some(prev_term) {
                    return;
                }
                let entry = Entry { index, term, payload: Payload::Command(assembly.bytes) };
                self.take_entries(leader, prev_index, vec![entry]);
            }
        }
    }
}
