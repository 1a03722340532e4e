//! The steady clock as the state machines count it.

use std::time::{Duration, Instant};

/// Microseconds on the steady clock since the program started, counted from one second so that spans before the
/// start can be written.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
}

/// What the clock shows when the program starts, in microseconds.
const AT_START: u64 = 1_000_000;

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// The time now, in microseconds.
    pub fn now(&self) -> u64 {
        AT_START + self.started.elapsed().as_micros() as u64
    }

    /// How long ago the program started.
    pub fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// The instant at which the clock shows `micros`.
    pub fn instant(&self, micros: u64) -> Instant {
        self.started + Duration::from_micros(micros.saturating_sub(AT_START))
    }
}
