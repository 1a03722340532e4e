//! Parses the operator's JSON into a checked configuration.

use std::collections::HashMap;

use super::error::ConfigError;
use super::field::{Field, Location};
use super::index::{HashIndex, hash_text, hash_with_seed};
use super::split::integer_weights;
use super::{
    ClientLimits, Engine, FleetConfig, QuotaUnit, Route, RouteKind, Service, SplitTarget, Tenant, hash_host,
    strip_port,
};

/// Default path of the health check.
const DEFAULT_HEALTH_PATH: &str = "/health";

/// Default limit of the connections to a server.
const DEFAULT_MAX_CONNS: u32 = 64;

/// Positions in [`FleetConfig::services`] by name.
type ServicePositions = HashMap<String, usize>;

/// Parses and checks a document.
pub(super) fn document(bytes: &[u8]) -> Result<FleetConfig, ConfigError> {
    let root = Location::ROOT;
    let (mut version, mut routes, mut services) = (None, None, None);
    let (mut limits, mut tenants) = (ClientLimits::default(), Vec::new());
    Field::document(bytes)?.for_each_member(|key, field| {
        match key {
            "version" => version = Some(read_version(&field)?),
            "routes" => routes = Some(field.read_array(|entry, _| read_route(entry))?),
            "services" => services = Some(field.read_array(|entry, _| read_service(entry))?),
            "limits" => limits = read_limits(field)?,
            "tenants" => tenants = field.read_array(|entry, _| read_tenant(entry))?,
            _ => {}
        }
        Ok(())
    })?;
    let version = version.ok_or_else(|| root.key("version").missing_field("an integer above 0"))?;
    let drafts = routes.ok_or_else(|| root.key("routes").missing_field("an array of routes"))?;
    let services = services.ok_or_else(|| root.key("services").missing_field("an array of services"))?;
    let positions = service_positions(&services)?;
    let routes = resolve_routes(drafts, &positions)?;
    let by_host_and_prefix = index_routes(&routes)?;
    let by_api_key = index_keys(&tenants)?;
    let longest_prefix_bytes = routes.iter().map(|route| route.path_prefix.len()).max().unwrap_or(0);
    Ok(FleetConfig {
        version,
        routes,
        services,
        limits,
        tenants,
        by_host_and_prefix,
        by_api_key,
        longest_prefix_bytes,
    })
}

fn read_version(field: &Field<'_, '_>) -> Result<u64, ConfigError> {
    match field.integer() {
        Ok(version) if version > 0 => Ok(version),
        _ => Err(field.location.invalid_value("an integer above 0")),
    }
}

/// A route whose service names are not yet resolved to positions.
struct RouteDraft {
    route: Route,
    /// Service names in `trafficSplit`, in the order of [`Route::targets`]; `None` without a split.
    split: Option<Vec<String>>,
    /// Service name in `service`.
    service: Option<String>,
}

fn read_route(entry: Field<'_, '_>) -> Result<RouteDraft, ConfigError> {
    let location = entry.location;
    let (mut name, mut host, mut prefix, mut timeout, mut target_latency) = (None, None, None, None, None);
    let (mut service, mut split) = (None, None);
    let mut route = default_route();
    entry.for_each_member(|key, field| {
        match key {
            "name" => name = Some(field.string()?),
            "host" => host = Some(read_host(&field)?),
            "pathPrefix" => prefix = Some(read_prefix(&field)?),
            "kind" => route.kind = read_kind(&field)?,
            "timeoutMs" => timeout = Some(read_timeout(&field)?),
            "targetLatencyMs" => target_latency = Some(field.milliseconds()?),
            "priority" => route.priority = field.integer_u32()?,
            "service" => service = Some(field.string()?),
            "trafficSplit" => split = Some(read_split(field)?),
            "maxAttempts" => route.max_attempts = field.integer_u32()?.max(1),
            "public" => route.public = field.boolean()?,
            "sticky" => route.sticky = field.boolean()?,
            "resumable" => route.resumable = field.boolean()?,
            "gap_aim_ms" => route.target_event_gap_ms = Some(field.milliseconds()?),
            _ => {}
        }
        Ok(())
    })?;
    route.host = host.ok_or_else(|| location.key("host").missing_field("the host as a string"))?;
    route.path_prefix = prefix.ok_or_else(|| location.key("pathPrefix").missing_field(EXPECTED_PREFIX))?;
    route.timeout_ms = timeout.ok_or_else(|| location.key("timeoutMs").missing_field(EXPECTED_TIMEOUT))?;
    route.target_latency_ms = target_latency.unwrap_or(route.timeout_ms);
    route.name = name.unwrap_or_else(|| format!("{}{}", route.host, route.path_prefix));
    let split = split.filter(|targets| service.is_none() || !targets.is_empty());
    build_draft(route, split, service, &location)
}

const EXPECTED_PREFIX: &str = "a string that begins and ends with a slash, without ? or #";
const EXPECTED_TIMEOUT: &str = "a number of milliseconds above 0";

fn default_route() -> Route {
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

fn build_draft(
    mut route: Route,
    split: Option<Vec<(String, f64)>>,
    service: Option<String>,
    location: &Location<'_>,
) -> Result<RouteDraft, ConfigError> {
    let Some(split) = split else {
        if service.is_none() {
            return Err(location.key("service").missing_field("the name of a service, or `trafficSplit`"));
        }
        route.targets = vec![SplitTarget { service: 0, weight: 1 }];
        return Ok(RouteDraft { route, split: None, service });
    };
    let (names, weights): (Vec<String>, Vec<f64>) = split.into_iter().unzip();
    if !weights.iter().any(|weight| *weight > 0.0) {
        return Err(ConfigError::ZeroWeights { pointer: location.key("trafficSplit").pointer() });
    }
    let weights = integer_weights(&weights);
    route.targets = weights.into_iter().map(|weight| SplitTarget { service: 0, weight }).collect();
    Ok(RouteDraft { route, split: Some(names), service })
}

fn read_host(field: &Field<'_, '_>) -> Result<String, ConfigError> {
    let host = field.string()?;
    Ok(strip_port(&host).to_ascii_lowercase())
}

fn read_prefix(field: &Field<'_, '_>) -> Result<String, ConfigError> {
    let prefix = field.string()?;
    // Paths are matched without their query, so a prefix with a query could never match.
    let is_valid = prefix.starts_with('/') && prefix.ends_with('/') && !prefix.contains(['?', '#']);
    if is_valid { Ok(prefix) } else { Err(field.location.invalid_value(EXPECTED_PREFIX)) }
}

fn read_kind(field: &Field<'_, '_>) -> Result<RouteKind, ConfigError> {
    Ok(match field.string()?.as_str() {
        "safe" => RouteKind::Safe,
        "streaming" => RouteKind::Streaming,
        _ => RouteKind::Unsafe,
    })
}

fn read_timeout(field: &Field<'_, '_>) -> Result<u64, ConfigError> {
    match field.milliseconds()? {
        0 => Err(field.location.invalid_value(EXPECTED_TIMEOUT)),
        timeout => Ok(timeout),
    }
}

fn read_split(field: Field<'_, '_>) -> Result<Vec<(String, f64)>, ConfigError> {
    field.read_array(|entry, _| {
        let location = entry.location;
        let (mut service, mut weight) = (None, None);
        entry.for_each_member(|key, field| {
            match key {
                "service" => service = Some(field.string()?),
                "weight" => weight = Some(field.number()?),
                _ => {}
            }
            Ok(())
        })?;
        let service =
            service.ok_or_else(|| location.key("service").missing_field("the name of a service"))?;
        let weight = weight.ok_or_else(|| location.key("weight").missing_field("a number of at least 0"))?;
        Ok((service, weight))
    })
}

fn read_service(entry: Field<'_, '_>) -> Result<Service, ConfigError> {
    let location = entry.location;
    let mut name = None;
    let mut service = Service {
        name: String::new(),
        health_path: DEFAULT_HEALTH_PATH.to_owned(),
        max_conns: DEFAULT_MAX_CONNS,
        engine: None,
    };
    entry.for_each_member(|key, field| {
        match key {
            "name" => name = Some(field.string()?),
            "healthPath" => service.health_path = field.string()?,
            "maxConns" => service.max_conns = field.integer_u32()?.max(1),
            "engine" => service.engine = Some(read_engine(field)?),
            _ => {}
        }
        Ok(())
    })?;
    service.name = name.ok_or_else(|| location.key("name").missing_field("the name of the service"))?;
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
    field.for_each_member(|key, field| {
        match key {
            "slots" => engine.slots = field.integer_u32()?.max(1),
            "kvTokens" => engine.kv_tokens = field.integer()?,
            "kvTokenBytes" => engine.kv_token_bytes = field.integer()?,
            "stride" => engine.max_tokens_per_event = field.integer_u32()?.max(1),
            "linkMbps" => engine.link_mbps = field.number()?,
            "models" => engine.models = field.read_array(|entry, _| read_model(entry))?,
            _ => {}
        }
        Ok(())
    })?;
    Ok(engine)
}

/// The name of a model, which is either an object with a `name` or a plain string.
fn read_model(entry: Field<'_, '_>) -> Result<String, ConfigError> {
    if let Ok(name) = entry.string() {
        return Ok(name);
    }
    let location = entry.location;
    let mut name = None;
    entry.for_each_member(|key, field| {
        if key == "name" {
            name = Some(field.string()?);
        }
        Ok(())
    })?;
    name.ok_or_else(|| location.key("name").missing_field("the name of the model"))
}

fn read_limits(field: Field<'_, '_>) -> Result<ClientLimits, ConfigError> {
    let mut limits = ClientLimits::default();
    field.for_each_member(|key, field| {
        match key {
            "maxHeaderBytes" => limits.max_header_bytes = field.integer()?,
            "maxBodyBytes" => limits.max_body_bytes = field.integer()?,
            "headerTimeoutMs" => limits.header_timeout_ms = field.milliseconds()?,
            "idleTimeoutMs" => limits.idle_timeout_ms = field.milliseconds()?,
            _ => {}
        }
        Ok(())
    })?;
    Ok(limits)
}

fn read_tenant(entry: Field<'_, '_>) -> Result<Tenant, ConfigError> {
    let location = entry.location;
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
    entry.for_each_member(|key, field| {
        match key {
            "name" => name = Some(field.string()?),
            "apiKeys" => tenant.api_keys = field.read_array(|entry, _| entry.string())?,
            "priority" => tenant.priority = Some(field.integer_u32()?),
            "unit" => tenant.unit = read_unit(&field)?,
            "plainTokens" => tenant.default_request_tokens = field.integer()?,
            "ratePerS" => tenant.rate_per_s = field.number()?,
            "burst" => tenant.burst = field.number()?,
            _ => {}
        }
        Ok(())
    })?;
    tenant.name = name.ok_or_else(|| location.key("name").missing_field("the name of the tenant"))?;
    Ok(tenant)
}

fn read_unit(field: &Field<'_, '_>) -> Result<QuotaUnit, ConfigError> {
    Ok(match field.string()?.as_str() {
        "token_stream" => QuotaUnit::Tokens,
        _ => QuotaUnit::Requests,
    })
}

fn service_positions(services: &[Service]) -> Result<ServicePositions, ConfigError> {
    let mut positions = ServicePositions::with_capacity(services.len());
    let root = Location::ROOT;
    let list_location = root.key("services");
    for (position, service) in services.iter().enumerate() {
        if let Some(first) = positions.insert(service.name.clone(), position) {
            let pointer = list_location.index(position).pointer();
            return Err(ConfigError::DuplicateService {
                pointer,
                first: list_location.index(first).pointer(),
            });
        }
    }
    Ok(positions)
}

fn resolve_routes(drafts: Vec<RouteDraft>, positions: &ServicePositions) -> Result<Vec<Route>, ConfigError> {
    let root = Location::ROOT;
    let list_location = root.key("routes");
    let resolve = |(index, draft)| resolve_route(draft, positions, &list_location.index(index));
    drafts.into_iter().enumerate().map(resolve).collect()
}

fn resolve_route(
    draft: RouteDraft,
    positions: &ServicePositions,
    location: &Location<'_>,
) -> Result<Route, ConfigError> {
    let RouteDraft { mut route, split, service } = draft;
    if let Some(name) = &service {
        let position = positions.get(name).copied();
        let position = position.ok_or_else(|| unknown_service(&location.key("service"), name))?;
        if split.is_none() {
            route.targets[0].service = position;
        }
    }
    let split_location = location.key("trafficSplit");
    for (index, name) in split.iter().flatten().enumerate() {
        let position = positions.get(name).copied();
        let unknown = || unknown_service(&split_location.index(index).key("service"), name);
        route.targets[index].service = position.ok_or_else(unknown)?;
    }
    Ok(route)
}

fn unknown_service(location: &Location<'_>, name: &str) -> ConfigError {
    ConfigError::UnknownService { pointer: location.pointer(), service: name.to_owned() }
}

fn index_routes(routes: &[Route]) -> Result<HashIndex, ConfigError> {
    let entry = |(position, route): (usize, &Route)| {
        (hash_with_seed(hash_host(&route.host), &route.path_prefix), position as u32)
    };
    let index = HashIndex::new(routes.iter().enumerate().map(entry).collect());
    let same = |left: usize, right: usize| {
        routes[left].host == routes[right].host && routes[left].path_prefix == routes[right].path_prefix
    };
    match index.first_duplicate(same) {
        None => Ok(index),
        Some((first, later)) => {
            let root = Location::ROOT;
            let list_location = root.key("routes");
            let pointer = list_location.index(later).pointer();
            Err(ConfigError::DuplicateRoute { pointer, first: list_location.index(first).pointer() })
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
