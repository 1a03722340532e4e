//! Configurations in parts: order, superseding, bounds, never back.

use bytes::Bytes;
use dunelink_feed::{CHUNK_BYTES, Configuration, ConfigurationAssembler, FeedError, MAX_CONFIGURATION_BYTES};
use dunelink_protocol::ConfigurationChunk;

fn part(version: u64, total_bytes: u64, offset: u64, bytes: &[u8]) -> ConfigurationChunk {
    ConfigurationChunk { version, total_bytes, offset, bytes: bytes.to_vec() }
}

fn whole(version: u64, text: &str) -> Configuration {
    Configuration { version, bytes: Bytes::copy_from_slice(text.as_bytes()) }
}

#[test]
fn parts_in_order_make_the_whole() {
    let mut assembly = ConfigurationAssembler::default();
    assert_eq!(assembly.accept(part(3, 5, 0, b"ab"), 0), Ok(None));
    assert!(assembly.is_partial());
    assert_eq!(assembly.accept(part(3, 5, 2, b"cde"), 0), Ok(Some(whole(3, "abcde"))));
    assert!(!assembly.is_partial());
}

#[test]
fn a_newer_version_abandons_the_older_one() {
    let mut assembly = ConfigurationAssembler::default();
    assembly.accept(part(3, 5, 0, b"ab"), 0).expect("fits");
    assert_eq!(assembly.accept(part(4, 2, 0, b"xy"), 0), Ok(Some(whole(4, "xy"))));
    assert_eq!(assembly.accept(part(3, 5, 2, b"cde"), 4), Ok(None), "the rest of the older one is ignored");
}

#[test]
fn parts_of_an_older_version_do_not_disturb_a_newer_one() {
    let mut assembly = ConfigurationAssembler::default();
    assembly.accept(part(4, 4, 0, b"wx"), 0).expect("fits");
    assert_eq!(assembly.accept(part(3, 2, 0, b"ab"), 0), Ok(None));
    assert_eq!(assembly.accept(part(4, 4, 2, b"yz"), 0), Ok(Some(whole(4, "wxyz"))));
}

#[test]
fn a_version_that_begins_anew_is_taken_from_its_first_part() {
    let mut assembly = ConfigurationAssembler::default();
    assembly.accept(part(3, 4, 0, b"ab"), 0).expect("fits");
    assembly.accept(part(3, 4, 0, b"ab"), 0).expect("the source was asked again");
    assert_eq!(assembly.accept(part(3, 4, 2, b"cd"), 0), Ok(Some(whole(3, "abcd"))));
}

#[test]
fn what_is_held_or_older_is_ignored() {
    let mut assembly = ConfigurationAssembler::default();
    assert_eq!(assembly.accept(part(7, 2, 0, b"ab"), 7), Ok(None));
    assert_eq!(assembly.accept(part(6, 2, 0, b"ab"), 7), Ok(None));
    assembly.accept(part(8, 4, 0, b"ab"), 7).expect("fits");
    assert_eq!(assembly.accept(part(8, 4, 2, b"cd"), 8), Ok(None), "another source was faster");
    assert!(!assembly.is_partial());
}

#[test]
fn parts_that_do_not_fit_end_the_connection() {
    let gap = FeedError::ConfigurationGap { version: 3, offset: 3, expected: 2 };
    let misfit = FeedError::ConfigurationChunkMismatch { version: 3 };
    let total_bytes = MAX_CONFIGURATION_BYTES + 1;
    let large = FeedError::ConfigurationTooLarge { version: 9, total_bytes };
    let cases = [
        (part(3, 5, 3, b"de"), gap),
        (part(3, 6, 2, b"cd"), misfit.clone()),
        (part(3, 5, 2, b"cdef"), misfit.clone()),
        (part(3, 5, 2, b""), misfit),
        (part(9, total_bytes, 0, b"a"), large),
    ];
    for (wrong, error) in cases {
        let mut assembly = ConfigurationAssembler::default();
        assembly.accept(part(3, 5, 0, b"ab"), 0).expect("fits");
        assert_eq!(assembly.accept(wrong, 0), Err(error));
    }
    let gap = FeedError::ConfigurationGap { version: 3, offset: 2, expected: 0 };
    assert_eq!(
        ConfigurationAssembler::default().accept(part(3, 5, 2, b"cd"), 0),
        Err(gap),
        "a later part cannot come first"
    );
}

#[test]
fn a_configuration_cut_into_parts_is_put_together_again() {
    let bytes: Vec<u8> = (0..CHUNK_BYTES * 2 + 7).map(|index| index as u8).collect();
    let configuration = Configuration { version: 2, bytes: Bytes::from(bytes) };
    let mut assembly = ConfigurationAssembler::default();
    let mut offset = 0;
    let mut taken = None;
    while let Some(chunk) = configuration.chunk(offset) {
        offset += chunk.bytes.len() as u64;
        taken = assembly.accept(chunk, 0).expect("fits");
    }
    assert_eq!(taken, Some(configuration.clone()));
    assert_eq!(configuration.chunk(offset + 1), None);
    assert_eq!(configuration.chunk(u64::MAX), None);
}
