//! How a new leader determines what the nodes admitted under earlier leaders.
//!
//! Quota usage is not stored in the replicated log. Each node remembers what it admitted in the last window,
//! and reports it to a new leader once it rejects the grants of earlier leaders. If a node is missing, or
//! lost its history in a restart, everything that could have been spent unseen counts as spent.

use std::collections::BTreeMap;

use dunelink_protocol::NodeDemand;

use crate::allocator::is_valid;
use crate::bucket::InheritedUsage;
use crate::{MILLISECOND, Micros};

/// How long a new leader collects histories before it starts to grant, in microseconds. The reachable nodes
/// have answered by then. Agents that lost their control machine may need a second longer; they are added as
/// they report.
const COLLECTION_PERIOD_US: Micros = 200 * MILLISECOND;

/// The collection of histories by a new leader.
#[derive(Debug)]
pub(crate) struct Takeover {
    started_at: Micros,
    /// The highest number of nodes that any node was informed of.
    known_node_count: u32,
    /// The latest history of each node, by name.
    reports: BTreeMap<String, NodeDemand>,
}

/// The state that a new leader starts with.
#[derive(Debug)]
pub(crate) struct InheritedState {
    /// The history that each node reported, by name.
    pub(crate) reports: BTreeMap<String, NodeDemand>,
    pub(crate) tenants: BTreeMap<String, InheritedUsage>,
    /// Whether all known nodes have reported.
    pub(crate) is_complete: bool,
    /// The time span for which every node knows what it admitted.
    pub(crate) history_span: Micros,
    /// The number of nodes that earlier leaders knew.
    pub(crate) known_node_count: u32,
}

impl Takeover {
    pub(crate) fn start(now: Micros) -> Self {
        Self { started_at: now, known_node_count: 0, reports: BTreeMap::new() }
    }

    /// Records a node's report. It replaces an earlier one.
    pub(crate) fn observe_report(&mut self, term: u64, name: &str, report: &NodeDemand) {
        self.known_node_count = self.known_node_count.max(report.node_count);
        if report.term == term && report.has_history {
            self.reports.insert(name.to_owned(), report.clone());
        }
    }

    /// The inherited state, once the reachable nodes have had time to answer. `reporting_count` is the number
    /// of nodes that have reported.
    pub(crate) fn finish(&mut self, now: Micros, reporting_count: usize) -> Option<InheritedState> {
        if now < self.started_at + COLLECTION_PERIOD_US || self.reports.is_empty() {
            return None;
        }
        let all_reported =
            self.reports.len() >= reporting_count && reporting_count >= self.known_node_count as usize;
        let youngest_ms = self.reports.values().map(|report| report.uptime_ms).min().unwrap_or(0);
        let mut tenants: BTreeMap<String, InheritedUsage> = BTreeMap::new();
        for demand in
            self.reports.values().flat_map(|report| &report.tenants).filter(|demand| is_valid(demand))
        {
            let usage = tenants.entry(demand.tenant.clone()).or_default();
            usage.add(demand);
        }
        let reports = std::mem::take(&mut self.reports);
        Some(InheritedState {
            reports,
            tenants,
            is_complete: all_reported,
            history_span: youngest_ms.saturating_mul(MILLISECOND),
            known_node_count: self.known_node_count,
        })
    }
}

impl InheritedState {
    /// Adds the report of a node that was missing.
    pub(crate) fn add_late_report(&mut self, report: &NodeDemand) {
        self.known_node_count = self.known_node_count.max(report.node_count);
        for demand in report.tenants.iter().filter(|demand| is_valid(demand)) {
            self.tenants.entry(demand.tenant.clone()).or_default().add(demand);
        }
    }
}
