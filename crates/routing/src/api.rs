//! The inputs and the results of the router.

use std::net::SocketAddr;

use dunelink_serving_model::{Micros, PromptPart};

/// The inference engine of a service that runs a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// Requests that one server runs concurrently.
    pub slots: u32,
    /// Capacity of the KV cache of one server, in tokens. Running requests and cached prompt parts share it.
    pub kv_tokens: u64,
    /// Maximum number of tokens in one event of a stream.
    pub max_tokens_per_event: u32,
}

/// A service, as the configuration defines it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Unique name of the service.
    pub name: String,
    /// Maximum number of connections that one server accepts from all processes together; 0 for no limit.
    pub max_connections: u32,
    /// The inference engine; `None` for a service that runs no model.
    pub engine: Option<EngineSpec>,
}

/// One entry of the server list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerInfo {
    /// Identifies one incarnation of the server: a restarted server has another id.
    pub id: String,
    /// Name of the service that the server belongs to.
    pub service: String,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The availability zone of the server.
    pub zone: String,
    /// Requests that the server processes concurrently; 0 if unknown.
    pub slots: u32,
    /// Whether the server accepts new requests; false while it is draining.
    pub ready: bool,
    /// Remaining time until the server is warm, in milliseconds; 0 if it is warm.
    pub cold_remaining_ms: u64,
}

/// Identifies a server for as long as its id is listed. After its removal, the handle is reused only once
/// several thousand other servers have occupied the same table entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerHandle(pub u32);

/// Identifies one attempt to send a request to a server, from the decision until the attempt ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// A request to be routed.
#[derive(Clone, Copy, Debug)]
pub struct RoutingRequest<'a> {
    /// The service that the route leads to.
    pub service: &'a str,
    /// The tenant that the request's API key belongs to; `None` on public routes.
    pub tenant: Option<&'a str>,
    /// The parts of the prompt in order; empty if there is no prompt.
    pub parts: &'a [PromptPart],
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: u32,
    /// From 0, the most urgent, to 9. Larger values count as 9.
    pub priority: u32,
    /// Latency objective for the first event of a stream, or for the response of a request that does not
    /// stream.
    pub target_latency: Micros,
    /// Time left until the client's deadline or the route's timeout, whichever is earlier.
    pub remaining: Micros,
    /// Servers that must not be chosen because they were tried before.
    pub excluded: &'a [ServerHandle],
    /// Whether nothing has been sent for this request yet.
    pub is_first_attempt: bool,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The service has no server that accepts requests.
    NoServer,
    /// Every server that accepts requests has already been tried.
    AllTried,
    /// No server can start the request in the remaining time, and all slots are taken.
    Overloaded,
}

/// The routing decision for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to `server`. The caller must end `attempt` by [`crate::Router::record_outcome`], even
    /// if the request is never sent.
    Send {
        /// The chosen server.
        server: ServerHandle,
        /// The attempt that starts with this decision.
        attempt: AttemptId,
    },
    /// No server has capacity now, but one may soon: call the router again. The caller bounds the total
    /// waiting time.
    Wait {
        /// Time to wait before the next call.
        retry_in: Micros,
    },
    /// Answer with status 503 and a `Retry-After` time.
    Refuse {
        /// Time after which the client may retry.
        retry_after: Micros,
        /// Why the request is refused.
        reason: RefusalReason,
    },
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server sent a complete response with a status below 500.
    Served,
    /// The server reported that it did not run the request because it is full or draining.
    Rejected,
    /// Another server listens on the address now.
    WrongInstance,
    /// The server responded with an error of its own.
    ServerError,
    /// The connection was reset, the response was truncated, or the bytes received were not a valid response.
    Broken,
    /// The connection could not be established; nothing was sent.
    ConnectFailed,
    /// No response arrived in time.
    TimedOut,
    /// The client disconnected, or the attempt was abandoned for reasons that do not concern the server.
    Cancelled,
}

/// Settings that are fixed when the router is created.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouterSettings {
    /// The availability zone that this process runs in.
    pub zone: String,
}

/// The state of one server, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerStatus {
    /// Id of the server.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// The label whose pool the server belongs to; `None` in the unlabelled pool and while the server is
    /// draining.
    pub label: Option<usize>,
    /// Whether the server list marks the server as accepting requests.
    pub ready: bool,
    /// Remaining time of its ejection, in microseconds; 0 if it is not ejected.
    pub ejected_for: Micros,
    /// Requests that this process has in flight at the server.
    pub in_flight: u32,
    /// Estimated number of requests that all processes have in flight at the server.
    pub fleet_in_flight: f64,
    /// Tokens of its memory that the cached prompt parts are estimated to occupy.
    pub cached_tokens: u64,
    /// Its latency relative to the expectation for its service (1 is as expected), for the priority with the
    /// highest ratio.
    pub relative_latency: f64,
}
