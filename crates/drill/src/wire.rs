//! The binary protocol of the simulator: frames of records in both directions.
//!
//! Nothing is decided here. Input that does not follow the protocol results in a [`WireError`].

use std::collections::BTreeMap;
use std::fmt;

use cherryusher::*;

/// A description of what is malformed in a frame.
#[derive(Debug, PartialEq, Eq)]
pub struct WireError(pub String);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed input: {}", self.0)
    }
}

impl std::error::Error for WireError {}

fn malformed<T>(what: impl Into<String>) -> Result<T, WireError> {
    Err(WireError(what.into()))
}

/// A record of a batch, with server list numbers replaced by the lists.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// The following records are for this node.
    Node(u16),
    /// The node starts without any state, with this random seed and these settings.
    Launch(u64, Box<Settings>),
    /// The node crashes and loses its state.
    Crash,
    /// An event for the node's decision module.
    Event(Event),
}

/// A decoded batch.
#[derive(Debug, PartialEq)]
pub struct Batch {
    /// The time of all records of the batch.
    pub now: Micros,
    /// The number of the batch; its reply has the same number.
    pub number: u32,
    /// The records in their order.
    pub records: Vec<Record>,
}

/// Reads fields from the front of a slice.
struct FieldReader<'a>(&'a [u8]);

impl<'a> FieldReader<'a> {
    fn bytes(&mut self, n: usize) -> Result<&'a [u8], WireError> {
        match self.0.split_at_checked(n) {
            Some((head, rest)) => {
                self.0 = rest;
                Ok(head)
            }
            None => malformed(format!("{n} bytes announced, {} left in the frame", self.0.len())),
        }
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let mut out = [0; N];
        out.copy_from_slice(self.bytes(N)?);
        Ok(out)
    }

    fn u8(&mut self) -> Result<u8, WireError> {
        Ok(self.array::<1>()?[0])
    }

    fn u16(&mut self) -> Result<u16, WireError> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    fn u32(&mut self) -> Result<u32, WireError> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    fn u64(&mut self) -> Result<u64, WireError> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    /// Reads a server id: an IPv4 address in network byte order, and a port.
    fn server(&mut self) -> Result<ServerId, WireError> {
        let address = u32::from_be_bytes(self.array()?);
        Ok(u64::from(address) << 16 | u64::from(self.u16()?))
    }

    fn load_report(&mut self) -> Result<(), WireError> {
        let values = usize::from(self.u8()?);
        self.bytes(values * 4).map(drop)
    }
}

/// Decodes batches, and keeps the numbered server lists between them.
#[derive(Default)]
pub struct Decoder {
    lists: [Vec<ServerEntry>; 16],
}

impl Decoder {
    /// Decodes a batch: the content of a frame without its length.
    pub fn batch(&mut self, frame: &[u8]) -> Result<Batch, WireError> {
        let mut f = FieldReader(frame);
        let (now, number) = (f.u64()?, f.u32()?);
        let mut records = Vec::new();
        while !f.0.is_empty() {
            records.extend(self.record(&mut f)?);
        }
        Ok(Batch { now, number, records })
    }

    /// Decodes one record; `None` for records that nodes ignore and for server lists, which are kept.
    fn record(&mut self, f: &mut FieldReader<'_>) -> Result<Option<Record>, WireError> {
        let event = match f.u16()? {
            1 => {
                let seed = f.u64()?;
                let size = f.u32()? as usize;
                let settings = parse_settings(f.bytes(size)?)?;
                return Ok(Some(Record::Launch(seed, Box::new(settings))));
            }
            2 => self.discovery(f)?,
            3 => {
                let (id, class, remaining) = (f.u64()?, usize::from(f.u8()?), Micros::from(f.u32()?));
                let (work, key, flags, tenant) = (f.u32()?, f.u64()?, f.u8()?, f.u32()?);
                let expected_work = (flags & 1 != 0).then_some(Micros::from(work));
                let key = (key != 0).then_some(key);
                Event::RequestArrived(Request {
                    id,
                    class,
                    remaining,
                    expected_work,
                    key,
                    tenant: Some(tenant),
                })
            }
            4 => {
                let (request, _server, attempt, _took) = (f.u64()?, f.server()?, f.u16()?, f.u32()?);
                Event::ResponseStreamStarted(request, attempt)
            }
            5 => {
                let (request, attempt, request_finished) = (f.u64()?, f.u16()?, f.u8()? != 0);
                let (outcome, elapsed, _server) = (outcome(f.u8()?)?, Micros::from(f.u32()?), f.server()?);
                f.load_report()?;
                Event::AttemptEnded(AttemptEnd { request, attempt, outcome, elapsed, request_finished })
            }
            6 => Event::ClientLeft(f.u64()?),
            7 => Event::TimerFired(f.u64()?),
            8 => {
                let (_took, _server, _status) = (f.u32()?, f.server()?, f.u8()?);
                f.load_report()?;
                return Ok(None);
            }
            9 => {
                let (_sender, size) = (f.u32()?, usize::from(f.u16()?));
                f.bytes(size)?;
                return Ok(None);
            }
            10 => return Ok(Some(Record::Crash)),
            11 => {
                let number = usize::from(f.u8()?);
                let list = self.list(f)?;
                let Some(slot) = self.lists.get_mut(number) else {
                    return malformed(format!("server list number {number}"));
                };
                *slot = list;
                return Ok(None);
            }
            12 => return Ok(Some(Record::Node(f.u16()?))),
            code => return malformed(format!("unknown record code {code}")),
        };
        Ok(Some(Record::Event(event)))
    }

    fn discovery(&self, f: &mut FieldReader<'_>) -> Result<Event, WireError> {
        let (kind, _version, number) = (f.u8()?, f.u64()?, usize::from(f.u8()?));
        if kind == 3 {
            return Ok(Event::DiscoveryFailed);
        }
        let Some(list) = self.lists.get(number).cloned() else {
            return malformed(format!("server list number {number}"));
        };
        match kind {
            0 => Ok(Event::ServerChanges(list)),
            1 => Ok(Event::ServerList(list)),
            2 => Ok(Event::CachedServerList(list)),
            _ => malformed(format!("unknown kind of list {kind}")),
        }
    }

    fn list(&self, f: &mut FieldReader<'_>) -> Result<Vec<ServerEntry>, WireError> {
        const ENTRY_BYTES: usize = 23;
        let count = f.u32()? as usize;
        let Some(size) = count.checked_mul(ENTRY_BYTES) else {
            return malformed("server list too long");
        };
        let mut entries = FieldReader(f.bytes(size)?);
        let mut list = Vec::with_capacity(count);
        while !entries.0.is_empty() {
            let state = match entries.u8()? {
                0 => ServerState::Gone,
                1 => ServerState::Draining,
                2 => ServerState::Ready,
                other => return malformed(format!("unknown server state {other}")),
            };
            let (ready_at, zone, id, cell) =
                (entries.u64()?, entries.u8()?, entries.server()?, entries.u16()?);
            // A weight that is not finite counts as unknown, as it would make the mean of all weights
            // useless.
            let weight = f32::from_le_bytes(entries.array()?);
            let weight = if weight.is_finite() { f64::from(weight.max(0.0)) } else { 0.0 };
            let kind = entries.u8()?;
            list.push(ServerEntry { id, state, ready_at, zone, cell, weight, kind });
        }
        Ok(list)
    }
}

fn outcome(status: u8) -> Result<Outcome, WireError> {
    Ok(match status {
        0 => Outcome::Served,
        5 => Outcome::Error,
        11 => Outcome::Rejected,
        104 => Outcome::Reset,
        110 => Outcome::TimedOut,
        111 => Outcome::ConnectFailed,
        114 => Outcome::NotSent,
        125 => Outcome::Cancelled,
        other => return malformed(format!("unknown outcome {other}")),
    })
}

/// The settings as `path=value` lines, by path.
struct SettingLines<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> SettingLines<'a> {
    fn get<T: std::str::FromStr>(&self, path: &str, default: T) -> Result<T, WireError> {
        match self.0.get(path) {
            None => Ok(default),
            Some(text) => match text.parse() {
                Ok(value) => Ok(value),
                Err(_) => malformed(format!("setting {path} is '{text}'")),
            },
        }
    }

    /// A boolean that may also be written as 0 or 1.
    fn flag(&self, path: &str, default: bool) -> Result<bool, WireError> {
        match self.0.get(path).copied() {
            Some("1") => Ok(true),
            Some("0") => Ok(false),
            _ => self.get(path, default),
        }
    }

    /// A duration in microseconds; a fraction is cut off.
    fn micros(&self, path: &str, default: Micros) -> Result<Micros, WireError> {
        self.get::<f64>(path, default as f64).map(|us| us as Micros)
    }

    /// The number of objects in a list. Each has at least one line, so that a larger number is malformed.
    fn count(&self, list: &str) -> Result<usize, WireError> {
        let count = self.get(&format!("{list}.count"), 0)?;
        if count > self.0.len() {
            return malformed(format!("setting {list}.count is {count}"));
        }
        Ok(count)
    }
}

/// Parses a node's settings. Unknown keys are skipped; absent ones get their values from
/// [`Settings::default`].
pub fn parse_settings(text: &[u8]) -> Result<Settings, WireError> {
    let Ok(text) = std::str::from_utf8(text) else {
        return malformed("settings are not UTF-8");
    };
    let lines = SettingLines(text.lines().filter_map(|line| line.split_once('=')).collect());
    let mut classes = Vec::new();
    for i in 0..lines.count("services")? {
        let key = |name: &str| format!("services.{i}.{name}");
        let scope = match lines.get(&key("dedup_scope"), "all".to_string())?.as_str() {
            "all" => DedupScope::All,
            "zone" => DedupScope::Zone,
            "cell" => DedupScope::Cell,
            other => return malformed(format!("setting {} is '{other}'", key("dedup_scope"))),
        };
        let idempotency = match lines.get(&key("idempotency"), "side_effect".to_string())?.as_str() {
            "pure" => Idempotency::Idempotent,
            "token" => Idempotency::Deduplicated { scope, window: lines.micros(&key("window_us"), 0)? },
            "side_effect" => Idempotency::NonIdempotent,
            other => return malformed(format!("setting {} is '{other}'", key("idempotency"))),
        };
        let deadline = lines.micros(&key("deadline_us"), 1_000_000)?;
        classes.push(Class {
            target_latency: lines.micros(&key("goal_time_us"), deadline)?,
            target_latency_per_work: lines.get(&key("aim_stretch"), 0.0)?,
            deadline,
            value: lines.get(&key("points"), 1.0)?,
            late_value_fraction: lines.get(&key("late_value"), 0.0)?,
            idempotency,
        });
    }
    let mut tenants = Vec::new();
    for i in 0..lines.count("parties")? {
        tenants.push(Tenant {
            quota_per_s: lines.get(&format!("parties.{i}.quota_rps"), 0.0)?,
            share: lines.get(&format!("parties.{i}.share"), 0.0)?,
        });
    }
    let discovery = match lines.get("discovery", "automatic".to_string())?.as_str() {
        "automatic" => Discovery::Pushed,
        "subscribe" => Discovery::Subscribed {
            max_retry_interval: lines.micros("obligations.ask_every_us", 10_000_000)?,
        },
        other => return malformed(format!("setting discovery is '{other}'")),
    };
    let defaults = Settings::default();
    Ok(Settings {
        balancers: lines.get("balancers", defaults.balancers)?,
        rank: lines.get("rank", defaults.rank)?,
        zone: lines.get("zone", defaults.zone)?,
        classes,
        tenants,
        over_quota_value: lines.get("over_share_worth", defaults.over_quota_value)?,
        max_attempts: lines.get("allowed.max_attempts", defaults.max_attempts)?,
        cancelling: lines.flag("allowed.cancelling", defaults.cancelling)?,
        hedging: lines.flag("allowed.second_copies", defaults.hedging)?,
        key_affinity: lines.flag("domain.warm_keys", defaults.key_affinity)?,
        cross_zone_price: lines.get("prices.cross_zone", defaults.cross_zone_price)?,
        live_weights: lines.get("weights", String::new())? == "live",
        discovery,
        cold_capacity: lines.get("obligations.cold_from", defaults.cold_capacity)?,
        warm_up: lines.micros("obligations.warm_up_us", defaults.warm_up)?,
        overload_factor: lines.get("obligations.fall_multiple", defaults.overload_factor)?,
        timer_resolution: lines.micros("step_us", defaults.timer_resolution)?,
        max_retry_after: match lines.flag("allowed.retry_after", false)? {
            true => lines.micros("allowed.max_retry_after_us", defaults.max_retry_after)?,
            false => 0,
        },
        labels: defaults.labels,
        min_pool_size: defaults.min_pool_size,
    })
}

/// Encodes the actions of a reply.
#[derive(Default)]
pub struct Reply {
    count: u32,
    body: Vec<u8>,
    current_node: Option<u16>,
}

impl Reply {
    /// Clears the reply for the next batch.
    pub fn clear(&mut self) {
        self.count = 0;
        self.body.clear();
        self.current_node = None;
    }

    fn record(&mut self, code: u16) -> &mut Vec<u8> {
        self.count += 1;
        self.body.extend(code.to_le_bytes());
        &mut self.body
    }

    /// Appends an action of a node.
    pub fn action(&mut self, node: u16, action: Action) {
        if self.current_node != Some(node) {
            self.current_node = Some(node);
            self.record(13).extend(node.to_le_bytes());
        }
        let as_u32 = |us: Micros| u32::try_from(us).unwrap_or(u32::MAX).to_le_bytes();
        match action {
            Action::Send { request, server, .. } => {
                let out = self.record(1);
                out.extend(request.to_le_bytes());
                out.extend(((server >> 16) as u32).to_be_bytes());
                out.extend((server as u16).to_le_bytes());
                out.extend([0; 4]);
            }
            Action::Refuse { request, retry_after } => {
                let out = self.record(2);
                out.extend(request.to_le_bytes());
                out.extend(as_u32(retry_after));
            }
            Action::Fail(request) => self.record(3).extend(request.to_le_bytes()),
            Action::Cancel(request, attempt) => {
                let out = self.record(4);
                out.extend(request.to_le_bytes());
                out.extend(attempt.to_le_bytes());
            }
            Action::SetTimer { after, token } => {
                let out = self.record(5);
                out.extend(as_u32(after));
                out.extend(token.to_le_bytes());
            }
            Action::Subscribe => self.record(11).push(1),
        }
    }

    /// The complete frame of the reply to the batch with this number.
    pub fn frame(&self, number: u32) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.body.len() + 12);
        out.extend(self.count.to_le_bytes());
        out.extend((self.body.len() as u32 + 4).to_le_bytes());
        out.extend(number.to_le_bytes());
        out.extend(&self.body);
        out
    }
}
