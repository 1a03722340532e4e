//! What a request must look like, and what of it the decision module is told.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cherryusher::RequestId;
use dunelink_edge::fields::{COST, DEADLINE, ID, KEY, OWNER, only};
use dunelink_edge::request::{self, Hosting};
use dunelink_edge::target::Target;
use http::header::{self, HeaderMap, HeaderValue};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{Method, StatusCode};
use tokio::time::Instant;

use crate::config::{Config, Effect, IfAbsent, Intake as Rules, MAX_DEADLINE};
use crate::error::InvalidRequest;
use crate::payload::Payload;
use crate::types::Outgoing;

/// The most bytes of headers, as they stand on the wire: what a server's connection buffers.
const HEADERS_MOST: usize = 32 * 1024;
/// How many parts the open ids are kept in.
const ID_PARTS: usize = 16;
/// The longest id.
pub(crate) const ID_MOST: usize = 128;
/// The host that a server is asked by, where the request names none.
const HOST: &str = "origin.svc";
/// A deadline counts from the client's sending; this much of it has passed when the request is read, and
/// passes again before the answer is back.
const TRANSIT: Duration = Duration::from_millis(3);

/// What a host says of a request in its extensions, ahead of what path and headers say.
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

    /// The request's class; without it, the first part of the path.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub struct Class(pub Cow<'static, str>);

    impl Class {
        /// A class of this name.
        pub fn new(name: impl Into<Cow<'static, str>>) -> Class {
            Class(name.into())
        }
    }

    /// The request's tenant; without it, what `Req-Owner` says. One that the configuration does not know
    /// counts as none.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub struct Tenant(pub Cow<'static, str>);

    impl Tenant {
        /// A tenant of this name.
        pub fn new(name: impl Into<Cow<'static, str>>) -> Tenant {
            Tenant(name.into())
        }
    }

    /// When no answer is of use any more; without it, `Req-Deadline` (seconds from now), else the class's
    /// deadline. A later one than the class allows is cut.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub struct Deadline(pub Instant);

    impl Deadline {
        /// This long from now.
        pub fn after(wait: Duration) -> Deadline {
            let now = Instant::now();
            Deadline(now.checked_add(wait.min(super::MAX_DEADLINE)).unwrap_or(now))
        }
    }

    /// The request's id, 1 to 128 graphic ASCII characters; without it, `Req-Id`, else a new one. Servers and
    /// logs tell requests apart by it, so that no two open ones may share it.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub struct Id(pub String);

    /// When the request's last byte came, where it has waited since: a client's patience begins then, and not when
    /// its turn has come. Without it, that is when the call has read it.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub struct ReceivedAt(pub Instant);

    /// A guess at the work; without it, `Req-Cost` (microseconds).
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub struct ExpectedWork(pub Duration);
}

/// What a class of requests looks like on the wire.
#[derive(Clone, Copy)]
struct ClassRule {
    index: usize,
    effect: Effect,
    deadline: Duration,
}

/// Checks requests, and keeps the ids of all open ones: servers and logs tell requests apart by them.
pub(crate) struct Intake {
    /// The numbers of classes.
    classes: HashMap<String, usize>,
    class_rules: Vec<ClassRule>,
    tenants: HashMap<String, u32>,
    rules: Rules,
    /// In parts, as shards share them.
    ids: [Mutex<HashSet<Box<str>>>; ID_PARTS],
}

/// What a request's head says, whatever its class is.
#[derive(Clone)]
pub(crate) struct Basics {
    pub(crate) id: Option<Box<str>>,
    /// When it came.
    came: Instant,
    /// How long its client waits, if it says so.
    patience: Option<Duration>,
    tenant: Option<u32>,
    expected_work: Option<u64>,
}

/// What was found in a request's head.
pub(crate) struct Head {
    class: ClassRule,
    pub(crate) id: Option<Box<str>>,
    pub(crate) deadline: Instant,
    patience: Duration,
    tenant: Option<u32>,
    expected_work: Option<u64>,
    key: Option<u64>,
}

const fn bad(reason: &'static str) -> InvalidRequest {
    InvalidRequest::new(StatusCode::BAD_REQUEST, reason)
}

impl Intake {
    pub(crate) fn new(config: &Config) -> Intake {
        let rule = |(index, class): (usize, &crate::config::Class)| {
            let deadline = class.deadline.min(MAX_DEADLINE);
            ClassRule { index, effect: class.effect, deadline }
        };
        let number = |(index, class): (usize, &crate::config::Class)| (class.name.clone(), index);
        Intake {
            classes: config.classes.iter().enumerate().map(number).collect(),
            class_rules: config.classes.iter().enumerate().map(rule).collect(),
            tenants: (0..).zip(&config.tenants).map(|(index, t)| (t.name.clone(), index)).collect(),
            rules: config.intake,
            ids: Default::default(),
        }
    }

    /// Reads a request's target, and the fields that could give it another meaning.
    pub(crate) fn target<'a>(&self, parts: &'a Parts) -> Result<Target<'a>, InvalidRequest> {
        let headers = &parts.headers;
        let size = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum::<usize>();
        if size > HEADERS_MOST {
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return Err(InvalidRequest::new(status, "the headers are over 32 KiB"));
        }
        let hosting = match self.rules.host {
            IfAbsent::Refuse => Hosting::Wire,
            IfAbsent::Default => Hosting::Program,
        };
        Ok(request::read(parts, hosting)?)
    }

    /// Reads what a request's head says beside its target. Extensions go before headers.
    pub(crate) fn basics(&self, parts: &Parts, came: Instant) -> Result<Basics, InvalidRequest> {
        let (headers, ext) = (&parts.headers, &parts.extensions);
        let id = match ext.get::<ext::Id>() {
            Some(id) => Some(&*id.0),
            None if headers.contains_key(&ID) || self.rules.id == IfAbsent::Refuse => {
                Some(only(headers, &ID).ok_or(bad("Req-Id is missing or unreadable"))?)
            }
            None => None,
        };
        let readable =
            |id: &str| !id.is_empty() && id.len() <= ID_MOST && id.bytes().all(|b| b.is_ascii_graphic());
        if !id.is_none_or(readable) {
            return Err(bad("Req-Id is unreadable"));
        }
        let patience = match ext.get::<ext::Deadline>() {
            Some(at) => Some(at.0.saturating_duration_since(came.into_std())),
            None if headers.contains_key(&DEADLINE) || self.rules.deadline == IfAbsent::Refuse => {
                let stated = only(headers, &DEADLINE).and_then(seconds);
                Some(stated.ok_or(bad("Req-Deadline is missing or unreadable"))?.saturating_sub(TRANSIT))
            }
            None => None,
        };
        let tenant = match ext.get::<ext::Tenant>() {
            Some(tenant) => Some(&*tenant.0),
            None => only(headers, &OWNER),
        };
        let expected_work = match ext.get::<ext::ExpectedWork>() {
            Some(work) => u64::try_from(work.0.as_micros()).ok(),
            None => only(headers, &COST).and_then(|us| us.parse::<f64>().ok()).map(|us| us as u64),
        };
        Ok(Basics {
            id: id.map(Box::from),
            came,
            patience,
            tenant: tenant.and_then(|name| self.tenants.get(name)).copied(),
            expected_work: expected_work.filter(|us| *us > 0),
        })
    }

    /// Reads a request's head. Extensions go before headers and path.
    pub(crate) fn head(&self, parts: &Parts, came: Instant) -> Result<Head, InvalidRequest> {
        let target = self.target(parts)?;
        let named = match parts.extensions.get::<ext::Class>() {
            // The host may have found it in any part of the path.
            Some(class) => target.plain().map(|()| &*class.0)?,
            None => target.class(),
        };
        let Some(class) = self.classes.get(named).map(|class| self.class_rules[*class]) else {
            return Err(InvalidRequest::new(StatusCode::NOT_FOUND, "no such class"));
        };
        let basics = self.basics(parts, came)?;
        method_fits(&class, &parts.method, &parts.headers)?;
        let key = target.key().map(|part| xxhash_rust::xxh3::xxh3_64(part.as_bytes()));
        Ok(Head { key, ..basics.of(class) })
    }

    /// The head of a request whose class was found elsewhere, by its number. `work` stands in where the client says
    /// nothing of it.
    pub(crate) fn head_of(&self, class: usize, mut basics: Basics, work: Option<Duration>) -> Head {
        let work = work.and_then(|work| u64::try_from(work.as_micros()).ok());
        basics.expected_work = basics.expected_work.or(work);
        basics.of(self.class_rules[class])
    }

    fn ids(&self, id: &str) -> MutexGuard<'_, HashSet<Box<str>>> {
        let part = xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as usize % ID_PARTS;
        self.ids[part].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the request's id, or makes one, for as long as the request is open.
    pub(crate) fn claim(
        self: &Arc<Self>,
        id: Option<&str>,
        number: RequestId,
    ) -> Result<Claimed, InvalidRequest> {
        let id = id.map_or_else(|| format!("{number:016x}").into(), Box::from);
        let new = self.ids(&id).insert(id.clone());
        match new {
            true => Ok(Claimed { id, intake: self.clone() }),
            false => {
                let reason = "another open request has this Req-Id";
                Err(InvalidRequest::new(StatusCode::CONFLICT, reason))
            }
        }
    }
}

/// The id of an open request, free again once it is answered or its client has left.
pub(crate) struct Claimed {
    id: Box<str>,
    intake: Arc<Intake>,
}

impl Claimed {
    pub(crate) fn id(&self) -> &str {
        &self.id
    }
}

impl Drop for Claimed {
    fn drop(&mut self) {
        self.intake.ids(&self.id).remove(&self.id);
    }
}

impl Basics {
    /// When a client gives up at the latest, if no class says less.
    pub(crate) fn by(&self, longest: Duration) -> Instant {
        self.came + self.patience.unwrap_or(longest).min(longest)
    }

    fn of(self, class: ClassRule) -> Head {
        // No client waits longer than its class allows; this also bounds all that is done for it.
        let patience = self.patience.unwrap_or(class.deadline);
        let patience = patience.min(class.deadline.saturating_sub(TRANSIT));
        Head {
            class,
            id: self.id,
            deadline: self.came + patience,
            patience,
            tenant: self.tenant,
            expected_work: self.expected_work,
            key: None,
        }
    }
}

impl Head {
    /// How long its client waits, from its last byte on.
    pub(crate) fn patience(&self) -> Duration {
        self.patience
    }

    /// Its client's patience begins.
    pub(crate) fn begin(&mut self, now: Instant) {
        self.deadline = now + self.patience;
    }

    /// The number of its class.
    pub(crate) fn class(&self) -> usize {
        self.class.index
    }

    /// What the decision module is told.
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

    /// What goes on to servers.
    pub(crate) fn outgoing(
        &self,
        mut parts: Parts,
        body: Payload,
        claimed: &Claimed,
    ) -> Result<Outgoing, InvalidRequest> {
        if parts.method == Method::GET && body.length() != Some(0) {
            return Err(bad("a GET has no body"));
        }
        let target = parts.uri.path_and_query().cloned().unwrap_or(PathAndQuery::from_static("/"));
        request::onward(&mut parts, HOST);
        let mut headers = parts.headers;
        headers.remove(DEADLINE);
        // Without a length it goes on in chunks.
        if let Some(length) = body.length().filter(|_| parts.method == Method::POST) {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
        }
        if !headers.contains_key(&ID) || self.id.as_deref() != only(&headers, &ID) {
            let id = HeaderValue::from_str(&claimed.id).map_err(|_| bad("Req-Id is unreadable"))?;
            headers.insert(ID, id);
        }
        let once = self.class.effect == Effect::Unsafe;
        Ok(Outgoing::new((parts.method, target, headers), body, self.deadline, once))
    }
}

/// A time in seconds, with decimals; one below 0 is past.
fn seconds(text: &str) -> Option<Duration> {
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.' || b == b'-' || b == b'+');
    let value: f64 = text.parse().ok().filter(|_| plain)?;
    Some(Duration::try_from_secs_f64(value.max(0.0)).unwrap_or(Duration::MAX))
}

/// The method follows from the class.
fn method_fits(class: &ClassRule, method: &Method, headers: &HeaderMap) -> Result<(), InvalidRequest> {
    let right = if class.effect == Effect::Safe { "GET" } else { "POST" };
    if method.as_str() != right {
        let invalid = InvalidRequest::new(StatusCode::METHOD_NOT_ALLOWED, "not the method of this class");
        return Err(InvalidRequest { allow: Some(right), ..invalid });
    }
    match class.effect {
        Effect::Keyed if request::key(headers).is_none() => Err(bad("Idempotency-Key is missing")),
        Effect::Unsafe if headers.contains_key(KEY) => Err(bad("this class has no Idempotency-Key")),
        _ => Ok(()),
    }
}
