//! The body of a request on its way to servers: whole, or passed on as it comes. What is passed on goes to one
//! attempt; until some of it is gone, another one may have it.

use std::future::pending;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::{Either, Full};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use crate::error::BoxError;

/// The body of a request.
pub(crate) enum Payload {
    Whole(Bytes),
    Coming(Arc<Coming>),
}

/// One that is passed on as it comes.
pub(crate) struct Coming {
    /// Its length, if its sender has stated it.
    length: Option<u64>,
    /// What was read before it was known to be long.
    first: Bytes,
    /// What comes after that, while nobody has taken any of it.
    rest: Mutex<Option<mpsc::Receiver<Bytes>>>,
    /// When the client gives up; known once the last byte has come.
    deadline: watch::Receiver<Option<Instant>>,
    /// Whether an attempt has been given its end.
    ended: AtomicBool,
    patience: Duration,
}

/// The other end, where the body comes in.
pub(crate) struct Inlet {
    /// Dropped before the end is told, the body is broken.
    pub(crate) pieces: mpsc::Sender<Bytes>,
    pub(crate) deadline: watch::Sender<Option<Instant>>,
}

impl Coming {
    pub(crate) fn new(length: Option<u64>, first: Bytes, patience: Duration) -> (Arc<Coming>, Inlet) {
        // One piece waits while another is on its way to the socket.
        let (pieces, rest) = mpsc::channel(1);
        let (tell, deadline) = watch::channel(None);
        let rest = Mutex::new(Some(rest));
        let coming = Coming { length, first, rest, deadline, ended: AtomicBool::new(false), patience };
        (Arc::new(coming), Inlet { pieces, deadline: tell })
    }

    fn rest(&self) -> MutexGuard<'_, Option<mpsc::Receiver<Bytes>>> {
        self.rest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Payload {
    /// Its length, if that is known.
    pub(crate) fn length(&self) -> Option<u64> {
        match self {
            Payload::Whole(bytes) => Some(bytes.len() as u64),
            Payload::Coming(coming) => coming.length,
        }
    }

    /// How long a client that is asked now waits, where its patience has not begun.
    pub(crate) fn patience(&self) -> Option<Duration> {
        match self {
            Payload::Coming(coming) if coming.deadline.borrow().is_none() => Some(coming.patience),
            _ => None,
        }
    }

    /// When the client gives up, if its patience has begun.
    pub(crate) fn by(&self, deadline: Instant) -> Option<Instant> {
        match self {
            Payload::Whole(_) => Some(deadline),
            Payload::Coming(coming) => *coming.deadline.borrow(),
        }
    }

    /// Waits until the client has given up.
    pub(crate) async fn over(&self, deadline: Instant) {
        let Payload::Coming(coming) = self else { return sleep_until(deadline).await };
        let mut told = coming.deadline.clone();
        match told.wait_for(Option::is_some).await.map(|at| *at) {
            Ok(Some(at)) => sleep_until(at).await,
            // It broke off: whoever reads it has left.
            _ => pending().await,
        }
    }

    /// When its last byte came, if that is known and matters.
    pub(crate) fn whole_since(&self) -> Option<Instant> {
        match self {
            Payload::Whole(_) => None,
            Payload::Coming(coming) => coming.deadline.borrow().map(|at| at - coming.patience),
        }
    }

    /// Whether an attempt has been given all of it.
    pub(crate) fn has_ended(&self) -> bool {
        match self {
            Payload::Whole(_) => true,
            Payload::Coming(coming) => coming.ended.load(Ordering::Acquire),
        }
    }

    /// Whether some of it is gone, so that it can't be sent once more.
    pub(crate) fn is_spent(&self) -> bool {
        matches!(self, Payload::Coming(coming) if coming.rest().is_none())
    }

    /// The body for an attempt; none if it is spent or out.
    pub(crate) fn body(&self) -> Option<OutgoingBody> {
        match self {
            Payload::Whole(bytes) => Some(OutgoingBody::Left(Full::new(bytes.clone()))),
            Payload::Coming(coming) => {
                let rest = coming.rest().take()?;
                let first = coming.first.clone();
                let coming = coming.clone();
                Some(OutgoingBody::Right(Sending { coming, first, rest: Some(rest), begun: false, sent: 0 }))
            }
        }
    }
}

/// A body as an attempt sends it.
pub(crate) type OutgoingBody = Either<Full<Bytes>, Sending>;

/// One that is passed on. Dropped before any of what comes was taken, it can be had again.
pub(crate) struct Sending {
    coming: Arc<Coming>,
    first: Bytes,
    rest: Option<mpsc::Receiver<Bytes>>,
    begun: bool,
    sent: u64,
}

impl Drop for Sending {
    fn drop(&mut self) {
        if !self.begun {
            *self.coming.rest() = self.rest.take();
        }
    }
}

impl Body for Sending {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if !self.first.is_empty() {
            self.sent = self.first.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.first)))));
        }
        let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
        let polled = std::task::ready!(rest.poll_recv(cx));
        self.begun = true;
        match polled {
            Some(piece) => {
                self.sent += piece.len() as u64;
                // Where its length is stated, nobody asks for its end.
                if self.coming.length == Some(self.sent) {
                    self.coming.ended.store(true, Ordering::Release);
                }
                Poll::Ready(Some(Ok(Frame::data(piece))))
            }
            None if self.coming.deadline.borrow().is_some() => {
                self.coming.ended.store(true, Ordering::Release);
                Poll::Ready(None)
            }
            // A body without its end must not look whole.
            None => Poll::Ready(Some(Err("the client broke its request off".into()))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.coming.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
