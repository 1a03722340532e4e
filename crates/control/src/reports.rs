//! What agents report: collected for the leader, and pooled over nodes there.

use std::collections::{BTreeMap, VecDeque};

use dunelink_protocol::{NodeDemand, NodeLoads, ProxyReport, ServerObservation, ServerSuspicion};

use crate::message::NodeReport;

/// Nodes whose reports are collected at once.
const MAX_NODES: usize = 4_096;
/// Servers whose outcomes are collected for one node.
const MAX_SERVERS: usize = 8_192;
/// Length of the window of pooled outcomes, in microseconds.
const WINDOW: u64 = 5_000_000;
/// Time after which the same servers are named again, in microseconds.
const REPEAT_EVERY: u64 = 1_000_000;
/// Nodes that have to report failures before a server is named.
const MIN_REPORTERS: usize = 2;
/// Failed part of the requests from which a server is named.
const MIN_FAILED_SHARE: f32 = 0.1;
/// Steps in which the failed part is told, so that small changes are not sent.
const SHARE_STEPS: f32 = 20.0;

/// Reports of the agents at this machine that the leader has not been told yet.
#[derive(Debug, Default)]
pub struct ReportBuffer {
    nodes: BTreeMap<String, NodeReport>,
}

impl ReportBuffer {
    /// Adds a node's report: its newest demand counts, its outcomes are summed up.
    pub fn add(&mut self, node: &str, report: ProxyReport) {
        if self.nodes.len() >= MAX_NODES && !self.nodes.contains_key(node) {
            return;
        }
        let entry = self.nodes.entry(node.to_owned()).or_insert_with(|| NodeReport {
            node: node.to_owned(),
            demand: NodeDemand::default(),
            observations: Vec::new(),
            loads: NodeLoads::default(),
        });
        entry.demand = report.demand;
        entry.loads.merge(report.loads);
        for seen in report.observations {
            sum_up(&mut entry.observations, seen);
        }
    }

    /// Takes all that was collected.
    pub fn take(&mut self) -> Vec<NodeReport> {
        std::mem::take(&mut self.nodes).into_values().collect()
    }
}

fn sum_up(all: &mut Vec<ServerObservation>, new: ServerObservation) {
    if let Some(same) = all.iter_mut().find(|observation| observation.server == new.server) {
        same.add(&new);
    } else if all.len() < MAX_SERVERS {
        all.push(new);
    }
}

/// Outcomes of the last seconds by server and node; at the leader.
#[derive(Debug, Default)]
pub struct OutcomePool {
    servers: BTreeMap<String, BTreeMap<String, VecDeque<Sample>>>,
    told: Vec<ServerSuspicion>,
    told_at: u64,
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    at: u64,
    served: u32,
    failed: u32,
}

impl OutcomePool {
    /// Adds what a node saw, received at `now`.
    pub fn add(&mut self, now: u64, node: &str, observations: Vec<ServerObservation>) {
        for ServerObservation { server, served, failed } in observations {
            let nodes = self.servers.entry(server).or_default();
            nodes.entry(node.to_owned()).or_default().push_back(Sample { at: now, served, failed });
        }
    }

    /// The servers that several nodes find failing, if they are others than last time or were told a while ago: those
    /// that hear of them forget them when they aren't repeated.
    pub fn changed_suspicions(&mut self, now: u64) -> Option<Vec<ServerSuspicion>> {
        self.forget(now.saturating_sub(WINDOW));
        let suspicions: Vec<_> =
            self.servers.iter().filter_map(|(server, nodes)| suspicion(server, nodes)).collect();
        let is_due = !suspicions.is_empty() && now >= self.told_at + REPEAT_EVERY;
        if suspicions == self.told && !is_due {
            return None;
        }
        self.told.clone_from(&suspicions);
        self.told_at = now;
        Some(suspicions)
    }

    fn forget(&mut self, before: u64) {
        for nodes in self.servers.values_mut() {
            for samples in nodes.values_mut() {
                let old = samples.partition_point(|sample| sample.at < before);
                samples.drain(..old);
            }
            nodes.retain(|_, samples| !samples.is_empty());
        }
        self.servers.retain(|_, nodes| !nodes.is_empty());
    }
}

fn suspicion(server: &str, nodes: &BTreeMap<String, VecDeque<Sample>>) -> Option<ServerSuspicion> {
    let samples = || nodes.values().flatten();
    let failed: u64 = samples().map(|sample| u64::from(sample.failed)).sum();
    let served: u64 = samples().map(|sample| u64::from(sample.served)).sum();
    let reporters = nodes.values().filter(|samples| samples.iter().any(|sample| sample.failed > 0)).count();
    let share = failed as f32 / (failed + served).max(1) as f32;
    if reporters < MIN_REPORTERS || share < MIN_FAILED_SHARE {
        return None;
    }
    let failed_share = (share * SHARE_STEPS).round() / SHARE_STEPS;
    Some(ServerSuspicion { server: server.to_owned(), failed_share, reporters: reporters as u32 })
}
