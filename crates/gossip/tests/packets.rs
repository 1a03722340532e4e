//! Received packets and key files: real packets, the fuzzing corpus and random bytes.

use dunelink_gossip::sim::{Net, address};
use dunelink_gossip::{Input, KeyRing, MAX_PACKET_BYTES, ParseError, Secret, ServerObservation, parse};
use proptest::prelude::*;
use testkit::corpus;

/// Real packets of all kinds, from nodes that join, lose packets in one direction and suspect servers.
fn packets() -> Vec<Vec<u8>> {
    let mut net = Net::new(4, 21, |_, _| {});
    net.recorded = Some(Vec::new());
    net.is_cut = Box::new(|from, to| from == 0 && to == 1);
    net.start_all();
    let observe = |node: usize, now| {
        let strength = if now % 3_000_000 < 1_500_000 { 1.0 } else { 0.0 };
        vec![ServerObservation {
            server: node as u64,
            suspicion: strength,
            recent_answers: 0,
            sample_count: 3,
        }]
    };
    net.run_until(10_000_000, &observe);
    net.recorded.take().unwrap().into_iter().map(|(_, _, bytes)| bytes).collect()
}

#[test]
fn real_packets_parse_within_the_size_limit() {
    let packets = packets();
    assert!(packets.len() > 200 && packets.iter().all(|bytes| bytes.len() <= MAX_PACKET_BYTES));
    assert!(packets.iter().all(|bytes| parse(bytes).is_ok()));
    // A truncated packet never parses.
    let longest = packets.iter().max_by_key(|bytes| bytes.len()).unwrap();
    assert!((0..longest.len()).all(|end| parse(&longest[..end]).is_err()));
}

#[test]
fn corpus_contains_valid_and_invalid_packets() {
    let read: Vec<bool> = corpus("gossip_packet").iter().map(|bytes| parse(bytes).is_ok()).collect();
    assert!(read.iter().any(|ok| *ok) && read.iter().any(|ok| !ok));
}

#[test]
fn parse_errors_distinguish_magic_version_and_length() {
    let packet = packets().swap_remove(0);
    assert_eq!(parse(&[0; MAX_PACKET_BYTES + 1]), Err(ParseError::Length));
    assert_eq!(parse(&[0; 10]), Err(ParseError::Length));
    let parse_with = |at: usize, byte: u8| {
        let mut packet = packet.clone();
        packet[at] = byte;
        parse(&packet)
    };
    assert_eq!(parse_with(0, b'x'), Err(ParseError::BadMagic));
    assert_eq!(parse_with(2, 9), Err(ParseError::UnsupportedVersion(9)));
}

#[test]
fn invalid_key_files_name_the_line() {
    let public_key = Secret::from_seed([1; 32]).public_hex();
    let ring = |text: &str| KeyRing::parse(text).unwrap_err();
    assert_eq!(ring(&format!("n0 {public_key}\n\n# x\nn1\n")).line, 4);
    assert_eq!(ring(&format!("n0 {public_key} more\n")).line, 1);
    assert_eq!(ring(&format!("n0 {}\n", "00".repeat(32))).expected, "expected a key that is not weak");
    assert_eq!(ring(&format!("n0 {public_key}\n").repeat(4)).line, 4);
    assert!(Secret::parse("# nothing\n").is_err() && Secret::parse("00\n").is_err());
    assert!(Secret::parse(&format!("{0}\n{0}\n", "01".repeat(32))).is_err());
    let secret = Secret::parse(&format!("# mine\n{}\n", "01".repeat(32))).unwrap();
    assert!(!format!("{secret:?}").contains("01"), "debug output hides the secret");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    #[test]
    fn unsigned_bytes_are_never_accepted(bytes in prop::collection::vec(any::<u8>(), 0..1300), keep in 0..60_usize) {
        let mut net = Net::new(2, 1, |_, _| {});
        net.start(0);
        // The second variant starts with a valid prefix.
        let real = b"dg\x01\x01";
        let mixed: Vec<u8> = real.iter().copied().chain(bytes.iter().copied()).take(keep + bytes.len()).collect();
        for bytes in [&bytes, &mixed] {
            net.input(0, Input::Packet(address(1), bytes));
        }
        let gossip = net.nodes[0].gossip.as_ref().unwrap();
        prop_assert_eq!(gossip.counters().accepted, 0);
        prop_assert!(gossip.members().is_empty());
    }
}
