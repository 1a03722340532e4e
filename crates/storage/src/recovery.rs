//! Reads what a folder holds, and decides what of it counts. Nothing is written here.

use minicbor::bytes::ByteVec;

use crate::checkpoint::{Checkpoint, SnapshotReference};
use crate::disk::{Disk, FileEntry};
use crate::error::StorageError;
use crate::frame::{self, FRAME_HEADER_BYTES, PREFIX_BYTES};
use crate::names::{self, FileKind};
use crate::operation::{RecoveredState, RecoveryNote, StoredSnapshot};
use crate::record::{Previous, SegmentHeader};
use crate::replay::{self, End, Replay};
use crate::store::Garbage;

/// What a folder holds.
#[derive(Debug)]
pub(crate) struct Found {
    pub(crate) recovered: RecoveredState,
    pub(crate) replay: Replay,
    /// The state for the header of the segment that repeats the last frame: as before the entries of that frame.
    pub(crate) header: Checkpoint,
    /// The next free number for a file.
    pub(crate) next_number: u64,
    /// Files that may go at once.
    pub(crate) needless: Vec<Garbage>,
    /// Files that may go when the new segment is durable.
    pub(crate) superseded: Vec<Garbage>,
    /// Numbers of segments with bytes that do not count.
    pub(crate) tails: Vec<u64>,
}

/// Reads the folder.
pub(crate) fn read<D: Disk>(disk: &mut D) -> Result<Found, StorageError> {
    let files = disk.list().map_err(StorageError::disk("listing", "the data folder"))?;
    let mut reader = Reader::new(disk, files);
    let newest = reader.newest()?;
    let mut replay = Replay::new();
    if let Some(newest) = &newest {
        let chain = reader.chain(newest)?;
        reader.replay(&mut replay, &chain, newest)?;
    }
    let latest = newest.map_or_else(|| Checkpoint::empty(0), |newest| newest.state);
    if !reader.damaged && !replay.is_complete() {
        reader.damaged = true;
    }
    let reference = if reader.damaged { latest.snapshot } else { replay.state.snapshot };
    let snapshot = reader.snapshot(reference)?;
    if reference.is_some() && snapshot.is_none() {
        reader.damaged = true;
    }
    if reader.damaged {
        settle_damage(&mut replay, &latest.metadata, reference.filter(|_| snapshot.is_some()));
    }
    Ok(reader.finish(replay, snapshot))
}

/// The newest segment that counts.
struct Newest {
    number: u64,
    header: SegmentHeader,
    bytes: Vec<u8>,
    /// The state after it.
    state: Checkpoint,
}

struct Reader<'a, D> {
    disk: &'a mut D,
    files: Vec<(FileKind, FileEntry)>,
    notes: Vec<RecoveryNote>,
    damaged: bool,
    tails: Vec<u64>,
}

impl<'a, D: Disk> Reader<'a, D> {
    fn new(disk: &'a mut D, files: Vec<FileEntry>) -> Self {
        let mut files: Vec<_> =
            files.into_iter().filter_map(|file| Some((names::parse(&file.name)?, file))).collect();
        files.sort_by_key(|(kind, _)| kind.number());
        Self { disk, files, notes: Vec::new(), damaged: false, tails: Vec::new() }
    }

    fn length(&self, kind: FileKind) -> Option<u64> {
        self.files.iter().find(|(other, _)| *other == kind).map(|(_, file)| file.length)
    }

    fn read(&mut self, name: &str, offset: usize, length: usize) -> Result<Vec<u8>, StorageError> {
        self.disk.read(name, offset as u64, length).map_err(StorageError::disk("reading", name))
    }

    /// The segment with the highest number that was begun; those above it were cut short while they were made.
    fn newest(&mut self) -> Result<Option<Newest>, StorageError> {
        let segments: Vec<_> = self
            .files
            .iter()
            .rev()
            .filter_map(|(kind, file)| match kind {
                FileKind::Segment(number) => Some((*number, file.length)),
                FileKind::Snapshot(_) => None,
            })
            .collect();
        for (number, length) in segments {
            if let Some(newest) = self.begun(number, length)? {
                return Ok(Some(newest));
            }
        }
        if self.files.iter().any(|(kind, _)| matches!(kind, FileKind::Snapshot(_))) {
            // A snapshot is only ever written after a segment that lasts.
            self.damaged = true;
            self.notes.push(RecoveryNote::MissingFile { file: "the newest segment".to_owned() });
        }
        Ok(None)
    }

    fn begun(&mut self, number: u64, length: u64) -> Result<Option<Newest>, StorageError> {
        let name = names::segment(number);
        let bytes = self.read(&name, 0, length as usize)?;
        if !frame::check_prefix(&name, &bytes)? {
            self.note_damage_behind(number, &bytes);
            return Ok(None);
        }
        let mut replay = Replay::new();
        replay.segment(number, &bytes);
        match replay::header_of(number, &bytes) {
            Some(header) if replay.is_begun() => {
                Ok(Some(Newest { number, header, bytes, state: replay.state }))
            }
            _ => {
                self.note_damage_behind(number, &bytes);
                Ok(None)
            }
        }
    }

    /// The start of a segment is invalid: that is damage if a frame was added after it had become durable.
    fn note_damage_behind(&mut self, number: u64, bytes: &[u8]) {
        if frame::has_later_frame(bytes, number, replay::MINIMUM_FRAMES - 1) {
            self.damaged_at(number, 0);
        }
    }

    fn damaged_at(&mut self, number: u64, offset: u64) {
        self.damaged = true;
        self.notes.push(RecoveryNote::DamagedSegment { file: names::segment(number), offset });
    }

    /// The older segments that are needed, newest first.
    fn chain(&mut self, newest: &Newest) -> Result<Vec<Previous>, StorageError> {
        let floor = newest.state.floor;
        let mut chain = Vec::new();
        let mut next = replay::needed_previous(&newest.header, floor);
        while let Some(previous) = next {
            let Some(header) = self.header(previous.number)? else { break };
            chain.push(previous);
            next = replay::needed_previous(&header, floor);
        }
        Ok(chain)
    }

    fn header(&mut self, number: u64) -> Result<Option<SegmentHeader>, StorageError> {
        let name = names::segment(number);
        if self.length(FileKind::Segment(number)).is_none() {
            self.damaged = true;
            self.notes.push(RecoveryNote::MissingFile { file: name });
            return Ok(None);
        }
        let mut bytes = self.read(&name, 0, PREFIX_BYTES + FRAME_HEADER_BYTES)?;
        let is_file = frame::check_prefix(&name, &bytes)?;
        if let Some(length) = bytes.get(PREFIX_BYTES..).and_then(frame::frame_length) {
            bytes = self.read(&name, 0, PREFIX_BYTES + length)?;
        }
        let header = replay::header_of(number, &bytes).filter(|_| is_file);
        if header.is_none() {
            self.damaged_at(number, 0);
        }
        Ok(header)
    }

    fn replay(
        &mut self,
        replay: &mut Replay,
        chain: &[Previous],
        newest: &Newest,
    ) -> Result<(), StorageError> {
        for previous in chain.iter().rev() {
            if !self.replay_sealed(replay, *previous)? {
                return Ok(());
            }
        }
        let (valid, end) = replay.segment(newest.number, &newest.bytes);
        self.tails.push(newest.number);
        let kept = valid as u64;
        match end {
            End::Whole => {}
            End::Damaged => self.damaged_at(newest.number, kept),
            End::Torn => {
                let dropped = newest.bytes.len() as u64 - kept;
                self.notes.push(RecoveryNote::TornTail {
                    file: names::segment(newest.number),
                    kept,
                    dropped,
                });
            }
        }
        Ok(())
    }

    /// Reads an older segment up to where it counts; false if that part is damaged.
    fn replay_sealed(&mut self, replay: &mut Replay, sealed: Previous) -> Result<bool, StorageError> {
        let length = sealed.length as usize;
        let bytes = self.read(&names::segment(sealed.number), 0, length)?;
        let (valid, end) = replay.segment(sealed.number, &bytes);
        if end != End::Whole || valid != length {
            self.damaged_at(sealed.number, valid as u64);
            return Ok(false);
        }
        if self.length(FileKind::Segment(sealed.number)).is_some_and(|on_disk| on_disk > sealed.length) {
            self.tails.push(sealed.number);
        }
        Ok(true)
    }

    fn snapshot(
        &mut self,
        reference: Option<SnapshotReference>,
    ) -> Result<Option<StoredSnapshot>, StorageError> {
        let Some(reference) = reference else { return Ok(None) };
        let file = names::snapshot(reference.number);
        let Some(length) = self.length(FileKind::Snapshot(reference.number)) else {
            self.notes.push(RecoveryNote::MissingFile { file });
            return Ok(None);
        };
        let mut bytes = self.read(&file, 0, length as usize)?;
        let is_file = frame::check_prefix(&file, &bytes)?;
        let contents = bytes.split_off(PREFIX_BYTES.min(bytes.len()));
        if !is_file
            || contents.len() as u64 != reference.length
            || crc32fast::hash(&contents) != reference.checksum
        {
            self.notes.push(RecoveryNote::DamagedSnapshot { file });
            return Ok(None);
        }
        Ok(Some(StoredSnapshot { index: reference.index, bytes: contents }))
    }

    fn finish(mut self, mut replay: Replay, snapshot: Option<StoredSnapshot>) -> Found {
        let read: Vec<u64> = replay.segments.iter().map(|segment| segment.number).collect();
        replay.seal();
        let (needless, superseded) = self.leftovers(&replay, &read);
        let header = header_state(&mut replay);
        let recovered = RecoveredState {
            metadata: replay.state.metadata.as_ref().map(|bytes| bytes.to_vec()),
            snapshot,
            entries: std::mem::take(&mut replay.entries).into(),
            damaged: replay.state.damaged,
            notes: self.notes,
        };
        let next_number = self.files.last().map_or(0, |(kind, _)| kind.number()) + 1;
        Found { recovered, replay, header, next_number, needless, superseded, tails: self.tails }
    }

    /// Files that are not needed: those that may go at once, and those that may when the new segment is durable.
    /// Until then the last frame may be lost once more, and with it the reason why the others are not needed.
    fn leftovers(&mut self, replay: &Replay, read: &[u64]) -> (Vec<Garbage>, Vec<Garbage>) {
        let mut needless = Vec::new();
        let mut superseded = Vec::new();
        let newest = read.last().copied().unwrap_or(0);
        for (kind, file) in &self.files {
            let is_kept = match kind {
                FileKind::Segment(number) => replay.segments.iter().any(|kept| kept.number == *number),
                FileKind::Snapshot(number) => {
                    replay.state.snapshot.is_some_and(|kept| kept.number == *number)
                }
            };
            if is_kept {
                continue;
            }
            let is_unfinished = matches!(kind, FileKind::Segment(number) if *number > newest);
            let garbage = Garbage { name: file.name.clone(), length: file.length };
            if is_unfinished && !self.damaged {
                needless.push(garbage)
            } else {
                superseded.push(garbage)
            }
            let was_read = matches!(kind, FileKind::Segment(number) if read.contains(number));
            if !was_read {
                self.notes.push(RecoveryNote::Leftover { file: file.name.clone() });
            }
        }
        (needless, superseded)
    }
}

/// The state as before the entries that the new segment repeats.
fn header_state(replay: &mut Replay) -> Checkpoint {
    let mut header = replay.state.clone();
    let carried = replay.entries.iter().map(|entry| entry.index).find(|index| *index >= replay.carried_from);
    // Entries that the last frame also released are not repeated.
    header.last = carried.map_or(header.last, |first_carried| first_carried - 1);
    for segment in &mut replay.segments {
        segment.highest = segment.highest.min(header.last);
    }
    header
}

/// Makes a whole of what is left after damage: the latest metadata and snapshot, and the entries before the damage
/// if they reach the snapshot.
fn settle_damage(replay: &mut Replay, metadata: &Option<ByteVec>, snapshot: Option<SnapshotReference>) {
    let covered = snapshot.map_or(0, |snapshot| snapshot.index);
    let first = replay.entries.front().map(|entry| entry.index);
    let last = replay.entries.back().map(|entry| entry.index);
    let (first, last) = match (first, last) {
        (Some(first), Some(last)) if first <= covered + 1 && last >= covered => (first, last),
        _ => {
            replay.entries.clear();
            replay.segments.clear();
            (covered + 1, covered)
        }
    };
    let floor = replay.state.floor;
    replay.state = Checkpoint { first, last, floor, damaged: true, metadata: metadata.clone(), snapshot };
}
