//! The one timer of a request: its end, and before that silence of its server.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::time::{Instant, Sleep};

/// Fires at a request's end, and when its server was silent for as long as is watched for.
pub struct RequestTimer {
    sleep: Pin<Box<Sleep>>,
    deadline: Instant,
    watch: Option<Watch>,
}

/// What is watched for.
struct Watch {
    every: Duration,
    /// What had been heard of the server when it was last looked.
    heard: u64,
}

/// Why the alarm fired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimeoutKind {
    /// The time of the request is over.
    Deadline,
    /// The server said nothing, on any connection, for the time that is watched for.
    Silence,
}

impl RequestTimer {
    /// Fires at `deadline`.
    pub fn new(deadline: Instant) -> Self {
        Self { sleep: Box::pin(tokio::time::sleep_until(deadline)), deadline, watch: None }
    }

    /// When the request ends.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Watches for silence of this length from now on, or not any more. `heard` counts what has come from the server.
    pub fn set_silence_timeout(&mut self, every: Option<Duration>, heard: u64) {
        if every.is_none() && self.watch.is_none() {
            return;
        }
        self.watch = every.map(|every| Watch { every, heard });
        self.set();
    }

    fn set(&mut self) {
        let look = self.watch.as_ref().map_or(self.deadline, |watch| Instant::now() + watch.every);
        self.sleep.as_mut().reset(look.min(self.deadline));
    }

    /// Ready once it fires. `heard` counts what has come from the server.
    pub fn poll(&mut self, cx: &mut Context<'_>, heard: u64) -> Poll<TimeoutKind> {
        loop {
            ready!(self.sleep.as_mut().poll(cx));
            let Some(watch) = &mut self.watch else { return Poll::Ready(TimeoutKind::Deadline) };
            if Instant::now() >= self.deadline {
                return Poll::Ready(TimeoutKind::Deadline);
            }
            let silent = std::mem::replace(&mut watch.heard, heard) == heard;
            self.set();
            if silent {
                return Poll::Ready(TimeoutKind::Silence);
            }
        }
    }
}
