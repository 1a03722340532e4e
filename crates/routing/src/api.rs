//! What goes into the router and what comes out of it.

use std::net::SocketAddr;

use dunelink_serving_model::{Micros, PromptPart};

/// The engine of a service that runs a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// Requests that run at once on one server.
    pub slots: u32,
    /// Tokens of memory that running requests and kept prompt parts share.
    pub kv_tokens: u64,
    /// Tokens in one event of a stream.
    pub max_tokens_per_event: u32,
}

/// A service as the configuration has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Its name; unique.
    pub name: String,
    /// Connections that one server accepts from all processes together; 0 for no bound.
    pub max_connections: u32,
    /// Its engine, where it runs a model.
    pub engine: Option<EngineSpec>,
}

/// One entry of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerInfo {
    /// The id of this incarnation.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The zone it stands in.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes requests; false while it drains.
    pub ready: bool,
    /// How much longer it stays slow from its start, in milliseconds.
    pub cold_remaining_ms: u64,
}

/// Names a server for as long as its id is listed; never used for another one afterwards until some thousand
/// others had its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerHandle(pub u32);

/// Names one sending of a request to a server, from the decision to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// What is asked of the router.
#[derive(Clone, Copy, Debug)]
pub struct RoutingRequest<'a> {
    /// The service that the route leads to.
    pub service: &'a str,
    /// The tenant that holds the request's key; none on public routes.
    pub tenant: Option<&'a str>,
    /// The parts of the prompt in order; empty where there is none.
    pub parts: &'a [PromptPart],
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens to be made at most.
    pub max_output_tokens: u32,
    /// From 0, the most urgent, to 9; larger figures count as 9.
    pub priority: u32,
    /// The time within which a first event or an answer earns its full worth.
    pub target_latency: Micros,
    /// Until the client's deadline or the route's time-out, whichever comes first.
    pub remaining: Micros,
    /// Servers that must not be chosen: those tried before.
    pub excluded: &'a [ServerHandle],
    /// Whether nothing was sent for this request yet.
    pub is_first_attempt: bool,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The service has no server that takes requests.
    NoServer,
    /// Every server that takes requests was tried already.
    AllTried,
    /// No server can begin in the time that is left, and their places are taken.
    Overloaded,
}

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to that server; `attempt` is to be ended by [`crate::Router::ended`], also if it is never sent.
    Send {
        /// The server.
        server: ServerHandle,
        /// The sending.
        attempt: AttemptId,
    },
    /// Nothing has room now, but something may soon: ask again. The caller bounds the sum of the waits.
    Wait {
        /// After this long.
        retry_in: Micros,
    },
    /// Answer 503 with that time to come back.
    Refuse {
        /// When the client may come back.
        retry_after: Micros,
        /// Why.
        reason: RefusalReason,
    },
}

/// What became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer, whatever its status below 500.
    Served,
    /// The server said that it did not run it, and is full or leaving.
    Rejected,
    /// Another server listens at the address now.
    WrongInstance,
    /// The server answered with a failure of its own.
    ServerError,
    /// A reset, a cut or bytes that are no answer.
    Broken,
    /// No connection came up; nothing was sent.
    ConnectFailed,
    /// No answer in time.
    TimedOut,
    /// The client left, or the attempt was given up for reasons that say nothing of the server.
    Cancelled,
}

/// What is set when the router is built.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouterSettings {
    /// The zone that this process runs in.
    pub zone: String,
}

/// One line about a server, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerStatus {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// The label that claimed it; none in the unlabelled pool or while it drains.
    pub label: Option<usize>,
    /// Whether it takes requests by the list.
    pub ready: bool,
    /// For how much longer it is ejected, in microseconds; 0 if it is not.
    pub ejected_for: Micros,
    /// Requests of this process there.
    pub in_flight: u32,
    /// Requests of all processes there, as estimated.
    pub fleet_in_flight: f64,
    /// Tokens of memory that the prompt parts take which it is believed to keep.
    pub cached_tokens: u64,
    /// How long its answers take against those of its service, for the priority for which that is longest.
    pub relative_latency: f64,
}
