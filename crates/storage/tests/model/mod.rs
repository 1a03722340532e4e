//! In-memory model of the expected contents of a store.

use dunelink_storage::{Operation, RecoveredState, StoredEntry, StoredSnapshot};

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Model {
    pub(crate) metadata: Option<Vec<u8>>,
    pub(crate) snapshot: Option<StoredSnapshot>,
    pub(crate) entries: Vec<StoredEntry>,
    pub(crate) last: u64,
}

impl Model {
    pub(crate) fn after(&self, batch: &[Operation]) -> Self {
        let mut next = self.clone();
        for operation in batch {
            next.apply(operation);
        }
        next
    }

    fn apply(&mut self, operation: &Operation) {
        match operation {
            Operation::Metadata(bytes) => self.metadata = Some(bytes.clone()),
            Operation::Append { index, bytes } => {
                self.last = *index;
                self.entries.push(StoredEntry { index: *index, bytes: bytes.clone() });
            }
            Operation::Truncate { from } => {
                self.last = self.last.min(from - 1);
                self.entries.retain(|entry| entry.index < *from);
            }
            Operation::Snapshot { index, bytes } => {
                self.snapshot = Some(StoredSnapshot { index: *index, bytes: bytes.clone() });
                if *index > self.last {
                    self.entries.clear();
                    self.last = *index;
                }
            }
            Operation::Release { through } => self.entries.retain(|entry| entry.index > *through),
        }
    }

    /// Whether the recovered state equals the model.
    pub(crate) fn matches(&self, recovered: &RecoveredState) -> bool {
        self.metadata == recovered.metadata
            && self.snapshot == recovered.snapshot
            && self.entries == recovered.entries
    }

    #[allow(dead_code)]
    pub(crate) fn next_append(&self, bytes: &[u8]) -> Operation {
        Operation::Append { index: self.last + 1, bytes: bytes.to_vec() }
    }
}
