//! A rate limit for log lines of one kind.

/// Shortest time between two lines in microseconds.
const MIN_INTERVAL_US: u64 = 1_000_000;

/// Admits one line per second and counts the suppressed ones.
#[derive(Debug, Default)]
pub struct LogRateLimit {
    next_at: u64,
    suppressed: u64,
}

impl LogRateLimit {
    /// Decides whether a line may be written at `now` (microseconds). Returns the number of lines suppressed
    /// since the last admitted one, or `None` if this line has to be suppressed too.
    pub fn admit(&mut self, now: u64) -> Option<u64> {
        if now < self.next_at {
            self.suppressed += 1;
            return None;
        }
        self.next_at = now + MIN_INTERVAL_US;
        Some(std::mem::take(&mut self.suppressed))
    }
}
