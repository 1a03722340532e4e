//! Whether a request may go to a server, and to which service.

use std::time::Duration;

use http::{StatusCode, header};

use crate::answer::Reply;
use crate::configuration::{Configuration, RoutePolicy};
use crate::node::Node;
use crate::request::ClientRequest;
use crate::table::spread;

/// What the configuration says of a request that it allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Admitted {
    /// How it is treated.
    pub policy: RoutePolicy,
    /// Position of its service in the configuration.
    pub service: usize,
    /// Position of its tenant in the configuration.
    pub tenant: Option<usize>,
    /// From 0, the most urgent: of the tenant, else of the route.
    pub priority: u32,
    /// What its tenant was charged.
    pub units: f64,
}

/// Finds the route and the tenant of a request, and charges the tenant's quota.
///
/// # Errors
///
/// What the client is told: 404, 401 or 429.
pub fn admit(node: &Node, configuration: &Configuration, request: &ClientRequest) -> Result<Admitted, Reply> {
    let fleet = &configuration.fleet;
    let host = request.headers.get(header::HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let route = fleet.route(host, request.target.path()).ok_or(Reply::new(StatusCode::NOT_FOUND))?;
    let tenant = request.key.as_deref().and_then(|key| fleet.tenant_of_key(key));
    if tenant.is_none() && !route.public && fleet.asks_for_keys() {
        return Err(Reply::new(StatusCode::UNAUTHORIZED));
    }
    let service = route.choose_target(fastrand::f64());
    let now = node.clock.now();
    node.retries.borrow_mut().record_request(now, &fleet.services[service].name);
    let units = tenant.map_or(0.0, |tenant| configuration.units(tenant, request.prompt.all_tokens()));
    if let Some(tenant) = tenant {
        let mut quota = node.quota.borrow_mut();
        let passes = quota.admit(now, &fleet.tenants[tenant].name, units);
        if quota.take_shortage() {
            node.report_wanted.notify_one();
        }
        passes.map_err(|after| over_quota(after.0))?;
    }
    let priority = tenant.and_then(|tenant| fleet.tenants[tenant].priority).unwrap_or(route.priority);
    Ok(Admitted { policy: RoutePolicy::from(route), service, tenant, priority, units })
}

fn over_quota(after_us: u64) -> Reply {
    Reply::new(StatusCode::TOO_MANY_REQUESTS).with_retry_after(spread(Duration::from_micros(after_us)))
}
