//! The state of each server, for operators.

use dunelink_serving_model::Micros;

use crate::{Router, ServerStatus};

impl Router {
    /// The state of each listed server, sorted by service and id.
    pub fn status(&self, now: Micros) -> Vec<ServerStatus> {
        let mut statuses: Vec<ServerStatus> =
            self.servers.iter().map(|(_, server)| self.server_status(now, server)).collect();
        statuses.sort_by(|a, b| (&a.service, &a.id).cmp(&(&b.service, &b.id)));
        statuses
    }

    fn server_status(&self, now: Micros, server: &crate::servers::Server) -> ServerStatus {
        ServerStatus {
            id: server.info.id.clone(),
            service: server.info.service.clone(),
            zone: server.info.zone.clone(),
            label: server.label,
            ready: server.info.ready,
            ejected_for: server.health.ejected_for(now),
            in_flight: server.model.in_flight(),
            fleet_in_flight: server.model.fleet_in_flight(now, self.fleet_size),
            cached_tokens: server.model.prefix_cache().total_tokens(),
            relative_latency: server.model.max_relative_latency(now),
        }
    }
}
