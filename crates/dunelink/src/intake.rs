//! Checks incoming requests and extracts what the decision module needs from them.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cherryusher::RequestId;
use dunelink_edge::fields::{COST, DEADLINE, ID, KEY, OWNER, single_text_value};
use dunelink_edge::request::{self, HostRequirement};
use dunelink_edge::target::Target;
use http::header::{self, HeaderMap, HeaderValue};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{Method, StatusCode};
use tokio::time::Instant;

use crate::config::{Config, Effect, IfAbsent, Intake as IntakeRules, MAX_DEADLINE};
use crate::error::InvalidRequest;
use crate::payload::Payload;
use crate::types::Outgoing;

/// The maximum size of the headers as written on the wire, which is what a connection to a server buffers.
const MAX_HEADERS_BYTES: usize = 32 * 1024;
/// The number of shards of the set of open ids, each with its own lock.
const ID_SHARDS: usize = 16;
/// The maximum length of a request id.
pub(crate) const MAX_ID_BYTES: usize = 128;
/// The `Host` header sent to servers where the request names none.
const DEFAULT_HOST: &str = "origin.svc";
/// A client's deadline counts from its sending the request; this much of it has passed when the request is
/// read, and passes again before the answer is back.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(3);

/// Request extensions that a host may set. They take precedence over the path and headers.
///
/// ```
/// use dunelink::ext::{Class, Tenant};
///
/// let mut request = http::Request::get("/portal/payslips/7").body(())?;
/// request.extensions_mut().insert(Class::new("payslip-view"));
/// request.extensions_mut().insert(Tenant::new("hakodate-keiri"));
/// # Ok::<(), http::Error>(())
/// ```
pub mod ext {
    use std::borrow::Cow;
    use std::time::{Duration, Instant};

    /// The request's class; without it, the first segment of the path.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub struct Class(pub Cow<'static, str>);

    impl Class {
        /// A class with this name.
        pub fn new(name: impl Into<Cow<'static, str>>) -> Class {
            Class(name.into())
        }
    }

    /// The request's tenant; without it, the value of `Req-Owner`. A tenant that is not in the configuration
    /// counts as none.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub struct Tenant(pub Cow<'static, str>);

    impl Tenant {
        /// A tenant with this name.
        pub fn new(name: impl Into<Cow<'static, str>>) -> Tenant {
            Tenant(name.into())
        }
    }

    /// The request's deadline; without it, `Req-Deadline` (seconds from now), else the deadline of the class,
    /// which is also the upper limit.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub struct Deadline(pub Instant);

    impl Deadline {
        /// A deadline this long from now.
        pub fn after(wait: Duration) -> Deadline {
            let now = Instant::now();
            Deadline(now.checked_add(wait.min(super::MAX_DEADLINE)).unwrap_or(now))
        }
    }

    /// The request's id, 1 to 128 graphic ASCII characters; without it, `Req-Id`, else a generated one.
    /// Servers and logs identify requests by it, so no two open requests may share an id.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub struct Id(pub String);

    /// When the host received the request's last byte, for a request that has been queued since: the client's
    /// timeout starts then. Without it, that is when the call has read the body.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub struct ReceivedAt(pub Instant);

    /// The estimated work of the request; without it, `Req-Cost` (microseconds).
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub struct ExpectedWork(pub Duration);
}

/// What the checks need to know of a class.
#[derive(Clone, Copy)]
struct ClassRule {
    index: usize,
    effect: Effect,
    deadline: Duration,
}

/// Checks requests and keeps the ids of all open ones, by which servers and logs identify them.
pub(crate) struct Intake {
    /// The index of each class, by name.
    classes: HashMap<String, usize>,
    class_rules: Vec<ClassRule>,
    tenants: HashMap<String, u32>,
    rules: IntakeRules,
    /// The ids of open requests, sharded because all engines share them.
    ids: [Mutex<HashSet<Box<str>>>; ID_SHARDS],
}

/// The parts of a request's head that do not depend on its class.
#[derive(Clone)]
pub(crate) struct CommonHead {
    pub(crate) id: Option<Box<str>>,
    /// When the request was received.
    received_at: Instant,
    /// How long its client waits; `None` if it does not say.
    client_timeout: Option<Duration>,
    tenant: Option<u32>,
    expected_work: Option<u64>,
}

/// A checked request head.
pub(crate) struct Head {
    class: ClassRule,
    pub(crate) id: Option<Box<str>>,
    pub(crate) deadline: Instant,
    client_timeout: Duration,
    tenant: Option<u32>,
    expected_work: Option<u64>,
    key: Option<u64>,
}

const fn bad_request(reason: &'static str) -> InvalidRequest {
    InvalidRequest::new(StatusCode::BAD_REQUEST, reason)
}

impl Intake {
    pub(crate) fn new(config: &Config) -> Intake {
        let rule = |(index, class): (usize, &crate::config::Class)| {
            let deadline = class.deadline.min(MAX_DEADLINE);
            ClassRule { index, effect: class.effect, deadline }
        };
        let indexed_name = |(index, class): (usize, &crate::config::Class)| (class.name.clone(), index);
        Intake {
            classes: config.classes.iter().enumerate().map(indexed_name).collect(),
            class_rules: config.classes.iter().enumerate().map(rule).collect(),
            tenants: (0..).zip(&config.tenants).map(|(index, t)| (t.name.clone(), index)).collect(),
            rules: config.intake,
            ids: Default::default(),
        }
    }

    /// Reads a request's target, and checks the header fields that could change its meaning.
    pub(crate) fn target<'a>(&self, parts: &'a Parts) -> Result<Target<'a>, InvalidRequest> {
        let headers = &parts.headers;
        let size = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum::<usize>();
        if size > MAX_HEADERS_BYTES {
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return Err(InvalidRequest::new(status, "the headers are over 32 KiB"));
        }
        let hosting = match self.rules.host {
            IfAbsent::Refuse => HostRequirement::Required,
            IfAbsent::Default => HostRequirement::Optional,
        };
        Ok(request::validate_head(parts, hosting)?)
    }

    /// Reads the parts of a request's head that do not depend on its class, except for its target. Extensions
    /// take precedence over headers.
    pub(crate) fn common_head(
        &self,
        parts: &Parts,
        received_at: Instant,
    ) -> Result<CommonHead, InvalidRequest> {
        let (headers, ext) = (&parts.headers, &parts.extensions);
        let id = match ext.get::<ext::Id>() {
            Some(id) => Some(&*id.0),
            None if headers.contains_key(&ID) || self.rules.id == IfAbsent::Refuse => {
                Some(single_text_value(headers, &ID).ok_or(bad_request("Req-Id is missing or unreadable"))?)
            }
            None => None,
        };
        let is_valid =
            |id: &str| !id.is_empty() && id.len() <= MAX_ID_BYTES && id.bytes().all(|b| b.is_ascii_graphic());
        if !id.is_none_or(is_valid) {
            return Err(bad_request("Req-Id is unreadable"));
        }
        let client_timeout = match ext.get::<ext::Deadline>() {
            Some(at) => Some(at.0.saturating_duration_since(received_at.into_std())),
            None if headers.contains_key(&DEADLINE) || self.rules.deadline == IfAbsent::Refuse => {
                let timeout = single_text_value(headers, &DEADLINE).and_then(parse_seconds);
                Some(
                    timeout
                        .ok_or(bad_request("Req-Deadline is missing or unreadable"))?
                        .saturating_sub(TRANSIT_ALLOWANCE),
                )
            }
            None => None,
        };
        let tenant = match ext.get::<ext::Tenant>() {
            Some(tenant) => Some(&*tenant.0),
            None => single_text_value(headers, &OWNER),
        };
        let expected_work = match ext.get::<ext::ExpectedWork>() {
            Some(work) => u64::try_from(work.0.as_micros()).ok(),
            None => {
                single_text_value(headers, &COST).and_then(|us| us.parse::<f64>().ok()).map(|us| us as u64)
            }
        };
        Ok(CommonHead {
            id: id.map(Box::from),
            received_at,
            client_timeout,
            tenant: tenant.and_then(|name| self.tenants.get(name)).copied(),
            expected_work: expected_work.filter(|us| *us > 0),
        })
    }

    /// Reads a request's head. Extensions take precedence over headers and path.
    pub(crate) fn head(&self, parts: &Parts, received_at: Instant) -> Result<Head, InvalidRequest> {
        let target = self.target(parts)?;
        let class_name = match parts.extensions.get::<ext::Class>() {
            // The host may have derived the class from any part of the path, so all of the path must be
            // unambiguous.
            Some(class) => target.check_every_segment().map(|()| &*class.0)?,
            None => target.class(),
        };
        let Some(class) = self.classes.get(class_name).map(|class| self.class_rules[*class]) else {
            return Err(InvalidRequest::new(StatusCode::NOT_FOUND, "no such class"));
        };
        let common = self.common_head(parts, received_at)?;
        check_method(&class, &parts.method, &parts.headers)?;
        let key = target.last_segment().map(|part| xxhash_rust::xxh3::xxh3_64(part.as_bytes()));
        Ok(Head { key, ..common.for_class(class) })
    }

    /// The head of a request whose class, given by index, was determined elsewhere. `work` is the estimate
    /// where the client gives none.
    pub(crate) fn head_for_class(
        &self,
        class: usize,
        mut common: CommonHead,
        work: Option<Duration>,
    ) -> Head {
        let work = work.and_then(|work| u64::try_from(work.as_micros()).ok());
        common.expected_work = common.expected_work.or(work);
        common.for_class(self.class_rules[class])
    }

    fn lock_ids(&self, id: &str) -> MutexGuard<'_, HashSet<Box<str>>> {
        let shard = xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as usize % ID_SHARDS;
        self.ids[shard].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves the request's id, or one generated from `number`, for as long as the request is open.
    pub(crate) fn claim(
        self: &Arc<Self>,
        id: Option<&str>,
        number: RequestId,
    ) -> Result<IdClaim, InvalidRequest> {
        let id = id.map_or_else(|| format!("{number:016x}").into(), Box::from);
        let inserted = self.lock_ids(&id).insert(id.clone());
        match inserted {
            true => Ok(IdClaim { id, intake: self.clone() }),
            false => {
                let reason = "another open request has this Req-Id";
                Err(InvalidRequest::new(StatusCode::CONFLICT, reason))
            }
        }
    }
}

/// The reserved id of an open request, released on drop.
pub(crate) struct IdClaim {
    id: Box<str>,
    intake: Arc<Intake>,
}

impl IdClaim {
    pub(crate) fn id(&self) -> &str {
        &self.id
    }
}

impl Drop for IdClaim {
    fn drop(&mut self) {
        self.intake.lock_ids(&self.id).remove(&self.id);
    }
}

impl CommonHead {
    /// The latest time until which a client waits, if no class limits it further.
    pub(crate) fn latest_deadline(&self, max_timeout: Duration) -> Instant {
        self.received_at + self.client_timeout.unwrap_or(max_timeout).min(max_timeout)
    }

    fn for_class(self, class: ClassRule) -> Head {
        // The class's deadline limits the client's timeout, and with it everything that is done for the
        // request.
        let client_timeout = self.client_timeout.unwrap_or(class.deadline);
        let client_timeout = client_timeout.min(class.deadline.saturating_sub(TRANSIT_ALLOWANCE));
        Head {
            class,
            id: self.id,
            deadline: self.received_at + client_timeout,
            client_timeout,
            tenant: self.tenant,
            expected_work: self.expected_work,
            key: None,
        }
    }
}

impl Head {
    /// How long its client waits, from the last byte of the request on.
    pub(crate) fn client_timeout(&self) -> Duration {
        self.client_timeout
    }

    /// Starts the client's timeout at `now`.
    pub(crate) fn restart_deadline(&mut self, now: Instant) {
        self.deadline = now + self.client_timeout;
    }

    /// The index of its class.
    pub(crate) fn class_index(&self) -> usize {
        self.class.index
    }

    /// The request as the decision module sees it.
    pub(crate) fn request(&self, id: RequestId) -> cherryusher::Request {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        cherryusher::Request {
            id,
            class: self.class.index,
            remaining: remaining.as_micros() as u64,
            expected_work: self.expected_work,
            key: self.key,
            tenant: self.tenant,
        }
    }

    /// The request as it is sent to servers.
    pub(crate) fn outgoing(
        &self,
        mut parts: Parts,
        body: Payload,
        id_claim: &IdClaim,
    ) -> Result<Outgoing, InvalidRequest> {
        if parts.method == Method::GET && body.length() != Some(0) {
            return Err(bad_request("a GET has no body"));
        }
        let target = parts.uri.path_and_query().cloned().unwrap_or(PathAndQuery::from_static("/"));
        request::prepare_for_forwarding(&mut parts, DEFAULT_HOST);
        let mut headers = parts.headers;
        headers.remove(DEADLINE);
        // Without a length, the body is sent in chunks.
        if let Some(length) = body.length().filter(|_| parts.method == Method::POST) {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
        }
        if !headers.contains_key(&ID) || self.id.as_deref() != single_text_value(&headers, &ID) {
            let id = HeaderValue::from_str(&id_claim.id).map_err(|_| bad_request("Req-Id is unreadable"))?;
            headers.insert(ID, id);
        }
        let at_most_once = self.class.effect == Effect::Unsafe;
        Ok(Outgoing::new((parts.method, target, headers), body, self.deadline, at_most_once))
    }
}

/// Parses a time in seconds, with decimals; a negative one counts as 0.
fn parse_seconds(text: &str) -> Option<Duration> {
    let only_number_chars = text.bytes().all(|b| b.is_ascii_digit() || b == b'.' || b == b'-' || b == b'+');
    let value: f64 = text.parse().ok().filter(|_| only_number_chars)?;
    Some(Duration::try_from_secs_f64(value.max(0.0)).unwrap_or(Duration::MAX))
}

/// Checks that the method and the idempotency key fit the class.
fn check_method(class: &ClassRule, method: &Method, headers: &HeaderMap) -> Result<(), InvalidRequest> {
    let expected = if class.effect == Effect::Safe { "GET" } else { "POST" };
    if method.as_str() != expected {
        let invalid = InvalidRequest::new(StatusCode::METHOD_NOT_ALLOWED, "not the method of this class");
        return Err(InvalidRequest { allow: Some(expected), ..invalid });
    }
    match class.effect {
        Effect::Keyed if request::key(headers).is_none() => Err(bad_request("Idempotency-Key is missing")),
        Effect::Unsafe if headers.contains_key(KEY) => Err(bad_request("this class has no Idempotency-Key")),
        _ => Ok(()),
    }
}
