//! Estimates what a model server is running and has cached, from the requests sent to it; no I/O.
//!
//! A server does not publish which prompt parts it has cached, and its load becomes known late.
//! [`ServerModel`] combines the requests that this process sent, the last reported load, and the prefill that
//! a server of that speed must have done since. It estimates how long a request with given prompt parts would
//! wait for its first token at the server. All times are microseconds of the caller's monotonic clock.

mod prefix_cache;
mod reading;
mod server;
mod speed;

pub use prefix_cache::{PrefixCache, PromptPart};
pub use reading::LoadReading;
pub use server::{Estimate, InFlightRequest, LocalLoad, RequestProfile, ServerCapacity, ServerModel};
pub use speed::SpeedEstimate;

/// A time or a duration in microseconds.
pub type Micros = u64;
