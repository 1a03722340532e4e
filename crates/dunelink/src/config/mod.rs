//! What a node is told at its start.
//!
//! [`Config`] is one typed value. It is written and read as TOML by people ([`Config::from_toml`]), and read
//! from the platform's JSON ([`Config::from_platform`]). Whatever is wrong is a [`ConfigError`] that names the
//! file, the line, the key and what was expected.

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

use crate::entries::{Server, Update};

/// Descriptors for all but connections: standard streams, epoll, wake-ups, signals, the listener, discovery.
const RESERVED_SOCKETS: usize = 24;
/// Descriptors that each of several shards needs for itself: its epoll, timers and wake-ups.
pub(crate) const SOCKETS_PER_SHARD: usize = 4;
/// No deadline is longer, whatever the settings say.
pub(crate) const MAX_DEADLINE: Duration = Duration::from_secs(3600);

/// Everything a node goes by. [`Config::default`] is one node with no classes and no servers; it wants at least
/// a class.
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
    /// The node's name, for its log and its thread.
    pub name: String,
    /// Where the daemon listens. The library has no listener and passes it over.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub listen: Option<SocketAddr>,
    /// Where the daemon answers its operators. The library has no listener and passes it over.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub control: Option<SocketAddr>,
    /// How the daemon writes its log. The library's events go to whoever subscribes to them.
    #[serde(skip_serializing_if = "is_default")]
    pub log: LogFormat,
    /// For random numbers, hexadecimal; drawn from the clock and the name if absent.
    #[serde(skip_serializing_if = "Option::is_none", with = "text::hex")]
    pub seed: Option<u64>,
    /// What a request beyond its tenant's share is worth, as a part of its class's worth.
    pub over_share_worth: f64,
    /// What the node may hold.
    pub limits: Limits,
    /// What a request has to bring along.
    pub intake: Intake,
    /// What may be done for a request after its first attempt.
    pub attempts: Attempts,
    /// The fleet as a whole, and this node's place in it.
    pub fleet: Fleet,
    /// Where the list of servers comes from.
    pub roster: RosterConfig,
    /// The list as it was last held: where the node starts from, until the roster says more.
    #[serde(skip_serializing_if = "is_default")]
    pub known: Update,
    /// The classes of requests; at least one.
    pub classes: Vec<Class>,
    /// The tenants and their shares; may be empty.
    pub tenants: Vec<Tenant>,
    /// An endpoint that speaks GraphQL over HTTP.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub graphql: Option<GraphQl>,
    /// Gossip with the other nodes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub gossip: Option<Gossip>,
}

/// What the node may hold.
///
/// ```
/// let limits = dunelink::config::Limits { sockets: 1024, ..Default::default() };
/// assert_eq!((limits.connections(), limits.max_server_connections()), (1000, 333));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Descriptors of the process, for connections of both sides and all else.
    pub sockets: usize,
    /// Connections to servers at once; a third of what is left for connections if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub server_connections: Option<usize>,
    /// Requests open at once. What comes beyond is refused at once, or waits in `poll_ready`.
    pub requests: usize,
    /// Bytes of a body that are held, in either direction.
    pub body: usize,
    /// Bytes in a body, in either direction: a longer one than is held is passed on as it comes. What is over this is
    /// turned down.
    pub stream: u64,
    /// Bodies that are passed on at once. Each takes up to 0.2 MB; a request for which there is no room is refused.
    pub transfers: usize,
}

/// What a request has to bring along.
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
    /// Whether a request without an id is an error, or gets one.
    pub id: IfAbsent,
    /// Whether a request without a deadline is an error, or has its class's.
    pub deadline: IfAbsent,
    /// Whether a request of HTTP/1.1 without `Host` is an error, as RFC 9112 has it, or is taken: a call from
    /// within a program has no connection that it came by. The daemon turns it down whatever is said here.
    #[serde(skip_serializing_if = "is_default")]
    pub host: IfAbsent,
}

/// What to do when something is absent.
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
    /// Go by the default.
    #[default]
    Default,
    /// Turn the request down as invalid.
    Refuse,
}

/// What may be done for a request after its first attempt.
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
    /// The most attempts that one request may have.
    pub most: u16,
    /// Whether attempts may be cancelled, by closing their connection.
    pub cancel: bool,
    /// Whether a second attempt may be sent while the first is out (hedged requests).
    pub hedge: bool,
    /// The longest stay away that a refused client honours; 0 for none, and then none is told.
    #[serde(with = "humantime_serde")]
    pub retry_after: Duration,
    /// Which answers of servers are final.
    pub answers: FinalAnswers,
}

/// Which answers of a server are the client's: final, passed on, not asked for elsewhere, and not held against the
/// server.
///
/// ```
/// use dunelink::config::{FinalAnswers, Attempts};
///
/// assert_eq!(Attempts::default().answers, FinalAnswers::Http);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FinalAnswers {
    /// Every 2xx, and every 4xx that is about the request: all but 408, 421, 425 and 429, which are about the server
    /// or its connection.
    #[default]
    Http,
    /// 200 alone; any other is the server's failure. As the platform has it.
    Ok,
}

/// The form of a log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// A line for people.
    #[default]
    Text,
    /// A JSON object a line.
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
    /// How many connections there may be, of clients and to servers together.
    pub fn connections(&self) -> usize {
        self.sockets.saturating_sub(RESERVED_SOCKETS).max(8)
    }

    /// How many connections to servers there may be.
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

    /// The configuration as TOML that [`Config::from_toml`] reads back to the same value.
    ///
    /// # Errors
    ///
    /// Numbers that TOML has no form for: a seed is written as text, so only sizes beyond 63 bits.
    pub fn to_toml(&self) -> Result<String, ConfigError> {
        toml::to_string_pretty(self).map_err(|e| ConfigError::of(e.to_string()))
    }

    /// Reads the platform's JSON file, which `GW_CONFIG` names.
    pub fn read_platform(path: impl AsRef<Path>) -> Result<Config, ConfigError> {
        let path = path.as_ref();
        let text = error::read(path)?;
        Config::from_platform(&text).map_err(|e| e.in_file(path))
    }

    /// Reads the platform's JSON. Unknown keys are passed over.
    pub fn from_platform(json: &str) -> Result<Config, ConfigError> {
        platform::parse(json)
    }

    /// Whether everything in it holds together; [`crate::Builder::start`] asks this too.
    pub fn validate(&self) -> Result<(), ConfigError> {
        self.check().map_err(ConfigError::from)
    }

    /// The part of one of its shards: a balancer of its own among `nodes` times `shards`, with its part of
    /// descriptors and connections. Open requests are bounded for all together.
    pub(crate) fn shard(&self, number: u32) -> Config {
        let count = self.fleet.shards;
        if count <= 1 {
            return self.clone();
        }
        let mut config = Config { name: format!("{}/{number}", self.name), ..self.clone() };
        let fleet = &mut config.fleet;
        (fleet.nodes, fleet.rank, fleet.shards) = (fleet.nodes * count, fleet.rank * count + number, 1);
        let parts = count as usize;
        let sockets = self.limits.sockets.saturating_sub(RESERVED_SOCKETS + SOCKETS_PER_SHARD * parts);
        config.limits.sockets = RESERVED_SOCKETS + sockets / parts;
        config.limits.server_connections = self.limits.server_connections.map(|most| most / parts);
        config
    }

    /// The longest that any client waits.
    pub fn max_deadline(&self) -> Duration {
        self.classes.iter().map(|class| class.deadline.min(MAX_DEADLINE)).max().unwrap_or_default()
    }
}

/// Reads a list of servers from TOML: `rev`, if wanted, and `[[servers]]` entries. It is a whole list.
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
