//! The platform's JSON configuration: its keys, units and leniency, mapped onto [`Config`].

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::{Deserializer, Error, IgnoredAny, Unexpected, Visitor};
use serde::{Deserialize, de};

use super::error::{ConfigError, Problem};
use super::*;
use crate::platform_list::PlatformList;

/// Reads the platform's JSON.
pub(super) fn parse(json: &str) -> Result<Config, ConfigError> {
    let mut deserializer = serde_json::Deserializer::from_str(json);
    let file: PlatformFile = serde_path_to_error::deserialize(&mut deserializer).map_err(|e| {
        let key = text::key_of(e.path());
        let e = e.into_inner();
        // serde's message ends with a location, which the error shows by itself.
        let what = e.to_string();
        let what = what.split(" at line ").next().unwrap_or_default();
        ConfigError::new(what).at((e.line() > 0).then_some(e.line()), key)
    })?;
    deserializer
        .end()
        .map_err(|e| ConfigError::new("expected nothing behind the object").at(Some(e.line()), ""))?;
    let config = file.config();
    config.check().map_err(|problem| {
        let key = platform_key(&problem);
        ConfigError::new(problem.expected).at(text::find_in_json(json, &key), key)
    })?;
    Ok(config)
}

/// The platform's key for a key of [`Config`].
fn platform_key(problem: &Problem) -> String {
    let pairs = [
        ("classes", "settings.services"),
        ("tenants", "settings.parties"),
        ("known.servers", "known.targets"),
        ("fleet.nodes", "settings.balancers"),
        ("fleet.rank", "settings.rank"),
        ("fleet.zone", "settings.zone"),
        ("fleet.cold_from", "settings.obligations.cold_from"),
        ("fleet.fall_multiple", "settings.obligations.fall_multiple"),
        ("fleet.cross_zone_price", "settings.prices.cross_zone"),
        ("fleet.connect_timeout", "settings.allowed.connect_timeout_us"),
        ("fleet.step", "settings.step_us"),
        ("attempts.most", "settings.allowed.max_attempts"),
        ("over_share_worth", "settings.over_share_worth"),
        ("limits.server_connections", "limits.sockets"),
        ("limits.requests", "limits.sockets"),
    ];
    let key = pairs
        .iter()
        .find_map(|(ours, theirs)| problem.key.strip_prefix(ours).map(|rest| format!("{theirs}{rest}")));
    let key = key.unwrap_or_else(|| problem.key.clone());
    let suffixes = [
        ("].deadline", "].deadline_us"),
        ("].aim", "].goal_time_us"),
        ("].worth", "].points"),
        ("].late_worth", "].late_value"),
        ("].quota_per_s", "].quota_rps"),
        ("].weight", "].capacity_hint"),
    ];
    let with_suffix = suffixes
        .iter()
        .find_map(|(ours, theirs)| key.strip_suffix(ours).map(|start| format!("{start}{theirs}")));
    with_suffix.unwrap_or(key)
}

#[derive(Deserialize)]
struct PlatformFile {
    name: String,
    listen: SocketAddr,
    control: Option<SocketAddr>,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: PlatformLimits,
    #[serde(default)]
    known: PlatformList,
    settings: Settings,
}

#[derive(Default, Deserialize)]
struct PlatformLimits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

/// The settings as the platform's simulator writes them.
#[derive(Deserialize)]
struct Settings {
    services: Vec<Service>,
    #[serde(default)]
    parties: Vec<Party>,
    #[serde(default)]
    zones: Names,
    #[serde(default)]
    skus: Names,
    #[serde(default)]
    allowed: Allowed,
    #[serde(default)]
    obligations: Obligations,
    #[serde(default)]
    domain: Domain,
    #[serde(default)]
    prices: Prices,
    balancers: Option<u32>,
    rank: Option<u32>,
    zone: Option<u8>,
    over_share_worth: Option<f64>,
    weights: Option<String>,
    discovery: Option<Discovery>,
    step_us: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Discovery {
    Automatic,
    Subscribe,
}

#[derive(Deserialize)]
struct Service {
    #[serde(default)]
    name: String,
    #[serde(default)]
    idempotency: Idempotency,
    #[serde(default)]
    dedup_scope: Scope,
    window_us: Option<f64>,
    goal_time_us: Option<f64>,
    deadline_us: Option<f64>,
    aim_stretch: Option<f64>,
    points: Option<f64>,
    late_value: Option<f64>,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Idempotency {
    Pure,
    Token,
    #[default]
    SideEffect,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Scope {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
struct Party {
    #[serde(default)]
    name: String,
    #[serde(default)]
    quota_rps: f64,
    #[serde(default)]
    share: f64,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Allowed {
    max_attempts: Option<u16>,
    cancelling: Flag,
    second_copies: Flag,
    retry_after: Flag,
    max_retry_after_us: f64,
    connect_timeout_us: Option<f64>,
    keepalive_us: Option<f64>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Obligations {
    ask_every_us: Option<f64>,
    cold_from: Option<f64>,
    warm_up_us: Option<f64>,
    fall_multiple: Option<f64>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Domain {
    warm_keys: Flag,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Prices {
    cross_zone: f64,
}

/// A boolean that may also be written as 0 or 1.
#[derive(Clone, Copy, Default)]
struct Flag(bool);

impl<'de> Deserialize<'de> for Flag {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Flag, D::Error> {
        struct FlagVisitor;
        impl Visitor<'_> for FlagVisitor {
            type Value = Flag;
            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("true, false, 1 or 0")
            }
            fn visit_bool<E: Error>(self, value: bool) -> Result<Flag, E> {
                Ok(Flag(value))
            }
            fn visit_u64<E: Error>(self, value: u64) -> Result<Flag, E> {
                match value {
                    0 | 1 => Ok(Flag(value == 1)),
                    other => Err(E::invalid_value(Unexpected::Unsigned(other), &self)),
                }
            }
        }
        from.deserialize_any(FlagVisitor)
    }
}

/// A list of names; a single name or a number stands for a list of one.
#[derive(Default)]
struct Names(Vec<String>);

impl<'de> Deserialize<'de> for Names {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Names, D::Error> {
        struct NamesVisitor;
        impl<'de> Visitor<'de> for NamesVisitor {
            type Value = Names;
            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("a name or a list of names")
            }
            fn visit_str<E: Error>(self, value: &str) -> Result<Names, E> {
                Ok(Names(vec![value.to_string()]))
            }
            fn visit_u64<E: Error>(self, value: u64) -> Result<Names, E> {
                Ok(Names(vec![value.to_string()]))
            }
            fn visit_unit<E: Error>(self) -> Result<Names, E> {
                Ok(Names::default())
            }
            fn visit_seq<A: de::SeqAccess<'de>>(self, mut items: A) -> Result<Names, A::Error> {
                let mut names = Vec::new();
                while let Option::Some(Names(name)) = items.next_element()? {
                    names.extend(name);
                }
                Ok(Names(names))
            }
            fn visit_map<A: de::MapAccess<'de>>(self, mut map: A) -> Result<Names, A::Error> {
                while map.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
                Err(A::Error::invalid_type(Unexpected::Map, &self))
            }
        }
        from.deserialize_any(NamesVisitor)
    }
}

/// A duration from microseconds, rounded down to whole ones.
fn duration_from_us(us: f64) -> Duration {
    Duration::from_micros(us as u64)
}

impl PlatformFile {
    fn config(self) -> Config {
        let (settings, defaults) = (self.settings, Fleet::default());
        let duration_or = |us: Option<f64>, default: Duration| us.map_or(default, duration_from_us);
        let mut zones = settings.zones.0;
        let zone = usize::from(settings.zone.unwrap_or(0));
        // The node's zone index may exceed the list of zone names.
        while zone > 0 && zones.len() <= zone {
            zones.push(format!("zone-{}", zones.len()));
        }
        let ask_every_us = settings.obligations.ask_every_us.unwrap_or(10_000_000.0);
        let is_polled = matches!(settings.discovery, Some(Discovery::Subscribe));
        let sockets = self.limits.sockets.unwrap_or(1024);
        // Half of the memory, at 0.2 MB per transfer; `clamp` bounds values that make no sense.
        let memory = self.limits.memory_mb.map(|mb| (mb / 0.4) as usize);
        let transfers = memory.map_or(Limits::default().transfers, |count| count.clamp(8, 10_000));
        Config {
            name: self.name,
            listen: Some(self.listen),
            control: self.control,
            log: super::LogFormat::default(),
            seed: u64::from_str_radix(&self.seed, 16).ok(),
            over_share_worth: settings.over_share_worth.unwrap_or(1.0),
            // Each request has a connection of its own, so the number of descriptors limits requests too.
            limits: Limits { sockets, requests: sockets.max(8), transfers, ..Limits::default() },
            intake: Intake { id: IfAbsent::Refuse, deadline: IfAbsent::Refuse, host: IfAbsent::Refuse },
            attempts: Attempts {
                most: settings.allowed.max_attempts.unwrap_or(1),
                cancel: settings.allowed.cancelling.0,
                hedge: settings.allowed.second_copies.0,
                retry_after: match settings.allowed.retry_after.0 {
                    true => duration_from_us(settings.allowed.max_retry_after_us),
                    false => Duration::ZERO,
                },
                answers: FinalAnswers::Ok,
            },
            fleet: Fleet {
                shards: 1,
                nodes: settings.balancers.unwrap_or(defaults.nodes),
                rank: settings.rank.unwrap_or(defaults.rank),
                zone: zones.get(zone).cloned().unwrap_or_default(),
                zones,
                kinds: settings.skus.0,
                cold_from: settings.obligations.cold_from.unwrap_or(defaults.cold_from),
                warm_up: duration_or(settings.obligations.warm_up_us, defaults.warm_up),
                fall_multiple: settings.obligations.fall_multiple.unwrap_or(defaults.fall_multiple),
                connect_timeout: duration_or(settings.allowed.connect_timeout_us, defaults.connect_timeout),
                keepalive: duration_or(settings.allowed.keepalive_us, defaults.keepalive),
                warm_keys: settings.domain.warm_keys.0,
                live_weights: settings.weights.as_deref() == Some("live"),
                cross_zone_price: settings.prices.cross_zone,
                step: duration_or(settings.step_us, defaults.step),
                labels: defaults.labels,
                pool_min: defaults.pool_min,
            },
            roster: RosterConfig::Watch {
                address: self.discovery,
                ask_every: is_polled.then(|| duration_from_us(ask_every_us)),
            },
            known: self.known.into(),
            classes: settings.services.into_iter().map(Service::class).collect(),
            tenants: settings
                .parties
                .into_iter()
                .map(|party| Tenant { name: party.name, quota_per_s: party.quota_rps, share: party.share })
                .collect(),
            graphql: None,
            gossip: None,
        }
    }
}

impl Service {
    fn class(self) -> Class {
        let group = match self.dedup_scope {
            Scope::All => DedupGroup::All,
            Scope::Zone => DedupGroup::Zone,
            Scope::Cell => DedupGroup::Cell,
        };
        let window = duration_from_us(self.window_us.unwrap_or(0.0));
        let (effect, dedup) = match self.idempotency {
            Idempotency::Pure => (Effect::Safe, None),
            Idempotency::Token => (Effect::Keyed, Some(Dedup { group, window })),
            Idempotency::SideEffect => (Effect::Unsafe, None),
        };
        Class {
            name: self.name,
            effect,
            dedup,
            deadline: duration_from_us(self.deadline_us.unwrap_or(1_000_000.0)),
            aim: self.goal_time_us.map(duration_from_us),
            aim_stretch: self.aim_stretch.unwrap_or(0.0),
            worth: self.points.unwrap_or(1.0),
            late_worth: self.late_value.unwrap_or(0.0),
        }
    }
}
