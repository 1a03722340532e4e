//! A change feed: bootstrap from a snapshot, tail from an offset; no I/O.
//!
//! What is fed is a configuration, a roster of servers, and signs of how far both can be trusted. [`FeedState`]
//! holds the newest of each. A [`FeedReader`] takes the messages of one connection into it; a [`FeedSource`]
//! tells one connection's reader what it lacks. A process that reads from several sources has one state and one
//! reader for each connection, so that parts of a configuration from different sources are never mixed.
//!
//! Nothing held ever goes back: neither the version of the configuration nor the position in the roster.
//! Times are microseconds on a steady clock, given by the caller.

#![forbid(unsafe_code)]

pub mod configuration;
pub mod error;
pub mod freshness;
pub mod reader;
pub mod roster;
pub mod source;
pub mod state;

pub use configuration::{CHUNK_BYTES, Configuration, ConfigurationAssembler, MAX_CONFIGURATION_BYTES};
pub use error::FeedError;
pub use freshness::{Freshness, NEVER_CONFIRMED_MS};
pub use reader::{Change, FeedReader};
pub use roster::{MAX_SERVERS, Roster, RosterEntry};
pub use source::FeedSource;
pub use state::{FeedState, Versioned};
