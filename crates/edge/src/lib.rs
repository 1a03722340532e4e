//! What an HTTP request and its answer mean, read in one way or turned down.
//!
//! The class of a request decides whether it may be sent twice, and it is read from the first part of the
//! path. That is safe only while no server reads another class in the same bytes. So whatever a common server
//! or framework could read otherwise is turned down here, with the reason; nothing is rewritten. The same
//! holds for the fields that name a request, its tenant and its key, and for where a message ends.
//!
//! - [`target`]: the path. Dot segments, encoded and doubled separators, parameters, octets of other
//!   encodings.
//! - [`request`]: the fields of a request: which may stand there once only, which have look-alikes, where its
//!   host is named; and what of them goes on.
//! - [`response`]: a server's answer: where it ends, what it says, what of it goes on.
//! - [`fields`]: names of the protocol, and the fields of one hop.
//! - [`wire`]: the bytes of a client's connection, for what HTTP libraries drop before they hand a request on.
//!
//! Every function is pure: bytes or an [`http`] type in, a verdict out. `docs/edge.md` has the sections of RFC
//! 9110, 9112, 9113 and 3986 behind each verdict.

#![forbid(unsafe_code)]

mod fault;
pub mod fields;
pub mod request;
pub mod response;
pub mod target;
pub mod wire;

pub use fault::Fault;
