//! The operator's configuration: routes, services, tenants and client limits.
//!
//! [`FleetConfig::parse`] parses the body that the operator sent and makes all checks, except that it does
//! not compare the version with the current one. Unknown fields are ignored, and null counts as missing. The
//! documentation of each field names its key, with the default for a missing value in parentheses.

mod error;
mod field;
mod index;
mod parse;
mod split;

use std::fmt;

pub use error::ConfigError;
use index::{HashIndex, hash_text, hash_with_seed};

/// A valid configuration.
///
/// Lookups use indexes built by [`FleetConfig::parse`], so the lists must not be modified.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetConfig {
    /// `version`: at least 1, increases with each change.
    pub version: u64,
    /// `routes`, in the operator's order.
    pub routes: Vec<Route>,
    /// `services`, in the operator's order.
    pub services: Vec<Service>,
    /// `limits`: limits on clients.
    pub limits: ClientLimits,
    /// `tenants`, in the operator's order; without tenants, no API key is required.
    pub tenants: Vec<Tenant>,
    by_host_and_prefix: HashIndex,
    by_api_key: HashIndex,
    longest_prefix_bytes: usize,
}

/// Target services and policies of the requests with one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// `name` (the host followed by the path prefix).
    pub name: String,
    /// `host`: lower case, without a port.
    pub host: String,
    /// `pathPrefix`: starts and ends with a slash.
    pub path_prefix: String,
    /// `kind`: whether requests may be repeated (unsafe).
    pub kind: RouteKind,
    /// `timeoutMs`: longest duration of a request in milliseconds, at least 1.
    pub timeout_ms: u64,
    /// `targetLatencyMs`: target for the time to the response, or to the first event of a stream, in
    /// milliseconds (`timeoutMs`).
    pub target_latency_ms: u64,
    /// `priority`: 0 is the highest (0).
    pub priority: u32,
    /// `trafficSplit`, or `service` as a single target of weight 1; at least one target has a weight above 0.
    pub targets: Vec<SplitTarget>,
    /// `maxAttempts`: most servers that one request may be sent to, at least 1 (1).
    pub max_attempts: u32,
    /// `public`: requests need no API key (false).
    pub public: bool,
    /// `sticky`: requests share prompt prefixes, so that servers can reuse their prefix caches (false).
    pub sticky: bool,
    /// `resumable`: a stream may be continued on another server (false).
    pub resumable: bool,
    /// `gap_aim_ms`: target for the longest pause between events of a stream in milliseconds (`None`).
    pub target_event_gap_ms: Option<u64>,
}

/// Whether the requests of a route may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May be executed more than once.
    Safe,
    /// Must be executed at most once; also for unknown values of `kind`.
    Unsafe,
    /// Answered by a stream of events; may be repeated only if the route is resumable.
    Streaming,
}

/// One target of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SplitTarget {
    /// Position in [`FleetConfig::services`].
    pub service: usize,
    /// Weight relative to the other targets; a target of weight 0 receives no requests.
    pub weight: u32,
}

/// A group of interchangeable servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// `name`: unique.
    pub name: String,
    /// `healthPath`: path of the health check (`/health`).
    pub health_path: String,
    /// `maxConns`: most connections that a server accepts from all clients together, at least 1 (64).
    pub max_conns: u32,
    /// `engine`: the batching inference engine of its servers (`None`).
    pub engine: Option<Engine>,
}

/// The batching inference engine that each server of a service runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// `slots`: most requests in one batch, at least 1 (1).
    pub slots: u32,
    /// `kvTokens`: capacity of the KV cache in tokens (0, which means unknown).
    pub kv_tokens: u64,
    /// `kvTokenBytes`: bytes per token in the KV cache (0, which means unknown).
    pub kv_token_bytes: u64,
    /// `stride`: most tokens in one event of a stream, at least 1 (1).
    pub max_tokens_per_event: u32,
    /// `linkMbps`: bandwidth of the link between servers in megabits per second (0, which means unknown).
    pub link_mbps: f64,
    /// `models`: names of the served models (none).
    pub models: Vec<String>,
}

/// Limits on the size and duration of what a client sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientLimits {
    /// `maxHeaderBytes`: largest request head in bytes (16,384).
    pub max_header_bytes: u64,
    /// `maxBodyBytes`: largest request body in bytes (4,194,304).
    pub max_body_bytes: u64,
    /// `headerTimeoutMs`: longest time to receive a complete request head in milliseconds (3,000).
    pub header_timeout_ms: u64,
    /// `idleTimeoutMs`: longest time for which a connection may be idle in milliseconds (15,000).
    pub idle_timeout_ms: u64,
}

/// A customer with API keys and a quota.
#[derive(Clone, PartialEq)]
pub struct Tenant {
    /// `name`: name of the tenant.
    pub name: String,
    /// `apiKeys` (none); each key is unique within a configuration.
    pub api_keys: Vec<String>,
    /// `priority`: overrides the priority of the route (`None`: the priority of the route applies).
    pub priority: Option<u32>,
    /// `unit`: unit of the quota (requests).
    pub unit: QuotaUnit,
    /// `plainTokens`: tokens charged for a request that does not state its number (1).
    pub default_request_tokens: u64,
    /// `ratePerS`: quota in units per second, summed over all nodes; 0 means no limit (0).
    pub rate_per_s: f64,
    /// `burst`: units permitted in addition to the rate (0).
    pub burst: f64,
}

/// The unit of a quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Requests; also for unknown values of `unit`.
    Requests,
    /// Tokens of the prompt and the response (`token_stream`).
    Tokens,
}

impl FleetConfig {
    /// Parses and checks a configuration as sent by the operator. Its version is not compared with the
    /// current one.
    ///
    /// # Errors
    /// The first error in the document, with its location and the remedy.
    pub fn parse(bytes: &[u8]) -> Result<Self, ConfigError> {
        parse::document(bytes)
    }

    /// The route of a request: among the routes of its host, the one with the longest prefix of the path.
    ///
    /// The port and the case of `host` and the query of `path` are ignored. Takes one lookup per slash of the
    /// path, up to the length of the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = strip_port(host);
        let host_hash = hash_host(host);
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let search_end = path.len().min(self.longest_prefix_bytes);
        let slashes = (0..search_end).rev().filter(|&at| path.as_bytes()[at] == b'/');
        slashes.map(|at| &path[..=at]).find_map(|prefix| {
            let positions = self.by_host_and_prefix.positions(hash_with_seed(host_hash, prefix));
            positions
                .map(|position| &self.routes[position])
                .find(|route| route.path_prefix == prefix && route.host.eq_ignore_ascii_case(host))
        })
    }

    /// Position in [`FleetConfig::tenants`] of the tenant with this API key; `None` for an unknown or empty
    /// key.
    pub fn tenant_by_key(&self, key: &str) -> Option<usize> {
        if key.is_empty() {
            return None;
        }
        let mut positions = self.by_api_key.positions(hash_text(key));
        positions.find(|&position| self.tenants[position].api_keys.iter().any(|own| own == key))
    }

    /// True if requests need an API key, except on public routes.
    pub fn requires_api_keys(&self) -> bool {
        !self.tenants.is_empty()
    }
}

impl Route {
    /// True if a request may be executed more than once: a safe request, or a resumable stream.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Position in [`FleetConfig::services`] of the target that a `point` in the range from 0 (inclusive) to
    /// 1 (exclusive) selects. Each target covers a part of the range in proportion to its weight.
    ///
    /// A point outside the range selects the first or last target with a weight above 0.
    pub fn choose_target(&self, point: f64) -> usize {
        split::choose(&self.targets, point)
    }
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

impl fmt::Debug for Tenant {
    /// Shows the number of API keys instead of the keys.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Tenant")
            .field("name", &self.name)
            .field("api_keys", &self.api_keys.len())
            .field("priority", &self.priority)
            .field("unit", &self.unit)
            .field("plain_tokens", &self.default_request_tokens)
            .field("rate_per_s", &self.rate_per_s)
            .field("burst", &self.burst)
            .finish()
    }
}

/// The host without its port. Colons within `[` and `]` belong to an IPv6 address.
fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) && !name.is_empty() => name,
        _ => host,
    }
}

/// Case-insensitive hash of a host.
fn hash_host(host: &str) -> u64 {
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        hash_text(&host.to_ascii_lowercase())
    } else {
        hash_text(host)
    }
}
