//! The replicated state of the configuration's shard.

use std::collections::{HashSet, VecDeque};

use bytes::Bytes;
use dunelink_replication::encode;
use minicbor::{Decode, Encode};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_128;

/// Digests of taken configurations that are kept; the oldest goes first.
pub const MAX_DIGESTS: usize = 4_096;
/// Versions whose taking is remembered for [`ConfigurationState::history`]; the oldest goes first.
pub const MAX_HISTORY_VERSIONS: usize = 256;

/// Identifies an order of the operator: what it builds on and its body, byte for byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct Digest(
    #[n(0)]
    #[cbor(with = "minicbor::bytes")]
    pub [u8; 16],
);

impl Digest {
    /// XXH3 (128 bits) of the base version, little endian, mixed with that of the body.
    pub fn of(base: u64, body: &[u8]) -> Self {
        let mut bytes = [0_u8; 24];
        bytes[..8].copy_from_slice(&base.to_le_bytes());
        bytes[8..].copy_from_slice(&xxh3_128(body).to_le_bytes());
        Self(xxh3_128(&bytes).to_le_bytes())
    }
}

/// A command of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Command {
    /// Put a configuration in force.
    #[n(0)]
    Replace {
        /// Version that it builds on; 0 for the first.
        #[n(0)]
        base: u64,
        /// Its version.
        #[n(1)]
        version: u64,
        /// Digest of the order.
        #[n(2)]
        digest: Digest,
        /// The operator's JSON.
        #[n(3)]
        #[cbor(with = "minicbor::bytes")]
        body: Vec<u8>,
    },
}

/// What a command came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is in force.
    Applied,
    /// It had been taken before; nothing changes.
    AlreadyApplied,
    /// It builds on a version that is not the current one, or its own is not above it; nothing changes.
    Conflict,
}

/// A version that was put in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct AppliedVersion {
    /// The version.
    #[n(0)]
    pub version: u64,
    /// The version that it was built on; 0 for the first.
    #[n(1)]
    pub base: u64,
    /// Length of the operator's JSON in bytes.
    #[n(2)]
    pub bytes: u64,
}

/// Bytes of the log or of a snapshot that can't be read.
#[derive(Debug, Error)]
#[error("replicated data can't be read: {0}; check that all control machines run the same release")]
pub struct StateError(#[from] minicbor::decode::Error);

/// The configuration in force and what was taken before it.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationState {
    version: u64,
    body: Bytes,
    order: VecDeque<Digest>,
    taken: HashSet<Digest>,
    history: VecDeque<AppliedVersion>,
}

impl ConfigurationState {
    /// Version in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The operator's JSON of the version in force; empty before the first.
    pub fn body(&self) -> &Bytes {
        &self.body
    }

    /// Whether that very order was taken, as far back as digests are kept.
    pub fn was_applied(&self, digest: &Digest) -> bool {
        self.taken.contains(digest)
    }

    /// The newest versions that were put in force, oldest first; at most [`MAX_HISTORY_VERSIONS`].
    pub fn history(&self) -> impl ExactSizeIterator<Item = &AppliedVersion> {
        self.history.iter()
    }

    /// Applies a committed command. The outcome depends on the commands before it alone.
    ///
    /// # Errors
    ///
    /// The command can't be read; nothing changes.
    pub fn apply(&mut self, command: &[u8]) -> Result<(Digest, ApplyOutcome), StateError> {
        let Command::Replace { base, version, digest, body } = minicbor::decode(command)?;
        if self.was_applied(&digest) {
            return Ok((digest, ApplyOutcome::AlreadyApplied));
        }
        if base != self.version || version <= self.version {
            return Ok((digest, ApplyOutcome::Conflict));
        }
        self.version = version;
        self.body = Bytes::from(body);
        self.remember(digest);
        self.note_version(AppliedVersion { version, base, bytes: self.body.len() as u64 });
        Ok((digest, ApplyOutcome::Applied))
    }

    /// The whole state as bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        let image = Image {
            version: self.version,
            body: self.body.to_vec(),
            taken: self.order.iter().copied().collect(),
            history: Some(self.history.iter().copied().collect()),
        };
        encode(&image)
    }

    /// The state that [`Self::snapshot`] wrote; no bytes are the state before the first command.
    ///
    /// # Errors
    ///
    /// The bytes can't be read.
    pub fn restore(bytes: &[u8]) -> Result<Self, StateError> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let image: Image = minicbor::decode(bytes)?;
        Ok(Self {
            version: image.version,
            body: Bytes::from(image.body),
            taken: image.taken.iter().copied().collect(),
            order: image.taken.into(),
            history: image.history.unwrap_or_default().into(),
        })
    }

    fn note_version(&mut self, taken: AppliedVersion) {
        self.history.push_back(taken);
        if self.history.len() > MAX_HISTORY_VERSIONS {
            self.history.pop_front();
        }
    }

    fn remember(&mut self, digest: Digest) {
        self.order.push_back(digest);
        self.taken.insert(digest);
        if self.order.len() > MAX_DIGESTS {
            let oldest = self.order.pop_front();
            oldest.map(|digest| self.taken.remove(&digest));
        }
    }
}

/// A snapshot's content.
#[derive(Encode, Decode)]
struct Image {
    #[n(0)]
    version: u64,
    #[n(1)]
    #[cbor(with = "minicbor::bytes")]
    body: Vec<u8>,
    #[n(2)]
    taken: Vec<Digest>,
    /// Left out by releases that did not keep it.
    #[n(3)]
    history: Option<Vec<AppliedVersion>>,
}
