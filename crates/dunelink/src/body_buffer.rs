//! The pieces of a body that is held.

use bytes::{Bytes, BytesMut};

/// What has come of a body. One that comes in one piece is not copied.
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
