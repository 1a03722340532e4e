//! Configurations, and their transfer in chunks.

use bytes::Bytes;
use dunelink_protocol::ConfigurationChunk;

use crate::FeedError;

/// Largest configuration that is accepted, in bytes.
pub const MAX_CONFIGURATION_BYTES: u64 = 8 * 1024 * 1024;
/// Size of a chunk in bytes; the last one may be smaller.
pub const CHUNK_BYTES: usize = 64 * 1024;

/// A complete configuration. Clones share the bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Configuration {
    /// Version of the configuration, at least 1.
    pub version: u64,
    /// The operator's JSON, unchanged since it was accepted.
    pub bytes: Bytes,
}

impl Configuration {
    /// The chunk that begins at `offset`, at most [`CHUNK_BYTES`] long; `None` at or beyond the end.
    pub fn chunk(&self, offset: u64) -> Option<ConfigurationChunk> {
        let start = usize::try_from(offset).ok()?;
        let rest = self.bytes.get(start..)?;
        if rest.is_empty() {
            return None;
        }
        let bytes = rest[..rest.len().min(CHUNK_BYTES)].to_vec();
        let total_bytes = self.bytes.len() as u64;
        Some(ConfigurationChunk { version: self.version, total_bytes, offset, bytes })
    }
}

/// Assembles configurations from the chunks of one connection.
///
/// The chunks of a version arrive in order; the chunk at offset 0 restarts its assembly. A chunk of a newer
/// version discards the partial older one. Chunks are ignored if their version is older than the partial one,
/// or not newer than the version that the receiver already has.
#[derive(Debug, Default)]
pub struct ConfigurationAssembler {
    partial: Option<PartialConfiguration>,
}

#[derive(Debug)]
struct PartialConfiguration {
    version: u64,
    total_bytes: u64,
    bytes: Vec<u8>,
}

impl ConfigurationAssembler {
    /// Accepts a chunk and returns the configuration if the chunk completes it. `current_version` is the
    /// version that the receiver already has; 0 for none.
    ///
    /// # Errors
    ///
    /// The configuration is too large, or the chunk does not follow the one before it. The partial
    /// configuration is discarded.
    pub fn accept(
        &mut self,
        chunk: ConfigurationChunk,
        current_version: u64,
    ) -> Result<Option<Configuration>, FeedError> {
        self.discard_up_to(current_version);
        if chunk.version <= current_version
            || self.partial.as_ref().is_some_and(|partial| chunk.version < partial.version)
        {
            return Ok(None);
        }
        let partial = match self.partial.take() {
            Some(partial) if partial.version == chunk.version && chunk.offset > 0 => partial,
            _ => PartialConfiguration::begin(&chunk)?,
        };
        let partial = partial.append(chunk)?;
        if partial.is_complete() {
            return Ok(Some(partial.finish()));
        }
        self.partial = Some(partial);
        Ok(None)
    }

    /// Discards the partial configuration if it is not newer than `current_version`.
    pub fn discard_up_to(&mut self, current_version: u64) {
        if self.partial.as_ref().is_some_and(|partial| partial.version <= current_version) {
            self.partial = None;
        }
    }

    /// Whether a configuration is partially received.
    pub fn is_partial(&self) -> bool {
        self.partial.is_some()
    }
}

impl PartialConfiguration {
    fn begin(chunk: &ConfigurationChunk) -> Result<Self, FeedError> {
        let (version, total_bytes) = (chunk.version, chunk.total_bytes);
        if total_bytes > MAX_CONFIGURATION_BYTES {
            return Err(FeedError::ConfigurationTooLarge { version, total_bytes });
        }
        Ok(Self { version, total_bytes, bytes: Vec::new() })
    }

    fn append(mut self, chunk: ConfigurationChunk) -> Result<Self, FeedError> {
        let version = self.version;
        let expected = self.bytes.len() as u64;
        if chunk.offset != expected {
            return Err(FeedError::ConfigurationGap { version, offset: chunk.offset, expected });
        }
        let mismatch = chunk.total_bytes != self.total_bytes
            || chunk.bytes.is_empty()
            || expected + chunk.bytes.len() as u64 > self.total_bytes;
        if mismatch {
            return Err(FeedError::ConfigurationChunkMismatch { version });
        }
        if self.bytes.is_empty() {
            self.bytes.reserve_exact(self.total_bytes as usize);
        }
        self.bytes.extend_from_slice(&chunk.bytes);
        Ok(self)
    }

    fn is_complete(&self) -> bool {
        self.bytes.len() as u64 == self.total_bytes
    }

    fn finish(self) -> Configuration {
        Configuration { version: self.version, bytes: Bytes::from(self.bytes) }
    }
}
