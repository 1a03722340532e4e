//! Long computations beside a program's one thread, which has heartbeats to send and bytes to pass on.

use bytes::Bytes;

/// Documents of up to this many bytes are worked on at once: that takes less than handing them to another thread.
const AT_ONCE_BYTES: usize = 64 * 1024;

/// Whether work on a document of that many bytes is too long for the program's own thread.
pub fn is_large_document(bytes: usize) -> bool {
    bytes > AT_ONCE_BYTES
}

/// Works on a document, on a thread of its own if it is long; nothing if that thread has failed.
pub async fn offload_if_large<R: Send + 'static>(document: Bytes, work: fn(Bytes) -> R) -> Option<R> {
    if !is_large_document(document.len()) {
        return Some(work(document));
    }
    tokio::task::spawn_blocking(move || work(document)).await.ok()
}
