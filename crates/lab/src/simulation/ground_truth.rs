//! What is so at the servers: for policies that ask them, or that could not exist.

use std::collections::HashMap;

use cherryusher::ServerId;

use super::server::SimulatedServer;
use crate::Micros;

/// The servers as they are now.
pub struct GroundTruth<'a> {
    pub(crate) now: Micros,
    pub(crate) stations: &'a [SimulatedServer],
    pub(crate) numbers: &'a HashMap<ServerId, usize>,
    /// How much work a request is on average.
    pub(crate) work: f64,
}

impl GroundTruth<'_> {
    /// For how long a request of this work would be at a server, in microseconds.
    pub fn expected_sojourn(&self, server: ServerId, work: f64) -> f64 {
        let station = self.numbers.get(&server).and_then(|number| self.stations.get(*number));
        station.map_or(f64::INFINITY, |station| station.expected_sojourn(self.now, work))
    }

    /// What a server says to a probe: how many requests it has, and how long one takes; nothing if it says nothing.
    pub fn probe(&self, server: ServerId) -> Option<(f64, f64)> {
        let station = self.stations.get(*self.numbers.get(&server)?)?;
        let latency = station.expected_sojourn(self.now, self.work);
        let answers = station.speed(self.now) > 0.0 && latency.is_finite();
        answers.then(|| (station.count() as f64, latency))
    }
}
