//! The load that a server reported last, and its weight as it ages.

use crate::Micros;

/// Half-life of the difference between a reading and the usual load, in microseconds.
const EXCESS_HALF_LIFE_US: f64 = 400_000.0;
/// Half-life of the usual load while there is no new reading, in microseconds. A server that gets no requests
/// reports nothing, and must not seem busy forever.
const USUAL_HALF_LIFE_US: f64 = 2_000_000.0;

/// One value of the `X-Dunelink-Server-Load` header.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReading {
    /// When the reading was received.
    pub received_at: Micros,
    /// Running requests of all senders.
    pub running: u32,
    /// Queued requests of all senders.
    pub waiting: u32,
    /// Requests of this process in flight at the server when the reading was received.
    pub own_in_flight: u32,
}

impl LoadReading {
    /// Estimated number of requests that other senders have running or queued now, where `usual` is their
    /// mean number.
    pub fn other_in_flight(&self, now: Micros, usual: f64) -> f64 {
        let usual_now = usual * decay(now.saturating_sub(self.received_at), USUAL_HALF_LIFE_US);
        usual_now + (self.reported_others() - usual) * self.weight(now)
    }

    /// Requests of other senders, running or queued, according to the reading.
    pub fn reported_others(&self) -> f64 {
        f64::from(self.running.saturating_add(self.waiting).saturating_sub(self.own_in_flight))
    }

    /// Estimated number of queued requests now.
    pub fn decayed_waiting(&self, now: Micros) -> f64 {
        f64::from(self.waiting) * self.weight(now)
    }

    /// Weight of the reading now: 1 when it was received, then decaying to 0.
    pub fn weight(&self, now: Micros) -> f64 {
        decay(now.saturating_sub(self.received_at), EXCESS_HALF_LIFE_US)
    }
}

/// The share of a value that is left after `age`, given the half-life.
pub(crate) fn decay(age: Micros, half_life_us: f64) -> f64 {
    (-(age as f64) / half_life_us).exp2()
}
