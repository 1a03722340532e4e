//! What a model server runs and keeps, estimated from what was sent to it; no I/O.
//!
//! A server tells nobody which prompt parts it keeps, and its load is told late. [`ServerModel`] counts what this
//! process sent, what the last load reading said, and what a server of that speed must have read since, and answers
//! one question: how long would a request with these prompt parts wait for its first token there.
//! All times are microseconds of the caller's steady clock.

mod prefix_cache;
mod reading;
mod server;
mod speed;

pub use prefix_cache::{PrefixCache, PromptPart};
pub use reading::LoadReading;
pub use server::{Estimate, InFlightRequest, LocalLoad, RequestProfile, ServerCapacity, ServerModel};
pub use speed::SpeedEstimate;

/// A time or a span in microseconds.
pub type Micros = u64;
