//! Which model server takes a request: label pools, prefix homes, admission; no I/O.
//!
//! [`Router`] is told which services and servers exist, what became of each attempt and what servers said of their
//! load, and answers for each request: send it to this server, ask again soon, or refuse it. The design of the label
//! pools and the comparison of two members decide on the ordinary path; the two that are compared are the homes of
//! the request's prompt prefix, so that a prefix is read at few servers. All processes of the fleet derive the same
//! pools and the same homes from the same list.

mod api;
mod attempts;
mod choose;
mod health;
mod locality;
mod pools;
mod router;
mod servers;
mod status;

pub use api::*;
pub use dunelink_serving_model::{Micros, PromptPart};
pub use router::Router;
