//! Classes of requests, and tenants.

use std::time::Duration;

use serde::{Deserialize, Serialize};

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
/// use dunelink::config::{Class, Dedup, Effect, DedupGroup};
/// use std::time::Duration;
///
/// let window = Duration::from_secs(4);
/// let dedup = Some(Dedup { group: DedupGroup::Cell, window });
/// let class = Class { dedup, ..Class::new("timesheet-submit", Effect::Keyed, window) };
/// assert_eq!(class.aim(), window);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Dedup {
    /// Which servers share what they remember.
    pub group: DedupGroup,
    /// For how long after the first attempt was sent.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
}

/// Which servers share what they remember.
///
/// ```
/// use dunelink::config::DedupGroup;
///
/// assert_eq!(serde_json::to_string(&DedupGroup::Zone)?, "\"zone\"");
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DedupGroup {
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
