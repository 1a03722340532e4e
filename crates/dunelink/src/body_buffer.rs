//! A buffer for bodies that are read into memory.

use bytes::{Bytes, BytesMut};

/// The bytes received of a body. A body that arrives in one chunk is not copied.
#[derive(Default)]
pub(crate) struct BodyBuffer {
    first: Bytes,
    rest: BytesMut,
}

impl BodyBuffer {
    pub(crate) fn push(&mut self, data: Bytes) {
        if self.first.is_empty() && self.rest.is_empty() {
            self.first = data;
        } else {
            self.rest.extend_from_slice(&std::mem::take(&mut self.first));
            self.rest.extend_from_slice(&data);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.first.len() + self.rest.len()
    }

    pub(crate) fn into_bytes(self) -> Bytes {
        if self.rest.is_empty() { self.first } else { self.rest.freeze() }
    }
}
