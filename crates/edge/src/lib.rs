//! Unambiguous interpretation of HTTP requests and responses: ambiguous requests are rejected.
//!
//! The class of a request, which is the first segment of its path, decides whether the request may be sent
//! more than once. That is safe only if no server derives another class from the same bytes. Therefore this
//! crate rejects, with a reason, every request that a common server or framework could interpret differently;
//! it never rewrites one. The same holds for the fields with the request's id, tenant and idempotency key,
//! and for the end of a message.
//!
//! - [`target`]: the path. Dot segments, encoded and repeated separators, path parameters, octets in other
//!   encodings.
//! - [`request`]: the fields of a request: which may occur only once, which can be mistaken for another,
//!   where the host is named, and which are forwarded.
//! - [`response`]: the response of a server: where it ends, its outcome, and which fields are forwarded.
//! - [`fields`]: the header fields of the protocol and the hop-by-hop fields.
//! - [`wire`]: a scanner for the raw bytes of a client connection, for details that HTTP libraries drop
//!   before they pass on a request.
//!
//! Every function is pure: it maps bytes or [`http`] types to a result. The doc comments name the sections of
//! RFC 9110, 9112, 9113, 3875 and 3986 behind the rules.

#![forbid(unsafe_code)]

mod fault;
pub mod fields;
pub mod request;
pub mod response;
pub mod target;
pub mod wire;

pub use fault::Fault;
