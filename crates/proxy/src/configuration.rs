//! The configuration in force, with what the data plane computes of it once.

use dunelink_grants::TenantQuota;
use dunelink_routing::{EngineSpec, ServiceSpec};
use dunelink_settings::{FleetConfig, QuotaUnit, Route, RouteKind};
use http::HeaderValue;

/// A configuration with the header values of its tenants.
#[derive(Debug)]
pub struct Configuration {
    /// As the operator gave it.
    pub fleet: FleetConfig,
    tenants: Vec<HeaderValue>,
    /// Whether some requests are more urgent than others.
    ranked: bool,
}

/// The least urgent rank that servers know.
const PRIORITY_LAST: u32 = 9;

/// What a route says of how its requests are treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoutePolicy {
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Whether its answers are streams of events.
    pub streaming: bool,
    /// Whether a stream may be taken up at another server.
    pub resumable: bool,
    /// Longest time that a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer earns its full worth, in milliseconds.
    pub target_latency_ms: u64,
    /// Longest pause between events of a stream that keeps it in time, in milliseconds; 0 where none is told.
    pub gap_aim_ms: u64,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Most servers that one request may run at.
    pub max_attempts: u32,
}

impl From<&Route> for RoutePolicy {
    fn from(route: &Route) -> Self {
        Self {
            idempotent: route.idempotent(),
            streaming: route.kind == RouteKind::Streaming,
            resumable: route.kind == RouteKind::Streaming && route.resumable,
            timeout_ms: route.timeout_ms,
            target_latency_ms: route.target_latency_ms,
            gap_aim_ms: route.gap_aim_ms.unwrap_or(0),
            priority: route.priority,
            max_attempts: route.max_attempts,
        }
    }
}

impl Configuration {
    /// Prepares a configuration.
    pub fn new(fleet: FleetConfig) -> Self {
        let value = |name: &str| HeaderValue::from_str(name).unwrap_or(HeaderValue::from_static(""));
        let tenants = fleet.tenants.iter().map(|tenant| value(&tenant.name)).collect();
        let ranked = is_ranked(&fleet);
        Self { fleet, tenants, ranked }
    }

    /// The name of a tenant as a header value.
    pub fn tenant_value(&self, tenant: usize) -> &HeaderValue {
        &self.tenants[tenant]
    }

    /// What a server of this service is told of a request's urgency; nothing where all requests are alike, or where
    /// servers do not heed it.
    pub fn priority_value(&self, service: usize, priority: u32) -> Option<HeaderValue> {
        let heeds = self.ranked && self.fleet.services[service].engine.is_some();
        heeds.then(|| HeaderValue::from(priority.min(PRIORITY_LAST)))
    }

    /// What is charged for a request of a tenant: `tokens` if it states any and tokens are counted.
    pub fn units(&self, tenant: usize, tokens: Option<u64>) -> f64 {
        let tenant = &self.fleet.tenants[tenant];
        match tenant.unit {
            QuotaUnit::Requests => 1.0,
            QuotaUnit::Tokens => tokens.unwrap_or(tenant.plain_tokens) as f64,
        }
    }

    /// The services for the router.
    pub fn services(&self) -> Vec<ServiceSpec> {
        let engine = |engine: &dunelink_settings::Engine| EngineSpec {
            slots: engine.slots,
            kv_tokens: engine.kv_tokens,
            max_tokens_per_event: engine.stride,
        };
        let services = self.fleet.services.iter();
        services
            .map(|service| ServiceSpec {
                name: service.name.clone(),
                max_connections: service.max_conns,
                engine: service.engine.as_ref().map(engine),
            })
            .collect()
    }

    /// Names of the services that requests without a tenant go to.
    pub fn tenantless_services(&self) -> Vec<&str> {
        let keys = self.fleet.asks_for_keys();
        let routes = self.fleet.routes.iter().filter(|route| route.public || !keys);
        let targets = routes.flat_map(|route| &route.targets).filter(|target| target.weight > 0);
        let mut services: Vec<usize> = targets.map(|target| target.service).collect();
        services.sort_unstable();
        services.dedup();
        services.into_iter().map(|service| self.fleet.services[service].name.as_str()).collect()
    }

    /// The tenants' quotas for the gate.
    pub fn quotas(&self) -> Vec<TenantQuota> {
        let tenants = self.fleet.tenants.iter();
        tenants
            .map(|tenant| TenantQuota {
                name: tenant.name.clone(),
                rate_per_s: tenant.rate_per_s,
                burst: tenant.burst,
            })
            .collect()
    }
}

/// Whether routes and tenants differ in priority.
fn is_ranked(fleet: &FleetConfig) -> bool {
    let routes = fleet.routes.iter().map(|route| route.priority);
    let tenants = fleet.tenants.iter().filter_map(|tenant| tenant.priority);
    let mut all = routes.chain(tenants).map(|priority| priority.min(PRIORITY_LAST));
    all.next().is_some_and(|first| all.any(|other| other != first))
}
