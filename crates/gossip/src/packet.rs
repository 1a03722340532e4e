//! The form on the wire. A packet is `dg`, a header, a message, news, and its author's Ed25519 signature over
//! all of that. News are statements, each signed by the member that it is about, so that who passes them on
//! can hold them back but not change them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::keys::{KeyHint, KeyRing, MemberId, Secret};

/// The longest packet: what fits one Ethernet frame, with room for tunnels.
pub const MAX_PACKET_BYTES: usize = 1200;
/// The highest version of the form that this build speaks.
pub const VERSION: u8 = 2;
/// The lowest version that this build still speaks; what is sent to a stranger is in this one.
pub(crate) const VERSION_LEAST: u8 = 1;
/// Servers that one statement may suspect.
pub(crate) const SUSPICIONS_MOST: usize = 8;
/// Accusations that one packet may hold.
pub(crate) const ACCUSATIONS_MOST: usize = 4;
/// Members that one digest or request may name.
pub(crate) const NAMED_MOST: usize = 40;
/// Members of which one packet may hold a sum.
pub(crate) const SUMS_MOST: usize = 400;
/// Sums that are sent at once: three bytes each at most, beside the author's own statement.
pub(crate) const SUMS_SENT: usize = 300;
/// The lowest version that knows sums and what is given by them.
pub(crate) const SUMS_FROM: u8 = 2;
/// Strength is told in so many steps.
pub(crate) const STRONGEST: u8 = 100;

const MAGIC: [u8; 2] = *b"dg";
const SIGNATURE: usize = 64;
const PACKET_DOMAIN: &[u8] = b"dunelink gossip packet\0";
const STATEMENT_DOMAIN: &[u8] = b"dunelink gossip statement\0";

/// Why a packet can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// It is longer than a packet may be, or too short for one.
    #[error("its length is none that a packet has")]
    Length,
    /// It does not begin as packets do.
    #[error("it is no gossip packet")]
    BadMagic,
    /// It is in a version that this build does not speak.
    #[error("it is in version {0}")]
    UnsupportedVersion(u8),
    /// Its parts can't be told apart, or one holds more than it may.
    #[error("its parts can't be read")]
    Malformed,
}

/// The same in all versions, but for what follows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Header {
    pub(crate) version: u8,
    /// The highest version that the author speaks.
    pub(crate) speaks: u8,
    pub(crate) from: MemberId,
    pub(crate) key: KeyHint,
    /// The author's process: a random number.
    pub(crate) instance: u64,
    /// The process that it is meant for; 0 where the author knows none. What was recorded yesterday names one
    /// that is gone, or bears a number that was met.
    pub(crate) to_instance: u64,
    /// Goes up with each packet of a process.
    pub(crate) number: u64,
}

/// What a packet is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// From a process that does not know which one it speaks to.
    Join,
    /// Tells a stranger, or who took this process for another one, which one it is.
    Welcome,
    /// Wants an `Ack` with the same number; a bare one is passed on as a proof.
    Ping { number: u64, bare: bool },
    /// The answer.
    Ack(u64),
    /// Asks for a `Ping` with this number to another member, and the answer in a `Proof`.
    PingFor { target: MemberId, number: u64 },
    /// A whole packet with a member's `Ack`, signed by that member: who passes it on can't make it up.
    Proof(Vec<u8>),
    /// Nothing but news.
    News,
    /// What the author knows of the members from one to the other: those with a higher number are wanted.
    Digest { from: MemberId, to: MemberId, known: Vec<(MemberId, u64)> },
    /// Statements that are wanted.
    Want(Vec<MemberId>),
    /// Sums of the statements that the author knows of members from one to the other, salted anew each time:
    /// the statements with other sums are wanted.
    Sums { from: MemberId, to: MemberId, salt: u64, known: Vec<u16> },
    /// Statements that were asked for, and whether there are more. They are no news, and not passed on as
    /// such.
    Given { more: bool },
    /// Something that gossip hands on without reading it.
    Carried(Vec<u8>),
}

/// Whether a member means to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Stance {
    Here,
    /// It will be back in a moment; its part is kept for it.
    Restarting,
    Leaving,
}

/// What a member says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Suspicion {
    /// The server's id, the same at every node.
    pub(crate) server: u64,
    /// In steps of which there are `STRONGEST`.
    pub(crate) strength: u8,
    /// How many requests that rests on.
    pub(crate) rests_on: u16,
    /// How long ago it was last seen, when the statement was made.
    pub(crate) age_ms: u16,
}

/// All that a member says of itself and of servers. The one with the highest number counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Statement {
    pub(crate) author: MemberId,
    pub(crate) key: KeyHint,
    pub(crate) instance: u64,
    pub(crate) number: u64,
    pub(crate) address: SocketAddr,
    pub(crate) stance: Stance,
    pub(crate) suspicions: Vec<Suspicion>,
}

/// A statement and its author's signature (in two halves, for serde).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Signed {
    pub(crate) statement: Statement,
    pub(crate) signature: [[u8; 32]; 2],
}

impl Signed {
    pub(crate) fn new(statement: Statement, secret: &Secret) -> Signed {
        let signature = secret.sign(&statement.bytes());
        let (one, two) = signature.split_at(32);
        // Both halves are of that length.
        let half = |part: &[u8]| <[u8; 32]>::try_from(part).unwrap_or_default();
        Signed { signature: [half(one), half(two)], statement }
    }

    /// Whether the member that it is about signed it, and it holds no more than it may.
    pub(crate) fn holds(&self, ring: &KeyRing) -> bool {
        let Statement { author, key, ref suspicions, .. } = self.statement;
        let mut signature = [0; SIGNATURE];
        signature[..32].copy_from_slice(&self.signature[0]);
        signature[32..].copy_from_slice(&self.signature[1]);
        suspicions.len() <= SUSPICIONS_MOST
            && suspicions.iter().all(|s| s.strength <= STRONGEST)
            && ring.verify(author, key, &self.statement.bytes(), &signature)
    }

    /// Which of two statements of one member counts: the higher number; of two with one number, which an
    /// honest member never makes, the same one at all nodes.
    pub(crate) fn order(&self) -> (u64, [[u8; 32]; 2]) {
        (self.statement.number, self.signature)
    }

    /// A short sum, other with each salt: of two different statements it may be the same, but not for long.
    pub(crate) fn sum(&self, salt: u64) -> u16 {
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

    /// How many bytes it takes in a packet.
    pub(crate) fn size(&self) -> usize {
        self.statement.bytes().len() - STATEMENT_DOMAIN.len() + SIGNATURE + 5
    }
}

impl Statement {
    fn bytes(&self) -> Vec<u8> {
        // Its form has no part that can fail.
        postcard::to_extend(self, STATEMENT_DOMAIN.to_vec()).unwrap_or_default()
    }
}

/// A statement on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Carried {
    /// How long it has been under way, by the clocks of those who held it.
    pub(crate) held_ms: u32,
    pub(crate) signed: Signed,
}

/// Somebody found that a member does not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Accusation {
    pub(crate) accused: MemberId,
    /// The number of the statement that was known of it.
    pub(crate) number: u64,
    pub(crate) accuser: MemberId,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Body {
    pub(crate) message: Message,
    pub(crate) accusations: Vec<Accusation>,
    pub(crate) news: Vec<Carried>,
}

/// A packet that was read; whether its author made it is not known yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    pub(crate) header: Header,
    pub(crate) body: Body,
}

/// Reads a packet. It takes time and memory in proportion to its length.
///
/// # Errors
///
/// It is none of a version that this build speaks, or some part of it is longer than it may be.
pub fn parse(bytes: &[u8]) -> Result<Packet, ParseError> {
    if bytes.len() > MAX_PACKET_BYTES || bytes.len() < MAGIC.len() + SIGNATURE {
        return Err(ParseError::Length);
    }
    let signed = &bytes[..bytes.len() - SIGNATURE];
    let rest = signed.strip_prefix(&MAGIC).ok_or(ParseError::BadMagic)?;
    let (header, rest) = postcard::take_from_bytes::<Header>(rest).map_err(|_| ParseError::Malformed)?;
    if !(VERSION_LEAST..=VERSION).contains(&header.version) {
        return Err(ParseError::UnsupportedVersion(header.version));
    }
    let (body, rest) = postcard::take_from_bytes::<Body>(rest).map_err(|_| ParseError::Malformed)?;
    let named = match &body.message {
        Message::Digest { known, .. } => known.len(),
        Message::Want(ids) => ids.len(),
        Message::Sums { known, .. } => known.len().saturating_sub(SUMS_MOST - NAMED_MOST),
        _ => 0,
    };
    if named > NAMED_MOST || body.accusations.len() > ACCUSATIONS_MOST || !rest.is_empty() {
        return Err(ParseError::Malformed);
    }
    Ok(Packet { header, body })
}

impl Packet {
    /// How many bytes it takes, signature included.
    pub(crate) fn size(&self) -> usize {
        // Its form has no part that can fail.
        let bytes = postcard::to_extend(&self.header, MAGIC.to_vec()).unwrap_or_default();
        postcard::to_extend(&self.body, bytes).map_or(0, |bytes| bytes.len()) + SIGNATURE
    }

    /// Its bytes, signed. `None` if it is longer than a packet may be.
    pub(crate) fn seal(&self, secret: &Secret) -> Option<Vec<u8>> {
        let bytes = postcard::to_extend(&self.header, MAGIC.to_vec()).ok()?;
        let mut bytes = postcard::to_extend(&self.body, bytes).ok()?;
        let signature = secret.sign(&[PACKET_DOMAIN, &bytes].concat());
        bytes.extend_from_slice(&signature);
        (bytes.len() <= MAX_PACKET_BYTES).then_some(bytes)
    }

    /// Whether these bytes, that it was read from, are its author's.
    pub(crate) fn holds(&self, bytes: &[u8], ring: &KeyRing) -> bool {
        let Some((signed, signature)) = bytes.split_last_chunk::<SIGNATURE>() else { return false };
        ring.verify(self.header.from, self.header.key, &[PACKET_DOMAIN, signed].concat(), signature)
    }
}

/// Milliseconds, for a packet.
pub(crate) fn millis(span: Micros) -> u32 {
    u32::try_from(span / 1000).unwrap_or(u32::MAX)
}
