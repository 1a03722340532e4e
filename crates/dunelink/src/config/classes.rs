//! Classes of requests, and tenants.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a request may be sent more than once.
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
    /// Idempotent. Sent as `GET`, without a body.
    Safe,
    /// Servers drop a duplicate with the same `Idempotency-Key`, within the scope and window of the class's
    /// `dedup`. Sent as `POST`.
    Keyed,
    /// Not idempotent: must never be executed twice. Sent as `POST`.
    Unsafe,
}

/// Where and for how long servers recognize duplicates of a keyed request.
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
    /// Which servers share their record of idempotency keys.
    pub group: DedupGroup,
    /// How long servers remember a key, counted from the moment the first attempt was sent.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
}

/// The servers that share one record of idempotency keys.
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
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of requests with common deadline, idempotency and value.
///
/// ```
/// use dunelink::config::{Class, Effect};
/// use std::time::Duration;
///
/// let class = Class {
///     aim: Some(Duration::from_millis(300)),
///     ..Class::new("view", Effect::Safe, Duration::from_secs(2))
/// };
/// assert!(class.aim() < class.deadline);
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The first segment of the request path, unless an extension of the request names the class.
    pub name: String,
    /// Whether a request of this class may be sent more than once.
    pub effect: Effect,
    /// For keyed classes, the scope and window within which duplicates are dropped; `None` for all others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub dedup: Option<Dedup>,
    /// The longest that a client waits for its answer; capped at one hour.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Target latency: an answer within this time earns the full `worth`. Defaults to the deadline.
    #[serde(default, skip_serializing_if = "Option::is_none", with = "humantime_serde")]
    pub aim: Option<Duration>,
    /// The target latency grows by this multiple of the expected work of the request, up to the deadline.
    #[serde(default)]
    pub aim_stretch: f64,
    /// Value of an answer in time, relative to other classes.
    #[serde(default = "one")]
    pub worth: f64,
    /// Fraction of `worth` that a late answer earns.
    #[serde(default)]
    pub late_worth: f64,
}

fn one() -> f64 {
    1.0
}

impl Class {
    /// A class with this name and a worth of 1.
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

    /// The target latency: an answer within this time earns the full worth.
    pub fn aim(&self) -> Duration {
        self.aim.unwrap_or(self.deadline)
    }
}

/// A tenant and its quota.
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
    /// The name that requests carry.
    pub name: String,
    /// Requests per second, over all nodes, that count as within its quota.
    pub quota_per_s: f64,
    /// The fraction of the service's capacity to which it is entitled, from 0 to 1.
    pub share: f64,
}
