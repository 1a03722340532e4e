//! The interface of the decision module: what a node tells it and what it answers.
//!
//! All times are whole microseconds on the node's own clock, which only moves forward.

use std::fmt;

/// A point in time, or a span of it, in microseconds.
pub type Micros = u64;
/// Names a request; never used again for another one.
pub type RequestId = u64;
/// Names a server; the same at every node and after the server's restart.
pub type ServerId = u64;
/// The number of an attempt within its request, from 0 in the order sent.
pub type AttemptNo = u16;

/// What may happen to a request that is sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats do no harm.
    Idempotent,
    /// The servers of one group drop a repeat for `window` after the first attempt was sent.
    Deduplicated {
        /// Which servers share what they remember.
        scope: DedupScope,
        /// For how long they remember it.
        window: Micros,
    },
    /// It must never run twice.
    NonIdempotent,
}

/// The servers that drop each other's repeats of a keyed request.
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
    /// An answer within this time earns the full worth.
    pub target_latency: Micros,
    /// The aim grows by this multiple of the request's expected work, up to the deadline.
    pub target_latency_per_work: f64,
    /// The client's whole wait.
    pub deadline: Micros,
    /// What an answer in time is worth.
    pub value: f64,
    /// The share of the worth that a late answer earns.
    pub late_value_fraction: f64,
    /// Whether a request may run again.
    pub idempotency: Idempotency,
}

/// A tenant and its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second, over all nodes, that are within its share.
    pub quota_per_s: f64,
    /// The part of the service it has a right to.
    pub share: f64,
}

/// How the list of servers reaches the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes come by themselves.
    Pushed,
    /// Changes come after [`Action::Subscribe`]; without a subscription the node has to ask this often.
    Subscribed {
        /// The longest time without asking.
        max_retry_interval: Micros,
    },
}

/// What a node is told once, at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many nodes share the work.
    pub balancers: u32,
    /// This node's number among them, from 0.
    pub rank: u32,
    /// The zone this node is in.
    pub zone: u8,
    /// The classes of requests; at least one.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// What a request beyond its tenant's share is worth, as a part of its class's worth.
    pub over_quota_value: f64,
    /// The most attempts one request may have.
    pub max_attempts: u16,
    /// Whether attempts may be cancelled.
    pub cancelling: bool,
    /// Whether a second attempt may be sent while the first is out.
    pub hedging: bool,
    /// Whether related requests are cheaper on a server that met their key lately.
    pub key_affinity: bool,
    /// What crossing zones costs, for every request once, as a part of all worth.
    pub cross_zone_price: f64,
    /// Whether weights shrink while a server holds requests, and so tell of load as well as of size.
    pub live_weights: bool,
    /// How the server list comes.
    pub discovery: Discovery,
    /// A starting server has at least this part of its capacity.
    pub cold_capacity: f64,
    /// A server is warm after this time at most.
    pub warm_up: Micros,
    /// A cold server falls over when it is sent this multiple of what it can do at that moment.
    pub overload_factor: f64,
    /// The longest time between two looks at the clock.
    pub timer_resolution: Micros,
    /// The longest stay away that a refused client honours.
    pub max_retry_after: Micros,
    /// How many labels tenants are hashed to; few, so that pools keep room. At least one.
    pub labels: u16,
    /// The least that a label's pool takes while servers last; four or more.
    pub min_pool_size: u16,
}

/// Why settings were turned down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

/// One node that is told nothing: pushed changes, one attempt, no cancels or copies, and no class yet.
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
    /// Checks that the settings make sense together.
    pub fn check(&self) -> Result<(), SettingsError> {
        let positive = |x: f64| x.is_finite() && x >= 0.0;
        let rules: [(bool, &'static str); 11] = [
            (self.labels > 0, "there are no labels"),
            (self.min_pool_size >= 4, "a pool takes fewer than four servers"),
            (!self.classes.is_empty(), "there are no request classes"),
            (self.balancers > 0, "there are no balancers"),
            (self.rank < self.balancers, "the rank is not below the number of balancers"),
            (self.max_attempts > 0, "no attempt is allowed"),
            (self.cold_capacity > 0.0 && self.cold_capacity <= 1.0, "cold_from is not within 0 to 1"),
            (positive(self.overload_factor), "the fall multiple is negative"),
            (positive(self.over_quota_value) && positive(self.cross_zone_price), "a price is negative"),
            (
                self.tenants.iter().all(|t| positive(t.quota_per_s) && positive(t.share)),
                "a tenant's quota or share is negative",
            ),
            (
                self.classes.iter().all(|c| {
                    c.target_latency > 0
                        && c.deadline > 0
                        && positive(c.value)
                        && positive(c.late_value_fraction)
                        && positive(c.target_latency_per_work)
                }),
                "a class has no aim, no deadline or a negative worth",
            ),
        ];
        rules.iter().find(|(kept, _)| !kept).map_or(Ok(()), |(_, why)| Err(SettingsError(why)))
    }
}

/// What the list says about a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// It takes requests.
    Ready,
    /// It finishes what it has; nothing new goes there.
    Draining,
    /// It is no more.
    #[default]
    Gone,
}

/// One line of the server list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerEntry {
    /// Which server.
    pub id: ServerId,
    /// What it does.
    pub state: ServerState,
    /// When it last started; 0 for long ago.
    pub ready_at: Micros,
    /// Its zone.
    pub zone: u8,
    /// Its cell: servers that know each other's keys.
    pub cell: u16,
    /// Its size against other servers, a finite number; 0 if unknown.
    pub weight: f64,
    /// What kind of machine it is.
    pub kind: u8,
}

/// A request that has arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Its name.
    pub id: RequestId,
    /// Index of its class in [`Settings::classes`].
    pub class: usize,
    /// How long until the client gives up.
    pub remaining: Micros,
    /// How much work to expect, if known.
    pub expected_work: Option<Micros>,
    /// What it is about; related requests have the same key.
    pub key: Option<u64>,
    /// Index of its tenant in [`Settings::tenants`], if it has one.
    pub tenant: Option<u32>,
}

/// How long a request may take to come whole that is passed on as it comes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Upload {
    /// How long its last byte is expected to take.
    pub expected_duration: Micros,
    /// How long it may take at most.
    pub max_duration: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The server answered with an error; it may have run.
    Error,
    /// Turned away unseen; it did not run.
    Rejected,
    /// No answer in time; it may have run or may still be running.
    TimedOut,
    /// No connection; it did not run.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent; it did not run.
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
    /// Which of its attempts.
    pub attempt: AttemptNo,
    /// How it ended.
    pub outcome: Outcome,
    /// How long after it was sent.
    pub elapsed: Micros,
    /// Whether the request is finished.
    pub request_finished: bool,
}

/// What a node has seen of a server lately by its own requests, for others to be told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerObservation {
    /// The server.
    pub server: ServerId,
    /// How surely it stalls, fails or is slow against what is usual, from 0 to 1.
    pub suspicion: f64,
    /// How many answers it gave lately; 0 if none came in the last second.
    pub recent_answers: u32,
    /// How many requests the strength rests on.
    pub sample_count: u32,
}

/// What other nodes say of a server, weighed by how many say it and how far they are believed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerSuspicion {
    /// The server.
    pub server: ServerId,
    /// From 0 to 1.
    pub level: f64,
}

/// What a node tells the module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The whole list of servers; one that is missing is gone.
    ServerList(Vec<ServerEntry>),
    /// The whole list as held before the start; it may be old, and does not answer a call.
    CachedServerList(Vec<ServerEntry>),
    /// Changes to the list.
    ServerChanges(Vec<ServerEntry>),
    /// A call to discovery failed, or the subscription broke.
    DiscoveryFailed,
    /// A request has arrived; one final answer is owed from now on.
    RequestArrived(Request),
    /// A request has begun to arrive and is passed on as it comes. It has one attempt out at a time, and its client's
    /// patience begins with its last byte: until [`Event::BodyReceived`] the times are a guess.
    StreamedRequestArrived(Request, Upload),
    /// The last byte of such a request has come, and this is how long until its client gives up.
    BodyReceived(RequestId, Micros),
    /// Some of the body of such a request is gone: it can't be sent once more.
    BodyConsumed(RequestId),
    /// The client has left; no answer is owed any more.
    ClientLeft(RequestId),
    /// A streamed answer has begun; the attempt now belongs to the client.
    ResponseStreamStarted(RequestId, AttemptNo),
    /// An attempt has ended; each one sent does so once.
    AttemptEnded(AttemptEnd),
    /// What other nodes say of servers: all of it. It has to be said again, else it is forgotten.
    PeerSuspicions(Vec<PeerSuspicion>),
    /// The number of nodes that share the work has changed, or this node's place among them.
    FleetChanged {
        /// How many nodes there are to reckon with.
        balancers: u32,
        /// This node's place; it may lie beyond their number while some are away.
        rank: u32,
    },
    /// A wake-up asked for has come due.
    TimerFired(u64),
}

/// What the module wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start an attempt; it times out when the client gives up.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        server: ServerId,
        /// Until when its first byte may leave, by the clock of events: an earlier attempt may have run, and its
        /// deduplication window closes then. One that could not begin by then ends as [`Outcome::NotSent`].
        start_before: Option<Micros>,
    },
    /// Final answer: turned away, and harmless to try again.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should stay away; 0 for no advice.
        retry_after: Micros,
    },
    /// Final answer: failed, with no promise.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel(RequestId, AttemptNo),
    /// Ask for [`Event::TimerFired`] with this token after this time.
    SetTimer {
        /// How long from now.
        after: Micros,
        /// What to be woken with.
        token: u64,
    },
    /// Ask discovery to send changes from now on.
    Subscribe,
}
