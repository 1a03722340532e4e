//! The one timer of a request: its end, and before that silence of its server.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::time::{Instant, Sleep};

/// Fires at a request's end, and when its server was silent for as long as is watched for.
pub struct Alarm {
    sleep: Pin<Box<Sleep>>,
    ends_at: Instant,
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
pub enum Alert {
    /// The time of the request is over.
    Over,
    /// The server said nothing, on any connection, for the time that is watched for.
    Silent,
}

impl Alarm {
    /// Fires at `ends_at`.
    pub fn new(ends_at: Instant) -> Self {
        Self { sleep: Box::pin(tokio::time::sleep_until(ends_at)), ends_at, watch: None }
    }

    /// When the request ends.
    pub fn ends_at(&self) -> Instant {
        self.ends_at
    }

    /// Watches for silence of this length from now on, or not any more. `heard` counts what has come from the server.
    pub fn watch(&mut self, every: Option<Duration>, heard: u64) {
        if every.is_none() && self.watch.is_none() {
            return;
        }
        self.watch = every.map(|every| Watch { every, heard });
        self.set();
    }

    fn set(&mut self) {
        let look = self.watch.as_ref().map_or(self.ends_at, |watch| Instant::now() + watch.every);
        self.sleep.as_mut().reset(look.min(self.ends_at));
    }

    /// Ready once it fires. `heard` counts what has come from the server.
    pub fn poll(&mut self, cx: &mut Context<'_>, heard: u64) -> Poll<Alert> {
        loop {
            ready!(self.sleep.as_mut().poll(cx));
            let Some(watch) = &mut self.watch else { return Poll::Ready(Alert::Over) };
            if Instant::now() >= self.ends_at {
                return Poll::Ready(Alert::Over);
            }
            let silent = std::mem::replace(&mut watch.heard, heard) == heard;
            self.set();
            if silent {
                return Poll::Ready(Alert::Silent);
            }
        }
    }
}
