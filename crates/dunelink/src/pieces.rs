//! The pieces of a body that is held.

use bytes::{Bytes, BytesMut};

/// What has come of a body. One that comes in one piece is not copied.
#[derive(Default)]
pub(crate) struct Pieces {
    first: Bytes,
    more: BytesMut,
}

impl Pieces {
    pub(crate) fn push(&mut self, data: Bytes) {
        if self.first.is_empty() && self.more.is_empty() {
            self.first = data;
        } else {
            self.more.extend_from_slice(&std::mem::take(&mut self.first));
            self.more.extend_from_slice(&data);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.first.len() + self.more.len()
    }

    pub(crate) fn whole(self) -> Bytes {
        if self.more.is_empty() { self.first } else { self.more.freeze() }
    }
}
