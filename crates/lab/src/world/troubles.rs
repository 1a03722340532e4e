//! What goes wrong, and whom it meets.

use cherryusher::ServerState;
use rand::Rng;

use super::World;
use super::chance::{For, generator};
use super::events::Due;
use crate::experiment::{Experiment, Kind, Which, micros};

/// Whom a trouble of the experiment meets.
pub(super) struct Met {
    pub(super) number: usize,
    pub(super) servers: Vec<bool>,
    pub(super) nodes: Vec<bool>,
    pub(super) on: bool,
}

/// Draws whom each trouble meets.
pub(super) fn met(e: &Experiment, seed: u64) -> Vec<Met> {
    let draw = |number: usize, which: &Which, count: u32, of_nodes: u64| -> Vec<bool> {
        let mut rng = generator(seed, For::Troubles, 2 * number as u64 + of_nodes);
        match which {
            Which::Part(part) => {
                // Just so many, whoever they are.
                let mut all: Vec<usize> = (0..count as usize).collect();
                for at in (1..all.len()).rev() {
                    all.swap(at, rng.random_range(0..=at));
                }
                let some = (part * f64::from(count)).round() as usize;
                let mut met = vec![false; count as usize];
                all.into_iter().take(some).for_each(|one| met[one] = true);
                met
            }
            Which::Zone(zone) => {
                (0..count).map(|n| n % u32::from(e.servers.zones) == u32::from(*zone)).collect()
            }
            Which::These(these) => (0..count).map(|n| these.contains(&n)).collect(),
        }
    };
    let met = |(number, trouble): (usize, &crate::experiment::Trouble)| Met {
        number,
        servers: draw(number, &trouble.servers, e.servers.count, 0),
        nodes: draw(number, &trouble.nodes, e.nodes.count, 1),
        on: false,
    };
    e.troubles.iter().enumerate().map(met).collect()
}

impl World<'_> {
    pub(super) fn trouble(&mut self, number: usize, begins: bool) {
        let (kind, factor) = (self.e.troubles[number].kind, self.e.troubles[number].factor);
        self.troubles[number].on = begins;
        match kind {
            Kind::Burst => {
                self.burst = if begins { self.burst * factor } else { self.burst / factor.max(1e-9) }
            }
            Kind::Partition | Kind::Cut => {}
            Kind::Silence | Kind::Clock => {
                for node in 0..self.nodes.len() {
                    if !self.troubles[number].nodes[node] {
                        continue;
                    }
                    let at = &mut self.nodes[node];
                    match (kind, begins) {
                        (Kind::Clock, true) => at.ahead += (factor * 1e6) as u64,
                        // A clock that moves forward only does not step back.
                        (Kind::Clock, false) => {}
                        (_, true) => at.silent += 1,
                        (_, false) => at.silent -= 1,
                    }
                }
            }
            _ => {
                for server in 0..self.stations.len() {
                    if self.troubles[number].servers[server] {
                        self.at_station(server, number, begins);
                    }
                }
            }
        }
    }

    fn at_station(&mut self, server: usize, number: usize, begins: bool) {
        let trouble = &self.e.troubles[number];
        let station = &mut self.stations[server];
        match (trouble.kind, begins) {
            (Kind::Stall, true) => station.stalls += 1,
            (Kind::Stall, false) => station.stalls -= 1,
            (Kind::Slow, true) => station.slow *= trouble.factor.max(1e-6),
            (Kind::Slow, false) => station.slow /= trouble.factor.max(1e-6),
            (Kind::Resets, true) => station.resets += trouble.factor,
            (Kind::Resets, false) => station.resets -= trouble.factor,
            (Kind::Crash, true) if station.state != ServerState::Gone => return self.fall(server, false),
            (Kind::Drain, true) if station.state == ServerState::Ready => {
                station.state = ServerState::Draining;
                station.version += 1;
                // It has half of the time to finish what it has.
                let (version, gone) = (station.version, self.now + micros(trouble.lasts) / 2);
                self.agenda.put(gone, Due::Gone(server, version));
                return self.tell_of(server);
            }
            (Kind::Crash | Kind::Drain, true) => return,
            (Kind::Crash | Kind::Drain, false) => return self.starts(server),
            _ => {}
        }
        station.turned(self.now);
        self.reckon(server);
    }
}
