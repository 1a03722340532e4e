//! File names. Segments and snapshots share one sequence of increasing file numbers.

/// Prefix and suffix of the name of a segment file.
const SEGMENT_AFFIXES: (&str, &str) = ("segment-", ".log");
/// Prefix and suffix of the name of a snapshot file.
const SNAPSHOT_AFFIXES: (&str, &str) = ("snapshot-", ".bin");

/// Kind and file number of a file, according to its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileKind {
    Segment(u64),
    Snapshot(u64),
}

impl FileKind {
    /// The file number.
    pub(crate) fn number(self) -> u64 {
        match self {
            Self::Segment(number) | Self::Snapshot(number) => number,
        }
    }
}

/// File name of a segment.
pub(crate) fn segment_file(number: u64) -> String {
    format!("{}{number:016x}{}", SEGMENT_AFFIXES.0, SEGMENT_AFFIXES.1)
}

/// File name of a snapshot.
pub(crate) fn snapshot_file(number: u64) -> String {
    format!("{}{number:016x}{}", SNAPSHOT_AFFIXES.0, SNAPSHOT_AFFIXES.1)
}

/// Parses a file name; `None` if it is not a file of the store.
pub(crate) fn parse(name: &str) -> Option<FileKind> {
    if let Some(number) = parse_number(name, SEGMENT_AFFIXES) {
        return Some(FileKind::Segment(number));
    }
    parse_number(name, SNAPSHOT_AFFIXES).map(FileKind::Snapshot)
}

fn parse_number(name: &str, (prefix, suffix): (&str, &str)) -> Option<u64> {
    let digits = name.strip_prefix(prefix)?.strip_suffix(suffix)?;
    if digits.len() != 16 || digits.bytes().any(|byte| byte.is_ascii_uppercase() || byte == b'+') {
        return None;
    }
    u64::from_str_radix(digits, 16).ok()
}
