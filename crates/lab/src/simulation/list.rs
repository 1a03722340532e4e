//! How nodes hear of servers: each change by itself, after a while or never, and the whole list now and then.

use cherryusher::{Event, ServerEntry, ServerState};
use rand::Rng;

use super::World;
use super::chance::exponential;
use super::events::Due;
use crate::baselines::server_id;
use crate::experiment::micros;

/// How much later laggards hear.
const LAG: f64 = 10.0;

impl World<'_> {
    /// What the list says of a server.
    fn entry(&self, number: usize) -> ServerEntry {
        let (s, station) = (&self.e.servers, &self.stations[number]);
        ServerEntry {
            id: server_id(number),
            state: station.state,
            ready_at: station.started,
            zone: (number % usize::from(s.zones)) as u8,
            cell: (number % usize::from(s.cells)) as u16,
            weight: if s.weights { s.speeds[number % s.speeds.len()] } else { 1.0 },
            kind: 0,
        }
    }

    /// Something has changed at a server: the list tells each node.
    pub(super) fn tell_of(&mut self, server: usize) {
        let (entry, version) = (self.entry(server), self.stations[server].version);
        let list = &self.e.list;
        let laggards = (list.laggards * self.nodes.len() as f64).round() as usize;
        for node in 0..self.nodes.len() {
            let lag = if node < laggards { LAG } else { 1.0 };
            let wait = exponential(&mut self.list, micros(list.delay) as f64 * lag) as u64;
            if self.list.random::<f64>() >= list.loss {
                self.agenda.put(self.now + wait, Due::Hears(node, server, entry, version));
            }
        }
    }

    /// What a node knows of a server from now on; whether that is new.
    fn learns(&mut self, node: usize, server: usize, state: ServerState, version: u32) -> bool {
        let (now, at) = (self.now, &mut self.nodes[node]);
        if version < at.versions[server] {
            return false;
        }
        at.versions[server] = version;
        at.away[server] = match state {
            ServerState::Ready => None,
            _ => at.away[server].or(Some(now)),
        };
        true
    }

    pub(super) fn hears(&mut self, node: usize, server: usize, entry: ServerEntry, version: u32) {
        if self.nodes[node].silent == 0 && self.learns(node, server, entry.state, version) {
            self.tell(node, Event::ServerChanges(vec![entry]));
        }
    }

    pub(super) fn hears_all(&mut self, node: usize) {
        if self.nodes[node].silent == 0 {
            for server in 0..self.stations.len() {
                let (state, version) = (self.stations[server].state, self.stations[server].version);
                self.learns(node, server, state, version);
            }
            let present = (0..self.stations.len()).filter(|n| self.stations[*n].state != ServerState::Gone);
            let list = present.map(|number| self.entry(number)).collect();
            self.tell(node, Event::ServerList(list));
        }
        // Nodes are not told all at once.
        let every = micros(self.e.list.whole_every);
        let wait = every / 2 + self.list.random_range(0..=every);
        self.agenda.put(self.now + wait, Due::HearsAll(node));
    }
}
