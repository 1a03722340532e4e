//! File format: a prefix with the format version, followed by frames with checksums.

use crate::error::StorageError;

/// The format version that is written, and the only one that is read.
pub(crate) const FORMAT_VERSION: u16 = 1;
/// Length of the file prefix: magic, format version and checksum, in bytes.
pub(crate) const PREFIX_BYTES: usize = 12;
/// Length of a frame header, in bytes.
pub(crate) const FRAME_HEADER_BYTES: usize = 28;
const FILE_MAGIC: [u8; 6] = *b"dnlink";
const FRAME_MAGIC: [u8; 4] = [0xd5, 0x1e, 0x9a, 0x4b];

/// The prefix of every file.
pub(crate) fn prefix() -> [u8; PREFIX_BYTES] {
    let mut bytes = [0; PREFIX_BYTES];
    bytes[..6].copy_from_slice(&FILE_MAGIC);
    bytes[6..8].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
    let checksum = crc32fast::hash(&bytes[..8]);
    bytes[8..].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Whether the file begins with a valid prefix; false if the prefix is truncated or damaged. An error if its
/// format version is unknown.
pub(crate) fn check_prefix(file: &str, bytes: &[u8]) -> Result<bool, StorageError> {
    let Some(prefix) = bytes.get(..PREFIX_BYTES) else { return Ok(false) };
    if prefix[..6] != FILE_MAGIC || u32_at(prefix, 8) != crc32fast::hash(&prefix[..8]) {
        return Ok(false);
    }
    let found = u16::from_le_bytes([prefix[6], prefix[7]]);
    if found != FORMAT_VERSION {
        return Err(StorageError::UnknownVersion { file: file.to_owned(), found, supported: FORMAT_VERSION });
    }
    Ok(true)
}

/// A frame with valid checksums.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// Number of the segment that the frame was written to.
    pub segment: u64,
    /// Position of the frame in the segment, from 0.
    pub sequence: u32,
    /// The encoded records.
    pub payload: &'a [u8],
}

impl Frame<'_> {
    /// Length of the frame including its header, in bytes.
    #[must_use]
    pub fn length(&self) -> usize {
        FRAME_HEADER_BYTES + self.payload.len()
    }
}

/// Reason why no frame can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameFault {
    /// The header is truncated or damaged.
    Header,
    /// The header is valid, but the payload is truncated or damaged. The value is the length of the frame in
    /// bytes, according to the header.
    Payload(usize),
}

/// Reads the frame at the start of `bytes`.
///
/// # Errors
///
/// There is no valid frame. Arbitrary bytes are safe as input.
pub fn read_frame(bytes: &[u8]) -> Result<Frame<'_>, FrameFault> {
    let header = bytes.get(..FRAME_HEADER_BYTES).ok_or(FrameFault::Header)?;
    if header[..4] != FRAME_MAGIC || u32_at(header, 24) != crc32fast::hash(&header[..24]) {
        return Err(FrameFault::Header);
    }
    let length = FRAME_HEADER_BYTES + u32_at(header, 4) as usize;
    let payload = bytes.get(FRAME_HEADER_BYTES..length).ok_or(FrameFault::Payload(length))?;
    if u32_at(header, 20) != crc32fast::hash(payload) {
        return Err(FrameFault::Payload(length));
    }
    Ok(Frame { segment: u64_at(header, 8), sequence: u32_at(header, 16), payload })
}

/// Length in bytes of the frame at the start of `bytes`; `None` if its header is invalid.
pub(crate) fn frame_length(bytes: &[u8]) -> Option<usize> {
    match read_frame(bytes) {
        Ok(frame) => Some(frame.length()),
        Err(FrameFault::Payload(length)) => Some(length),
        Err(FrameFault::Header) => None,
    }
}

/// Appends a frame to `out`.
pub(crate) fn write_frame(
    out: &mut Vec<u8>,
    segment: u64,
    sequence: u32,
    payload: &[u8],
) -> Result<(), StorageError> {
    let bytes = payload.len() as u64;
    let length = u32::try_from(bytes).map_err(|_| StorageError::BatchTooLarge { bytes })?;
    out.reserve(FRAME_HEADER_BYTES + payload.len());
    let start = out.len();
    out.extend_from_slice(&FRAME_MAGIC);
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(&segment.to_le_bytes());
    out.extend_from_slice(&sequence.to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let checksum = crc32fast::hash(&out[start..]);
    out.extend_from_slice(&checksum.to_le_bytes());
    out.extend_from_slice(payload);
    Ok(())
}

/// Whether a valid frame of the segment with a sequence above `after` begins anywhere in `bytes`.
pub(crate) fn has_later_frame(bytes: &[u8], segment: u64, after: u32) -> bool {
    let mut start = 0;
    while let Some(position) = find_magic(&bytes[start..]) {
        let at = start + position;
        if is_later_frame(&bytes[at..], segment, after) {
            return true;
        }
        start = at + 1;
    }
    false
}

fn is_later_frame(bytes: &[u8], segment: u64, after: u32) -> bool {
    let Some(header) = bytes.get(..FRAME_HEADER_BYTES) else { return false };
    // Reads the payload only if the header matches.
    u64_at(header, 8) == segment && u32_at(header, 16) > after && read_frame(bytes).is_ok()
}

fn find_magic(bytes: &[u8]) -> Option<usize> {
    bytes.windows(FRAME_MAGIC.len()).position(|window| window == FRAME_MAGIC)
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    let mut value = [0; 4];
    value.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(value)
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    let mut value = [0; 8];
    value.copy_from_slice(&bytes[at..at + 8]);
    u64::from_le_bytes(value)
}
