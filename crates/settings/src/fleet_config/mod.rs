//! The operator's configuration: routes, services, tenants and client limits.
//!
//! [`FleetConfig::parse`] takes the body as the operator sent it and makes every check but that of the version
//! against the one in place. Fields that are not known are ignored, and null counts as absent; optional fields
//! get the defaults that each field documents.

mod error;
mod field;
mod index;
mod parse;
mod split;

use std::fmt;

pub use error::ConfigError;
use index::{HashIndex, hash_below, hash_text};

/// A valid configuration.
///
/// Lookups go through indexes that [`FleetConfig::parse`] makes: treat the lists as read only.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetConfig {
    /// `version`: at least 1, rises with each change.
    pub version: u64,
    /// `routes`, in the operator's order.
    pub routes: Vec<Route>,
    /// `services`, in the operator's order.
    pub services: Vec<Service>,
    /// `limits`: what a client may send.
    pub limits: ClientLimits,
    /// `tenants`, in the operator's order; when there are none, no key is asked for.
    pub tenants: Vec<Tenant>,
    by_host_and_prefix: HashIndex,
    by_key: HashIndex,
    longest_prefix: usize,
}

/// Where requests of a host and a path prefix go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// `name` (host and prefix).
    pub name: String,
    /// `host`: lower case, without a port.
    pub host: String,
    /// `pathPrefix`: begins and ends with a slash.
    pub path_prefix: String,
    /// `kind` (unsafe).
    pub kind: RouteKind,
    /// `timeoutMs`: longest time to hold a request in milliseconds, at least 1.
    pub timeout_ms: u64,
    /// `targetLatencyMs`: time to the answer, or to the first event of a stream, in milliseconds (`timeoutMs`).
    pub target_latency_ms: u64,
    /// `priority`: rank, 0 is the highest (0).
    pub priority: u32,
    /// `service`, as one target of weight 1, or `trafficSplit`; at least one target has a weight above 0.
    pub targets: Vec<SplitTarget>,
    /// `maxAttempts`: most servers that one request may be sent to, at least 1 (1).
    pub max_attempts: u32,
    /// `public`: needs no key (false).
    pub public: bool,
    /// `sticky`: its requests have parts of prompts in common (false).
    pub sticky: bool,
    /// `resumable`: a stream may go on at another server (false).
    pub resumable: bool,
    /// `target_event_gap_ms`: longest pause between events of a stream in milliseconds (none).
    pub target_event_gap_ms: Option<u64>,
}

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// Runs at most once; also what an unknown word is read as.
    Unsafe,
    /// A stream of events; may be repeated only where the route is resumable.
    Streaming,
}

/// One target of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SplitTarget {
    /// Position in [`FleetConfig::services`].
    pub service: usize,
    /// Weight relative to the other targets; 0 gets no requests.
    pub weight: u32,
}

/// A group of servers that answer alike.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// `name`: unique.
    pub name: String,
    /// `healthPath` (`/health`).
    pub health_path: String,
    /// `maxConns`: connections that a server takes from all callers together, at least 1 (64).
    pub max_conns: u32,
    /// `engine`: the batch engine that its servers run (none).
    pub engine: Option<Engine>,
}

/// The batch engine of a service's servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// `slots`: requests in one batch, at least 1 (1).
    pub slots: u32,
    /// `kvTokens`: tokens that the memory holds (0, unknown).
    pub kv_tokens: u64,
    /// `kvTokenBytes`: bytes of a kept token (0, unknown).
    pub kv_token_bytes: u64,
    /// `max_tokens_per_event`: most tokens in one event of a stream, at least 1 (1).
    pub max_tokens_per_event: u32,
    /// `linkMbps`: speed of the link between servers in megabits per second (0, unknown).
    pub link_mbps: f64,
    /// `models`: names of the models that it serves (none).
    pub models: Vec<String>,
}

/// What a client may send and how long it may take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientLimits {
    /// `maxHeaderBytes` (16,384).
    pub max_header_bytes: u64,
    /// `maxBodyBytes` (4,194,304).
    pub max_body_bytes: u64,
    /// `headerTimeoutMs`: time for a whole head in milliseconds (3,000).
    pub header_timeout_ms: u64,
    /// `idleTimeoutMs`: time that a connection may rest in milliseconds (15,000).
    pub idle_timeout_ms: u64,
}

/// Someone with keys and a quota.
#[derive(Clone, PartialEq)]
pub struct Tenant {
    /// `name`.
    pub name: String,
    /// `apiKeys` (none); no key stands twice in a configuration.
    pub api_keys: Vec<String>,
    /// `priority`: comes before that of the route (that of the route).
    pub priority: Option<u32>,
    /// `unit`: what the quota counts (requests).
    pub unit: QuotaUnit,
    /// `plainTokens`: tokens charged for a request that states none (1).
    pub default_request_tokens: u64,
    /// `ratePerS`: units per second over all nodes; 0 is no limit (0).
    pub rate_per_s: f64,
    /// `burst`: units on top of the rate (0).
    pub burst: f64,
}

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Requests; also what an unknown word is read as.
    Requests,
    /// Tokens of prompt and answer (`token_stream`).
    Tokens,
}

impl FleetConfig {
    /// Reads and checks a configuration as the operator sent it, but for its version against the one in place.
    ///
    /// # Errors
    /// [`ConfigError`], with the place and the remedy, for the first thing that is wrong.
    pub fn parse(bytes: &[u8]) -> Result<Self, ConfigError> {
        parse::document(bytes)
    }

    /// The route of a request: of those of its host, the one whose prefix begins the path and is longest.
    ///
    /// `host` may carry a port and upper case, `path` a query; neither counts. Takes one lookup for each slash
    /// of the path up to the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = without_port(host);
        let host_hash = hash_host(host);
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let reach = path.len().min(self.longest_prefix);
        let slashes = (0..reach).rev().filter(|&at| path.as_bytes()[at] == b'/');
        slashes.map(|at| &path[..=at]).find_map(|prefix| {
            let positions = self.by_host_and_prefix.positions(hash_below(host_hash, prefix));
            positions
                .map(|position| &self.routes[position])
                .find(|route| route.path_prefix == prefix && route.host.eq_ignore_ascii_case(host))
        })
    }

    /// Position in [`FleetConfig::tenants`] of the tenant with this key; an empty key is nobody's.
    pub fn tenant_by_key(&self, key: &str) -> Option<usize> {
        if key.is_empty() {
            return None;
        }
        let mut positions = self.by_key.positions(hash_text(key));
        positions.find(|&position| self.tenants[position].api_keys.iter().any(|own| own == key))
    }

    /// True when requests need a key, unless their route is public.
    pub fn requires_api_keys(&self) -> bool {
        !self.tenants.is_empty()
    }
}

impl Route {
    /// True when a request may run more than once: safe, or a stream that may be resumed.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Position of the service whose share of the weights holds `point`, which goes from 0 to below 1.
    ///
    /// A point outside that range goes to the nearest target with a weight.
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
    /// Shows how many keys there are, not the keys.
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

/// The host without a port; the colons inside `[` and `]` belong to the address.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) && !name.is_empty() => name,
        _ => host,
    }
}

/// Hash of a host, the same for upper and lower case.
fn hash_host(host: &str) -> u64 {
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        hash_text(&host.to_ascii_lowercase())
    } else {
        hash_text(host)
    }
}
