//! The binary wire that the adapter speaks: frames of records in, frames of records out.
//!
//! Nothing is decided here. Whatever does not fit the wire's tables is a [`WireError`].

use std::collections::BTreeMap;
use std::fmt;

use cherryusher::*;

/// What was wrong with a frame.
#[derive(Debug, PartialEq, Eq)]
pub struct WireError(pub String);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed input: {}", self.0)
    }
}

impl std::error::Error for WireError {}

fn bad<T>(what: impl Into<String>) -> Result<T, WireError> {
    Err(WireError(what.into()))
}

/// One record of a batch, with list numbers resolved.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// The records that follow are for this node.
    Node(u16),
    /// The node starts, with nothing but these.
    Launch(u64, Box<Settings>),
    /// The node is killed.
    Crash,
    /// Something for the node's decision module.
    Event(Event),
}

/// A decoded batch.
#[derive(Debug, PartialEq)]
pub struct Batch {
    /// The batch's clock.
    pub now: Micros,
    /// The batch's number.
    pub number: u32,
    /// Its records, in order.
    pub records: Vec<Record>,
}

/// Reads fields off the front of a slice.
struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    fn bytes(&mut self, n: usize) -> Result<&'a [u8], WireError> {
        match self.0.split_at_checked(n) {
            Some((head, rest)) => {
                self.0 = rest;
                Ok(head)
            }
            None => bad(format!("{n} bytes announced, {} left in the frame", self.0.len())),
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

    /// A server: four bytes of address, first byte first, and a port.
    fn server(&mut self) -> Result<ServerId, WireError> {
        let address = u32::from_be_bytes(self.array()?);
        Ok(u64::from(address) << 16 | u64::from(self.u16()?))
    }

    fn load_report(&mut self) -> Result<(), WireError> {
        let values = usize::from(self.u8()?);
        self.bytes(values * 4).map(drop)
    }
}

/// Decodes batches; remembers the numbered server lists between them.
#[derive(Default)]
pub struct Decoder {
    lists: [Vec<ServerEntry>; 16],
}

impl Decoder {
    /// Decodes a batch: all of a frame after its length.
    pub fn batch(&mut self, frame: &[u8]) -> Result<Batch, WireError> {
        let mut f = Fields(frame);
        let (now, number) = (f.u64()?, f.u32()?);
        let mut records = Vec::new();
        while !f.0.is_empty() {
            records.extend(self.record(&mut f)?);
        }
        Ok(Batch { now, number, records })
    }

    /// Decodes one record; some carry nothing that a node acts on.
    fn record(&mut self, f: &mut Fields<'_>) -> Result<Option<Record>, WireError> {
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
                    return bad(format!("server list number {number}"));
                };
                *slot = list;
                return Ok(None);
            }
            12 => return Ok(Some(Record::Node(f.u16()?))),
            code => return bad(format!("unknown record code {code}")),
        };
        Ok(Some(Record::Event(event)))
    }

    fn discovery(&self, f: &mut Fields<'_>) -> Result<Event, WireError> {
        let (how, _version, number) = (f.u8()?, f.u64()?, usize::from(f.u8()?));
        if how == 3 {
            return Ok(Event::DiscoveryFailed);
        }
        let Some(list) = self.lists.get(number).cloned() else {
            return bad(format!("server list number {number}"));
        };
        match how {
            0 => Ok(Event::ServerChanges(list)),
            1 => Ok(Event::ServerList(list)),
            2 => Ok(Event::CachedServerList(list)),
            _ => bad(format!("unknown kind of list {how}")),
        }
    }

    fn list(&self, f: &mut Fields<'_>) -> Result<Vec<ServerEntry>, WireError> {
        const ENTRY: usize = 23;
        let count = f.u32()? as usize;
        let Some(size) = count.checked_mul(ENTRY) else {
            return bad("server list too long");
        };
        let mut entries = Fields(f.bytes(size)?);
        let mut list = Vec::with_capacity(count);
        while !entries.0.is_empty() {
            let state = match entries.u8()? {
                0 => ServerState::Gone,
                1 => ServerState::Draining,
                2 => ServerState::Ready,
                other => return bad(format!("unknown server state {other}")),
            };
            let (ready_at, zone, id, cell) =
                (entries.u64()?, entries.u8()?, entries.server()?, entries.u16()?);
            // A weight that is no number says nothing of the size, and must not spoil the mean.
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
        other => return bad(format!("unknown outcome {other}")),
    })
}

/// The settings as path=value lines.
struct Lines<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Lines<'a> {
    fn get<T: std::str::FromStr>(&self, path: &str, absent: T) -> Result<T, WireError> {
        match self.0.get(path) {
            None => Ok(absent),
            Some(text) => match text.parse() {
                Ok(value) => Ok(value),
                Err(_) => bad(format!("setting {path} is '{text}'")),
            },
        }
    }

    /// A boolean that may also be written as a number.
    fn flag(&self, path: &str, absent: bool) -> Result<bool, WireError> {
        match self.0.get(path).copied() {
            Some("1") => Ok(true),
            Some("0") => Ok(false),
            _ => self.get(path, absent),
        }
    }

    /// Time spans are whole numbers, but a fraction does no harm.
    fn micros(&self, path: &str, absent: Micros) -> Result<Micros, WireError> {
        self.get::<f64>(path, absent as f64).map(|us| us as Micros)
    }

    /// How many objects a list holds; each has at least one line of its own.
    fn count(&self, list: &str) -> Result<usize, WireError> {
        let count = self.get(&format!("{list}.count"), 0)?;
        if count > self.0.len() {
            return bad(format!("setting {list}.count is {count}"));
        }
        Ok(count)
    }
}

/// Reads a node's settings. Unknown keys are skipped; an absent one gets its value in [`Settings::default`].
pub fn parse_settings(text: &[u8]) -> Result<Settings, WireError> {
    let Ok(text) = std::str::from_utf8(text) else {
        return bad("settings are not UTF-8");
    };
    let s = Lines(text.lines().filter_map(|line| line.split_once('=')).collect());
    let mut classes = Vec::new();
    for i in 0..s.count("services")? {
        let key = |name: &str| format!("services.{i}.{name}");
        let scope = match s.get(&key("dedup_scope"), "all".to_string())?.as_str() {
            "all" => DedupScope::All,
            "zone" => DedupScope::Zone,
            "cell" => DedupScope::Cell,
            other => return bad(format!("setting {} is '{other}'", key("dedup_scope"))),
        };
        let idempotency = match s.get(&key("idempotency"), "side_effect".to_string())?.as_str() {
            "pure" => Idempotency::Idempotent,
            "token" => Idempotency::Deduplicated { scope, window: s.micros(&key("window_us"), 0)? },
            "side_effect" => Idempotency::NonIdempotent,
            other => return bad(format!("setting {} is '{other}'", key("idempotency"))),
        };
        let deadline = s.micros(&key("deadline_us"), 1_000_000)?;
        classes.push(Class {
            target_latency: s.micros(&key("goal_time_us"), deadline)?,
            target_latency_per_work: s.get(&key("aim_stretch"), 0.0)?,
            deadline,
            value: s.get(&key("points"), 1.0)?,
            late_value_fraction: s.get(&key("late_value"), 0.0)?,
            idempotency,
        });
    }
    let mut tenants = Vec::new();
    for i in 0..s.count("parties")? {
        tenants.push(Tenant {
            quota_per_s: s.get(&format!("parties.{i}.quota_rps"), 0.0)?,
            share: s.get(&format!("parties.{i}.share"), 0.0)?,
        });
    }
    let discovery = match s.get("discovery", "automatic".to_string())?.as_str() {
        "automatic" => Discovery::Pushed,
        "subscribe" => {
            Discovery::Subscribed { max_retry_interval: s.micros("obligations.ask_every_us", 10_000_000)? }
        }
        other => return bad(format!("setting discovery is '{other}'")),
    };
    let d = Settings::default();
    Ok(Settings {
        balancers: s.get("balancers", d.balancers)?,
        rank: s.get("rank", d.rank)?,
        zone: s.get("zone", d.zone)?,
        classes,
        tenants,
        over_quota_value: s.get("over_share_worth", d.over_quota_value)?,
        max_attempts: s.get("allowed.max_attempts", d.max_attempts)?,
        cancelling: s.flag("allowed.cancelling", d.cancelling)?,
        hedging: s.flag("allowed.second_copies", d.hedging)?,
        key_affinity: s.flag("domain.warm_keys", d.key_affinity)?,
        cross_zone_price: s.get("prices.cross_zone", d.cross_zone_price)?,
        live_weights: s.get("weights", String::new())? == "live",
        discovery,
        cold_capacity: s.get("obligations.cold_from", d.cold_capacity)?,
        warm_up: s.micros("obligations.warm_up_us", d.warm_up)?,
        overload_factor: s.get("obligations.fall_multiple", d.overload_factor)?,
        timer_resolution: s.micros("step_us", d.timer_resolution)?,
        max_retry_after: match s.flag("allowed.retry_after", false)? {
            true => s.micros("allowed.max_retry_after_us", d.max_retry_after)?,
            false => 0,
        },
        labels: d.labels,
        min_pool_size: d.min_pool_size,
    })
}

/// Collects the actions of a reply.
#[derive(Default)]
pub struct Reply {
    count: u32,
    body: Vec<u8>,
    from: Option<u16>,
}

impl Reply {
    /// Empties it for the next batch.
    pub fn clear(&mut self) {
        self.count = 0;
        self.body.clear();
        self.from = None;
    }

    fn record(&mut self, code: u16) -> &mut Vec<u8> {
        self.count += 1;
        self.body.extend(code.to_le_bytes());
        &mut self.body
    }

    /// Adds an action of a node.
    pub fn action(&mut self, node: u16, action: Action) {
        if self.from != Some(node) {
            self.from = Some(node);
            self.record(13).extend(node.to_le_bytes());
        }
        let short = |us: Micros| u32::try_from(us).unwrap_or(u32::MAX).to_le_bytes();
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
                out.extend(short(retry_after));
            }
            Action::Fail(request) => self.record(3).extend(request.to_le_bytes()),
            Action::Cancel(request, attempt) => {
                let out = self.record(4);
                out.extend(request.to_le_bytes());
                out.extend(attempt.to_le_bytes());
            }
            Action::SetTimer { after, token } => {
                let out = self.record(5);
                out.extend(short(after));
                out.extend(token.to_le_bytes());
            }
            Action::Subscribe => self.record(11).push(1),
        }
    }

    /// The whole reply to the batch of this number.
    pub fn frame(&self, number: u32) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.body.len() + 12);
        out.extend(self.count.to_le_bytes());
        out.extend((self.body.len() as u32 + 4).to_le_bytes());
        out.extend(number.to_le_bytes());
        out.extend(&self.body);
        out
    }
}
