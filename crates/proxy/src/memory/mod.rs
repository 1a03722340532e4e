//! Bounds the memory of the process, so that it stays below `limits.memoryMb` whatever clients and servers
//! send.
//!
//! [`plan`] divides the memory, [`request_body`] holds the body of one request, and [`request_bodies`] decides
//! which bodies are released when the memory for them is used up.

pub mod plan;
pub mod request_bodies;
pub mod request_body;
