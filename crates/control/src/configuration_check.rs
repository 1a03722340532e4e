//! Checks of configurations. A large one takes longer than a heartbeat may wait, so it is read on another thread.

use bytes::Bytes;
use dunelink_grants::TenantQuota;
use dunelink_runtime::aside;
use dunelink_settings::FleetConfig;

/// A configuration as the operator sent it, and what a check of it has shown.
#[derive(Debug, Clone)]
pub struct CheckedBody {
    /// The operator's JSON.
    pub body: Bytes,
    /// Its version, or why it can't be used; absent while it has not been checked.
    pub check: Option<Result<u64, String>>,
}

impl CheckedBody {
    /// A configuration that need not be checked here, as another machine decides.
    pub fn unchecked(body: Bytes) -> Self {
        Self { body, check: None }
    }

    /// Checks a configuration. Takes some 10 ms for each megabyte.
    pub fn check(body: Bytes) -> Self {
        let check = FleetConfig::parse(&body).map(|config| config.version).map_err(|error| error.to_string());
        Self { body, check: Some(check) }
    }

    /// Checks a configuration, a large one on a thread of its own.
    pub async fn check_off_thread(body: Bytes) -> Self {
        let unchecked = Self::unchecked(body.clone());
        aside(body, Self::check).await.unwrap_or(unchecked)
    }
}

/// The limits of all tenants of a configuration that was accepted; none if it can't be read.
pub fn parse_quotas(body: &Bytes) -> Vec<TenantQuota> {
    let Ok(config) = FleetConfig::parse(body) else { return Vec::new() };
    let quota = |tenant: &dunelink_settings::Tenant| TenantQuota {
        name: tenant.name.clone(),
        rate_per_s: tenant.rate_per_s,
        burst: tenant.burst,
    };
    config.tenants.iter().map(quota).collect()
}

/// The same, read on a thread of its own if it is large.
pub async fn parse_quotas_off_thread(body: Bytes) -> Vec<TenantQuota> {
    aside(body, |body| parse_quotas(&body)).await.unwrap_or_default()
}
