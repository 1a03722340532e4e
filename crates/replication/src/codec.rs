//! CBOR encoding of records and messages.

use minicbor::{Decode, Encode};

/// The bytes are not a valid record or message of this version.
#[derive(Debug, thiserror::Error)]
#[error("malformed replication data ({0}); check that all replicas run the same version")]
pub struct CodecError(#[from] minicbor::decode::Error);

/// Encodes a [`crate::Record`], a [`crate::Message`] or any part of one.
pub fn encode<T: Encode<()>>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut encoder = minicbor::Encoder::new(&mut bytes);
    // Writing to a vector cannot fail.
    let _ = encoder.encode(value);
    bytes
}

/// Decodes the output of [`encode`]. Trailing bytes are an error.
pub fn decode<'b, T: Decode<'b, ()>>(bytes: &'b [u8]) -> Result<T, CodecError> {
    let mut decoder = minicbor::Decoder::new(bytes);
    let value = decoder.decode()?;
    if decoder.position() == bytes.len() {
        return Ok(value);
    }
    Err(CodecError(minicbor::decode::Error::message("trailing bytes after the value")))
}

/// Encodes socket addresses as text.
pub(crate) mod address {
    use std::net::SocketAddr;

    use minicbor::decode::Error;
    use minicbor::encode::Write;
    use minicbor::{Decoder, Encoder};

    pub(crate) fn encode<C, W: Write>(
        address: &SocketAddr,
        encoder: &mut Encoder<W>,
        _: &mut C,
    ) -> Result<(), minicbor::encode::Error<W::Error>> {
        encoder.str(&address.to_string())?;
        Ok(())
    }

    pub(crate) fn decode<C>(decoder: &mut Decoder<'_>, _: &mut C) -> Result<SocketAddr, Error> {
        decoder.str()?.parse().map_err(|_| Error::message("not a socket address"))
    }
}
