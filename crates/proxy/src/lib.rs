//! The data plane of a front machine: it reads client requests, asks the router for a server, and relays the
//! response.
//!
//! The path of a request: [`listener`] accepts its connection, [`connection`] lets hyper read it, [`request`]
//! extracts the needed fields from its head, [`admission`] finds its route and tenant and charges the
//! tenant's quota, [`exchange`] sends it to servers, one attempt at a time, until there is a final response,
//! [`upstream`] holds the connections to the servers, [`relay`] forwards event streams and resumes them at
//! another server, and [`request_failure`] defines the response to the client when no server has given a
//! usable one. [`memory`] bounds what all requests together keep.
//!
//! [`feed`] receives the configuration, the servers and the grants from the agent on the machine;
//! [`readiness`] answers the platform's readiness checks; [`shutdown`] drains open requests before the
//! process exits.

#![forbid(unsafe_code)]

pub mod admission;
pub mod arguments;
mod attempt;
pub mod attempt_guard;
pub mod client_socket;
pub mod configuration;
pub mod connection;
pub mod event_framer;
pub mod exchange;
pub mod feed;
pub mod listener;
pub mod memory;
pub mod node;
pub mod open_requests;
pub mod readiness;
pub mod relay;
pub mod request;
pub mod request_failure;
pub mod response;
pub mod run;
pub mod shutdown;
pub mod shutdown_schedule;
pub mod upstream;

pub use run::{Proxy, main};
