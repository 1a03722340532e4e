//! Checks of configurations. Parsing a large one takes longer than a heartbeat may be delayed, so it runs on
//! another thread.

use bytes::Bytes;
use dunelink_grants::TenantQuota;
use dunelink_runtime::offload_if_large;
use dunelink_settings::FleetConfig;

/// A configuration as the operator sent it, with the result of its check.
#[derive(Debug, Clone)]
pub struct CheckedBody {
    /// The operator's JSON.
    pub body: Bytes,
    /// Version of the configuration, or why it is invalid; `None` if it has not been checked.
    pub check: Option<Result<u64, String>>,
}

impl CheckedBody {
    /// A configuration without a check, for a machine that does not decide on it.
    pub fn unchecked(body: Bytes) -> Self {
        Self { body, check: None }
    }

    /// Checks a configuration, which takes some 10 ms for each megabyte.
    pub fn check(body: Bytes) -> Self {
        let check = FleetConfig::parse(&body).map(|config| config.version).map_err(|error| error.to_string());
        Self { body, check: Some(check) }
    }

    /// Checks a configuration, a large one on another thread.
    pub async fn check_off_thread(body: Bytes) -> Self {
        let unchecked = Self::unchecked(body.clone());
        offload_if_large(body, Self::check).await.unwrap_or(unchecked)
    }
}

/// Quotas of all tenants of an accepted configuration; none if it cannot be parsed.
pub fn parse_quotas(body: &Bytes) -> Vec<TenantQuota> {
    let Ok(config) = FleetConfig::parse(body) else { return Vec::new() };
    let quota = |tenant: &dunelink_settings::Tenant| TenantQuota {
        name: tenant.name.clone(),
        rate_per_s: tenant.rate_per_s,
        burst: tenant.burst,
    };
    config.tenants.iter().map(quota).collect()
}

/// Does the same as [`parse_quotas`], for a large configuration on another thread.
pub async fn parse_quotas_off_thread(body: Bytes) -> Vec<TenantQuota> {
    offload_if_large(body, |body| parse_quotas(&body)).await.unwrap_or_default()
}
