//! The monotonic clock whose times the state machines use.

use std::time::{Duration, Instant};

/// Monotonic clock in microseconds. It starts at one second, so that times shortly before the start of the
/// program can be represented.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
}

/// Time of the clock at the start of the program, in microseconds.
const START_US: u64 = 1_000_000;

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// The current time in microseconds.
    pub fn now(&self) -> u64 {
        START_US + self.started.elapsed().as_micros() as u64
    }

    /// Time since the clock was started.
    pub fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// The instant at which the clock reaches `at_us`; a time before the start gives the start.
    pub fn instant(&self, at_us: u64) -> Instant {
        self.started + Duration::from_micros(at_us.saturating_sub(START_US))
    }
}
