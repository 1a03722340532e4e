//! The real state of the servers, for policies that probe them, and for the oracle, which could not exist in
//! reality.

use std::collections::HashMap;

use cherryusher::ServerId;

use super::server::SimulatedServer;
use crate::Micros;

/// The real state of the servers now.
pub struct GroundTruth<'a> {
    pub(crate) now: Micros,
    pub(crate) servers: &'a [SimulatedServer],
    pub(crate) indices: &'a HashMap<ServerId, usize>,
    /// The mean work of a request, in microseconds at a server of speed 1.
    pub(crate) mean_work: f64,
}

impl GroundTruth<'_> {
    /// The expected time that a request of this work would spend at a server, queueing included, in
    /// microseconds; infinite if the server is not there.
    pub fn expected_sojourn(&self, server: ServerId, work: f64) -> f64 {
        let server_model = self.indices.get(&server).and_then(|index| self.servers.get(*index));
        server_model.map_or(f64::INFINITY, |model| model.expected_sojourn(self.now, work))
    }

    /// A server's answer to a probe: the number of requests at it, and the expected latency of one more in
    /// microseconds; `None` if it does not answer.
    pub fn probe(&self, server: ServerId) -> Option<(f64, f64)> {
        let server_model = self.servers.get(*self.indices.get(&server)?)?;
        let latency = server_model.expected_sojourn(self.now, self.mean_work);
        let answers = server_model.speed(self.now) > 0.0 && latency.is_finite();
        answers.then(|| (server_model.count() as f64, latency))
    }
}
