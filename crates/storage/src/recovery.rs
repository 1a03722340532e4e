//! Reads a folder and determines which of its contents are valid. Nothing is written here.

use minicbor::bytes::ByteVec;

use crate::checkpoint::{Checkpoint, SnapshotReference};
use crate::disk::{Disk, FileEntry};
use crate::error::StorageError;
use crate::frame::{self, FRAME_HEADER_BYTES, PREFIX_BYTES};
use crate::names::{self, FileKind};
use crate::operation::{RecoveredState, RecoveryNote, StoredSnapshot};
use crate::record::{PreviousSegment, SegmentHeader};
use crate::replay::{self, Replay, SegmentEnd};
use crate::store::ObsoleteFile;

/// Valid contents of a folder, and what to do with the other files.
#[derive(Debug)]
pub(crate) struct FolderContents {
    pub(crate) recovered: RecoveredState,
    pub(crate) replay: Replay,
    /// State for the header of the segment that the last frame is rewritten into: without the entries of that
    /// frame.
    pub(crate) header: Checkpoint,
    /// The next free file number.
    pub(crate) next_number: u64,
    /// Files that may be removed at once.
    pub(crate) removable: Vec<ObsoleteFile>,
    /// Files that may be removed once the new segment is durable.
    pub(crate) superseded: Vec<ObsoleteFile>,
    /// Numbers of segments that may have invalid bytes at the end.
    pub(crate) segments_with_tail: Vec<u64>,
}

/// Reads the folder and replays its segments.
pub(crate) fn read<D: Disk>(disk: &mut D) -> Result<FolderContents, StorageError> {
    let files = disk.list().map_err(StorageError::disk("listing", "the data folder"))?;
    let mut reader = FolderReader::new(disk, files);
    let newest = reader.newest()?;
    let mut replay = Replay::new();
    if let Some(newest) = &newest {
        let sealed = reader.sealed_segments(newest)?;
        reader.replay(&mut replay, &sealed, newest)?;
    }
    let latest = newest.map_or_else(|| Checkpoint::empty(0), |newest| newest.state);
    if !reader.damaged && !replay.is_complete() {
        reader.damaged = true;
    }
    let reference = if reader.damaged { latest.snapshot } else { replay.state.snapshot };
    let snapshot = reader.read_snapshot(reference)?;
    if reference.is_some() && snapshot.is_none() {
        reader.damaged = true;
    }
    if reader.damaged {
        salvage(&mut replay, &latest.metadata, reference.filter(|_| snapshot.is_some()));
    }
    Ok(reader.finish(replay, snapshot))
}

/// The newest valid segment.
struct NewestSegment {
    number: u64,
    header: SegmentHeader,
    bytes: Vec<u8>,
    /// State after the segment.
    state: Checkpoint,
}

struct FolderReader<'a, D> {
    disk: &'a mut D,
    files: Vec<(FileKind, FileEntry)>,
    notes: Vec<RecoveryNote>,
    damaged: bool,
    segments_with_tail: Vec<u64>,
}

impl<'a, D: Disk> FolderReader<'a, D> {
    fn new(disk: &'a mut D, files: Vec<FileEntry>) -> Self {
        let mut files: Vec<_> =
            files.into_iter().filter_map(|file| Some((names::parse(&file.name)?, file))).collect();
        files.sort_by_key(|(kind, _)| kind.number());
        Self { disk, files, notes: Vec::new(), damaged: false, segments_with_tail: Vec::new() }
    }

    fn length(&self, kind: FileKind) -> Option<u64> {
        self.files.iter().find(|(other, _)| *other == kind).map(|(_, file)| file.length)
    }

    fn read(&mut self, name: &str, offset: usize, length: usize) -> Result<Vec<u8>, StorageError> {
        self.disk.read(name, offset as u64, length).map_err(StorageError::disk("reading", name))
    }

    /// Reads the valid segment with the highest number; the creation of any later segment was interrupted.
    fn newest(&mut self) -> Result<Option<NewestSegment>, StorageError> {
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
            if let Some(newest) = self.read_if_valid(number, length)? {
                return Ok(Some(newest));
            }
        }
        if self.files.iter().any(|(kind, _)| matches!(kind, FileKind::Snapshot(_))) {
            // A snapshot is only written after a segment is durable.
            self.damaged = true;
            self.notes.push(RecoveryNote::MissingFile { file: "the newest segment".to_owned() });
        }
        Ok(None)
    }

    fn read_if_valid(&mut self, number: u64, length: u64) -> Result<Option<NewestSegment>, StorageError> {
        let name = names::segment_file(number);
        let bytes = self.read(&name, 0, length as usize)?;
        if !frame::check_prefix(&name, &bytes)? {
            self.check_damaged_start(number, &bytes);
            return Ok(None);
        }
        let mut replay = Replay::new();
        replay.replay_segment(number, &bytes);
        match replay::header_of(number, &bytes) {
            Some(header) if replay.has_minimum_frames() => {
                Ok(Some(NewestSegment { number, header, bytes, state: replay.state }))
            }
            _ => {
                self.check_damaged_start(number, &bytes);
                Ok(None)
            }
        }
    }

    /// Handles a segment with an invalid start: it is damaged if it has a later frame, which is only written
    /// after the start was durable.
    fn check_damaged_start(&mut self, number: u64, bytes: &[u8]) {
        if frame::has_later_frame(bytes, number, replay::MINIMUM_FRAMES - 1) {
            self.note_damage(number, 0);
        }
    }

    fn note_damage(&mut self, number: u64, offset: u64) {
        self.damaged = true;
        self.notes.push(RecoveryNote::DamagedSegment { file: names::segment_file(number), offset });
    }

    /// The older segments that are still needed, newest first.
    fn sealed_segments(&mut self, newest: &NewestSegment) -> Result<Vec<PreviousSegment>, StorageError> {
        let oldest_segment = newest.state.oldest_segment;
        let mut sealed = Vec::new();
        let mut next = replay::needed_previous(&newest.header, oldest_segment);
        while let Some(previous) = next {
            let Some(header) = self.read_header(previous.number)? else { break };
            sealed.push(previous);
            next = replay::needed_previous(&header, oldest_segment);
        }
        Ok(sealed)
    }

    fn read_header(&mut self, number: u64) -> Result<Option<SegmentHeader>, StorageError> {
        let name = names::segment_file(number);
        if self.length(FileKind::Segment(number)).is_none() {
            self.damaged = true;
            self.notes.push(RecoveryNote::MissingFile { file: name });
            return Ok(None);
        }
        let mut bytes = self.read(&name, 0, PREFIX_BYTES + FRAME_HEADER_BYTES)?;
        let has_prefix = frame::check_prefix(&name, &bytes)?;
        if let Some(length) = bytes.get(PREFIX_BYTES..).and_then(frame::frame_length) {
            bytes = self.read(&name, 0, PREFIX_BYTES + length)?;
        }
        let header = replay::header_of(number, &bytes).filter(|_| has_prefix);
        if header.is_none() {
            self.note_damage(number, 0);
        }
        Ok(header)
    }

    fn replay(
        &mut self,
        replay: &mut Replay,
        sealed: &[PreviousSegment],
        newest: &NewestSegment,
    ) -> Result<(), StorageError> {
        for previous in sealed.iter().rev() {
            if !self.replay_sealed(replay, *previous)? {
                return Ok(());
            }
        }
        let (valid, end) = replay.replay_segment(newest.number, &newest.bytes);
        self.segments_with_tail.push(newest.number);
        let kept = valid as u64;
        match end {
            SegmentEnd::Complete => {}
            SegmentEnd::Damaged => self.note_damage(newest.number, kept),
            SegmentEnd::Torn => {
                let dropped = newest.bytes.len() as u64 - kept;
                self.notes.push(RecoveryNote::TornTail {
                    file: names::segment_file(newest.number),
                    kept,
                    dropped,
                });
            }
        }
        Ok(())
    }

    /// Replays an older segment up to its valid length; false if that part is damaged.
    fn replay_sealed(&mut self, replay: &mut Replay, sealed: PreviousSegment) -> Result<bool, StorageError> {
        let length = sealed.length as usize;
        let bytes = self.read(&names::segment_file(sealed.number), 0, length)?;
        let (valid, end) = replay.replay_segment(sealed.number, &bytes);
        if end != SegmentEnd::Complete || valid != length {
            self.note_damage(sealed.number, valid as u64);
            return Ok(false);
        }
        if self.length(FileKind::Segment(sealed.number)).is_some_and(|on_disk| on_disk > sealed.length) {
            self.segments_with_tail.push(sealed.number);
        }
        Ok(true)
    }

    fn read_snapshot(
        &mut self,
        reference: Option<SnapshotReference>,
    ) -> Result<Option<StoredSnapshot>, StorageError> {
        let Some(reference) = reference else { return Ok(None) };
        let file = names::snapshot_file(reference.number);
        let Some(length) = self.length(FileKind::Snapshot(reference.number)) else {
            self.notes.push(RecoveryNote::MissingFile { file });
            return Ok(None);
        };
        let mut bytes = self.read(&file, 0, length as usize)?;
        let has_prefix = frame::check_prefix(&file, &bytes)?;
        let contents = bytes.split_off(PREFIX_BYTES.min(bytes.len()));
        if !has_prefix
            || contents.len() as u64 != reference.length
            || crc32fast::hash(&contents) != reference.checksum
        {
            self.notes.push(RecoveryNote::DamagedSnapshot { file });
            return Ok(None);
        }
        Ok(Some(StoredSnapshot { index: reference.index, bytes: contents }))
    }

    fn finish(mut self, mut replay: Replay, snapshot: Option<StoredSnapshot>) -> FolderContents {
        let read_segments: Vec<u64> = replay.segments.iter().map(|segment| segment.number).collect();
        replay.drop_rewritten_segment();
        let (removable, superseded) = self.obsolete_files(&replay, &read_segments);
        let header = header_state(&mut replay);
        let recovered = RecoveredState {
            metadata: replay.state.metadata.as_ref().map(|bytes| bytes.to_vec()),
            snapshot,
            entries: std::mem::take(&mut replay.entries).into(),
            damaged: replay.state.damaged,
            notes: self.notes,
        };
        let next_number = self.files.last().map_or(0, |(kind, _)| kind.number()) + 1;
        FolderContents {
            recovered,
            replay,
            header,
            next_number,
            removable,
            superseded,
            segments_with_tail: self.segments_with_tail,
        }
    }

    /// Unneeded files: those that may be removed at once, and those that may be removed once the new segment
    /// is durable. Until then the last frame may still be lost, and then the others are needed again.
    fn obsolete_files(
        &mut self,
        replay: &Replay,
        read_segments: &[u64],
    ) -> (Vec<ObsoleteFile>, Vec<ObsoleteFile>) {
        let mut removable = Vec::new();
        let mut superseded = Vec::new();
        let newest = read_segments.last().copied().unwrap_or(0);
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
            let obsolete = ObsoleteFile { name: file.name.clone(), length: file.length };
            if is_unfinished && !self.damaged {
                removable.push(obsolete)
            } else {
                superseded.push(obsolete)
            }
            let was_read = matches!(kind, FileKind::Segment(number) if read_segments.contains(number));
            if !was_read {
                self.notes.push(RecoveryNote::Leftover { file: file.name.clone() });
            }
        }
        (removable, superseded)
    }
}

/// The state without the entries that are rewritten into the new segment.
fn header_state(replay: &mut Replay) -> Checkpoint {
    let mut header = replay.state.clone();
    let first_rewritten =
        replay.entries.iter().map(|entry| entry.index).find(|index| *index >= replay.rewritten_from);
    // Entries that the last frame also released are not rewritten.
    header.last = first_rewritten.map_or(header.last, |index| index - 1);
    for segment in &mut replay.segments {
        segment.highest_index = segment.highest_index.min(header.last);
    }
    header
}

/// Restores a consistent state after damage: the latest metadata and snapshot, and the entries before the
/// damage if there is no gap between them and the snapshot.
fn salvage(replay: &mut Replay, metadata: &Option<ByteVec>, snapshot: Option<SnapshotReference>) {
    let snapshot_index = snapshot.map_or(0, |snapshot| snapshot.index);
    let first = replay.entries.front().map(|entry| entry.index);
    let last = replay.entries.back().map(|entry| entry.index);
    let (first, last) = match (first, last) {
        (Some(first), Some(last)) if first <= snapshot_index + 1 && last >= snapshot_index => (first, last),
        _ => {
            replay.entries.clear();
            replay.segments.clear();
            (snapshot_index + 1, snapshot_index)
        }
    };
    let oldest_segment = replay.state.oldest_segment;
    replay.state =
        Checkpoint { first, last, oldest_segment, damaged: true, metadata: metadata.clone(), snapshot };
}
