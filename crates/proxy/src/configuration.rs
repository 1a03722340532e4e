//! The active configuration, with values that the data plane computes from it once.

use dunelink_grants::TenantQuota;
use dunelink_routing::{EngineSpec, ServiceSpec};
use dunelink_settings::{FleetConfig, QuotaUnit, Route, RouteKind};
use http::HeaderValue;

/// A fleet configuration with the precomputed header values of its tenants.
#[derive(Debug)]
pub struct Configuration {
    /// The configuration as the operator wrote it.
    pub fleet: FleetConfig,
    tenants: Vec<HeaderValue>,
    /// Whether routes and tenants use more than one priority.
    has_priorities: bool,
}

/// The largest value of the `priority` header that servers understand: the least urgent one.
const LOWEST_PRIORITY: u32 = 9;

/// How the requests of a route are handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoutePolicy {
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Whether responses are event streams.
    pub streaming: bool,
    /// Whether a broken stream may be resumed at another server.
    pub resumable: bool,
    /// Maximum time from the arrival of a request to its response, in milliseconds.
    pub timeout_ms: u64,
    /// Response time up to which a response has its full value, in milliseconds.
    pub target_latency_ms: u64,
    /// Longest gap between two events of a stream that still counts as on time, in milliseconds; 0 if the
    /// route sets none.
    pub target_event_gap_ms: u64,
    /// Priority of requests; 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of servers that may execute one request.
    pub max_attempts: u32,
}

impl From<&Route> for RoutePolicy {
    fn from(route: &Route) -> Self {
        Self {
            idempotent: route.is_idempotent(),
            streaming: route.kind == RouteKind::Streaming,
            resumable: route.kind == RouteKind::Streaming && route.resumable,
            timeout_ms: route.timeout_ms,
            target_latency_ms: route.target_latency_ms,
            target_event_gap_ms: route.target_event_gap_ms.unwrap_or(0),
            priority: route.priority,
            max_attempts: route.max_attempts,
        }
    }
}

impl Configuration {
    /// Precomputes the values that requests need.
    pub fn new(fleet: FleetConfig) -> Self {
        let value = |name: &str| HeaderValue::from_str(name).unwrap_or(HeaderValue::from_static(""));
        let tenants = fleet.tenants.iter().map(|tenant| value(&tenant.name)).collect();
        let has_priorities = has_several_priorities(&fleet);
        Self { fleet, tenants, has_priorities }
    }

    /// Returns the tenant's name as a header value. `tenant` is an index into the configured tenants.
    pub fn tenant_header(&self, tenant: usize) -> &HeaderValue {
        &self.tenants[tenant]
    }

    /// Returns the value of the `priority` header for a server of this service. `None` if all requests have
    /// the same priority, or if the service's servers do not run a model engine and so ignore the header.
    pub fn priority_header(&self, service: usize, priority: u32) -> Option<HeaderValue> {
        let uses_priority = self.has_priorities && self.fleet.services[service].engine.is_some();
        uses_priority.then(|| HeaderValue::from(priority.min(LOWEST_PRIORITY)))
    }

    /// Returns the quota units to charge for a request of a tenant. `tokens` is the number of tokens that the
    /// request states; it counts only for tenants whose quota is in tokens, and defaults to the tenant's
    /// `plain_tokens`.
    pub fn quota_units(&self, tenant: usize, tokens: Option<u64>) -> f64 {
        let tenant = &self.fleet.tenants[tenant];
        match tenant.unit {
            QuotaUnit::Requests => 1.0,
            QuotaUnit::Tokens => tokens.unwrap_or(tenant.default_request_tokens) as f64,
        }
    }

    /// Returns the services as the router needs them.
    pub fn service_specs(&self) -> Vec<ServiceSpec> {
        let engine = |engine: &dunelink_settings::Engine| EngineSpec {
            slots: engine.slots,
            kv_tokens: engine.kv_tokens,
            max_tokens_per_event: engine.max_tokens_per_event,
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

    /// Returns the names of the services that receive requests without a tenant.
    pub fn tenantless_services(&self) -> Vec<&str> {
        let requires_keys = self.fleet.requires_api_keys();
        let routes = self.fleet.routes.iter().filter(|route| route.public || !requires_keys);
        let targets = routes.flat_map(|route| &route.targets).filter(|target| target.weight > 0);
        let mut services: Vec<usize> = targets.map(|target| target.service).collect();
        services.sort_unstable();
        services.dedup();
        services.into_iter().map(|service| self.fleet.services[service].name.as_str()).collect()
    }

    /// Returns the tenants' quotas as the quota gate needs them.
    pub fn tenant_quotas(&self) -> Vec<TenantQuota> {
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

/// Whether routes and tenants use more than one priority.
fn has_several_priorities(fleet: &FleetConfig) -> bool {
    let routes = fleet.routes.iter().map(|route| route.priority);
    let tenants = fleet.tenants.iter().filter_map(|tenant| tenant.priority);
    let mut priorities = routes.chain(tenants).map(|priority| priority.min(LOWEST_PRIORITY));
    priorities.next().is_some_and(|first| priorities.any(|other| other != first))
}
