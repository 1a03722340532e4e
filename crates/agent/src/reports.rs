//! Reports of the proxy that have not yet been sent to a control machine.

use std::collections::BTreeMap;

use dunelink_protocol::{ProxyReport, ServerObservation};

/// Most entries in each list of a report; entries beyond that are dropped.
const MAX_ENTRIES: usize = 8_192;

/// Merges reports until they can be sent. A newer demand replaces an older one, outcomes of requests are
/// summed, and loads are merged by server.
#[derive(Debug, Default)]
pub struct PendingReport {
    report: Option<ProxyReport>,
}

impl PendingReport {
    /// Merges a newer report into the pending one.
    pub fn add(&mut self, mut report: ProxyReport) {
        if let Some(before) = self.report.take() {
            report.observations = merge_observations(before.observations, report.observations);
            let later = std::mem::replace(&mut report.loads, before.loads);
            report.loads.merge(later);
        }
        report.loads.servers.truncate(MAX_ENTRIES);
        report.demand.has_history &= report.demand.tenants.len() <= MAX_ENTRIES;
        report.demand.tenants.truncate(MAX_ENTRIES);
        report.observations.truncate(MAX_ENTRIES);
        self.report = Some(report);
    }

    /// Removes and returns the pending report.
    pub fn take(&mut self) -> Option<ProxyReport> {
        self.report.take()
    }

    /// True if a report is pending.
    pub fn has_report(&self) -> bool {
        self.report.is_some()
    }
}

fn merge_observations(
    before: Vec<ServerObservation>,
    after: Vec<ServerObservation>,
) -> Vec<ServerObservation> {
    let mut merged: BTreeMap<String, ServerObservation> = BTreeMap::new();
    for observation in before.into_iter().chain(after) {
        match merged.get_mut(&observation.server) {
            Some(sum) => sum.add(&observation),
            None => {
                merged.insert(observation.server.clone(), observation);
            }
        }
    }
    merged.into_values().collect()
}
