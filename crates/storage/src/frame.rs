//! Files begin with a format version; frames with checksums follow.

use crate::error::StorageError;

/// The format version written, and the only one read.
pub(crate) const FORMAT_VERSION: u16 = 1;
/// The length of the part of a file before its first frame or snapshot, in bytes.
pub(crate) const PREFIX_BYTES: usize = 12;
/// The length of a frame without its payload, in bytes.
pub(crate) const FRAME_HEADER_BYTES: usize = 28;
const FILE_MAGIC: [u8; 6] = *b"dnlink";
const FRAME_MAGIC: [u8; 4] = [0xd5, 0x1e, 0x9a, 0x4b];

/// The first bytes of a file.
pub(crate) fn prefix() -> [u8; PREFIX_BYTES] {
    let mut bytes = [0; PREFIX_BYTES];
    bytes[..6].copy_from_slice(&FILE_MAGIC);
    bytes[6..8].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
    let checksum = crc32fast::hash(&bytes[..8]);
    bytes[8..].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Whether the file begins as it should: true if so, false if it is cut short or damaged.
pub(crate) fn check_prefix(file: &str, bytes: &[u8]) -> Result<bool, StorageError> {
    let Some(head) = bytes.get(..PREFIX_BYTES) else { return Ok(false) };
    if head[..6] != FILE_MAGIC || u32_at(head, 8) != crc32fast::hash(&head[..8]) {
        return Ok(false);
    }
    let found = u16::from_le_bytes([head[6], head[7]]);
    if found != FORMAT_VERSION {
        return Err(StorageError::UnknownVersion { file: file.to_owned(), found, supported: FORMAT_VERSION });
    }
    Ok(true)
}

/// A frame whose checksums are right.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// The number of the segment that it was written to.
    pub segment: u64,
    /// Its place in the segment, from 0.
    pub sequence: u32,
    /// The records.
    pub payload: &'a [u8],
}

impl Frame<'_> {
    /// Its length with the header, in bytes.
    #[must_use]
    pub fn length(&self) -> usize {
        FRAME_HEADER_BYTES + self.payload.len()
    }
}

/// Why there is no frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameFault {
    /// The header is cut short or damaged.
    Header,
    /// The header is right and the payload is cut short or damaged; the length of the frame is given, in bytes.
    Payload(usize),
}

/// Reads the frame at the start of `bytes`.
///
/// # Errors
///
/// The fault found; any bytes are accepted.
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

/// The length of the frame at the start of `bytes`, if its header is right.
pub(crate) fn frame_length(bytes: &[u8]) -> Option<usize> {
    match read_frame(bytes) {
        Ok(frame) => Some(frame.length()),
        Err(FrameFault::Payload(length)) => Some(length),
        Err(FrameFault::Header) => None,
    }
}

/// Adds a frame to `out`.
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

/// True if a valid frame of the segment with a sequence above `after` begins anywhere in `bytes`.
pub(crate) fn has_later_frame(bytes: &[u8], segment: u64, after: u32) -> bool {
    let mut start = 0;
    while let Some(found) = find_magic(&bytes[start..]) {
        let at = start + found;
        if is_later(&bytes[at..], segment, after) {
            return true;
        }
        start = at + 1;
    }
    false
}

fn is_later(bytes: &[u8], segment: u64, after: u32) -> bool {
    let Some(header) = bytes.get(..FRAME_HEADER_BYTES) else { return false };
    // The payload is read only where the header fits.
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
