//! Admission: whether a request may go to a server, and to which service.

use std::time::Duration;

use dunelink_settings::{FleetConfig, Route};
use http::{HeaderMap, StatusCode, Uri, header};

use crate::configuration::{Configuration, RoutePolicy};
use crate::node::Node;
use crate::request::{ClientRequest, bearer_token};
use crate::request_failure::with_jitter;
use crate::response::LocalReply;

/// What the configuration determines for an admitted request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Admission {
    /// The route's policy.
    pub policy: RoutePolicy,
    /// Index of the service in the configuration.
    pub service: usize,
    /// Index of the tenant in the configuration; `None` for a request without a tenant.
    pub tenant: Option<usize>,
    /// Priority of the tenant, or of the route if the tenant has none; 0 is the most urgent.
    pub priority: u32,
    /// Quota units that the tenant was charged.
    pub units: f64,
}

/// Finds the route and the tenant of a request, and charges the tenant's quota.
///
/// # Errors
///
/// The reply to the client: 404, 401 or 429.
pub fn admit(
    node: &Node,
    configuration: &Configuration,
    request: &ClientRequest,
) -> Result<Admission, LocalReply> {
    let fleet = &configuration.fleet;
    let (route, tenant) = authorize(fleet, &request.headers, &request.target, request.api_key.as_deref())
        .map_err(LocalReply::new)?;
    let service = route.choose_target(fastrand::f64());
    let now = node.clock.now();
    node.retry_budget.borrow_mut().record_request(now, &fleet.services[service].name);
    let units = tenant.map_or(0.0, |tenant| configuration.quota_units(tenant, request.prompt.total_tokens()));
    if let Some(tenant) = tenant {
        let mut quota = node.quota_gate.borrow_mut();
        let admitted = quota.admit(now, &fleet.tenants[tenant].name, units);
        if quota.take_shortage() {
            node.report_requested.notify_one();
        }
        admitted.map_err(|retry_after| quota_exceeded(retry_after.0))?;
    }
    let priority = effective_priority(fleet, route, tenant);
    Ok(Admission { policy: RoutePolicy::from(route), service, tenant, priority, units })
}

/// Returns the priority that the request with this head will have once it is admitted; 0 is the most urgent.
/// A request that would not be admitted is the least urgent.
pub fn expected_priority(configuration: &Configuration, target: &Uri, headers: &HeaderMap) -> u32 {
    let fleet = &configuration.fleet;
    let api_key = headers.get(header::AUTHORIZATION).and_then(bearer_token);
    authorize(fleet, headers, target, api_key)
        .map_or(u32::MAX, |(route, tenant)| effective_priority(fleet, route, tenant))
}

/// Finds the route of a request and the tenant of its API key.
///
/// # Errors
///
/// The status of the reply: 404 or 401.
fn authorize<'a>(
    fleet: &'a FleetConfig,
    headers: &HeaderMap,
    target: &Uri,
    api_key: Option<&str>,
) -> Result<(&'a Route, Option<usize>), StatusCode> {
    let host = headers.get(header::HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let route = fleet.route(host, target.path()).ok_or(StatusCode::NOT_FOUND)?;
    let tenant = api_key.and_then(|api_key| fleet.tenant_by_key(api_key));
    match tenant.is_some() || route.public || !fleet.requires_api_keys() {
        true => Ok((route, tenant)),
        false => Err(StatusCode::UNAUTHORIZED),
    }
}

/// Returns the priority of the tenant, or that of the route if the tenant has none.
fn effective_priority(fleet: &FleetConfig, route: &Route, tenant: Option<usize>) -> u32 {
    tenant.and_then(|tenant| fleet.tenants[tenant].priority).unwrap_or(route.priority)
}

fn quota_exceeded(retry_after_us: u64) -> LocalReply {
    LocalReply::new(StatusCode::TOO_MANY_REQUESTS)
        .with_retry_after(with_jitter(Duration::from_micros(retry_after_us)))
}
