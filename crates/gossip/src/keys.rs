//! The members that may take part. A member is identified by its name, so that its keys can be rotated.

use std::collections::HashMap;
use std::fmt;

use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The largest number of keys of one member: the old and the new one during rotation, and one spare.
const MAX_KEYS_PER_MEMBER: usize = 3;
/// The largest number of members in a ring.
const MAX_MEMBERS: usize = 4096;

/// Identifies a member: the first eight bytes of its name's SHA-256.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl MemberId {
    /// The id of a name.
    pub fn of(name: &str) -> MemberId {
        let digest = Sha256::digest(name.as_bytes());
        MemberId(digest.iter().take(8).fold(0, |id, byte| id << 8 | u64::from(*byte)))
    }
}

/// Tells a member's keys apart: the first bytes of the public key.
pub(crate) type KeyHint = [u8; 4];

fn hint(key: &VerifyingKey) -> KeyHint {
    let [a, b, c, d, ..] = *key.as_bytes();
    [a, b, c, d]
}

/// Why a key file is invalid. It never contains any part of a secret.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {expected}")]
pub struct KeyError {
    /// The line number, from 1.
    pub line: usize,
    /// What was expected in that line.
    pub expected: &'static str,
}

struct RingMember {
    name: String,
    keys: Vec<VerifyingKey>,
}

/// The members that may take part, in the same order at all nodes.
#[derive(Default)]
pub struct KeyRing {
    ranked_ids: Vec<MemberId>,
    members: HashMap<MemberId, RingMember>,
}

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyRing").field("members", &self.ranked_ids.len()).finish()
    }
}

impl KeyRing {
    /// Parses a ring: one line for each key, `NAME PUBLIC-KEY-IN-HEX`; `#` starts a comment. A repeated name
    /// adds another key. A name's rank is the position of its first line, so that new names belong at the
    /// end.
    ///
    /// ```
    /// # use dunelink_gossip::{KeyRing, Secret};
    /// let secret = Secret::from_seed([7; 32]);
    /// let ring = KeyRing::parse(&format!("# the fleet\nn0 {}\n", secret.public_hex()))?;
    /// assert_eq!(ring.len(), 1);
    /// # Ok::<(), dunelink_gossip::KeyError>(())
    /// ```
    ///
    /// # Errors
    ///
    /// The first invalid line, or one with a weak key, for which anyone can forge signatures.
    pub fn parse(text: &str) -> Result<KeyRing, KeyError> {
        let mut ring = KeyRing::default();
        for (number, line) in text.lines().enumerate() {
            let error = |expected| KeyError { line: number + 1, expected };
            let line = line.split('#').next().unwrap_or_default();
            let mut words = line.split_whitespace();
            let Some(name) = words.next() else { continue };
            let (Some(key), None) = (words.next(), words.next()) else {
                return Err(error("expected a name and a public key"));
            };
            let mut bytes = [0; 32];
            hex::decode_to_slice(key, &mut bytes)
                .map_err(|_| error("expected a key of 64 hexadecimal digits"))?;
            let key =
                VerifyingKey::from_bytes(&bytes).map_err(|_| error("expected an Ed25519 public key"))?;
            if key.is_weak() {
                return Err(error("expected a key that is not weak"));
            }
            let id = MemberId::of(name);
            if !ring.members.contains_key(&id) {
                if ring.ranked_ids.len() == MAX_MEMBERS {
                    return Err(error("expected at most 4096 names"));
                }
                ring.ranked_ids.push(id);
            }
            let members = ring
                .members
                .entry(id)
                .or_insert_with(|| RingMember { name: name.to_owned(), keys: Vec::new() });
            if members.name != name {
                return Err(error("expected a name whose digest differs from those of all other names"));
            }
            if members.keys.len() == MAX_KEYS_PER_MEMBER {
                return Err(error("expected at most 3 keys for a name"));
            }
            members.keys.push(key);
        }
        Ok(ring)
    }

    /// The number of members.
    pub fn len(&self) -> usize {
        self.ranked_ids.len()
    }

    /// Whether the ring has no members.
    pub fn is_empty(&self) -> bool {
        self.ranked_ids.is_empty()
    }

    /// A member's name.
    pub fn name(&self, id: MemberId) -> Option<&str> {
        self.members.get(&id).map(|members| members.name.as_str())
    }

    /// Whether a member may take part.
    pub fn contains(&self, id: MemberId) -> bool {
        self.members.contains_key(&id)
    }

    /// A member's position among all members of the ring, whether they are alive or not.
    pub fn rank(&self, id: MemberId) -> Option<u32> {
        self.ranked_ids.iter().position(|other| *other == id).map(|position| position as u32)
    }

    /// Whether the secret's public key is one of the member's keys.
    pub fn has_key(&self, id: MemberId, secret: &Secret) -> bool {
        let public = secret.0.verifying_key();
        self.members.get(&id).is_some_and(|members| members.keys.contains(&public))
    }

    /// Whether the member signed these bytes. The hint selects the key, so that at most one signature is
    /// checked.
    pub(crate) fn verify(&self, id: MemberId, by: KeyHint, signed: &[u8], signature: &[u8; 64]) -> bool {
        let key = self.members.get(&id).and_then(|members| members.keys.iter().find(|key| hint(key) == by));
        key.is_some_and(|key| key.verify_strict(signed, &Signature::from_bytes(signature)).is_ok())
    }
}

/// The secret key that a member signs with.
pub struct Secret(Box<SigningKey>);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// Parses a secret: one line of 64 hexadecimal digits; `#` starts a comment.
    ///
    /// # Errors
    ///
    /// There is no such line, or more than one.
    pub fn parse(text: &str) -> Result<Secret, KeyError> {
        let mut found = None;
        for (number, line) in text.lines().enumerate() {
            let error = |expected| KeyError { line: number + 1, expected };
            let line = line.split('#').next().unwrap_or_default().trim();
            if line.is_empty() {
                continue;
            }
            if found.is_some() {
                return Err(error("expected one secret"));
            }
            let mut seed = [0; 32];
            hex::decode_to_slice(line, &mut seed).map_err(|_| error("expected 64 hexadecimal digits"))?;
            found = Some(Secret::from_seed(seed));
        }
        found.ok_or(KeyError { line: 1, expected: "expected a secret of 64 hexadecimal digits" })
    }

    /// The secret key with these random bytes as its seed.
    pub fn from_seed(seed: [u8; 32]) -> Secret {
        Secret(Box::new(SigningKey::from_bytes(&seed)))
    }

    /// The public key in hexadecimal, as it appears in a ring.
    pub fn public_hex(&self) -> String {
        hex::encode(self.0.verifying_key().as_bytes())
    }

    pub(crate) fn hint(&self) -> KeyHint {
        hint(&self.0.verifying_key())
    }

    pub(crate) fn sign(&self, message: &[u8]) -> [u8; 64] {
        self.0.sign(message).to_bytes()
    }
}
