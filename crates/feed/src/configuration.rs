//! Configurations, whole and in parts.

use bytes::Bytes;
use dunelink_protocol::ConfigurationChunk;

use crate::FeedError;

/// Largest configuration that is assembled, in bytes.
pub const MAX_CONFIGURATION_BYTES: u64 = 8 * 1024 * 1024;
/// Bytes of one part.
pub const CHUNK_BYTES: usize = 64 * 1024;

/// A whole configuration. Clones share the bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Configuration {
    /// Its version; above 0.
    pub version: u64,
    /// The operator's JSON as it was accepted.
    pub bytes: Bytes,
}

impl Configuration {
    /// The part that begins at `offset`, at most [`CHUNK_BYTES`] long; nothing at or beyond the end.
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

/// Puts the parts of configurations from one connection together.
///
/// Parts of a version come in order; the first part begins it anew. A part of a newer version abandons the older
/// one; parts of versions older than what is being assembled, or not newer than what is held, are ignored.
#[derive(Debug, Default)]
pub struct ConfigurationAssembler {
    partial: Option<Partial>,
}

#[derive(Debug)]
struct Partial {
    version: u64,
    total_bytes: u64,
    bytes: Vec<u8>,
}

impl ConfigurationAssembler {
    /// Takes a part; gives the configuration that it completes. `held` is the version held already, 0 for none.
    ///
    /// # Errors
    ///
    /// The part is too large or does not follow the one before it; nothing is assembled any more.
    pub fn accept(
        &mut self,
        chunk: ConfigurationChunk,
        held: u64,
    ) -> Result<Option<Configuration>, FeedError> {
        self.discard_up_to(held);
        if chunk.version <= held
            || self.partial.as_ref().is_some_and(|partial| chunk.version < partial.version)
        {
            return Ok(None);
        }
        let partial = match self.partial.take() {
            Some(partial) if partial.version == chunk.version && chunk.offset > 0 => partial,
            _ => Partial::begin(&chunk)?,
        };
        let partial = partial.append(chunk)?;
        if partial.is_whole() {
            return Ok(Some(partial.finish()));
        }
        self.partial = Some(partial);
        Ok(None)
    }

    /// Gives up what is being assembled if it is not newer than `held`.
    pub fn discard_up_to(&mut self, held: u64) {
        if self.partial.as_ref().is_some_and(|partial| partial.version <= held) {
            self.partial = None;
        }
    }

    /// True while parts are still to come.
    pub fn is_partial(&self) -> bool {
        self.partial.is_some()
    }
}

impl Partial {
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
        let misfit = chunk.total_bytes != self.total_bytes
            || chunk.bytes.is_empty()
            || expected + chunk.bytes.len() as u64 > self.total_bytes;
        if misfit {
            return Err(FeedError::ConfigurationChunkMismatch { version });
        }
        if self.bytes.is_empty() {
            self.bytes.reserve_exact(self.total_bytes as usize);
        }
        self.bytes.extend_from_slice(&chunk.bytes);
        Ok(self)
    }

    fn is_whole(&self) -> bool {
        self.bytes.len() as u64 == self.total_bytes
    }

    fn finish(self) -> Configuration {
        Configuration { version: self.version, bytes: Bytes::from(self.bytes) }
    }
}
