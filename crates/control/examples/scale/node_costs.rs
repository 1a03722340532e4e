//! Processor time that a proxy needs for configurations and quotas, measured in this process.

use std::time::Instant;

use dunelink_grants::{QuotaBounds, QuotaGate, TenantQuota};
use dunelink_protocol::{GrantUpdate, TenantGrant};
use dunelink_settings::FleetConfig;
use testkit::system::{Value, json};

/// Runs of each step; the median time counts.
const ROUNDS: usize = 11;
/// Microseconds in a second.
const SECOND: u64 = 1_000_000;

/// Measures the steps with this configuration and `active_tenants` active tenants.
pub(crate) fn measure(text: &str, active_tenants: usize) -> Value {
    let config = FleetConfig::parse(text.as_bytes()).expect("a configuration");
    let quotas: Vec<TenantQuota> = config
        .tenants
        .iter()
        .map(|tenant| TenantQuota {
            name: tenant.name.clone(),
            rate_per_s: tenant.rate_per_s,
            burst: tenant.burst,
        })
        .collect();
    let mut gate = QuotaGate::new(QuotaBounds { window_s: 8.0, overshoot: 0.1, slack: 110_000.0 }, 7, 0);
    let parse_us = median_us(|_| drop(FleetConfig::parse(text.as_bytes())));
    let set_us = median_us(|now| gate.set_tenants(now, &quotas));
    for quota in quotas.iter().take(active_tenants) {
        let _ = gate.admit(SECOND, &quota.name, 200.0);
    }
    let demand_us = median_us(|now| drop(gate.demand_report(SECOND + now)));
    let update = grants(&quotas, active_tenants);
    let apply_us = median_us(|now| {
        gate.apply(SECOND + now, &update);
    });
    json!({"phase": "a node's steps", "bytes": text.len(), "tenants": quotas.len(),
        "activeTenants": active_tenants, "parseUs": parse_us, "setTenantsUs": set_us, "demandUs": demand_us,
        "applyGrantsUs": apply_us})
}

/// Grants for the first `active_tenants` tenants.
fn grants(quotas: &[TenantQuota], active_tenants: usize) -> GrantUpdate {
    let grant = |quota: &TenantQuota| TenantGrant {
        tenant: quota.name.clone(),
        ceiling: 1_000.0,
        overdraft: 0.0,
        reserved: 0.0,
        rate_per_s: 350.0,
        incarnation: 7,
        pass_share: 1.0,
        acknowledged: 0.0,
    };
    let tenants = quotas.iter().take(active_tenants).map(grant).collect();
    GrantUpdate {
        valid_ms: 1_500,
        node_count: 450,
        configuration_version: 1,
        tenants,
        throttled: Vec::new(),
        ..GrantUpdate::default()
    }
}

/// The median time of a step in microseconds. The step receives a simulated time that differs in each round.
fn median_us(mut step: impl FnMut(u64)) -> u64 {
    let mut times: Vec<u64> = (0..ROUNDS)
        .map(|round| {
            let started_at = Instant::now();
            step(round as u64 * 1_000);
            started_at.elapsed().as_micros() as u64
        })
        .collect();
    times.sort_unstable();
    times[ROUNDS / 2]
}
