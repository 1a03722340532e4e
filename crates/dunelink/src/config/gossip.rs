//! Gossip between nodes: addresses, keys, rates and electors.

use std::fs::Metadata;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use dunelink_gossip::{KeyRing, Secret};
use serde::{Deserialize, Serialize};

use super::{ConfigError, Problem, error};

/// Smallest rate at which a node can send its probes, its answers and an occasional packet of news.
const MIN_CEILING_BYTES_PER_S: u32 = 8192;
/// Allowed range of the probe period.
const PERIOD_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(60));
/// Largest number of electors.
const MAX_ELECTORS: usize = 7;
/// Allowed range of the lease duration.
const LEASE_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));
/// Largest clock drift: one percent.
const MAX_DRIFT_PPM: u32 = 10_000;
/// Largest number of seed addresses.
const MAX_SEEDS: usize = 64;

/// Gossip between nodes (`docs/gossip.md`).
///
/// ```
/// let toml = r#"
///     [gossip]
///     listen = "127.0.0.1:7946"
///     secret = "n0.secret"
///     ring = "ring"
///     seeds = ["127.0.0.1:7947"]
///
///     [[classes]]
///     name = "view"
///     effect = "safe"
///     deadline = "2s"
/// "#;
/// let gossip = dunelink::Config::from_toml(toml)?.gossip.unwrap();
/// assert_eq!((gossip.ceiling, gossip.address()), (16 * 1024, gossip.listen));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gossip {
    /// UDP address to listen on.
    pub listen: SocketAddr,
    /// Address under which other nodes reach this one, if it differs from `listen`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    /// File with this node's secret key; only its owner may have access to it.
    pub secret: PathBuf,
    /// File with the names and public keys of all nodes, in the same order on every node.
    pub ring: PathBuf,
    /// Addresses of members that this node asks to join the fleet.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Maximum number of bytes sent in any second.
    #[serde(default = "ceiling")]
    pub ceiling: u32,
    /// Interval between two probes of a member.
    #[serde(default = "period", with = "humantime_serde")]
    pub period: Duration,
    /// Names of the electors, the nodes that vote on fleet-wide decisions; the same on all nodes. If empty,
    /// nothing is decided.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub electors: Vec<String>,
    /// Lease duration: how long a node keeps what it was granted without renewal.
    #[serde(default = "lease", with = "humantime_serde")]
    pub lease: Duration,
    /// Maximum clock drift in either direction, in parts per million.
    #[serde(default = "drift")]
    pub drift: u32,
    /// Fraction of the fleet, and of this node's zone, that must be ready without a node before that node, if
    /// it is worse off than the others, may report that it is not ready. If `None`, no node ever does so for
    /// this reason.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub step_aside: Option<f64>,
}

fn ceiling() -> u32 {
    16 * 1024
}

fn period() -> Duration {
    Duration::from_millis(300)
}

fn lease() -> Duration {
    Duration::from_secs(2)
}

fn drift() -> u32 {
    500
}

impl Gossip {
    /// The address under which other nodes reach this one.
    pub fn address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    pub(super) fn check(&self) -> Result<(), Problem> {
        let require = |holds: bool, key: &str, expected: &str| match holds {
            true => Ok(()),
            false => Err(Problem::new(format!("gossip.{key}"), expected)),
        };
        let reachable = !self.address().ip().is_unspecified();
        require(reachable, "advertise", "expected an address for other nodes: listen is unspecified")?;
        let port = self.advertise.is_none_or(|address| address.port() != 0);
        require(port, "advertise", "expected an address with a port")?;
        require(self.seeds.len() <= MAX_SEEDS, "seeds", "expected at most 64 addresses")?;
        require(self.ceiling >= MIN_CEILING_BYTES_PER_S, "ceiling", "expected at least 8192 bytes a second")?;
        let period = (PERIOD_RANGE.0..=PERIOD_RANGE.1).contains(&self.period);
        require(period, "period", "expected 100ms to 60s")?;
        let count = self.electors.len();
        require(
            count == 0 || count % 2 == 1 && count <= MAX_ELECTORS,
            "electors",
            "expected 1, 3, 5 or 7 names",
        )?;
        let mut names: Vec<&String> = self.electors.iter().collect();
        names.sort();
        names.dedup();
        require(names.len() == count, "electors", "expected each name once")?;
        require((LEASE_RANGE.0..=LEASE_RANGE.1).contains(&self.lease), "lease", "expected 1s to 60s")?;
        require(self.drift <= MAX_DRIFT_PPM, "drift", "expected at most 10000 millionths")?;
        let valid = self.step_aside.is_none_or(|share| (0.0..=1.0).contains(&share));
        require(valid, "step_aside", "expected a number from 0 to 1")?;
        let has_electors = self.step_aside.is_none() || count > 0;
        require(
            has_electors,
            "step_aside",
            "expected electors to grant one node at a time the right to be unready",
        )
    }

    /// Reads the files `secret` and `ring`.
    ///
    /// # Errors
    ///
    /// A file can't be read or is malformed, others than its owner may access the secret, `name` is not in
    /// the ring with the public key of that secret, or the electors don't match the ring.
    pub fn keys(&self, name: &str) -> Result<(KeyRing, Secret), ConfigError> {
        let metadata = std::fs::metadata(&self.secret).map_err(|e| {
            ConfigError::new(format!("can't be read: {e}")).in_file(&self.secret).at(None, "gossip.secret")
        })?;
        if readable_by_others(&metadata) {
            let what = "expected a file that only its owner may read (mode 0600)";
            return Err(ConfigError::new(what).in_file(&self.secret).at(None, "gossip.secret"));
        }
        let key_error = |path: &Path, key: &str| {
            let (path, key) = (path.to_path_buf(), key.to_owned());
            move |e: dunelink_gossip::KeyError| {
                ConfigError::new(e.expected).in_file(&path).at(Some(e.line), key.clone())
            }
        };
        let secret =
            Secret::parse(&error::read(&self.secret)?).map_err(key_error(&self.secret, "gossip.secret"))?;
        let ring = KeyRing::parse(&error::read(&self.ring)?).map_err(key_error(&self.ring, "gossip.ring"))?;
        if !ring.has_key(dunelink_gossip::MemberId::of(name), &secret) {
            let what = format!("expected a line with the name {name} and the public key of gossip.secret");
            return Err(ConfigError::new(what).in_file(&self.ring).at(None, "gossip.ring"));
        }
        let electors = |what: &str| ConfigError::new(what).in_file(&self.ring).at(None, "gossip.electors");
        let in_ring = |name: &String| ring.contains(dunelink_gossip::MemberId::of(name));
        if let Some(name) = self.electors.iter().find(|name| !in_ring(name)) {
            return Err(electors(&format!("expected a line with the name {name}")));
        }
        if !self.electors.is_empty() && ring.len() > dunelink_view::MAX_MEMBERS {
            let limit = dunelink_view::MAX_MEMBERS;
            return Err(electors(&format!("expected at most {limit} names where there are electors")));
        }
        Ok((ring, secret))
    }
}

#[cfg(unix)]
fn readable_by_others(metadata: &Metadata) -> bool {
    std::os::unix::fs::MetadataExt::mode(metadata) & 0o077 != 0
}

#[cfg(not(unix))]
fn readable_by_others(_: &Metadata) -> bool {
    false
}
