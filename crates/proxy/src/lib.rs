//! The data plane of a front machine: reads clients' requests, asks the routing decision for a server, passes the
//! answer on.
//!
//! A request's way: [`listener`] accepts its connection, [`connection`] lets hyper read it, [`request`] takes what is
//! needed out of its head, [`admission`] finds its route and tenant and charges its quota, [`exchange`] sends it to
//! servers until one answer stands, one attempt at a time, [`upstream`] holds the connections to them, [`relay`]
//! passes events on and resumes at another server, [`request_failure`] says what a client is told when no server's answer
//! stands.
//!
//! [`feed`] takes configuration, servers and grants from the agent on the machine; [`readiness`] answers the
//! platform's check; [`shutdown`] ends the process without cutting what was read.

#![forbid(unsafe_code)]

pub mod admission;
pub mod arguments;
mod attempt;
pub mod attempt_guard;
pub mod client_socket;
pub mod configuration;
pub mod connection;
pub mod exchange;
pub mod feed;
pub mod listener;
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
