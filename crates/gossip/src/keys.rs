//! Who may take part. A member is a name; its keys may change while it stays who it is.

use std::collections::HashMap;
use std::fmt;

use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Keys that one member may have at a time: the old and the new one while they are rotated, and one to spare.
const KEYS_MOST: usize = 3;
/// Members in a ring.
const MEMBERS_MOST: usize = 4096;

/// Names a member: the first eight bytes of its name's SHA-256.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl MemberId {
    /// The id of this name.
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

/// Why keys can't be used. It never holds any part of a secret.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {expected}")]
pub struct KeyError {
    /// The line, from 1.
    pub line: usize,
    /// What was expected there.
    pub expected: &'static str,
}

struct Known {
    name: String,
    keys: Vec<VerifyingKey>,
}

/// The members that may take part, in an order that is the same at all nodes.
#[derive(Default)]
pub struct KeyRing {
    order: Vec<MemberId>,
    known: HashMap<MemberId, Known>,
}

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyRing").field("members", &self.order.len()).finish()
    }
}

impl KeyRing {
    /// Reads a ring: a line for each key, `NAME PUBLIC-KEY-IN-HEX`; `#` begins a comment. A name that comes
    /// again has one more key. A name's place is where it comes first, so new names belong at the end.
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
    /// The first line that is no such thing, or that holds a key which anyone could sign for.
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
            if !ring.known.contains_key(&id) {
                if ring.order.len() == MEMBERS_MOST {
                    return Err(error("expected at most 4096 names"));
                }
                ring.order.push(id);
            }
            let known =
                ring.known.entry(id).or_insert_with(|| Known { name: name.to_owned(), keys: Vec::new() });
            if known.name != name {
                return Err(error("expected a name whose digest no other has"));
            }
            if known.keys.len() == KEYS_MOST {
                return Err(error("expected at most 3 keys for a name"));
            }
            known.keys.push(key);
        }
        Ok(ring)
    }

    /// How many members it has.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether it has none.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// A member's name.
    pub fn name(&self, id: MemberId) -> Option<&str> {
        self.known.get(&id).map(|known| known.name.as_str())
    }

    /// Whether it may take part.
    pub fn contains(&self, id: MemberId) -> bool {
        self.known.contains_key(&id)
    }

    /// A member's place among all, whoever is up.
    pub fn rank(&self, id: MemberId) -> Option<u32> {
        self.order.iter().position(|other| *other == id).map(|place| place as u32)
    }

    /// Whether this member has a key that is this secret's.
    pub fn has_key(&self, id: MemberId, secret: &Secret) -> bool {
        let public = secret.0.verifying_key();
        self.known.get(&id).is_some_and(|known| known.keys.contains(&public))
    }

    /// Whether the member signed that. At most one signature is checked, as the hint says which key it is.
    pub(crate) fn verify(&self, id: MemberId, by: KeyHint, signed: &[u8], signature: &[u8; 64]) -> bool {
        let key = self.known.get(&id).and_then(|known| known.keys.iter().find(|key| hint(key) == by));
        key.is_some_and(|key| key.verify_strict(signed, &Signature::from_bytes(signature)).is_ok())
    }
}

/// What a member signs with.
pub struct Secret(Box<SigningKey>);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// Reads a secret: one line of 64 hexadecimal digits; `#` begins a comment.
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

    /// The secret that these random bytes are.
    pub fn from_seed(seed: [u8; 32]) -> Secret {
        Secret(Box::new(SigningKey::from_bytes(&seed)))
    }

    /// Its public half, as it stands in a ring.
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
