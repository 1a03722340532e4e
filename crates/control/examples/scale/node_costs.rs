//! Processor time of what a proxy does with a configuration and with quotas, measured in this process.

use std::time::Instant;

use dunelink_grants::{QuotaBounds, QuotaGate, TenantQuota};
use dunelink_protocol::{GrantUpdate, TenantGrant};
use dunelink_settings::FleetConfig;
use testkit::system::{Value, json};

/// Times that each step is done; the middle one counts.
const ROUNDS: usize = 11;
/// A second in microseconds.
const SECOND: u64 = 1_000_000;

/// Measures the steps with this configuration and so many active tenants.
pub(crate) fn measure(text: &str, active: usize) -> Value {
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
    let parse_us = middle_us(|_| drop(FleetConfig::parse(text.as_bytes())));
    let set_us = middle_us(|now| gate.set_tenants(now, &quotas));
    for quota in quotas.iter().take(active) {
        let _ = gate.admit(SECOND, &quota.name, 200.0);
    }
    let demand_us = middle_us(|now| drop(gate.demand_report(SECOND + now)));
    let update = grants(&quotas, active);
    let apply_us = middle_us(|now| {
        gate.apply(SECOND + now, &update);
    });
    json!({"phase": "a node's steps", "bytes": text.len(), "tenants": quotas.len(), "activeTenants": active,
        "parseUs": parse_us, "setTenantsUs": set_us, "demandUs": demand_us, "applyGrantsUs": apply_us})
}

fn grants(quotas: &[TenantQuota], active: usize) -> GrantUpdate {
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
    let tenants = quotas.iter().take(active).map(grant).collect();
    GrantUpdate {
        valid_ms: 1_500,
        node_count: 450,
        configuration_version: 1,
        tenants,
        throttled: Vec::new(),
        ..GrantUpdate::default()
    }
}

/// The middle of the times that a step took, in microseconds; it is given the time of its round.
fn middle_us(mut step: impl FnMut(u64)) -> u64 {
    let mut times: Vec<u64> = (0..ROUNDS)
        .map(|round| {
            let began = Instant::now();
            step(round as u64 * 1_000);
            began.elapsed().as_micros() as u64
        })
        .collect();
    times.sort_unstable();
    times[ROUNDS / 2]
}
