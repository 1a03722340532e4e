//! Runs long computations outside a program's single async thread, which must not be blocked: it sends
//! heartbeats and forwards requests.

use bytes::Bytes;

/// Documents of up to this many bytes are processed on the calling thread, which takes less time than handing
/// them to another thread.
const INLINE_LIMIT_BYTES: usize = 64 * 1024;

/// Whether processing a document of `bytes` bytes takes too long for the async thread.
pub fn is_large_document(bytes: usize) -> bool {
    bytes > INLINE_LIMIT_BYTES
}

/// Processes a document, on a separate thread if it is large. `None` if `process` panicked on that thread.
pub async fn offload_if_large<R: Send + 'static>(document: Bytes, process: fn(Bytes) -> R) -> Option<R> {
    if !is_large_document(document.len()) {
        return Some(process(document));
    }
    tokio::task::spawn_blocking(move || process(document)).await.ok()
}
