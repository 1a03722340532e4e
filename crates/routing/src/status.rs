//! What operators are told of each server.

use dunelink_serving_model::Micros;

use crate::{Router, ServerStatus};

impl Router {
    /// One line for each listed server, by service and id.
    pub fn status(&self, now: Micros) -> Vec<ServerStatus> {
        let mut lines: Vec<ServerStatus> =
            self.servers.iter().map(|(_, server)| self.line(now, server)).collect();
        lines.sort_by(|a, b| (&a.service, &a.id).cmp(&(&b.service, &b.id)));
        lines
    }

    fn line(&self, now: Micros, server: &crate::servers::Server) -> ServerStatus {
        ServerStatus {
            id: server.info.id.clone(),
            service: server.info.service.clone(),
            zone: server.info.zone.clone(),
            label: server.label,
            ready: server.info.ready,
            ejected_for: server.health.ejected_for(now),
            in_flight: server.model.in_flight(),
            fleet_in_flight: server.model.fleet_in_flight(now, self.nodes),
            cached_tokens: server.model.prefix_cache().total_tokens(),
            relative_latency: server.model.max_relative_latency(now),
        }
    }
}
