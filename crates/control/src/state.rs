//! Replicated state machine of the configuration.

use std::collections::{HashSet, VecDeque};

use bytes::Bytes;
use dunelink_replication::encode;
use minicbor::{Decode, Encode};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_128;

/// Most digests of applied changes that are kept; the oldest is dropped first.
pub const MAX_DIGESTS: usize = 4_096;
/// Most versions that [`ConfigurationState::history`] keeps; the oldest is dropped first.
pub const MAX_HISTORY_VERSIONS: usize = 256;

/// Identifies a change of the configuration by its base version and its body, byte for byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct Digest(
    #[n(0)]
    #[cbor(with = "minicbor::bytes")]
    pub [u8; 16],
);

impl Digest {
    /// XXH3 (128 bits) of the base version (little endian) followed by the XXH3 of the body.
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
    /// Replaces the configuration.
    #[n(0)]
    Replace {
        /// Version that it replaces; 0 for the first configuration.
        #[n(0)]
        base: u64,
        /// Version of the new configuration.
        #[n(1)]
        version: u64,
        /// Digest of the base version and the body.
        #[n(2)]
        digest: Digest,
        /// The new configuration: the operator's JSON.
        #[n(3)]
        #[cbor(with = "minicbor::bytes")]
        body: Vec<u8>,
    },
}

/// Outcome of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The configuration was replaced.
    Applied,
    /// The same change was applied before; nothing changes.
    AlreadyApplied,
    /// The base is not the current version, or the new version is not above it; nothing changes.
    Conflict,
}

/// Version of an applied change, for the history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct AppliedVersion {
    /// Version of the configuration.
    #[n(0)]
    pub version: u64,
    /// Version that it replaced; 0 for the first configuration.
    #[n(1)]
    pub base: u64,
    /// Length of the operator's JSON in bytes.
    #[n(2)]
    pub bytes: u64,
}

/// A log entry or snapshot that cannot be decoded.
#[derive(Debug, Error)]
#[error("cannot decode replicated data: {0}; check that all control machines run the same release")]
pub struct StateError(#[from] minicbor::decode::Error);

/// The current configuration, its version history and the digests of applied changes.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationState {
    version: u64,
    body: Bytes,
    /// Digests in the order in which they were applied.
    digest_order: VecDeque<Digest>,
    digests: HashSet<Digest>,
    history: VecDeque<AppliedVersion>,
}

impl ConfigurationState {
    /// Current version; 0 before the first configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// JSON of the current version as the operator sent it; empty before the first configuration.
    pub fn body(&self) -> &Bytes {
        &self.body
    }

    /// Whether this change was applied; limited to the newest [`MAX_DIGESTS`] changes.
    pub fn was_applied(&self, digest: &Digest) -> bool {
        self.digests.contains(digest)
    }

    /// The newest applied versions, oldest first; at most [`MAX_HISTORY_VERSIONS`].
    pub fn history(&self) -> impl ExactSizeIterator<Item = &AppliedVersion> {
        self.history.iter()
    }

    /// Applies a committed command. The outcome depends only on the commands before it.
    ///
    /// # Errors
    ///
    /// The command cannot be decoded; nothing changes.
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
        self.add_digest(digest);
        self.add_to_history(AppliedVersion { version, base, bytes: self.body.len() as u64 });
        Ok((digest, ApplyOutcome::Applied))
    }

    /// Encodes the complete state.
    pub fn snapshot(&self) -> Vec<u8> {
        let content = Snapshot {
            version: self.version,
            body: self.body.to_vec(),
            digests: self.digest_order.iter().copied().collect(),
            history: Some(self.history.iter().copied().collect()),
        };
        encode(&content)
    }

    /// Decodes a state that [`Self::snapshot`] encoded; no bytes stand for the state before the first
    /// command.
    ///
    /// # Errors
    ///
    /// The bytes cannot be decoded.
    pub fn restore(bytes: &[u8]) -> Result<Self, StateError> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let content: Snapshot = minicbor::decode(bytes)?;
        Ok(Self {
            version: content.version,
            body: Bytes::from(content.body),
            digests: content.digests.iter().copied().collect(),
            digest_order: content.digests.into(),
            history: content.history.unwrap_or_default().into(),
        })
    }

    fn add_to_history(&mut self, applied: AppliedVersion) {
        self.history.push_back(applied);
        if self.history.len() > MAX_HISTORY_VERSIONS {
            self.history.pop_front();
        }
    }

    fn add_digest(&mut self, digest: Digest) {
        self.digest_order.push_back(digest);
        self.digests.insert(digest);
        if self.digest_order.len() > MAX_DIGESTS {
            let oldest = self.digest_order.pop_front();
            oldest.map(|digest| self.digests.remove(&digest));
        }
    }
}

/// Content of a snapshot.
#[derive(Encode, Decode)]
struct Snapshot {
    #[n(0)]
    version: u64,
    #[n(1)]
    #[cbor(with = "minicbor::bytes")]
    body: Vec<u8>,
    #[n(2)]
    digests: Vec<Digest>,
    /// `None` in snapshots of releases that did not keep a history.
    #[n(3)]
    history: Option<Vec<AppliedVersion>>,
}
