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
    silence: Option<SilenceWatch>,
}

/// What is watched for.
struct SilenceWatch {
    timeout: Duration,
    /// What had been heard of the server when it was last looked.
    last_activity: u64,
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
        Self { sleep: Box::pin(tokio::time::sleep_until(deadline)), deadline, silence: None }
    }

    /// When the request ends.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Watches for silence of this length from now on, or not any more. `activity` counts what has come from the server.
    pub fn set_silence_timeout(&mut self, timeout: Option<Duration>, activity: u64) {
        if timeout.is_none() && self.silence.is_none() {
            return;
        }
        self.silence = timeout.map(|timeout| SilenceWatch { timeout, last_activity: activity });
        self.reset_sleep();
    }

    fn reset_sleep(&mut self) {
        let next_check =
            self.silence.as_ref().map_or(self.deadline, |silence| Instant::now() + silence.timeout);
        self.sleep.as_mut().reset(next_check.min(self.deadline));
    }

    /// Ready once it fires. `activity` counts what has come from the server.
    pub fn poll(&mut self, cx: &mut Context<'_>, activity: u64) -> Poll<TimeoutKind> {
        loop {
            ready!(self.sleep.as_mut().poll(cx));
            let Some(silence) = &mut self.silence else { return Poll::Ready(TimeoutKind::Deadline) };
            if Instant::now() >= self.deadline {
                return Poll::Ready(TimeoutKind::Deadline);
            }
            let silent = std::mem::replace(&mut silence.last_activity, activity) == activity;
            self.reset_sleep();
            if silent {
                return Poll::Ready(TimeoutKind::Silence);
            }
        }
    }
}
