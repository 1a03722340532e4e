//! Protocol violations that end a connection.

use dunelink_protocol::RosterOffset;
use thiserror::Error;

use crate::{MAX_CONFIGURATION_BYTES, MAX_SERVERS};

/// A message that violates the feed protocol. The connection that it arrived on must be closed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FeedError {
    /// The length of a configuration is above [`MAX_CONFIGURATION_BYTES`].
    #[error(
        "configuration {version} has {total_bytes} bytes, above the limit of {MAX_CONFIGURATION_BYTES}: \
         close the connection and read from another source"
    )]
    ConfigurationTooLarge {
        /// Version of the configuration.
        version: u64,
        /// Length of the configuration in bytes.
        total_bytes: u64,
    },
    /// A chunk of a configuration does not follow the chunk before it.
    #[error(
        "configuration {version}: a chunk begins at {offset}, not {expected}: reconnect and subscribe again"
    )]
    ConfigurationGap {
        /// Version of the configuration.
        version: u64,
        /// Offset at which the chunk begins.
        offset: u64,
        /// Offset at which the next chunk has to begin.
        expected: u64,
    },
    /// A chunk of a configuration is empty, reaches beyond the total length or states another total length.
    #[error(
        "configuration {version}: a chunk does not match the total length: reconnect and subscribe again"
    )]
    ConfigurationChunkMismatch {
        /// Version of the configuration.
        version: u64,
    },
    /// A roster would have more than [`MAX_SERVERS`] servers.
    #[error("a roster of {servers} servers is above the limit of {MAX_SERVERS}: read from another source")]
    RosterTooLarge {
        /// Number of servers that the roster would have.
        servers: usize,
    },
    /// A roster update ends at or before the position where it begins.
    #[error("a roster update leads backwards from {base:?} to {offset:?}: reconnect and subscribe again")]
    RosterBackwards {
        /// Position before the update.
        base: RosterOffset,
        /// Position after the update.
        offset: RosterOffset,
    },
}
