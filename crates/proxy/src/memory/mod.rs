//! Bounds the memory of the process, so that it stays below `limits.memoryMb` whatever clients and servers
//! send.
//!
//! [`plan`] divides the memory, [`budget`] accounts for the part that requests and buffered responses share,
//! [`request_body`] holds the body of one request, and [`request_bodies`] decides which bodies are released
//! when the budget is used up.

pub mod budget;
pub mod plan;
pub mod request_bodies;
pub mod request_body;
