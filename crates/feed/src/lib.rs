//! A change feed: bootstrap from a snapshot, tail from an offset; no I/O.
//!
//! The feed carries a configuration, a server roster, and heartbeats that state how fresh both are.
//! [`FeedState`] has the newest of each. A [`FeedReader`] applies the messages of one connection to it; a
//! [`FeedSource`] produces the messages that the reader of one connection lacks. A process that reads from
//! several sources has one state, and one reader per connection, so that chunks of a configuration from
//! different sources are never mixed.
//!
//! Neither the version of the configuration nor the position of the roster ever decreases.
//! Times are microseconds on a monotonic clock, passed in by the caller.

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
