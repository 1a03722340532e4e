//! Reading a request's body whole.

use std::future::Future;
use std::task::Poll;

use bytes::{Buf, Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};

use crate::error::{BodyError, BoxError};

/// Reads a body to its end, or past the most that it may hold.
pub(super) async fn read_body<B>(
    body: B,
    limit: usize,
    came: Instant,
    by: Instant,
) -> Result<Bytes, BodyError>
where
    B: Body,
    B::Error: Into<BoxError>,
{
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyError::TooLarge { limit });
    }
    let mut reading = Box::pin(collect(body, limit));
    // One that is there already needs no timer, nor a runtime that has one.
    let now = std::future::poll_fn(|cx| Poll::Ready(reading.as_mut().poll(cx))).await;
    match now {
        Poll::Ready(body) => body,
        Poll::Pending => {
            let late = |_| Err(BodyError::TimedOut { after: by.saturating_duration_since(came) });
            timeout_at(by, reading).await.unwrap_or_else(late)
        }
    }
}

async fn collect<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: Body,
    B::Error: Into<BoxError>,
{
    let mut body = std::pin::pin!(body);
    let (mut first, mut whole) = (Bytes::new(), BytesMut::new());
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| BodyError::Broken(e.into()))?;
        let Ok(mut data) = frame.into_data() else { continue };
        if first.len() + whole.len() + data.remaining() > limit {
            return Err(BodyError::TooLarge { limit });
        }
        // A body of one piece is passed on as it is.
        if first.is_empty() && whole.is_empty() {
            first = data.copy_to_bytes(data.remaining());
            continue;
        }
        whole.extend_from_slice(&std::mem::take(&mut first));
        while data.has_remaining() {
            let length = data.chunk().len();
            whole.extend_from_slice(data.chunk());
            data.advance(length);
        }
    }
    Ok(if whole.is_empty() { first } else { whole.freeze() })
}
