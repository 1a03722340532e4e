//! The agent beside each proxy: link to the control plane, feed of the proxy.
//!
//! - [`sources`] decides which control machines to connect to; [`directory`] knows their addresses.
//! - [`upstream`] runs the connections to them; what they feed is kept in [`shared`].
//! - [`downstream`] feeds the proxy on the same machine and takes its reports.
//! - [`seeds`] follows the settings file.

#![forbid(unsafe_code)]

pub mod agent;
pub mod arguments;
pub mod directory;
pub mod downstream;
pub mod link_feed;
pub mod log_rate_limit;
pub mod reports;
pub mod seeds;
pub mod shared;
pub mod sources;
pub mod upstream;

pub use agent::Agent;
pub use arguments::{Arguments, Command, HELP};
