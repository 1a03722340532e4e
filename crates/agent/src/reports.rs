//! Reports of the proxy that wait to be passed on.

use std::collections::BTreeMap;

use dunelink_protocol::{ProxyReport, ServerObservation};

/// Most servers and tenants kept in a report; what is beyond is dropped.
const ENTRIES: usize = 8_192;

/// Joins reports until they can be sent. Demand replaces the demand before it; outcomes are added up.
#[derive(Debug, Default)]
pub struct PendingReport {
    report: Option<ProxyReport>,
}

impl PendingReport {
    /// Adds a report.
    pub fn add(&mut self, mut report: ProxyReport) {
        if let Some(before) = self.report.take() {
            report.observations = join(before.observations, report.observations);
            let later = std::mem::replace(&mut report.loads, before.loads);
            report.loads.merge(later);
        }
        report.loads.servers.truncate(ENTRIES);
        report.demand.has_history &= report.demand.tenants.len() <= ENTRIES;
        report.demand.tenants.truncate(ENTRIES);
        report.observations.truncate(ENTRIES);
        self.report = Some(report);
    }

    /// Takes what waits, if anything does.
    pub fn take(&mut self) -> Option<ProxyReport> {
        self.report.take()
    }

    /// True if something waits.
    pub fn is_waiting(&self) -> bool {
        self.report.is_some()
    }
}

fn join(before: Vec<ServerObservation>, after: Vec<ServerObservation>) -> Vec<ServerObservation> {
    let mut joined: BTreeMap<String, ServerObservation> = BTreeMap::new();
    for observation in before.into_iter().chain(after) {
        match joined.get_mut(&observation.server) {
            Some(sum) => sum.add(&observation),
            None => {
                joined.insert(observation.server.clone(), observation);
            }
        }
    }
    joined.into_values().collect()
}
