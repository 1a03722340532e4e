//! Selects the model server for each request: label pools, prefix affinity, admission control; no I/O.
//!
//! [`Router`] receives the services, the list of servers, the outcome of each attempt and the loads that
//! servers report. For each request it decides to send it to a server, to wait, or to refuse it. It picks the
//! better of two members of the tenant's label pool. For a request with a prompt, the two are the homes of
//! its prefix, so that few servers need to process the same prefix. All processes of the fleet derive the
//! same pools and homes from the same server list.

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
