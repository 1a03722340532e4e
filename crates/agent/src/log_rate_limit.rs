//! A limit on log lines of one kind.

/// Shortest time between two lines, in microseconds.
const PERIOD: u64 = 1_000_000;

/// Lets one line a second pass and counts the others.
#[derive(Debug, Default)]
pub struct LogRateLimit {
    next_at: u64,
    left_out: u64,
}

impl LogRateLimit {
    /// Whether a line may be written at `now`; if so, how many were left out before it.
    pub fn admit(&mut self, now: u64) -> Option<u64> {
        if now < self.next_at {
            self.left_out += 1;
            return None;
        }
        self.next_at = now + PERIOD;
        Some(std::mem::take(&mut self.left_out))
    }
}
