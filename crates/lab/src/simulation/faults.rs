//! Fault injection: the targets of each fault, and its effects.

use cherryusher::ServerState;
use rand::Rng;

use super::Simulation;
use super::events::ScheduledEvent;
use super::random::{RngPurpose, generator};
use crate::experiment::{Experiment, FaultKind, TargetSelector, micros};

/// The targets of a fault of the experiment.
pub(super) struct FaultTargets {
    pub(super) number: usize,
    pub(super) servers: Vec<bool>,
    pub(super) nodes: Vec<bool>,
    pub(super) active: bool,
}

/// Draws the targets of each fault.
pub(super) fn fault_targets(experiment: &Experiment, seed: u64) -> Vec<FaultTargets> {
    let draw = |number: usize, selector: &TargetSelector, count: u32, of_nodes: u64| -> Vec<bool> {
        let mut rng = generator(seed, RngPurpose::Faults, 2 * number as u64 + of_nodes);
        match selector {
            TargetSelector::Part(part) => {
                // Exactly this fraction of them, chosen at random.
                let mut all: Vec<usize> = (0..count as usize).collect();
                for at in (1..all.len()).rev() {
                    all.swap(at, rng.random_range(0..=at));
                }
                let count_affected = (part * f64::from(count)).round() as usize;
                let mut targets = vec![false; count as usize];
                all.into_iter().take(count_affected).for_each(|one| targets[one] = true);
                targets
            }
            TargetSelector::Zone(zone) => {
                (0..count).map(|n| n % u32::from(experiment.servers.zones) == u32::from(*zone)).collect()
            }
            TargetSelector::These(indices) => (0..count).map(|n| indices.contains(&n)).collect(),
        }
    };
    let targets = |(number, fault): (usize, &crate::experiment::Fault)| FaultTargets {
        number,
        servers: draw(number, &fault.servers, experiment.servers.count, 0),
        nodes: draw(number, &fault.nodes, experiment.nodes.count, 1),
        active: false,
    };
    experiment.faults.iter().enumerate().map(targets).collect()
}

impl Simulation<'_> {
    pub(super) fn change_fault(&mut self, number: usize, active: bool) {
        let (kind, factor) = (self.experiment.faults[number].kind, self.experiment.faults[number].factor);
        self.fault_targets[number].active = active;
        match kind {
            FaultKind::Burst => {
                self.burst = if active { self.burst * factor } else { self.burst / factor.max(1e-9) }
            }
            FaultKind::Partition | FaultKind::Cut => {}
            FaultKind::Silence | FaultKind::Clock => {
                for node in 0..self.nodes.len() {
                    if !self.fault_targets[number].nodes[node] {
                        continue;
                    }
                    let node_state = &mut self.nodes[node];
                    match (kind, active) {
                        (FaultKind::Clock, true) => node_state.clock_offset += (factor * 1e6) as u64,
                        // A monotonic clock does not step back.
                        (FaultKind::Clock, false) => {}
                        (_, true) => node_state.silence_count += 1,
                        (_, false) => node_state.silence_count -= 1,
                    }
                }
            }
            _ => {
                for server in 0..self.servers.len() {
                    if self.fault_targets[number].servers[server] {
                        self.change_server_fault(server, number, active);
                    }
                }
            }
        }
    }

    fn change_server_fault(&mut self, server: usize, number: usize, active: bool) {
        let fault = &self.experiment.faults[number];
        let server_model = &mut self.servers[server];
        match (fault.kind, active) {
            (FaultKind::Stall, true) => server_model.stalls += 1,
            (FaultKind::Stall, false) => server_model.stalls -= 1,
            (FaultKind::Slow, true) => server_model.slow *= fault.factor.max(1e-6),
            (FaultKind::Slow, false) => server_model.slow /= fault.factor.max(1e-6),
            (FaultKind::Resets, true) => server_model.resets += fault.factor,
            (FaultKind::Resets, false) => server_model.resets -= fault.factor,
            (FaultKind::Crash, true) if server_model.state != ServerState::Gone => {
                return self.stop_server(server, false);
            }
            (FaultKind::Drain, true) if server_model.state == ServerState::Ready => {
                server_model.state = ServerState::Draining;
                server_model.version += 1;
                // The server has half of the fault's duration to finish its requests.
                let (version, gone) = (server_model.version, self.now + micros(fault.duration) / 2);
                self.queue.push(gone, ScheduledEvent::DrainEnd(server, version));
                return self.publish_server(server);
            }
            (FaultKind::Crash | FaultKind::Drain, true) => return,
            (FaultKind::Crash | FaultKind::Drain, false) => return self.start_server(server),
            _ => {}
        }
        server_model.update_speed(self.now);
        self.schedule_completion(server);
    }
}
