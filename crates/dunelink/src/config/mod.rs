//! The configuration of a node.
//!
//! [`Config`] is one typed value. Operators write it as TOML ([`Config::from_toml`]); the platform supplies
//! JSON ([`Config::from_platform`]). Any mistake is a [`ConfigError`] that names the file, the line, the key
//! and what was expected.

mod check;
mod classes;
mod error;
mod fleet;
mod gossip;
mod graphql;
mod platform;
mod settings;
mod text;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use check::check_servers;
pub use classes::{Class, Dedup, DedupGroup, Effect, Tenant};
pub use error::ConfigError;
use error::Problem;
pub use fleet::{Fleet, RosterConfig};
pub use gossip::Gossip;
pub use graphql::{GraphQl, GraphQlLimits, GraphQlOperation, GraphQlType, GraphQlWeights};

use crate::server_list::{Server, Update};

/// Descriptors reserved for all but connections: standard streams, epoll, wake-ups, signals, the listener,
/// discovery.
const RESERVED_SOCKETS: usize = 24;
/// Additional descriptors of each shard, if there are several: its epoll, timers and wake-ups.
pub(crate) const SOCKETS_PER_SHARD: usize = 4;
/// Upper bound of every deadline, whatever the settings say.
pub(crate) const MAX_DEADLINE: Duration = Duration::from_secs(3600);

/// The configuration of a node. [`Config::default`] is a single node without classes and servers; at least
/// one class must be added.
///
/// ```
/// let config = dunelink::Config::from_toml(r#"
///     [[classes]]
///     name = "view"
///     effect = "safe"
///     deadline = "2s"
/// "#)?;
/// assert_eq!(config.classes[0].aim(), std::time::Duration::from_secs(2));
/// # Ok::<(), dunelink::config::ConfigError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Name of the node in its log and as its thread's name.
    pub name: String,
    /// Address on which the daemon accepts requests. The library has no listener and ignores it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub listen: Option<SocketAddr>,
    /// Address at which the daemon serves its operators. The library has no listener and ignores it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub control: Option<SocketAddr>,
    /// Format of the daemon's log. The library emits its events through `tracing` and ignores it.
    #[serde(skip_serializing_if = "is_default")]
    pub log: LogFormat,
    /// Seed of the random numbers, hexadecimal; derived from the clock and the name if absent.
    #[serde(skip_serializing_if = "Option::is_none", with = "text::hex")]
    pub seed: Option<u64>,
    /// Worth of a request beyond its tenant's quota, as a fraction of its class's worth.
    pub over_share_worth: f64,
    /// Resource limits of the node.
    pub limits: Limits,
    /// What a request must contain.
    pub intake: Intake,
    /// Retries, cancellation and hedging.
    pub attempts: Attempts,
    /// The fleet, and this node's position in it.
    pub fleet: Fleet,
    /// Source of the server list.
    pub roster: RosterConfig,
    /// The last known server list, with which the node starts until the roster supplies a newer one.
    #[serde(skip_serializing_if = "is_default")]
    pub known: Update,
    /// Classes of requests; at least one.
    pub classes: Vec<Class>,
    /// Tenants and their quotas; may be empty.
    pub tenants: Vec<Tenant>,
    /// GraphQL endpoint, if there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub graphql: Option<GraphQl>,
    /// Gossip with the other nodes; `None` disables it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub gossip: Option<Gossip>,
}

/// Resource limits of a node.
///
/// ```
/// let limits = dunelink::config::Limits { sockets: 1024, ..Default::default() };
/// assert_eq!((limits.connections(), limits.max_server_connections()), (1000, 333));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// File descriptors of the process, for connections to clients and servers and everything else.
    pub sockets: usize,
    /// Maximum number of connections to servers; by default a third of the descriptors available for
    /// connections.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub server_connections: Option<usize>,
    /// Maximum number of open requests. Further requests are refused at once, or wait in `poll_ready`.
    pub requests: usize,
    /// Maximum number of bytes of a body that are buffered, in either direction.
    pub body: usize,
    /// Maximum number of bytes of a body, in either direction. Bodies larger than `body` are streamed; those
    /// larger than this are rejected.
    pub stream: u64,
    /// Maximum number of bodies that are streamed at once. Each takes up to 0.2 MB; a request beyond the
    /// limit is refused.
    pub transfers: usize,
}

/// What a request must contain.
///
/// ```
/// let toml = r#"
///     [intake]
///     id = "refuse"
///
///     [[classes]]
///     name = "view"
///     effect = "safe"
///     deadline = "2s"
/// "#;
/// let config = dunelink::Config::from_toml(toml)?;
/// assert_eq!(config.intake.id, dunelink::config::IfAbsent::Refuse);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Intake {
    /// Whether a request without an id is rejected or gets a generated one.
    pub id: IfAbsent,
    /// Whether a request without a deadline is rejected or gets that of its class.
    pub deadline: IfAbsent,
    /// Whether an HTTP/1.1 request without `Host` is rejected, as RFC 9112 requires, or accepted: a call from
    /// within the program came by no connection that would name a host. The daemon always rejects it.
    #[serde(skip_serializing_if = "is_default")]
    pub host: IfAbsent,
}

/// How to handle a missing element of a request.
///
/// ```
/// let toml = r#"
///     [intake]
///     deadline = "default"
///
///     [[classes]]
///     name = "view"
///     effect = "safe"
///     deadline = "2s"
/// "#;
/// let config = dunelink::Config::from_toml(toml)?;
/// assert_eq!(config.intake.deadline, dunelink::config::IfAbsent::Default);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum IfAbsent {
    /// Use the default.
    #[default]
    Default,
    /// Reject the request as invalid.
    Refuse,
}

/// Retries, cancellation and hedging of requests.
///
/// ```
/// let toml = r#"
///     [attempts]
///     most = 2
///     retry_after = "500ms"
///
///     [[classes]]
///     name = "view"
///     effect = "safe"
///     deadline = "2s"
/// "#;
/// let config = dunelink::Config::from_toml(toml)?;
/// assert_eq!((config.attempts.most, config.attempts.retry_after.as_millis()), (2, 500));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Attempts {
    /// Maximum number of attempts per request, including the first.
    pub most: u16,
    /// Whether attempts may be cancelled by closing their connection.
    pub cancel: bool,
    /// Whether a second attempt may be sent while the first is in flight (hedged requests).
    pub hedge: bool,
    /// Maximum `Retry-After` that refused clients honour; 0 if none, and then none is sent.
    #[serde(with = "humantime_serde")]
    pub retry_after: Duration,
    /// Which answers of servers are final.
    pub answers: FinalAnswers,
}

/// Which answers of a server are final: passed on to the client, not retried, and not counted as failures of
/// the server.
///
/// ```
/// use dunelink::config::{FinalAnswers, Attempts};
///
/// assert_eq!(Attempts::default().answers, FinalAnswers::Http);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FinalAnswers {
    /// Every 2xx, and every 4xx that concerns the request: all except 408, 421, 425 and 429, which concern
    /// the server or its connection.
    #[default]
    Http,
    /// Only 200; any other status counts as a failure of the server. The platform's rule.
    Ok,
}

/// Format of a log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Human-readable lines.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

impl Default for Config {
    fn default() -> Config {
        Config {
            name: "dunelink".into(),
            listen: None,
            control: None,
            log: LogFormat::default(),
            seed: None,
            over_share_worth: 1.0,
            limits: Limits::default(),
            intake: Intake::default(),
            attempts: Attempts::default(),
            fleet: Fleet::default(),
            roster: RosterConfig::Host,
            known: Update::default(),
            classes: Vec::new(),
            tenants: Vec::new(),
            graphql: None,
            gossip: None,
        }
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            sockets: 1024,
            server_connections: None,
            requests: 10_000,
            body: 64 * 1024,
            stream: 40 << 20,
            transfers: 100,
        }
    }
}

impl Limits {
    /// Maximum number of connections, to clients and servers together.
    pub fn connections(&self) -> usize {
        self.sockets.saturating_sub(RESERVED_SOCKETS).max(8)
    }

    /// Maximum number of connections to servers.
    pub fn max_server_connections(&self) -> usize {
        self.server_connections.unwrap_or(self.connections() / 3)
    }
}

impl Default for Attempts {
    fn default() -> Attempts {
        Attempts {
            most: 3,
            cancel: true,
            hedge: true,
            retry_after: Duration::from_secs(2),
            answers: FinalAnswers::Http,
        }
    }
}

impl Config {
    /// Reads an operator's TOML file.
    pub fn read_toml(path: impl AsRef<Path>) -> Result<Config, ConfigError> {
        let path = path.as_ref();
        let text = error::read(path)?;
        Config::from_toml(&text).map_err(|e| e.in_file(path))
    }

    /// Reads an operator's TOML. Unknown keys are errors.
    pub fn from_toml(toml: &str) -> Result<Config, ConfigError> {
        let config: Config = text::parse_toml(toml)?;
        config.check().map_err(|problem| text::toml_problem(toml, problem))?;
        Ok(config)
    }

    /// Writes the configuration as TOML, from which [`Config::from_toml`] reads the same value.
    ///
    /// # Errors
    ///
    /// A size exceeds the 63 bits of a TOML integer. (The seed may: it is written as text.)
    pub fn to_toml(&self) -> Result<String, ConfigError> {
        toml::to_string_pretty(self).map_err(|e| ConfigError::new(e.to_string()))
    }

    /// Reads the platform's JSON file, whose path is in the environment variable `GW_CONFIG`.
    pub fn read_platform(path: impl AsRef<Path>) -> Result<Config, ConfigError> {
        let path = path.as_ref();
        let text = error::read(path)?;
        Config::from_platform(&text).map_err(|e| e.in_file(path))
    }

    /// Reads the platform's JSON. Unknown keys are ignored.
    pub fn from_platform(json: &str) -> Result<Config, ConfigError> {
        platform::parse(json)
    }

    /// Checks that the settings are valid and consistent; [`crate::Builder::start`] does this too.
    pub fn validate(&self) -> Result<(), ConfigError> {
        self.check().map_err(ConfigError::from)
    }

    /// The configuration of one shard: a balancer of its own among `nodes` times `shards`, with its portion
    /// of the descriptors and connections. The limit of open requests applies to all shards together.
    pub(crate) fn shard(&self, number: u32) -> Config {
        let count = self.fleet.shards;
        if count <= 1 {
            return self.clone();
        }
        let mut config = Config { name: format!("{}/{number}", self.name), ..self.clone() };
        let fleet = &mut config.fleet;
        (fleet.nodes, fleet.rank, fleet.shards) = (fleet.nodes * count, fleet.rank * count + number, 1);
        let shards = count as usize;
        let sockets = self.limits.sockets.saturating_sub(RESERVED_SOCKETS + SOCKETS_PER_SHARD * shards);
        config.limits.sockets = RESERVED_SOCKETS + sockets / shards;
        config.limits.server_connections = self.limits.server_connections.map(|limit| limit / shards);
        config
    }

    /// The longest deadline of any class.
    pub fn max_deadline(&self) -> Duration {
        self.classes.iter().map(|class| class.deadline.min(MAX_DEADLINE)).max().unwrap_or_default()
    }
}

/// Reads a complete server list from TOML: an optional `rev` and `[[servers]]` entries.
pub(crate) fn servers_from_toml(toml: &str) -> Result<Update, ConfigError> {
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    struct List {
        #[serde(default)]
        rev: u64,
        servers: Vec<Server>,
    }
    let list: List = text::parse_toml(toml)?;
    check_servers("servers", &list.servers, true).map_err(|problem| text::toml_problem(toml, problem))?;
    Ok(Update { rev: list.rev, whole: true, servers: list.servers })
}
