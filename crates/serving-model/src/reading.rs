//! The load that a server reported last, and what is left of it after a while.

use crate::Micros;

/// After this long half of what a reading said beyond the usual counts no more.
const HALF_LIFE: f64 = 400_000.0;
/// After this long without a reading half of what is usual counts no more: a server that nothing is sent to tells
/// nothing, and must not seem busy for good.
const USUAL_HALF_LIFE: f64 = 2_000_000.0;

/// One reading of `X-Dunelink-Server-Load`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReading {
    /// When it came.
    pub received_at: Micros,
    /// Requests that run, of all senders.
    pub running: u32,
    /// Requests that wait, of all senders.
    pub waiting: u32,
    /// How many of those were ours when it came.
    pub own_in_flight: u32,
}

impl LoadReading {
    /// How many requests of other senders are there now by this reading, running and waiting, against a usual level.
    pub fn other_in_flight(&self, now: Micros, usual: f64) -> f64 {
        let usual_now = usual * half(now.saturating_sub(self.received_at), USUAL_HALF_LIFE);
        usual_now + (self.reported_others() - usual) * self.weight(now)
    }

    /// How many requests of other senders it told of.
    pub fn reported_others(&self) -> f64 {
        f64::from(self.running.saturating_add(self.waiting).saturating_sub(self.own_in_flight))
    }

    /// How many requests wait there by this reading.
    pub fn decayed_waiting(&self, now: Micros) -> f64 {
        f64::from(self.waiting) * self.weight(now)
    }

    /// How much the reading counts now: 1 when it came, then less and less.
    pub fn weight(&self, now: Micros) -> f64 {
        half(now.saturating_sub(self.received_at), HALF_LIFE)
    }
}

/// What is left after a time of something that halves with each half-life.
pub(crate) fn half(age: Micros, half_life: f64) -> f64 {
    (-(age as f64) / half_life).exp2()
}
