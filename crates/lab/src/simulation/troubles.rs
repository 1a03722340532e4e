//! What goes wrong, and whom it meets.

use cherryusher::ServerState;
use rand::Rng;

use super::World;
use super::chance::{For, generator};
use super::events::Due;
use crate::experiment::{Experiment, FaultKind, TargetSelector, micros};

/// Whom a trouble of the experiment meets.
pub(super) struct Met {
    pub(super) number: usize,
    pub(super) servers: Vec<bool>,
    pub(super) nodes: Vec<bool>,
    pub(super) on: bool,
}

/// Draws whom each trouble meets.
pub(super) fn met(e: &Experiment, seed: u64) -> Vec<Met> {
    let draw = |number: usize, which: &TargetSelector, count: u32, of_nodes: u64| -> Vec<bool> {
        let mut rng = generator(seed, For::Troubles, 2 * number as u64 + of_nodes);
        match which {
            TargetSelector::Part(part) => {
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
            TargetSelector::Zone(zone) => {
                (0..count).map(|n| n % u32::from(e.servers.zones) == u32::from(*zone)).collect()
            }
            TargetSelector::These(these) => (0..count).map(|n| these.contains(&n)).collect(),
        }
    };
    let met = |(number, trouble): (usize, &crate::experiment::Fault)| Met {
        number,
        servers: draw(number, &trouble.servers, e.servers.count, 0),
        nodes: draw(number, &trouble.nodes, e.nodes.count, 1),
        on: false,
    };
    e.faults.iter().enumerate().map(met).collect()
}

impl World<'_> {
    pub(super) fn trouble(&mut self, number: usize, begins: bool) {
        let (kind, factor) = (self.e.faults[number].kind, self.e.faults[number].factor);
        self.faults[number].on = begins;
        match kind {
            FaultKind::Burst => {
                self.burst = if begins { self.burst * factor } else { self.burst / factor.max(1e-9) }
            }
            FaultKind::Partition | FaultKind::Cut => {}
            FaultKind::Silence | FaultKind::Clock => {
                for node in 0..self.nodes.len() {
                    if !self.faults[number].nodes[node] {
                        continue;
                    }
                    let at = &mut self.nodes[node];
                    match (kind, begins) {
                        (FaultKind::Clock, true) => at.ahead += (factor * 1e6) as u64,
                        // A clock that moves forward only does not step back.
                        (FaultKind::Clock, false) => {}
                        (_, true) => at.silent += 1,
                        (_, false) => at.silent -= 1,
                    }
                }
            }
            _ => {
                for server in 0..self.stations.len() {
                    if self.faults[number].servers[server] {
                        self.at_station(server, number, begins);
                    }
                }
            }
        }
    }

    fn at_station(&mut self, server: usize, number: usize, begins: bool) {
        let trouble = &self.e.faults[number];
        let station = &mut self.stations[server];
        match (trouble.kind, begins) {
            (FaultKind::Stall, true) => station.stalls += 1,
            (FaultKind::Stall, false) => station.stalls -= 1,
            (FaultKind::Slow, true) => station.slow *= trouble.factor.max(1e-6),
            (FaultKind::Slow, false) => station.slow /= trouble.factor.max(1e-6),
            (FaultKind::Resets, true) => station.resets += trouble.factor,
            (FaultKind::Resets, false) => station.resets -= trouble.factor,
            (FaultKind::Crash, true) if station.state != ServerState::Gone => {
                return self.fall(server, false);
            }
            (FaultKind::Drain, true) if station.state == ServerState::Ready => {
                station.state = ServerState::Draining;
                station.version += 1;
                // It has half of the time to finish what it has.
                let (version, gone) = (station.version, self.now + micros(trouble.duration) / 2);
                self.agenda.put(gone, Due::Gone(server, version));
                return self.tell_of(server);
            }
            (FaultKind::Crash | FaultKind::Drain, true) => return,
            (FaultKind::Crash | FaultKind::Drain, false) => return self.starts(server),
            _ => {}
        }
        station.turned(self.now);
        self.reckon(server);
    }
}
