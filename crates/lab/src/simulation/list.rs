//! Service discovery: each change of a server reaches each node after a delay or never, and every node gets
//! the full list from time to time.

use cherryusher::{Event, ServerEntry, ServerState};
use rand::Rng;

use super::Simulation;
use super::events::ScheduledEvent;
use super::random::exponential;
use crate::baselines::server_id;
use crate::experiment::micros;

/// The factor by which updates to laggards are delayed.
const LAGGARD_FACTOR: f64 = 10.0;

impl Simulation<'_> {
    /// The list's entry for a server.
    fn server_entry(&self, number: usize) -> ServerEntry {
        let (s, server_model) = (&self.experiment.servers, &self.servers[number]);
        ServerEntry {
            id: server_id(number),
            state: server_model.state,
            ready_at: server_model.started,
            zone: (number % usize::from(s.zones)) as u8,
            cell: (number % usize::from(s.cells)) as u16,
            weight: if s.weights { s.speeds[number % s.speeds.len()] } else { 1.0 },
            kind: 0,
        }
    }

    /// Sends the new state of a server to all nodes.
    pub(super) fn publish_server(&mut self, server: usize) {
        let (entry, version) = (self.server_entry(server), self.servers[server].version);
        let list = &self.experiment.list;
        let laggards = (list.laggards * self.nodes.len() as f64).round() as usize;
        for node in 0..self.nodes.len() {
            let lag = if node < laggards { LAGGARD_FACTOR } else { 1.0 };
            let wait = exponential(&mut self.list_rng, micros(list.delay) as f64 * lag) as u64;
            if self.list_rng.random::<f64>() >= list.loss {
                self.queue.push(self.now + wait, ScheduledEvent::ServerUpdate(node, server, entry, version));
            }
        }
    }

    /// Records the state of a server that a node has received; returns whether it is not older than what it
    /// had.
    fn record_server_state(&mut self, node: usize, server: usize, state: ServerState, version: u32) -> bool {
        let (now, node_state) = (self.now, &mut self.nodes[node]);
        if version < node_state.versions[server] {
            return false;
        }
        node_state.versions[server] = version;
        node_state.unavailable_since[server] = match state {
            ServerState::Ready => None,
            _ => node_state.unavailable_since[server].or(Some(now)),
        };
        true
    }

    pub(super) fn server_update(&mut self, node: usize, server: usize, entry: ServerEntry, version: u32) {
        if self.nodes[node].silence_count == 0 && self.record_server_state(node, server, entry.state, version)
        {
            self.notify_node(node, Event::ServerChanges(vec![entry]));
        }
    }

    pub(super) fn full_server_list(&mut self, node: usize) {
        if self.nodes[node].silence_count == 0 {
            for server in 0..self.servers.len() {
                let (state, version) = (self.servers[server].state, self.servers[server].version);
                self.record_server_state(node, server, state, version);
            }
            let present = (0..self.servers.len()).filter(|n| self.servers[*n].state != ServerState::Gone);
            let list = present.map(|number| self.server_entry(number)).collect();
            self.notify_node(node, Event::ServerList(list));
        }
        // The full lists are spread in time, so that not all nodes get theirs at once.
        let every = micros(self.experiment.list.whole_every);
        let wait = every / 2 + self.list_rng.random_range(0..=every);
        self.queue.push(self.now + wait, ScheduledEvent::FullServerList(node));
    }
}
