//! The interface of the decision module: settings, events and actions.
//!
//! All times are whole microseconds of the node's own clock, which never runs backwards.

use std::fmt;

/// A point in time, or a duration, in microseconds.
pub type Micros = u64;
/// Identifies a request; never reused for another one.
pub type RequestId = u64;
/// Identifies a server; the same at every node and after a restart of the server.
pub type ServerId = u64;
/// The index of an attempt within its request, from 0, in the order of sending.
pub type AttemptNo = u16;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run any number of times.
    Idempotent,
    /// The servers of one scope drop repeats for `window` after the first attempt was sent.
    Deduplicated {
        /// The servers that share their record of requests.
        scope: DedupScope,
        /// How long they keep that record.
        window: Micros,
    },
    /// The request must never run twice.
    NonIdempotent,
}

/// The servers among which repeats of a request are recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// A response within this time has the full value.
    pub target_latency: Micros,
    /// The time that is added to the target latency per unit of expected work, up to the deadline.
    pub target_latency_per_work: f64,
    /// How long clients wait in total.
    pub deadline: Micros,
    /// The value of a response within the target latency, relative to other classes.
    pub value: f64,
    /// The part of the value that a later response has.
    pub late_value_fraction: f64,
    /// Whether a request may be repeated.
    pub idempotency: Idempotency,
}

/// A tenant with its quota and its share of the servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The quota in requests per second, over all nodes.
    pub quota_per_s: f64,
    /// The part of all servers that is reserved for the tenant.
    pub share: f64,
}

/// How the server list reaches the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes arrive without a subscription.
    Pushed,
    /// Changes arrive after [`Action::Subscribe`].
    Subscribed {
        /// The longest time between two calls while there is no subscription.
        max_retry_interval: Micros,
    },
}

/// The settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The number of nodes that share the work.
    pub balancers: u32,
    /// This node's number among them, from 0.
    pub rank: u32,
    /// The zone this node is in.
    pub zone: u8,
    /// The classes of requests; at least one.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The factor on the value of requests beyond their tenant's quota.
    pub over_quota_value: f64,
    /// The maximum number of attempts per request.
    pub max_attempts: u16,
    /// Whether attempts may be cancelled.
    pub cancelling: bool,
    /// Whether a second attempt may be sent while the first is in flight.
    pub hedging: bool,
    /// Whether a request is cheaper on a server that recently processed another one with the same key.
    pub key_affinity: bool,
    /// The cost of sending a request to another zone, as a part of the value of all requests.
    pub cross_zone_price: f64,
    /// Whether the weights in the server list shrink under load, instead of stating the size alone.
    pub live_weights: bool,
    /// How the server list reaches the node.
    pub discovery: Discovery,
    /// The part of its full capacity that a server has at least when it starts; above 0, at most 1.
    pub cold_capacity: f64,
    /// The longest time that a server takes to reach its full capacity.
    pub warm_up: Micros,
    /// A cold server fails if it is sent this multiple of its current capacity.
    pub overload_factor: f64,
    /// The longest time between two readings of the clock, and so the precision of timers.
    pub timer_resolution: Micros,
    /// The longest `retry_after` that refused clients respect; 0 if they respect none.
    pub max_retry_after: Micros,
    /// The number of labels that tenants are hashed to, at least one. Fewer labels mean larger pools.
    pub labels: u16,
    /// The minimum size of a label's pool while there are enough servers; at least 4.
    pub min_pool_size: u16,
}

/// Why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

/// A single node with pushed discovery, one attempt per request, neither cancelling nor hedging, and no class
/// yet.
impl Default for Settings {
    fn default() -> Settings {
        Settings {
            balancers: 1,
            rank: 0,
            zone: 0,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_value: 1.0,
            max_attempts: 1,
            cancelling: false,
            hedging: false,
            key_affinity: false,
            cross_zone_price: 0.0,
            live_weights: false,
            discovery: Discovery::Pushed,
            cold_capacity: 0.1,
            warm_up: 30_000_000,
            overload_factor: 2.0,
            timer_resolution: 5_000,
            max_retry_after: 0,
            labels: 2,
            min_pool_size: 4,
        }
    }
}

impl Settings {
    /// Checks each setting, and the settings against each other.
    pub fn check(&self) -> Result<(), SettingsError> {
        let non_negative = |x: f64| x.is_finite() && x >= 0.0;
        let rules: [(bool, &'static str); 11] = [
            (self.labels > 0, "there are no labels"),
            (self.min_pool_size >= 4, "a pool has fewer than four servers"),
            (!self.classes.is_empty(), "there are no request classes"),
            (self.balancers > 0, "there are no balancers"),
            (self.rank < self.balancers, "the rank is not below the number of balancers"),
            (self.max_attempts > 0, "no attempt is allowed"),
            (
                self.cold_capacity > 0.0 && self.cold_capacity <= 1.0,
                "the cold capacity is not above 0 and at most 1",
            ),
            (non_negative(self.overload_factor), "the overload factor is negative or not finite"),
            (
                non_negative(self.over_quota_value) && non_negative(self.cross_zone_price),
                "the over-quota value or the cross-zone price is negative or not finite",
            ),
            (
                self.tenants.iter().all(|t| non_negative(t.quota_per_s) && non_negative(t.share)),
                "a tenant's quota or share is negative or not finite",
            ),
            (
                self.classes.iter().all(|c| {
                    c.target_latency > 0
                        && c.deadline > 0
                        && non_negative(c.value)
                        && non_negative(c.late_value_fraction)
                        && non_negative(c.target_latency_per_work)
                }),
                "a class has no target latency, no deadline, or a value that is negative or not finite",
            ),
        ];
        rules.iter().find(|(valid, _)| !valid).map_or(Ok(()), |(_, why)| Err(SettingsError(why)))
    }
}

/// The state of a server, by the server list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// The server takes requests.
    Ready,
    /// The server finishes the requests it has; it gets no new ones.
    Draining,
    /// The server does not exist any more.
    #[default]
    Gone,
}

/// An entry of the server list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerEntry {
    /// The server's id.
    pub id: ServerId,
    /// The server's state.
    pub state: ServerState,
    /// When the server last started; 0 if that is long ago.
    pub ready_at: Micros,
    /// The server's zone.
    pub zone: u8,
    /// The server's cell: the servers that recognize each other's repeats under [`DedupScope::Cell`].
    pub cell: u16,
    /// The server's size relative to other servers, a finite number; 0 if unknown.
    pub weight: f64,
    /// The kind of machine. Servers of one kind have the same size.
    pub kind: u8,
}

/// A request that has arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// The request's id.
    pub id: RequestId,
    /// The index of the class in [`Settings::classes`].
    pub class: usize,
    /// The time until the client gives up.
    pub remaining: Micros,
    /// The time that a server is expected to work on the request, if known.
    pub expected_work: Option<Micros>,
    /// A key that related requests share, if any.
    pub key: Option<u64>,
    /// The index of the tenant in [`Settings::tenants`], if there is one.
    pub tenant: Option<u32>,
}

/// How long the body of a streamed request may take to arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Upload {
    /// The expected time until the last byte.
    pub expected_duration: Micros,
    /// The longest time until the last byte.
    pub max_duration: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server responded successfully.
    Served,
    /// The server responded with an error; the attempt may have run.
    Error,
    /// The server rejected the attempt before it ran.
    Rejected,
    /// There was no response in time; the attempt may have run, or may still be running.
    TimedOut,
    /// No connection could be opened; the attempt did not run.
    ConnectFailed,
    /// The connection broke; the attempt may have run.
    Reset,
    /// The attempt was cancelled; it may have run.
    Cancelled,
    /// The attempt was never sent, so that it did not run.
    NotSent,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// The index of the attempt.
    pub attempt: AttemptNo,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The time since the attempt was sent, or since the last byte of a streamed request.
    pub elapsed: Micros,
    /// Whether the client has its final answer, so that the request needs no further attempt.
    pub request_finished: bool,
}

/// What a node's own recent requests have shown about a server; it is reported to other nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerObservation {
    /// The server.
    pub server: ServerId,
    /// How likely the server stalls, fails, or is unusually slow, from 0 to 1.
    pub suspicion: f64,
    /// The number of recent responses; 0 if none arrived in the last second.
    pub recent_answers: u32,
    /// The number of requests on which the suspicion is based.
    pub sample_count: u32,
}

/// How strongly other nodes suspect a server, weighted by their number and their credibility.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerSuspicion {
    /// The server.
    pub server: ServerId,
    /// The suspicion, from 0 to 1.
    pub level: f64,
}

/// What has happened at a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The complete server list; a server that it does not contain is gone.
    ServerList(Vec<ServerEntry>),
    /// The complete server list from before the node's start. It may be outdated, and a node with
    /// [`Discovery::Subscribed`] still has to subscribe.
    CachedServerList(Vec<ServerEntry>),
    /// Changed entries of the server list.
    ServerChanges(Vec<ServerEntry>),
    /// A call to discovery failed, or the subscription broke.
    DiscoveryFailed,
    /// A request has arrived and needs one final answer.
    RequestArrived(Request),
    /// A request is arriving whose body is streamed to the server. It has at most one attempt in flight, and
    /// its client's remaining time starts with the last byte: until [`Event::BodyReceived`] the times are
    /// estimates.
    StreamedRequestArrived(Request, Upload),
    /// The last byte of a streamed request has arrived; the duration is the time until the client gives up.
    BodyReceived(RequestId, Micros),
    /// A part of a streamed body is no longer available, so that the request can't be sent again.
    BodyConsumed(RequestId),
    /// The client has left; the request needs no answer any more.
    ClientLeft(RequestId),
    /// A streamed response has started; its attempt is not cancelled from now on.
    ResponseStreamStarted(RequestId, AttemptNo),
    /// An attempt has ended. Each attempt that was sent ends once.
    AttemptEnded(AttemptEnd),
    /// All current suspicions of other nodes. Unless they are repeated they expire.
    PeerSuspicions(Vec<PeerSuspicion>),
    /// The number of nodes that share the work, or this node's rank among them, has changed.
    FleetChanged {
        /// The number of nodes.
        balancers: u32,
        /// This node's rank; it may exceed the number of nodes while some are away.
        rank: u32,
    },
    /// A timer has fired, with the token of its [`Action::SetTimer`].
    TimerFired(u64),
}

/// What the node has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an attempt. It times out when the client gives up.
    Send {
        /// The request.
        request: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// The time before which the first byte has to be sent, if any: an earlier attempt may have run, and
        /// its deduplication window ends then. An attempt that can't start in time ends as
        /// [`Outcome::NotSent`].
        start_before: Option<Micros>,
    },
    /// Final answer: the request is refused, and a repeat is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should wait before a repeat; 0 for no advice.
        retry_after: Micros,
    },
    /// Final answer: the request has failed, and it may have run.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel(RequestId, AttemptNo),
    /// Set a timer that leads to [`Event::TimerFired`].
    SetTimer {
        /// The time from now.
        after: Micros,
        /// The token of the event.
        token: u64,
    },
    /// Subscribe to changes at discovery.
    Subscribe,
}
