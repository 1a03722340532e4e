//! How a new leader finds out what passed under those before it.
//!
//! Nothing of quotas is in the log. Each node keeps what it let pass in the window, and tells a new leader once it has
//! refused to hear older ones. Where a node is missing, or has lost its past in a restart, all that could have been spent
//! out of sight counts as spent.

use std::collections::BTreeMap;

use dunelink_protocol::NodeDemand;

use crate::allocator::is_sane;
use crate::bucket::Inherited;
use crate::{MILLISECOND, Micros};

/// After this long the nodes in touch have answered a new leader. It begins with those: agents whose control machine is
/// gone may need a second more, and are taken in as they come.
const REPORTED_WITHIN: Micros = 200 * MILLISECOND;

/// A new leader's first moments.
#[derive(Debug)]
pub(crate) struct Takeover {
    began_at: Micros,
    /// The most nodes that any node was told of.
    nodes_told: u32,
    /// By node.
    answers: BTreeMap<String, NodeDemand>,
}

/// What a new leader begins with.
#[derive(Debug)]
pub(crate) struct Inheritance {
    /// What each node told, by its name.
    pub(crate) answers: BTreeMap<String, NodeDemand>,
    pub(crate) tenants: BTreeMap<String, Inherited>,
    /// Whether all nodes that anybody knows of have told.
    pub(crate) is_complete: bool,
    /// For how long every node has known what it let pass.
    pub(crate) known_for: Micros,
    /// Nodes that those before it knew of.
    pub(crate) nodes_told: u32,
}

impl Takeover {
    pub(crate) fn begin(now: Micros) -> Self {
        Self { began_at: now, nodes_told: 0, answers: BTreeMap::new() }
    }

    /// Takes in a node's report. A later one replaces it.
    pub(crate) fn report(&mut self, term: u64, name: &str, demand: &NodeDemand) {
        self.nodes_told = self.nodes_told.max(demand.node_count);
        if demand.term == term && demand.has_history {
            self.answers.insert(name.to_owned(), demand.clone());
        }
    }

    /// What is inherited, once the nodes in touch have had time to answer; `heard` nodes have reported.
    pub(crate) fn settle(&mut self, now: Micros, heard: usize) -> Option<Inheritance> {
        if now < self.began_at + REPORTED_WITHIN || self.answers.is_empty() {
            return None;
        }
        let all_answered = self.answers.len() >= heard && heard >= self.nodes_told as usize;
        let youngest_ms = self.answers.values().map(|answer| answer.uptime_ms).min().unwrap_or(0);
        let mut tenants: BTreeMap<String, Inherited> = BTreeMap::new();
        for told in self.answers.values().flat_map(|answer| &answer.tenants).filter(|told| is_sane(told)) {
            let inherited = tenants.entry(told.tenant.clone()).or_default();
            inherited.add(told);
        }
        let answers = std::mem::take(&mut self.answers);
        Some(Inheritance {
            answers,
            tenants,
            is_complete: all_answered,
            known_for: youngest_ms.saturating_mul(MILLISECOND),
            nodes_told: self.nodes_told,
        })
    }
}

impl Inheritance {
    /// Adds what a node tells that was missing.
    pub(crate) fn add_late(&mut self, demand: &NodeDemand) {
        self.nodes_told = self.nodes_told.max(demand.node_count);
        for told in demand.tenants.iter().filter(|told| is_sane(told)) {
            self.tenants.entry(told.tenant.clone()).or_default().add(told);
        }
    }
}
