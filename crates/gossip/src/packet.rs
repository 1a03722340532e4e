//! The wire format. A packet consists of `dg`, a header, a message, updates, and its author's Ed25519
//! signature over all of these. Updates are statements, each signed by the member that it is about, so that a
//! relay can withhold them but not change them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::keys::{KeyHint, KeyRing, MemberId, Secret};

/// The largest packet: it fits one Ethernet frame, with room for tunnel headers.
pub const MAX_PACKET_BYTES: usize = 1200;
/// The highest protocol version that this build supports.
pub const VERSION: u8 = 2;
/// The lowest protocol version that this build supports; packets to members whose version is unknown use it.
pub(crate) const MIN_VERSION: u8 = 1;
/// The largest number of suspicions in a statement.
pub(crate) const MAX_SUSPICIONS: usize = 8;
/// The largest number of accusations in a packet.
pub(crate) const MAX_ACCUSATIONS: usize = 4;
/// The largest number of members in a digest or a request.
pub(crate) const MAX_NAMED_MEMBERS: usize = 40;
/// The largest number of checksums in a packet.
pub(crate) const MAX_CHECKSUMS: usize = 400;
/// The largest number of checksums that this build sends: at most three bytes each, next to the author's own
/// statement.
pub(crate) const MAX_CHECKSUMS_SENT: usize = 300;
/// The lowest protocol version with checksums and their responses.
pub(crate) const CHECKSUMS_VERSION: u8 = 2;
/// The strength of full suspicion.
pub(crate) const MAX_STRENGTH: u8 = 100;

const MAGIC: [u8; 2] = *b"dg";
const SIGNATURE_BYTES: usize = 64;
const PACKET_DOMAIN: &[u8] = b"dunelink gossip packet\0";
const STATEMENT_DOMAIN: &[u8] = b"dunelink gossip statement\0";

/// Why a packet cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// It is longer than the largest packet or shorter than the smallest.
    #[error("the packet is too long or too short")]
    Length,
    /// It does not start with the magic bytes.
    #[error("not a gossip packet")]
    BadMagic,
    /// Its version is not supported.
    #[error("gossip version {0} is not supported")]
    UnsupportedVersion(u8),
    /// It is malformed, or a part of it is too long.
    #[error("the packet is malformed")]
    Malformed,
}

/// The header has the same format in all versions; the format of what follows may differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Header {
    pub(crate) version: u8,
    /// The highest protocol version that the author supports.
    #[serde(rename = "speaks")]
    pub(crate) max_version: u8,
    pub(crate) from: MemberId,
    pub(crate) key: KeyHint,
    /// The author's process: a random number.
    pub(crate) instance: u64,
    /// The process that the packet is addressed to; 0 if the author knows none. A replayed packet is detected
    /// by it: it names a process that has ended, or its number was received before.
    pub(crate) to_instance: u64,
    /// Grows with each packet of a process.
    pub(crate) number: u64,
}

/// What a packet is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Sent by a process that does not know the receiver's process.
    Join,
    /// Tells a process that does not know this one, or addressed an earlier one, which process this is.
    Welcome,
    /// Asks for an `Ack` with the same number. The response to a bare ping carries no updates, so that it can
    /// be relayed as a whole.
    Ping { number: u64, bare: bool },
    /// The response to a `Ping` with this number.
    Ack(u64),
    /// Asks the receiver to send a `Ping` with this number to another member, and to relay the response.
    PingFor { target: MemberId, number: u64 },
    /// A whole packet with another member's `Ack`, signed by that member, so that a relay cannot forge it.
    #[serde(rename = "Proof")]
    RelayedAck(Vec<u8>),
    /// Carries updates only.
    #[serde(rename = "News")]
    Updates,
    /// The statement numbers that the author knows for members in a range: it lacks statements with higher
    /// numbers.
    Digest { from: MemberId, to: MemberId, known: Vec<(MemberId, u64)> },
    /// Requests the statements of these members.
    #[serde(rename = "Want")]
    Request(Vec<MemberId>),
    /// Checksums of the statements that the author knows for members in a range, with a new salt each time:
    /// it lacks the statements with other checksums.
    #[serde(rename = "Sums")]
    Checksums { from: MemberId, to: MemberId, salt: u64, known: Vec<u16> },
    /// Requested statements, and whether there are more. The receiver does not pass them on as updates.
    #[serde(rename = "Given")]
    Response { more: bool },
    /// Bytes that gossip delivers without interpreting them.
    #[serde(rename = "Carried")]
    Payload(Vec<u8>),
}

/// Whether a member intends to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Lifecycle {
    #[serde(rename = "Here")]
    Running,
    /// It will be back shortly; its share is reserved.
    Restarting,
    Leaving,
}

/// A member's suspicion of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Suspicion {
    /// The server's id, the same at every node.
    pub(crate) server: u64,
    /// From 0 to `MAX_STRENGTH`.
    pub(crate) strength: u8,
    /// The number of requests that it is based on.
    #[serde(rename = "rests_on")]
    pub(crate) sample_count: u16,
    /// How long before the statement was made the suspicion was last observed.
    pub(crate) age_ms: u16,
}

/// Everything that a member states about itself and about servers. The statement with the highest number
/// counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Statement {
    pub(crate) author: MemberId,
    pub(crate) key: KeyHint,
    pub(crate) instance: u64,
    pub(crate) number: u64,
    pub(crate) address: SocketAddr,
    #[serde(rename = "stance")]
    pub(crate) lifecycle: Lifecycle,
    pub(crate) suspicions: Vec<Suspicion>,
}

/// A statement and its author's signature (in two halves, as serde supports arrays of up to 32 elements).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SignedStatement {
    pub(crate) statement: Statement,
    pub(crate) signature: [[u8; 32]; 2],
}

impl SignedStatement {
    pub(crate) fn new(statement: Statement, secret: &Secret) -> SignedStatement {
        let signature = secret.sign(&statement.bytes());
        let (first, second) = signature.split_at(32);
        // Both halves have this length.
        let half = |part: &[u8]| <[u8; 32]>::try_from(part).unwrap_or_default();
        SignedStatement { signature: [half(first), half(second)], statement }
    }

    /// Whether the member that the statement is about signed it, and it is within all limits.
    pub(crate) fn verify(&self, ring: &KeyRing) -> bool {
        let Statement { author, key, ref suspicions, .. } = self.statement;
        let mut signature = [0; SIGNATURE_BYTES];
        signature[..32].copy_from_slice(&self.signature[0]);
        signature[32..].copy_from_slice(&self.signature[1]);
        suspicions.len() <= MAX_SUSPICIONS
            && suspicions.iter().all(|s| s.strength <= MAX_STRENGTH)
            && ring.verify(author, key, &self.statement.bytes(), &signature)
    }

    /// Orders statements of one member: the greater one counts. Two statements with the same number, which an
    /// honest member never makes, are ordered by signature, so that all nodes choose the same one.
    pub(crate) fn precedence(&self) -> (u64, [[u8; 32]; 2]) {
        (self.statement.number, self.signature)
    }

    /// A short checksum that depends on the salt: two different statements may have the same checksum, but
    /// not with every salt.
    pub(crate) fn checksum(&self, salt: u64) -> u16 {
        let Statement { author, number, .. } = self.statement;
        // The finaliser of splitmix64 (Steele, Lea, Flood, 2014).
        let mixed = [author.0, number, u64::from(self.signature[0][0])].iter().fold(salt, |sum, part| {
            let sum = (sum ^ part).wrapping_add(0x9e37_79b9_7f4a_7c15);
            let sum = (sum ^ sum >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            let sum = (sum ^ sum >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
            sum ^ sum >> 31
        });
        mixed as u16
    }

    /// Its size in a packet.
    pub(crate) fn size(&self) -> usize {
        self.statement.bytes().len() - STATEMENT_DOMAIN.len() + SIGNATURE_BYTES + 5
    }
}

impl Statement {
    fn bytes(&self) -> Vec<u8> {
        // Serialisation of this type cannot fail.
        postcard::to_extend(self, STATEMENT_DOMAIN.to_vec()).unwrap_or_default()
    }
}

/// A statement as relayed by other members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RelayedStatement {
    /// The time since the statement was made, as measured by the members that relayed it.
    #[serde(rename = "held_ms")]
    pub(crate) relay_age_ms: u32,
    pub(crate) signed: SignedStatement,
}

/// Reports that a member does not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Accusation {
    pub(crate) accused: MemberId,
    /// The number of the accused member's newest statement that the accuser knew.
    pub(crate) number: u64,
    pub(crate) accuser: MemberId,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Body {
    pub(crate) message: Message,
    pub(crate) accusations: Vec<Accusation>,
    #[serde(rename = "news")]
    pub(crate) updates: Vec<RelayedStatement>,
}

/// A parsed packet; its signature has not been verified yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    pub(crate) header: Header,
    pub(crate) body: Body,
}

/// Parses a packet, in time and memory proportional to its length.
///
/// # Errors
///
/// The packet's version is not supported, it is malformed, or a part of it exceeds its limit.
pub fn parse(bytes: &[u8]) -> Result<Packet, ParseError> {
    if bytes.len() > MAX_PACKET_BYTES || bytes.len() < MAGIC.len() + SIGNATURE_BYTES {
        return Err(ParseError::Length);
    }
    let signed = &bytes[..bytes.len() - SIGNATURE_BYTES];
    let rest = signed.strip_prefix(&MAGIC).ok_or(ParseError::BadMagic)?;
    let (header, rest) = postcard::take_from_bytes::<Header>(rest).map_err(|_| ParseError::Malformed)?;
    if !(MIN_VERSION..=VERSION).contains(&header.version) {
        return Err(ParseError::UnsupportedVersion(header.version));
    }
    let (body, rest) = postcard::take_from_bytes::<Body>(rest).map_err(|_| ParseError::Malformed)?;
    let named_members = match &body.message {
        Message::Digest { known, .. } => known.len(),
        Message::Request(ids) => ids.len(),
        Message::Checksums { known, .. } => known.len().saturating_sub(MAX_CHECKSUMS - MAX_NAMED_MEMBERS),
        _ => 0,
    };
    if named_members > MAX_NAMED_MEMBERS || body.accusations.len() > MAX_ACCUSATIONS || !rest.is_empty() {
        return Err(ParseError::Malformed);
    }
    Ok(Packet { header, body })
}

impl Packet {
    /// Its size, including the signature.
    pub(crate) fn size(&self) -> usize {
        // Serialisation of this type cannot fail.
        let bytes = postcard::to_extend(&self.header, MAGIC.to_vec()).unwrap_or_default();
        postcard::to_extend(&self.body, bytes).map_or(0, |bytes| bytes.len()) + SIGNATURE_BYTES
    }

    /// Encodes and signs the packet. `None` if it exceeds the largest packet.
    pub(crate) fn encode_signed(&self, secret: &Secret) -> Option<Vec<u8>> {
        let bytes = postcard::to_extend(&self.header, MAGIC.to_vec()).ok()?;
        let mut bytes = postcard::to_extend(&self.body, bytes).ok()?;
        let signature = secret.sign(&[PACKET_DOMAIN, &bytes].concat());
        bytes.extend_from_slice(&signature);
        (bytes.len() <= MAX_PACKET_BYTES).then_some(bytes)
    }

    /// Whether the packet's author signed these bytes, which the packet was parsed from.
    pub(crate) fn verify(&self, bytes: &[u8], ring: &KeyRing) -> bool {
        let Some((signed, signature)) = bytes.split_last_chunk::<SIGNATURE_BYTES>() else { return false };
        ring.verify(self.header.from, self.header.key, &[PACKET_DOMAIN, signed].concat(), signature)
    }
}

/// Converts to milliseconds for a packet.
pub(crate) fn millis(span: Micros) -> u32 {
    u32::try_from(span / 1000).unwrap_or(u32::MAX)
}
