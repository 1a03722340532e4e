//! Reading a request's body: whole, if it is short enough to be held; else as far as that goes, and then piece by piece.

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

use bytes::{Buf, Bytes};
use cherryusher::Upload;
use http_body::Body;
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use tokio::time::{Instant, timeout};

use crate::error::{BodyError, BoxError};
use crate::payload::Inlet;
use crate::pieces::Pieces;

/// The least pace of a body, in bytes a second, beyond what its sender is waited for in any case.
const PACE: u64 = 32 * 1024;
/// The pace of a slow sender who means well.
const SLOW: u64 = 64 * 1024;
/// How long a body of unknown length is expected to take.
const UNKNOWN: Duration = Duration::from_secs(2);

/// For how long the sender of a body is waited for. What the node itself makes it wait does not count.
pub(super) struct Patience {
    /// Until when it is waited for in any case, and the bytes that have come.
    left: Duration,
    came: u64,
    waited: Duration,
}

impl Patience {
    pub(super) fn new(least: Duration) -> Patience {
        Patience { left: least, came: 0, waited: Duration::ZERO }
    }

    /// Waits for a sender who is in time.
    async fn wait<F: Future>(&mut self, next: F) -> Result<F::Output, BodyError> {
        let mut next = pin!(next);
        // What is there already needs no timer, nor a runtime that has one.
        if let Poll::Ready(now) = poll_fn(|cx| Poll::Ready(next.as_mut().poll(cx))).await {
            return Ok(now);
        }
        let (most, began) = (self.left + span(self.came, PACE), Instant::now());
        let came = timeout(most.saturating_sub(self.waited), next).await;
        self.waited += began.elapsed();
        came.map_err(|_| BodyError::TimedOut { after: self.waited })
    }
}

/// How long so many bytes take.
fn span(bytes: u64, pace: u64) -> Duration {
    Duration::from_millis(bytes.saturating_mul(1000) / pace)
}

/// A request's body.
pub(super) enum Incoming {
    Whole(Bytes),
    Coming(Box<Rest>),
}

/// A body that is longer than what is held.
pub(super) struct Rest {
    /// What has come of it.
    pub(super) first: Bytes,
    pub(super) length: Option<u64>,
    body: UnsyncBoxBody<Bytes, BoxError>,
    patience: Patience,
    most: u64,
}

/// Reads a body to its end, or as far as it can be held.
pub(super) async fn read_body<B>(
    body: B,
    held: usize,
    most: u64,
    mut patience: Patience,
) -> Result<Incoming, BodyError>
where
    B: Body + Send + 'static,
    B::Error: Into<BoxError>,
{
    let length = body.size_hint().exact();
    check(body.size_hint().lower(), held, most)?;
    let streams = body.size_hint().lower() > held as u64;
    let data = |mut data: B::Data| data.copy_to_bytes(data.remaining());
    let mut body = Box::pin(body.map_frame(move |frame| frame.map_data(data)).map_err(Into::into));
    let mut pieces = Pieces::default();
    while !streams && pieces.len() <= held {
        let Some(frame) = patience.wait(body.frame()).await? else {
            return Ok(Incoming::Whole(pieces.whole()));
        };
        let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() else { continue };
        patience.came += data.len() as u64;
        check(patience.came, held, most)?;
        pieces.push(data);
    }
    let (first, body) = (pieces.whole(), UnsyncBoxBody::new(body));
    Ok(Incoming::Coming(Box::new(Rest { first, length, body, patience, most })))
}

/// Whether so many bytes can be held or passed on.
fn check(bytes: u64, held: usize, most: u64) -> Result<(), BodyError> {
    let limit = most.max(held as u64);
    match bytes > limit {
        true => Err(BodyError::TooLarge { limit: limit as usize }),
        false => Ok(()),
    }
}

impl Rest {
    /// How long it may take.
    pub(super) fn upload(&self) -> Upload {
        let left = |length: u64| length.saturating_sub(self.patience.came);
        let expected = self.length.map_or(UNKNOWN, |length| span(left(length), SLOW));
        let most = self.patience.left + span(left(self.length.unwrap_or(self.most)), PACE);
        let micros = |time: Duration| time.as_micros() as u64;
        Upload { expected_duration: micros(expected), max_duration: micros(most) }
    }

    /// Passes it on to its end; `patience` is the client's from then on. When nobody takes it any more, it is over.
    pub(super) async fn pass_on(&mut self, inlet: &Inlet, patience: Duration) -> Result<Instant, BodyError> {
        let whole = || {
            let now = Instant::now();
            inlet.deadline.send_replace(Some(now + patience));
            now + patience
        };
        loop {
            let Some(frame) = self.patience.wait(self.body.frame()).await? else { return Ok(whole()) };
            let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() else { continue };
            self.patience.came += data.len() as u64;
            check(self.patience.came, 0, self.most)?;
            // Where the length is stated, its end shows with the last piece, and is known before that is on its way.
            let ended = self.body.is_end_stream().then(whole);
            if inlet.pieces.send(data).await.is_err() && ended.is_none() {
                // Its attempt is over; the answer is on its way.
                std::future::pending::<()>().await;
            }
            if let Some(deadline) = ended {
                return Ok(deadline);
            }
        }
    }
}
