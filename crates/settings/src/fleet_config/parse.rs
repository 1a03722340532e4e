//! From the operator's JSON to a checked configuration.

use std::collections::HashMap;

use super::error::ConfigError;
use super::field::{Field, Place};
use super::index::{HashIndex, hash_below, hash_text};
use super::split::whole_weights;
use super::{
    ClientLimits, Engine, FleetConfig, QuotaUnit, Route, RouteKind, Service, SplitTarget, Tenant, hash_host,
    without_port,
};

/// Path of the health check when a service names none.
const DEFAULT_HEALTH_PATH: &str = "/health";

/// Connections that a server takes when a service names no number.
const DEFAULT_MAX_CONNS: u32 = 64;

/// Positions of services by name.
type ServicePositions = HashMap<String, usize>;

/// Reads the whole document.
pub(super) fn document(bytes: &[u8]) -> Result<FleetConfig, ConfigError> {
    let top = Place::TOP;
    let (mut version, mut routes, mut services) = (None, None, None);
    let (mut limits, mut tenants) = (ClientLimits::default(), Vec::new());
    Field::document(bytes)?.each_pair(|key, field| {
        match key {
            "version" => version = Some(read_version(&field)?),
            "routes" => routes = Some(field.list(|entry, _| read_route(entry))?),
            "services" => services = Some(field.list(|entry, _| read_service(entry))?),
            "limits" => limits = read_limits(field)?,
            "tenants" => tenants = field.list(|entry, _| read_tenant(entry))?,
            _ => {}
        }
        Ok(())
    })?;
    let version = version.ok_or_else(|| top.key("version").missing("a whole number above 0"))?;
    let drafts = routes.ok_or_else(|| top.key("routes").missing("an array of routes"))?;
    let services = services.ok_or_else(|| top.key("services").missing("an array of services"))?;
    let positions = service_positions(&services)?;
    let routes = resolve_routes(drafts, &positions)?;
    let by_host_and_prefix = index_routes(&routes)?;
    let by_key = index_keys(&tenants)?;
    let longest_prefix = routes.iter().map(|route| route.path_prefix.len()).max().unwrap_or(0);
    Ok(FleetConfig { version, routes, services, limits, tenants, by_host_and_prefix, by_key, longest_prefix })
}

fn read_version(field: &Field<'_, '_>) -> Result<u64, ConfigError> {
    match field.whole() {
        Ok(version) if version > 0 => Ok(version),
        _ => Err(field.place.wrong("a whole number above 0")),
    }
}

/// A route before its services are known; names stand in the order of the targets.
struct RouteDraft {
    route: Route,
    /// Names under `trafficSplit`, in the order of [`Route::targets`].
    split: Option<Vec<String>>,
    /// Name under `service`.
    service: Option<String>,
}

fn read_route(entry: Field<'_, '_>) -> Result<RouteDraft, ConfigError> {
    let place = entry.place;
    let (mut name, mut host, mut prefix, mut timeout, mut target_latency) = (None, None, None, None, None);
    let (mut service, mut split) = (None, None);
    let mut route = blank_route();
    entry.each_pair(|key, field| {
        match key {
            "name" => name = Some(field.text()?),
            "host" => host = Some(read_host(&field)?),
            "pathPrefix" => prefix = Some(read_prefix(&field)?),
            "kind" => route.kind = read_kind(&field)?,
            "timeoutMs" => timeout = Some(read_timeout(&field)?),
            "targetLatencyMs" => target_latency = Some(field.milliseconds()?),
            "priority" => route.priority = field.whole_u32()?,
            "service" => service = Some(field.text()?),
            "trafficSplit" => split = Some(read_split(field)?),
            "maxAttempts" => route.max_attempts = field.whole_u32()?.max(1),
            "public" => route.public = field.flag()?,
            "sticky" => route.sticky = field.flag()?,
            "resumable" => route.resumable = field.flag()?,
            "gap_aim_ms" => route.target_event_gap_ms = Some(field.milliseconds()?),
            _ => {}
        }
        Ok(())
    })?;
    route.host = host.ok_or_else(|| place.key("host").missing("the host as a text"))?;
    route.path_prefix = prefix.ok_or_else(|| place.key("pathPrefix").missing(PREFIX))?;
    route.timeout_ms = timeout.ok_or_else(|| place.key("timeoutMs").missing(TIMEOUT))?;
    route.target_latency_ms = target_latency.unwrap_or(route.timeout_ms);
    route.name = name.unwrap_or_else(|| format!("{}{}", route.host, route.path_prefix));
    let split = split.filter(|targets| service.is_none() || !targets.is_empty());
    finish_draft(route, split, service, &place)
}

const PREFIX: &str = "a text that begins and ends with a slash, without ? or #";
const TIMEOUT: &str = "a number of milliseconds above 0";

fn blank_route() -> Route {
    Route {
        name: String::new(),
        host: String::new(),
        path_prefix: String::new(),
        kind: RouteKind::Unsafe,
        timeout_ms: 0,
        target_latency_ms: 0,
        priority: 0,
        targets: Vec::new(),
        max_attempts: 1,
        public: false,
        sticky: false,
        resumable: false,
        target_event_gap_ms: None,
    }
}

fn finish_draft(
    mut route: Route,
    split: Option<Vec<(String, f64)>>,
    service: Option<String>,
    place: &Place<'_>,
) -> Result<RouteDraft, ConfigError> {
    let Some(split) = split else {
        if service.is_none() {
            return Err(place.key("service").missing("the name of a service, or `trafficSplit`"));
        }
        route.targets = vec![SplitTarget { service: 0, weight: 1 }];
        return Ok(RouteDraft { route, split: None, service });
    };
    let (names, weights): (Vec<String>, Vec<f64>) = split.into_iter().unzip();
    if !weights.iter().any(|weight| *weight > 0.0) {
        return Err(ConfigError::ZeroWeights { pointer: place.key("trafficSplit").pointer() });
    }
    let weights = whole_weights(&weights);
    route.targets = weights.into_iter().map(|weight| SplitTarget { service: 0, weight }).collect();
    Ok(RouteDraft { route, split: Some(names), service })
}

fn read_host(field: &Field<'_, '_>) -> Result<String, ConfigError> {
    let host = field.text()?;
    Ok(without_port(&host).to_ascii_lowercase())
}

fn read_prefix(field: &Field<'_, '_>) -> Result<String, ConfigError> {
    let prefix = field.text()?;
    // A path ends before its query, so that a prefix with one would match nothing.
    let proper = prefix.starts_with('/') && prefix.ends_with('/') && !prefix.contains(['?', '#']);
    if proper { Ok(prefix) } else { Err(field.place.wrong(PREFIX)) }
}

fn read_kind(field: &Field<'_, '_>) -> Result<RouteKind, ConfigError> {
    Ok(match field.text()?.as_str() {
        "safe" => RouteKind::Safe,
        "streaming" => RouteKind::Streaming,
        _ => RouteKind::Unsafe,
    })
}

fn read_timeout(field: &Field<'_, '_>) -> Result<u64, ConfigError> {
    match field.milliseconds()? {
        0 => Err(field.place.wrong(TIMEOUT)),
        timeout => Ok(timeout),
    }
}

fn read_split(field: Field<'_, '_>) -> Result<Vec<(String, f64)>, ConfigError> {
    field.list(|entry, _| {
        let place = entry.place;
        let (mut service, mut weight) = (None, None);
        entry.each_pair(|key, field| {
            match key {
                "service" => service = Some(field.text()?),
                "weight" => weight = Some(field.number()?),
                _ => {}
            }
            Ok(())
        })?;
        let service = service.ok_or_else(|| place.key("service").missing("the name of a service"))?;
        let weight = weight.ok_or_else(|| place.key("weight").missing("a number of at least 0"))?;
        Ok((service, weight))
    })
}

fn read_service(entry: Field<'_, '_>) -> Result<Service, ConfigError> {
    let place = entry.place;
    let mut name = None;
    let mut service = Service {
        name: String::new(),
        health_path: DEFAULT_HEALTH_PATH.to_owned(),
        max_conns: DEFAULT_MAX_CONNS,
        engine: None,
    };
    entry.each_pair(|key, field| {
        match key {
            "name" => name = Some(field.text()?),
            "healthPath" => service.health_path = field.text()?,
            "maxConns" => service.max_conns = field.whole_u32()?.max(1),
            "engine" => service.engine = Some(read_engine(field)?),
            _ => {}
        }
        Ok(())
    })?;
    service.name = name.ok_or_else(|| place.key("name").missing("the name of the service"))?;
    Ok(service)
}

fn read_engine(field: Field<'_, '_>) -> Result<Engine, ConfigError> {
    let mut engine = Engine {
        slots: 1,
        kv_tokens: 0,
        kv_token_bytes: 0,
        max_tokens_per_event: 1,
        link_mbps: 0.0,
        models: Vec::new(),
    };
    field.each_pair(|key, field| {
        match key {
            "slots" => engine.slots = field.whole_u32()?.max(1),
            "kvTokens" => engine.kv_tokens = field.whole()?,
            "kvTokenBytes" => engine.kv_token_bytes = field.whole()?,
            "stride" => engine.max_tokens_per_event = field.whole_u32()?.max(1),
            "linkMbps" => engine.link_mbps = field.number()?,
            "models" => engine.models = field.list(|entry, _| read_model(entry))?,
            _ => {}
        }
        Ok(())
    })?;
    Ok(engine)
}

/// A model as an object with its `name`, or as the name alone.
fn read_model(entry: Field<'_, '_>) -> Result<String, ConfigError> {
    if let Ok(name) = entry.text() {
        return Ok(name);
    }
    let place = entry.place;
    let mut name = None;
    entry.each_pair(|key, field| {
        if key == "name" {
            name = Some(field.text()?);
        }
        Ok(())
    })?;
    name.ok_or_else(|| place.key("name").missing("the name of the model"))
}

fn read_limits(field: Field<'_, '_>) -> Result<ClientLimits, ConfigError> {
    let mut limits = ClientLimits::default();
    field.each_pair(|key, field| {
        match key {
            "maxHeaderBytes" => limits.max_header_bytes = field.whole()?,
            "maxBodyBytes" => limits.max_body_bytes = field.whole()?,
            "headerTimeoutMs" => limits.header_timeout_ms = field.milliseconds()?,
            "idleTimeoutMs" => limits.idle_timeout_ms = field.milliseconds()?,
            _ => {}
        }
        Ok(())
    })?;
    Ok(limits)
}

fn read_tenant(entry: Field<'_, '_>) -> Result<Tenant, ConfigError> {
    let place = entry.place;
    let mut name = None;
    let mut tenant = Tenant {
        name: String::new(),
        api_keys: Vec::new(),
        priority: None,
        unit: QuotaUnit::Requests,
        default_request_tokens: 1,
        rate_per_s: 0.0,
        burst: 0.0,
    };
    entry.each_pair(|key, field| {
        match key {
            "name" => name = Some(field.text()?),
            "apiKeys" => tenant.api_keys = field.list(|entry, _| entry.text())?,
            "priority" => tenant.priority = Some(field.whole_u32()?),
            "unit" => tenant.unit = read_unit(&field)?,
            "plainTokens" => tenant.default_request_tokens = field.whole()?,
            "ratePerS" => tenant.rate_per_s = field.number()?,
            "burst" => tenant.burst = field.number()?,
            _ => {}
        }
        Ok(())
    })?;
    tenant.name = name.ok_or_else(|| place.key("name").missing("the name of the tenant"))?;
    Ok(tenant)
}

fn read_unit(field: &Field<'_, '_>) -> Result<QuotaUnit, ConfigError> {
    Ok(match field.text()?.as_str() {
        "token_stream" => QuotaUnit::Tokens,
        _ => QuotaUnit::Requests,
    })
}

fn service_positions(services: &[Service]) -> Result<ServicePositions, ConfigError> {
    let mut positions = ServicePositions::with_capacity(services.len());
    let top = Place::TOP;
    let list = top.key("services");
    for (position, service) in services.iter().enumerate() {
        if let Some(first) = positions.insert(service.name.clone(), position) {
            let pointer = list.index(position).pointer();
            return Err(ConfigError::DuplicateService { pointer, first: list.index(first).pointer() });
        }
    }
    Ok(positions)
}

fn resolve_routes(drafts: Vec<RouteDraft>, positions: &ServicePositions) -> Result<Vec<Route>, ConfigError> {
    let top = Place::TOP;
    let list = top.key("routes");
    let resolve = |(index, draft)| resolve_route(draft, positions, &list.index(index));
    drafts.into_iter().enumerate().map(resolve).collect()
}

fn resolve_route(
    draft: RouteDraft,
    positions: &ServicePositions,
    place: &Place<'_>,
) -> Result<Route, ConfigError> {
    let RouteDraft { mut route, split, service } = draft;
    if let Some(name) = &service {
        let position = positions.get(name).copied();
        let position = position.ok_or_else(|| unknown_service(&place.key("service"), name))?;
        if split.is_none() {
            route.targets[0].service = position;
        }
    }
    let split_place = place.key("trafficSplit");
    for (index, name) in split.iter().flatten().enumerate() {
        let position = positions.get(name).copied();
        let unknown = || unknown_service(&split_place.index(index).key("service"), name);
        route.targets[index].service = position.ok_or_else(unknown)?;
    }
    Ok(route)
}

fn unknown_service(place: &Place<'_>, name: &str) -> ConfigError {
    ConfigError::UnknownService { pointer: place.pointer(), service: name.to_owned() }
}

fn index_routes(routes: &[Route]) -> Result<HashIndex, ConfigError> {
    let entry = |(position, route): (usize, &Route)| {
        (hash_below(hash_host(&route.host), &route.path_prefix), position as u32)
    };
    let index = HashIndex::new(routes.iter().enumerate().map(entry).collect());
    let same = |left: usize, right: usize| {
        routes[left].host == routes[right].host && routes[left].path_prefix == routes[right].path_prefix
    };
    match index.first_repeat(same) {
        None => Ok(index),
        Some((first, later)) => {
            let top = Place::TOP;
            let list = top.key("routes");
            let pointer = list.index(later).pointer();
            Err(ConfigError::DuplicateRoute { pointer, first: list.index(first).pointer() })
        }
    }
}

fn index_keys(tenants: &[Tenant]) -> Result<HashIndex, ConfigError> {
    let keys = || {
        let tenants = tenants.iter().enumerate();
        tenants.flat_map(|(tenant, entry)| (0..entry.api_keys.len()).map(move |key| (tenant, key)))
    };
    let mut seen: HashMap<&str, (usize, usize)> = HashMap::new();
    for (tenant, key) in keys() {
        if let Some(first) = seen.insert(&tenants[tenant].api_keys[key], (tenant, key)) {
            return Err(duplicate_key((tenant, key), first));
        }
    }
    let entry = |(tenant, key): (usize, usize)| (hash_text(&tenants[tenant].api_keys[key]), tenant as u32);
    Ok(HashIndex::new(keys().map(entry).collect()))
}

fn duplicate_key(later: (usize, usize), first: (usize, usize)) -> ConfigError {
    let pointer = |(tenant, key): (usize, usize)| format!("/tenants/{tenant}/apiKeys/{key}");
    ConfigError::DuplicateApiKey { pointer: pointer(later), first: pointer(first) }
}
