//! Lists the differences between two configurations.

use std::collections::BTreeMap;
use std::fmt::{self, Display};

use dunelink_settings::{Engine, FleetConfig, QuotaUnit, Route, RouteKind, Service, Tenant};

/// How a part of a configuration differs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Only the newer configuration has it.
    Added,
    /// Only the older configuration has it.
    Removed,
    /// Both configurations have it, with different values.
    Changed,
}

/// One part that differs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// How the part differs.
    pub change: Change,
    /// `route`, `service`, `tenant` or `limits`.
    pub kind: &'static str,
    /// Host and prefix of a route, name of a service or tenant; empty for the limits.
    pub name: String,
    /// Each differing value as `key: old -> new`; all values as `key: value` if only one side has the part.
    /// API keys of tenants are only counted.
    pub values: Vec<String>,
}

impl Display for Difference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.change {
            Change::Added => '+',
            Change::Removed => '-',
            Change::Changed => '~',
        };
        write!(formatter, "{sign} {}", self.kind)?;
        if !self.name.is_empty() {
            write!(formatter, " {}", self.name)?;
        }
        write!(formatter, "  {}", self.values.join(", "))
    }
}

/// The values of one part, as text, by key.
type Values = BTreeMap<&'static str, String>;

/// All differences: routes, services, tenants, limits, each sorted by name.
pub fn differences(old: &FleetConfig, new: &FleetConfig) -> Vec<Difference> {
    let mut all = compare("route", &routes(old), &routes(new));
    all.extend(compare("service", &services(old), &services(new)));
    let mut tenants = compare("tenant", &tenants(old), &tenants(new));
    add_key_changes(old, new, &mut tenants);
    all.extend(tenants);
    all.extend(compare("limits", &limits(old), &limits(new)));
    all
}

fn compare(
    kind: &'static str,
    old: &BTreeMap<String, Values>,
    new: &BTreeMap<String, Values>,
) -> Vec<Difference> {
    let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
    names.sort_unstable();
    names.dedup();
    let difference = |name: &String| {
        let (change, values) = match (old.get(name), new.get(name)) {
            (Some(old), Some(new)) => (Change::Changed, changed_values(old, new)),
            (None, Some(new)) => (Change::Added, all_values(new)),
            (Some(old), None) => (Change::Removed, all_values(old)),
            (None, None) => return None,
        };
        let is_unchanged = change == Change::Changed && values.is_empty();
        (!is_unchanged).then(|| Difference { change, kind, name: name.clone(), values })
    };
    names.into_iter().filter_map(difference).collect()
}

fn changed_values(old: &Values, new: &Values) -> Vec<String> {
    let pairs = new.iter().map(|(key, value)| (key, &old[key], value));
    pairs.filter(|(_, old, new)| old != new).map(|(key, old, new)| format!("{key}: {old} -> {new}")).collect()
}

fn all_values(values: &Values) -> Vec<String> {
    values.iter().map(|(key, value)| format!("{key}: {value}")).collect()
}

fn routes(configuration: &FleetConfig) -> BTreeMap<String, Values> {
    let named =
        |route: &Route| (format!("{}{}", route.host, route.path_prefix), route_values(configuration, route));
    configuration.routes.iter().map(named).collect()
}

fn route_values(configuration: &FleetConfig, route: &Route) -> Values {
    let target = |target: &dunelink_settings::SplitTarget| {
        format!("{} x{}", configuration.services[target.service].name, target.weight)
    };
    let targets: Vec<String> = route.targets.iter().map(target).collect();
    let kind = match route.kind {
        RouteKind::Safe => "safe",
        RouteKind::Unsafe => "unsafe",
        RouteKind::Streaming => "streaming",
    };
    let gap = route.target_event_gap_ms.map_or_else(|| "none".to_owned(), |gap| gap.to_string());
    Values::from([
        ("name", route.name.clone()),
        ("kind", kind.to_owned()),
        ("timeoutMs", route.timeout_ms.to_string()),
        ("targetLatencyMs", route.target_latency_ms.to_string()),
        ("priority", route.priority.to_string()),
        ("to", targets.join(" + ")),
        ("maxAttempts", route.max_attempts.to_string()),
        ("public", route.public.to_string()),
        ("sticky", route.sticky.to_string()),
        ("resumable", route.resumable.to_string()),
        ("gap_aim_ms", gap),
    ])
}

fn services(configuration: &FleetConfig) -> BTreeMap<String, Values> {
    let named = |service: &Service| (service.name.clone(), service_values(service));
    configuration.services.iter().map(named).collect()
}

fn service_values(service: &Service) -> Values {
    let engine = service.engine.as_ref().map_or_else(|| "none".to_owned(), engine_text);
    Values::from([
        ("healthPath", service.health_path.clone()),
        ("maxConns", service.max_conns.to_string()),
        ("engine", engine),
    ])
}

fn engine_text(engine: &Engine) -> String {
    let Engine { slots, kv_tokens, kv_token_bytes, max_tokens_per_event: stride, link_mbps, models } = engine;
    let models = models.join(" ");
    format!(
        "(slots {slots}, kvTokens {kv_tokens}, kvTokenBytes {kv_token_bytes}, stride {stride}, \
         linkMbps {link_mbps}, models {models})"
    )
}

fn tenants(configuration: &FleetConfig) -> BTreeMap<String, Values> {
    let named = |tenant: &Tenant| (tenant.name.clone(), tenant_values(tenant));
    configuration.tenants.iter().map(named).collect()
}

fn tenant_values(tenant: &Tenant) -> Values {
    let unit = match tenant.unit {
        QuotaUnit::Requests => "requests",
        QuotaUnit::Tokens => "tokens",
    };
    let priority = tenant.priority.map_or_else(|| "of the route".to_owned(), |priority| priority.to_string());
    Values::from([
        ("keys", tenant.api_keys.len().to_string()),
        ("priority", priority),
        ("unit", unit.to_owned()),
        ("plainTokens", tenant.default_request_tokens.to_string()),
        ("ratePerS", tenant.rate_per_s.to_string()),
        ("burst", tenant.burst.to_string()),
    ])
}

/// Adds for each tenant on both sides how many API keys were added and removed, without showing them.
fn add_key_changes(old: &FleetConfig, new: &FleetConfig, differences: &mut Vec<Difference>) {
    for tenant in &new.tenants {
        let Some(before) = old.tenants.iter().find(|before| before.name == tenant.name) else { continue };
        let added = tenant.api_keys.iter().filter(|key| !before.api_keys.contains(key)).count();
        let removed = before.api_keys.iter().filter(|key| !tenant.api_keys.contains(key)).count();
        if added + removed == 0 {
            continue;
        }
        let text = format!("keys: {added} added, {removed} removed");
        match differences.iter_mut().find(|difference| difference.name == tenant.name) {
            Some(difference) => {
                difference.values.retain(|value| !value.starts_with("keys: "));
                difference.values.insert(0, text);
            }
            None => differences.push(Difference {
                change: Change::Changed,
                kind: "tenant",
                name: tenant.name.clone(),
                values: vec![text],
            }),
        }
    }
    differences.sort_by(|left, right| left.name.cmp(&right.name));
}

fn limits(configuration: &FleetConfig) -> BTreeMap<String, Values> {
    let limits = &configuration.limits;
    let values = Values::from([
        ("maxHeaderBytes", limits.max_header_bytes.to_string()),
        ("maxBodyBytes", limits.max_body_bytes.to_string()),
        ("headerTimeoutMs", limits.header_timeout_ms.to_string()),
        ("idleTimeoutMs", limits.idle_timeout_ms.to_string()),
    ]);
    BTreeMap::from([(String::new(), values)])
}
