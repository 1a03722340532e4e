//! The single timer of a request: its deadline, and the silence timeout of its server.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::time::{Instant, Sleep};

/// Fires at the request's deadline, and earlier if its server is silent for the silence timeout.
pub struct RequestTimer {
    sleep: Pin<Box<Sleep>>,
    deadline: Instant,
    silence: Option<SilenceWatch>,
}

/// State of the silence timeout.
struct SilenceWatch {
    timeout: Duration,
    /// Value of the server's activity counter at the last check.
    last_activity: u64,
}

/// Why the timer fired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimeoutKind {
    /// The deadline of the request has passed.
    Deadline,
    /// No data arrived from the server, on any connection, for the silence timeout.
    Silence,
}

impl RequestTimer {
    /// Creates a timer that fires at `deadline`.
    pub fn new(deadline: Instant) -> Self {
        Self { sleep: Box::pin(tokio::time::sleep_until(deadline)), deadline, silence: None }
    }

    /// Returns the deadline of the request.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Starts the silence timeout anew, or removes it if `None`. `activity` is the current value of the
    /// server's activity counter.
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

    /// Returns ready once the timer fires. `activity` is the current value of the server's activity counter.
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
