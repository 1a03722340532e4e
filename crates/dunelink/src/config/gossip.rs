//! Gossip between nodes: where, with which keys, and how much of it.

use std::fs::Metadata;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use dunelink_gossip::{KeyRing, Secret};
use serde::{Deserialize, Serialize};

use super::{ConfigError, Problem, error};

/// The least that a node may send in a second: probes and answers, and a packet of news now and then.
const CEILING_LEAST: u32 = 8192;
/// How often a member may be asked whether it is there.
const PERIODS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(60));
/// Names that may decide.
const ELECTORS_MOST: usize = 7;
/// How long leases may be.
const LEASES: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));
/// How wrong a clock may be: a hundredth.
const DRIFT_MOST: u32 = 10_000;
/// Addresses that a node may ask to be let in.
const SEEDS_MOST: usize = 64;

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
    /// Where it listens, UDP.
    pub listen: SocketAddr,
    /// Where others reach it, if that is not where it listens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    /// The file with this node's secret key; only its owner may read it.
    pub secret: PathBuf,
    /// The file with the names and public keys of all nodes, in the same order at all of them.
    pub ring: PathBuf,
    /// Where it asks to be let in.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The most bytes that it sends in any second.
    #[serde(default = "ceiling")]
    pub ceiling: u32,
    /// How often a member is asked whether it is there.
    #[serde(default = "period", with = "humantime_serde")]
    pub period: Duration,
    /// The names of those that decide for the fleet, the same at all nodes; without any, nothing is decided.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub electors: Vec<String>,
    /// For how long what a node holds is its own without being renewed.
    #[serde(default = "lease", with = "humantime_serde")]
    pub lease: Duration,
    /// By how many millionths a clock may be fast or slow.
    #[serde(default = "drift")]
    pub drift: u32,
    /// The part of the fleet, and of its zone, that has to be ready without a node which is worse off than the others, so
    /// that it says that it is not ready. Without this no node ever does.
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
    /// Where others reach it.
    pub fn address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    pub(super) fn check(&self) -> Result<(), Problem> {
        let want = |kept: bool, key: &str, expected: &str| match kept {
            true => Ok(()),
            false => Err(Problem::new(format!("gossip.{key}"), expected)),
        };
        let named = !self.address().ip().is_unspecified();
        want(named, "advertise", "expected an address that others reach, as listen is none")?;
        let port = self.advertise.is_none_or(|address| address.port() != 0);
        want(port, "advertise", "expected an address with a port")?;
        want(self.seeds.len() <= SEEDS_MOST, "seeds", "expected at most 64 addresses")?;
        want(self.ceiling >= CEILING_LEAST, "ceiling", "expected at least 8192 bytes a second")?;
        let period = (PERIODS.0..=PERIODS.1).contains(&self.period);
        want(period, "period", "expected 100ms to 60s")?;
        let count = self.electors.len();
        want(
            count == 0 || count % 2 == 1 && count <= ELECTORS_MOST,
            "electors",
            "expected 1, 3, 5 or 7 names",
        )?;
        let mut names: Vec<&String> = self.electors.iter().collect();
        names.sort();
        names.dedup();
        want(names.len() == count, "electors", "expected each name once")?;
        want((LEASES.0..=LEASES.1).contains(&self.lease), "lease", "expected 1s to 60s")?;
        want(self.drift <= DRIFT_MOST, "drift", "expected at most 10000 millionths")?;
        let part = self.step_aside.is_none_or(|part| (0.0..=1.0).contains(&part));
        want(part, "step_aside", "expected a part from 0 to 1")?;
        let decided = self.step_aside.is_none() || count > 0;
        want(decided, "step_aside", "expected electors: without them no node can be the only one")
    }

    /// Reads the keys that it names.
    ///
    /// # Errors
    ///
    /// A file can't be read or is wrong, others than its owner may read the secret, or the name is not in the ring with
    /// that secret's key.
    pub fn keys(&self, name: &str) -> Result<(KeyRing, Secret), ConfigError> {
        let metadata = std::fs::metadata(&self.secret).map_err(|e| {
            ConfigError::of(format!("can't be read: {e}")).in_file(&self.secret).at(None, "gossip.secret")
        })?;
        if open_to_others(&metadata) {
            let what = "expected a file that only its owner may read (mode 0600)";
            return Err(ConfigError::of(what).in_file(&self.secret).at(None, "gossip.secret"));
        }
        let wrong = |path: &Path, key: &str| {
            let (path, key) = (path.to_path_buf(), key.to_owned());
            move |e: dunelink_gossip::KeyError| {
                ConfigError::of(e.expected).in_file(&path).at(Some(e.line), key.clone())
            }
        };
        let secret =
            Secret::parse(&error::read(&self.secret)?).map_err(wrong(&self.secret, "gossip.secret"))?;
        let ring = KeyRing::parse(&error::read(&self.ring)?).map_err(wrong(&self.ring, "gossip.ring"))?;
        if !ring.has_key(dunelink_gossip::MemberId::of(name), &secret) {
            let what = format!("expected a line with the name {name} and the public key of gossip.secret");
            return Err(ConfigError::of(what).in_file(&self.ring).at(None, "gossip.ring"));
        }
        let electors = |what: &str| ConfigError::of(what).in_file(&self.ring).at(None, "gossip.electors");
        let known = |name: &String| ring.contains(dunelink_gossip::MemberId::of(name));
        if let Some(name) = self.electors.iter().find(|name| !known(name)) {
            return Err(electors(&format!("expected a line with the name {name}")));
        }
        if !self.electors.is_empty() && ring.len() > dunelink_view::MAX_MEMBERS {
            let most = dunelink_view::MAX_MEMBERS;
            return Err(electors(&format!("expected at most {most} names where there are electors")));
        }
        Ok((ring, secret))
    }
}

#[cfg(unix)]
fn open_to_others(metadata: &Metadata) -> bool {
    std::os::unix::fs::MetadataExt::mode(metadata) & 0o077 != 0
}

#[cfg(not(unix))]
fn open_to_others(_: &Metadata) -> bool {
    false
}
