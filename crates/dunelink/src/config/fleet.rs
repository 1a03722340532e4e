//! The fleet, this node's place in it, and where the list of servers comes from.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::server_list::Server;

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

fn is_one(number: &u32) -> bool {
    *number == 1
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
