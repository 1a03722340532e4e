//! The agent, which runs on the machine of each proxy: it receives the feed of the control plane, forwards it
//! to the proxy and sends the proxy's reports to the control plane.
//!
//! - [`sources`] decides which control machines to connect to; [`directory`] holds their addresses.
//! - [`upstream`] runs the connections to control machines; [`link_feed`] checks the feed of one connection.
//! - [`state`] holds the received data and the pending report, shared by all tasks.
//! - [`downstream`] feeds the proxy on the same machine and receives its reports.
//! - [`seeds`] watches the settings file for new seeds.

#![forbid(unsafe_code)]

pub mod agent;
pub mod arguments;
pub mod directory;
pub mod downstream;
pub mod link_feed;
pub mod log_rate_limit;
pub mod reports;
pub mod seeds;
pub mod sources;
pub mod state;
pub mod upstream;

pub use agent::Agent;
pub use arguments::{Arguments, Command, HELP};
