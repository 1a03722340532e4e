//! The control program: replicated configuration, change feed for agents, operator API and reader of the
//! platform's server list.
//!
//! [`node::Node`] is the state machine that ties the parts together: it takes messages, operator requests and
//! I/O results, and returns [`node::Effect`]s. [`engine::Engine`] carries them out on sockets and the disk
//! thread. All tasks run on one thread; disk I/O and the checks of large configurations run on threads of
//! their own.

#![forbid(unsafe_code)]

pub mod arguments;
pub mod change_queue;
pub mod configuration_check;
pub mod disk;
pub mod engine;
pub mod feed_server;
pub mod feed_session;
pub mod identity;
pub mod list;
pub mod list_reader;
pub mod loads;
pub mod message;
pub mod node;
pub mod operator_api;
pub mod peer_links;
pub mod program;
pub mod reports;
pub mod roster;
pub mod start;
pub mod state;
pub mod status;

pub use program::run;
