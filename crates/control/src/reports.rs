//! Reports of agents: buffered until they are sent to the leader, and there pooled over all nodes.

use std::collections::{BTreeMap, VecDeque};

use dunelink_protocol::{NodeDemand, NodeLoads, ProxyReport, ServerObservation, ServerSuspicion};

use crate::message::NodeReport;

/// Most nodes whose reports are buffered.
const MAX_NODES: usize = 4_096;
/// Most servers with outcomes in the buffered report of one node.
const MAX_SERVERS: usize = 8_192;
/// Length of the sliding window of pooled outcomes, in microseconds.
const WINDOW_US: u64 = 5_000_000;
/// Interval at which unchanged suspicions are repeated, in microseconds.
const REPEAT_INTERVAL_US: u64 = 1_000_000;
/// Nodes that must report failures before a server is suspected.
const MIN_REPORTERS: usize = 2;
/// Share of failed requests from which a server is suspected.
const MIN_FAILED_SHARE: f32 = 0.1;
/// Steps per unit to which the failed share is rounded, so that small changes are not sent.
const SHARE_STEPS: f32 = 20.0;

/// Reports of the agents connected here that have not been sent to the leader yet.
#[derive(Debug, Default)]
pub struct ReportBuffer {
    nodes: BTreeMap<String, NodeReport>,
}

impl ReportBuffer {
    /// Adds a report of a node: its demand replaces the earlier one, its outcomes are added up.
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
        for observation in report.observations {
            add_observation(&mut entry.observations, observation);
        }
    }

    /// Takes all buffered reports.
    pub fn take(&mut self) -> Vec<NodeReport> {
        std::mem::take(&mut self.nodes).into_values().collect()
    }
}

fn add_observation(all: &mut Vec<ServerObservation>, new: ServerObservation) {
    if let Some(same) = all.iter_mut().find(|observation| observation.server == new.server) {
        same.add(&new);
    } else if all.len() < MAX_SERVERS {
        all.push(new);
    }
}

/// Request outcomes in the sliding window, at the leader.
#[derive(Debug, Default)]
pub struct OutcomePool {
    /// Samples by server id and node name, oldest first.
    servers: BTreeMap<String, BTreeMap<String, VecDeque<Sample>>>,
    last_sent: Vec<ServerSuspicion>,
    /// Time at which the suspicions were last returned to be sent, in microseconds.
    last_sent_at: u64,
}

/// Requests of one node at one server in one report.
#[derive(Debug, Clone, Copy)]
struct Sample {
    /// Receipt of the report, in microseconds.
    at: u64,
    served: u32,
    failed: u32,
}

impl OutcomePool {
    /// Adds the outcomes in a node's report, received at `now`.
    pub fn add(&mut self, now: u64, node: &str, observations: Vec<ServerObservation>) {
        for ServerObservation { server, served, failed } in observations {
            let nodes = self.servers.entry(server).or_default();
            nodes.entry(node.to_owned()).or_default().push_back(Sample { at: now, served, failed });
        }
    }

    /// The suspected servers if they have changed or are due to be repeated: receivers drop suspicions that
    /// are not repeated.
    pub fn changed_suspicions(&mut self, now: u64) -> Option<Vec<ServerSuspicion>> {
        self.drop_before(now.saturating_sub(WINDOW_US));
        let suspicions: Vec<_> =
            self.servers.iter().filter_map(|(server, nodes)| suspicion(server, nodes)).collect();
        let is_due = !suspicions.is_empty() && now >= self.last_sent_at + REPEAT_INTERVAL_US;
        if suspicions == self.last_sent && !is_due {
            return None;
        }
        self.last_sent.clone_from(&suspicions);
        self.last_sent_at = now;
        Some(suspicions)
    }

    fn drop_before(&mut self, before: u64) {
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
