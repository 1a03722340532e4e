//! Names of the files. The number in a name only grows, over segments and snapshots together.

const SEGMENT: (&str, &str) = ("segment-", ".log");
const SNAPSHOT: (&str, &str) = ("snapshot-", ".bin");

/// What a file holds, by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileKind {
    Segment(u64),
    Snapshot(u64),
}

impl FileKind {
    /// The number in the name.
    pub(crate) fn number(self) -> u64 {
        match self {
            Self::Segment(number) | Self::Snapshot(number) => number,
        }
    }
}

/// The name of a segment's file.
pub(crate) fn segment(number: u64) -> String {
    format!("{}{number:016x}{}", SEGMENT.0, SEGMENT.1)
}

/// The name of a snapshot's file.
pub(crate) fn snapshot(number: u64) -> String {
    format!("{}{number:016x}{}", SNAPSHOT.0, SNAPSHOT.1)
}

/// What the name stands for; none if the store did not make it.
pub(crate) fn parse(name: &str) -> Option<FileKind> {
    if let Some(number) = number(name, SEGMENT) {
        return Some(FileKind::Segment(number));
    }
    number(name, SNAPSHOT).map(FileKind::Snapshot)
}

fn number(name: &str, (start, end): (&str, &str)) -> Option<u64> {
    let digits = name.strip_prefix(start)?.strip_suffix(end)?;
    if digits.len() != 16 || digits.bytes().any(|byte| byte.is_ascii_uppercase() || byte == b'+') {
        return None;
    }
    u64::from_str_radix(digits, 16).ok()
}
