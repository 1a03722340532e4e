//! Timers for a process that may be suspended: stopped and continued, or without processor time. When it
//! resumes, timers have expired, some only just, while a request that arrived meanwhile is still unread.
//! These timers therefore leave time for one more poll of the sockets.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::rt::{Sleep, Timer};
use tokio::time::Instant;

/// A timer that is polled later than this shows that the process was not running when the timer was due.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(100);
/// Time for reading what arrived during a suspension: long enough to poll all sockets once.
const GRACE_PERIOD: Duration = Duration::from_millis(5);

/// Whether `due` is so long ago that the process must have been suspended since.
pub(crate) fn was_suspended(due: Instant) -> bool {
    due.elapsed() > SUSPENSION_THRESHOLD
}

/// tokio's timer, with a grace period after it expires in which received data can be read. The grace period
/// is unconditional, as a suspension may end just after the timer was due: its lateness does not show a
/// suspension.
#[derive(Clone, Copy)]
pub(crate) struct GraceTimer;

struct GraceSleep {
    sleep: Pin<Box<tokio::time::Sleep>>,
    in_grace_period: bool,
}

impl Future for GraceSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(cx));
            if self.in_grace_period {
                return Poll::Ready(());
            }
            self.in_grace_period = true;
            self.sleep.as_mut().reset(Instant::now() + GRACE_PERIOD);
        }
    }
}

impl Sleep for GraceSleep {}

impl Timer for GraceTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        Box::pin(GraceSleep { sleep: Box::pin(tokio::time::sleep(duration)), in_grace_period: false })
    }

    fn sleep_until(&self, deadline: std::time::Instant) -> Pin<Box<dyn Sleep>> {
        let sleep = Box::pin(tokio::time::sleep_until(deadline.into()));
        Box::pin(GraceSleep { sleep, in_grace_period: false })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(start_paused = true)]
    async fn late_timer_adds_grace_period() {
        let start = Instant::now();
        GraceTimer.sleep(Duration::from_secs(1)).await;
        assert!(
            start.elapsed() < Duration::from_millis(1010),
            "a timer that is polled in time fires hardly later"
        );
        // The process resumes just after the timer was due: the timer is no later than others.
        let sleep = GraceTimer.sleep(Duration::from_secs(1));
        tokio::time::advance(Duration::from_millis(1001)).await;
        let start = Instant::now();
        sleep.await;
        assert!((GRACE_PERIOD..3 * GRACE_PERIOD).contains(&start.elapsed()), "{:?}", start.elapsed());
    }
}
