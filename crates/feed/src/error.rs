//! Messages that end a connection.

use dunelink_protocol::RosterOffset;
use thiserror::Error;

use crate::{MAX_CONFIGURATION_BYTES, MAX_SERVERS};

/// A message that breaks the rules of the feed. The connection it came on is of no use afterwards.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FeedError {
    /// A configuration's length is above [`MAX_CONFIGURATION_BYTES`].
    #[error(
        "configuration {version} has {total_bytes} bytes, above the limit of {MAX_CONFIGURATION_BYTES}: \
         close the connection and read from another source"
    )]
    ConfigurationTooLarge {
        /// Version of the configuration.
        version: u64,
        /// Its length in bytes.
        total_bytes: u64,
    },
    /// A part of a configuration does not follow the part before it.
    #[error(
        "configuration {version}: a part begins at {offset} instead of {expected}: connect and subscribe anew"
    )]
    ConfigurationGap {
        /// Version of the configuration.
        version: u64,
        /// Where the part begins.
        offset: u64,
        /// Where it should begin.
        expected: u64,
    },
    /// A part of a configuration is empty, goes beyond its end or changes its length.
    #[error("configuration {version}: a part does not fit its total length: connect and subscribe anew")]
    ConfigurationChunkMismatch {
        /// Version of the configuration.
        version: u64,
    },
    /// A roster holds more than [`MAX_SERVERS`] servers.
    #[error("a roster of {servers} servers is above the limit of {MAX_SERVERS}: read from another source")]
    RosterTooLarge {
        /// Servers it would hold.
        servers: usize,
    },
    /// A change to the roster leads backwards.
    #[error("a change to the roster leads from {base:?} to {offset:?}: connect and subscribe anew")]
    RosterBackwards {
        /// Where the change begins.
        base: RosterOffset,
        /// Where it ends.
        offset: RosterOffset,
    },
}
