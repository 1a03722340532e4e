//! Assembly of configurations from chunks: order, newer versions, limits; versions never decrease.

use bytes::Bytes;
use dunelink_feed::{CHUNK_BYTES, Configuration, ConfigurationAssembler, FeedError, MAX_CONFIGURATION_BYTES};
use dunelink_protocol::ConfigurationChunk;

fn chunk(version: u64, total_bytes: u64, offset: u64, bytes: &[u8]) -> ConfigurationChunk {
    ConfigurationChunk { version, total_bytes, offset, bytes: bytes.to_vec() }
}

fn configuration(version: u64, text: &str) -> Configuration {
    Configuration { version, bytes: Bytes::copy_from_slice(text.as_bytes()) }
}

#[test]
fn chunks_in_order_complete_the_configuration() {
    let mut assembler = ConfigurationAssembler::default();
    assert_eq!(assembler.accept(chunk(3, 5, 0, b"ab"), 0), Ok(None));
    assert!(assembler.is_partial());
    assert_eq!(assembler.accept(chunk(3, 5, 2, b"cde"), 0), Ok(Some(configuration(3, "abcde"))));
    assert!(!assembler.is_partial());
}

#[test]
fn newer_version_discards_the_partial_older_one() {
    let mut assembler = ConfigurationAssembler::default();
    assembler.accept(chunk(3, 5, 0, b"ab"), 0).expect("valid chunk");
    assert_eq!(assembler.accept(chunk(4, 2, 0, b"xy"), 0), Ok(Some(configuration(4, "xy"))));
    assert_eq!(
        assembler.accept(chunk(3, 5, 2, b"cde"), 4),
        Ok(None),
        "chunks of the older version are ignored"
    );
}

#[test]
fn chunks_of_an_older_version_are_ignored() {
    let mut assembler = ConfigurationAssembler::default();
    assembler.accept(chunk(4, 4, 0, b"wx"), 0).expect("valid chunk");
    assert_eq!(assembler.accept(chunk(3, 2, 0, b"ab"), 0), Ok(None));
    assert_eq!(assembler.accept(chunk(4, 4, 2, b"yz"), 0), Ok(Some(configuration(4, "wxyz"))));
}

#[test]
fn chunk_at_offset_zero_restarts_the_assembly() {
    let mut assembler = ConfigurationAssembler::default();
    assembler.accept(chunk(3, 4, 0, b"ab"), 0).expect("valid chunk");
    assembler.accept(chunk(3, 4, 0, b"ab"), 0).expect("assembly restarts");
    assert_eq!(assembler.accept(chunk(3, 4, 2, b"cd"), 0), Ok(Some(configuration(3, "abcd"))));
}

#[test]
fn current_and_older_versions_are_ignored() {
    let mut assembler = ConfigurationAssembler::default();
    assert_eq!(assembler.accept(chunk(7, 2, 0, b"ab"), 7), Ok(None));
    assert_eq!(assembler.accept(chunk(6, 2, 0, b"ab"), 7), Ok(None));
    assembler.accept(chunk(8, 4, 0, b"ab"), 7).expect("valid chunk");
    assert_eq!(
        assembler.accept(chunk(8, 4, 2, b"cd"), 8),
        Ok(None),
        "another source completed this version first"
    );
    assert!(!assembler.is_partial());
}

#[test]
fn mismatching_chunks_are_errors() {
    let gap = FeedError::ConfigurationGap { version: 3, offset: 3, expected: 2 };
    let mismatch = FeedError::ConfigurationChunkMismatch { version: 3 };
    let total_bytes = MAX_CONFIGURATION_BYTES + 1;
    let too_large = FeedError::ConfigurationTooLarge { version: 9, total_bytes };
    let cases = [
        (chunk(3, 5, 3, b"de"), gap),
        (chunk(3, 6, 2, b"cd"), mismatch.clone()),
        (chunk(3, 5, 2, b"cdef"), mismatch.clone()),
        (chunk(3, 5, 2, b""), mismatch),
        (chunk(9, total_bytes, 0, b"a"), too_large),
    ];
    for (invalid, error) in cases {
        let mut assembler = ConfigurationAssembler::default();
        assembler.accept(chunk(3, 5, 0, b"ab"), 0).expect("valid chunk");
        assert_eq!(assembler.accept(invalid, 0), Err(error));
    }
    let gap = FeedError::ConfigurationGap { version: 3, offset: 2, expected: 0 };
    assert_eq!(
        ConfigurationAssembler::default().accept(chunk(3, 5, 2, b"cd"), 0),
        Err(gap),
        "the first chunk must begin at offset 0"
    );
}

#[test]
fn chunked_configuration_is_reassembled() {
    let bytes: Vec<u8> = (0..CHUNK_BYTES * 2 + 7).map(|index| index as u8).collect();
    let configuration = Configuration { version: 2, bytes: Bytes::from(bytes) };
    let mut assembler = ConfigurationAssembler::default();
    let mut offset = 0;
    let mut assembled = None;
    while let Some(chunk) = configuration.chunk(offset) {
        offset += chunk.bytes.len() as u64;
        assembled = assembler.accept(chunk, 0).expect("valid chunk");
    }
    assert_eq!(assembled, Some(configuration.clone()));
    assert_eq!(configuration.chunk(offset + 1), None);
    assert_eq!(configuration.chunk(u64::MAX), None);
}
