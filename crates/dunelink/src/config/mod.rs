//! What a node is told at its start.
//!
//! [`Config`] is one typed value. It is written and read as TOML by people ([`Config::from_toml`]), and read
//! from the platform's JSON ([`Config::from_platform`]). Whatever is wrong is a [`ConfigError`] that names the
//! file, the line, the key and what was expected.

mod check;
mod error;
mod platform;
mod settings;
mod text;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use check::check_servers;
pub use error::ConfigError;
use error::Problem;

use crate::types::{Server, Update};

/// Descriptors for all but connections: standard streams, epoll, wake-ups, signals, the listener, discovery.
const SPARE_SOCKETS: usize = 24;
/// Descriptors that each of several shards needs for itself: its epoll, timers and wake-ups.
pub(crate) const SHARD_SOCKETS: usize = 4;
/// No deadline is longer, whatever the settings say.
pub(crate) const LONGEST: Duration = Duration::from_secs(3600);

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
}

/// What the node may hold.
///
/// ```
/// let limits = dunelink::config::Limits { sockets: 1024, ..Default::default() };
/// assert_eq!((limits.connections(), limits.to_servers()), (1000, 333));
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
    /// Bytes in a body, in either direction.
    pub body: usize,
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
/// assert_eq!(config.intake.id, dunelink::config::Absent::Refuse);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Intake {
    /// Whether a request without an id is an error, or gets one.
    pub id: Absent,
    /// Whether a request without a deadline is an error, or has its class's.
    pub deadline: Absent,
    /// Whether a request of HTTP/1.1 without `Host` is an error, as RFC 9112 has it, or is taken: a call from
    /// within a program has no connection that it came by. The daemon turns it down whatever is said here.
    #[serde(skip_serializing_if = "is_default")]
    pub host: Absent,
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
/// assert_eq!(config.intake.deadline, dunelink::config::Absent::Default);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Absent {
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
}

/// The fleet as a whole, and this node's place in it.
///
/// ```
/// let toml = r#"
///     [fleet]
///     nodes = 3
///     rank = 1
///     zone = "b"
///     zones = ["a", "b"]
///
///     [[classes]]
///     name = "view"
///     effect = "safe"
///     deadline = "2s"
/// "#;
/// let config = dunelink::Config::from_toml(toml)?;
/// assert_eq!(config.settings().zone, 1);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// How many nodes share the work.
    pub nodes: u32,
    /// How many shards each node has: engines on a thread each, between which its connections are dealt out. The
    /// same for all nodes of the fleet.
    #[serde(skip_serializing_if = "is_one")]
    pub shards: u32,
    /// This node's number among them, from 0.
    pub rank: u32,
    /// The zone that this node is in, one of `zones`.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub zone: String,
    /// The names of zones.
    pub zones: Vec<String>,
    /// The names of kinds of machine.
    pub kinds: Vec<String>,
    /// A starting server has at least this part of its capacity (slow start).
    pub cold_from: f64,
    /// A server is warm after this time at most.
    #[serde(with = "humantime_serde")]
    pub warm_up: Duration,
    /// A cold server falls over when it is sent this multiple of what it can do at that moment.
    pub fall_multiple: f64,
    /// A connection that is not up after this has failed.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
    /// Servers close a connection that has been idle for this long.
    #[serde(with = "humantime_serde")]
    pub keepalive: Duration,
    /// Whether related requests are cheaper on a server that met their key lately.
    pub warm_keys: bool,
    /// Whether weights shrink while a server holds requests, and so tell of load as well as of size.
    pub live_weights: bool,
    /// What crossing zones costs, for every request once, as a part of all worth.
    pub cross_zone_price: f64,
    /// The longest time between two looks at the clock.
    #[serde(with = "humantime_serde")]
    pub step: Duration,
    /// How many labels tenants are hashed to: each has a pool of servers of its own. The same at every node.
    pub labels: u16,
    /// The least that a label's pool takes while servers last; four or more. The same at every node.
    pub pool_min: u16,
}

/// Where the list of servers comes from.
///
/// ```
/// let toml = r#"
///     [roster]
///     from = "file"
///     path = "servers.toml"
///     every = "1s"
///
///     [[classes]]
///     name = "view"
///     effect = "safe"
///     deadline = "2s"
/// "#;
/// let config = dunelink::Config::from_toml(toml)?;
/// assert!(matches!(config.roster, dunelink::config::RosterConfig::File { .. }));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(tag = "from", rename_all = "lowercase", deny_unknown_fields)]
pub enum RosterConfig {
    /// From the host program, through [`crate::Builder::roster`]; without one, `known` is all there is.
    #[default]
    Host,
    /// From the list here, which never changes.
    Fixed {
        /// The servers.
        servers: Vec<Server>,
    },
    /// From a TOML file with `[[servers]]` entries, read again when it changes.
    File {
        /// Where it is.
        path: PathBuf,
        /// How often to look.
        #[serde(default = "File::every", with = "humantime_serde")]
        every: Duration,
    },
    /// From the platform's discovery, by a watch over HTTP.
    Watch {
        /// Where it answers.
        address: SocketAddr,
        /// Whether it wants to be asked at least this often, and sends nothing by itself; it is asked when the
        /// decision module says so.
        #[serde(default, skip_serializing_if = "Option::is_none", with = "humantime_serde")]
        ask_every: Option<Duration>,
    },
}

/// Defaults of a file roster.
struct File;

impl File {
    fn every() -> Duration {
        Duration::from_millis(500)
    }
}

/// What may happen to a request that is sent more than once.
///
/// ```
/// use dunelink::config::Effect;
///
/// assert_eq!(serde_json::from_str::<Effect>("\"unsafe\"")?, Effect::Unsafe);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Repeats do no harm. Sent as `GET`, without a body.
    Safe,
    /// Servers drop a repeat with the same `Idempotency-Key`, within the class's `dedup`. Sent as `POST`.
    Keyed,
    /// It must never run twice. Sent as `POST`.
    Unsafe,
}

/// Which servers drop each other's repeats, and for how long.
///
/// ```
/// use dunelink::config::{Class, Dedup, Effect, Group};
/// use std::time::Duration;
///
/// let window = Duration::from_secs(4);
/// let dedup = Some(Dedup { group: Group::Cell, window });
/// let class = Class { dedup, ..Class::new("timesheet-submit", Effect::Keyed, window) };
/// assert_eq!(class.aim(), window);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Dedup {
    /// Which servers share what they remember.
    pub group: Group,
    /// For how long after the first attempt was sent.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
}

/// Which servers share what they remember.
///
/// ```
/// use dunelink::config::Group;
///
/// assert_eq!(serde_json::to_string(&Group::Zone)?, "\"zone\"");
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// All.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
///
/// ```
/// use dunelink::config::{Class, Effect};
/// use std::time::Duration;
///
/// let class = Class { aim: Some(Duration::from_millis(300)), ..Class::new("view", Effect::Safe, Duration::from_secs(2)) };
/// assert!(class.aim() < class.deadline);
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name: the first part of the path, unless an extension says otherwise.
    pub name: String,
    /// What a repeat does.
    pub effect: Effect,
    /// Keyed classes: where and for how long repeats are dropped.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub dedup: Option<Dedup>,
    /// A client's whole wait; up to an hour.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// An answer within this time earns the full worth; the deadline if absent.
    #[serde(default, skip_serializing_if = "Option::is_none", with = "humantime_serde")]
    pub aim: Option<Duration>,
    /// The aim grows by this multiple of the request's expected work, up to the deadline.
    #[serde(default)]
    pub aim_stretch: f64,
    /// What an answer in time is worth against other classes'.
    #[serde(default = "one")]
    pub worth: f64,
    /// The part of the worth that a late answer earns.
    #[serde(default)]
    pub late_worth: f64,
}

fn one() -> f64 {
    1.0
}

fn is_one(number: &u32) -> bool {
    *number == 1
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

impl Class {
    /// A class of this name, with a worth of 1.
    pub fn new(name: impl Into<String>, effect: Effect, deadline: Duration) -> Class {
        Class {
            name: name.into(),
            effect,
            dedup: None,
            deadline,
            aim: None,
            aim_stretch: 0.0,
            worth: 1.0,
            late_worth: 0.0,
        }
    }

    /// The time within which an answer earns the full worth.
    pub fn aim(&self) -> Duration {
        self.aim.unwrap_or(self.deadline)
    }
}

/// A tenant and its share.
///
/// ```
/// let toml = r#"
///     [[tenants]]
///     name = "hakodate-keiri"
///     quota_per_s = 12.0
///     share = 0.14
///
///     [[classes]]
///     name = "view"
///     effect = "safe"
///     deadline = "2s"
/// "#;
/// let config = dunelink::Config::from_toml(toml)?;
/// assert_eq!(config.tenants[0].name, "hakodate-keiri");
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name, as requests have it.
    pub name: String,
    /// Requests a second, over all nodes, that are within its share.
    pub quota_per_s: f64,
    /// The part of the service that it has a right to, from 0 to 1.
    pub share: f64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            name: "dunelink".into(),
            listen: None,
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
        }
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: 1024, server_connections: None, requests: 10_000, body: 64 * 1024 }
    }
}

impl Limits {
    /// How many connections there may be, of clients and to servers together.
    pub fn connections(&self) -> usize {
        self.sockets.saturating_sub(SPARE_SOCKETS).max(8)
    }

    /// How many connections to servers there may be.
    pub fn to_servers(&self) -> usize {
        self.server_connections.unwrap_or(self.connections() / 3)
    }
}

impl Default for Attempts {
    fn default() -> Attempts {
        Attempts { most: 3, cancel: true, hedge: true, retry_after: Duration::from_secs(2) }
    }
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            nodes: 1,
            shards: 1,
            rank: 0,
            zone: String::new(),
            zones: Vec::new(),
            kinds: Vec::new(),
            cold_from: 0.1,
            warm_up: Duration::from_secs(30),
            fall_multiple: 2.0,
            connect_timeout: Duration::from_millis(250),
            keepalive: Duration::from_secs(5),
            warm_keys: false,
            live_weights: false,
            cross_zone_price: 0.0,
            step: Duration::from_millis(5),
            labels: 2,
            pool_min: 4,
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
        let sockets = self.limits.sockets.saturating_sub(SPARE_SOCKETS + SHARD_SOCKETS * parts);
        config.limits.sockets = SPARE_SOCKETS + sockets / parts;
        config.limits.server_connections = self.limits.server_connections.map(|most| most / parts);
        config
    }

    /// The longest that any client waits.
    pub fn longest(&self) -> Duration {
        self.classes.iter().map(|class| class.deadline.min(LONGEST)).max().unwrap_or_default()
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
