//! The fleet, this node's position in it, and the source of the server list.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::server_list::Server;

/// Settings of the whole fleet, and this node's position in it.
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
    /// Number of nodes that share the load.
    pub nodes: u32,
    /// Number of shards of each node: engines on a thread each, among which the node's connections are
    /// distributed. The same for all nodes of the fleet.
    #[serde(skip_serializing_if = "is_one")]
    pub shards: u32,
    /// This node's index among the nodes, from 0.
    pub rank: u32,
    /// The zone of this node, one of `zones`; empty if it has none.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub zone: String,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine types.
    pub kinds: Vec<String>,
    /// Fraction of its capacity that a server has when it starts (slow start); above 0, up to 1.
    pub cold_from: f64,
    /// Longest time until a started server reaches its full capacity.
    #[serde(with = "humantime_serde")]
    pub warm_up: Duration,
    /// A cold server collapses under this multiple of the load that it can handle at that moment.
    pub fall_multiple: f64,
    /// A connection attempt that takes longer than this has failed.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
    /// Servers close a connection that has been idle for this long.
    #[serde(with = "humantime_serde")]
    pub keepalive: Duration,
    /// Whether related requests are cheaper on a server that recently handled the same affinity key.
    pub warm_keys: bool,
    /// Whether a server's listed weight shrinks while it holds requests, so that it reflects load as well as
    /// capacity.
    pub live_weights: bool,
    /// Cost of crossing zones, charged once per request, as a fraction of the total worth.
    pub cross_zone_price: f64,
    /// Timer resolution: the longest interval between two checks of the clock.
    #[serde(with = "humantime_serde")]
    pub step: Duration,
    /// Number of labels that tenants are hashed to; each label has its own pool of servers. The same at every
    /// node.
    pub labels: u16,
    /// Minimum size of a label's pool while there are enough servers; at least 4. The same at every node.
    pub pool_min: u16,
}

/// Source of the server list.
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
    /// The host program supplies it through [`crate::Builder::roster`]; without that call, the list is
    /// `known`.
    #[default]
    Host,
    /// A list that never changes.
    Fixed {
        /// The servers.
        servers: Vec<Server>,
    },
    /// A TOML file with `[[servers]]` entries, read again when it changes.
    File {
        /// Path of the file.
        path: PathBuf,
        /// Interval between two checks of the file.
        #[serde(default = "File::every", with = "humantime_serde")]
        every: Duration,
    },
    /// A watch of the platform's discovery service over HTTP.
    Watch {
        /// Address of the discovery service.
        address: SocketAddr,
        /// If set, discovery sends no changes on its own and must be polled at least this often; the decision
        /// module schedules the polls.
        #[serde(default, skip_serializing_if = "Option::is_none", with = "humantime_serde")]
        ask_every: Option<Duration>,
    },
}

/// Defaults of [`RosterConfig::File`].
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
