//! Complete frames, written byte by byte as the protocol specifies them.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use cherryusher::*;
use cherryusher_drill::wire::{Batch, Decoder, Record, Reply, parse_settings};

/// Bytes from hex text; whitespace is ignored.
fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(|b| !b.is_ascii_whitespace()).collect();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    digits.chunks(2).map(byte).collect()
}

/// Decodes records after a batch header with time 7 and number 9.
fn records(decoder: &mut Decoder, text: &str) -> Vec<Record> {
    let frame = [hex("0700000000000000 09000000"), hex(text)].concat();
    decoder.batch(&frame).unwrap().records
}

const SERVER: ServerId = 0x0a12_4a07_138b;

#[test]
fn decodes_an_empty_batch() {
    let batch = Decoder::default().batch(&hex("5a5c800000000000 01000000")).unwrap();
    assert_eq!(batch, Batch { now: 0x80_5c5a, number: 1, records: vec![] });
}

#[test]
fn decodes_a_request() {
    let text = "0c00 0300  0300 c4913a5de1dd0700 00 80a90300 e02e0000 640ad2557c3bf091 01 02000000";
    let request = Request {
        id: 0x0007_dde1_5d3a_91c4,
        class: 0,
        remaining: 240_000,
        expected_work: Some(12_000),
        key: Some(0x91f0_3b7c_55d2_0a64),
        tenant: Some(2),
    };
    let expected = [Record::Node(3), Record::Event(Event::RequestArrived(request))];
    assert_eq!(records(&mut Decoder::default(), text), expected);
}

#[test]
fn absent_values_become_none() {
    let text = "0300 0100000000000000 02 01000000 e02e0000 0000000000000000 02 00000000";
    let decoded = records(&mut Decoder::default(), text);
    let [Record::Event(Event::RequestArrived(request))] = decoded[..] else { panic!("{decoded:?}") };
    assert_eq!((request.expected_work, request.key, request.class), (None, None, 2));
}

#[test]
fn decodes_every_other_event() {
    let ended = "0500 0100000000000000 0200 01 68 44480000 0a124a07 8b13 02 0000803f 00000040";
    let ended_event = AttemptEnd {
        request: 1,
        attempt: 2,
        outcome: Outcome::Reset,
        elapsed: 18_500,
        request_finished: true,
    };
    let cases = [
        ("0400 0100000000000000 0a124a07 8b13 0200 44480000", vec![Event::ResponseStreamStarted(1, 2)]),
        (ended, vec![Event::AttemptEnded(ended_event)]),
        ("0600 192b6f0eec3e0600", vec![Event::ClientLeft(0x0006_3eec_0e6f_2b19)]),
        ("0700 4d00000000000000", vec![Event::TimerFired(0x4d)]),
        ("0800 44480000 0a124a07 8b13 00 01 0000803f", vec![]),
        ("0900 01000000 0200 6869", vec![]),
        ("0200 03 0000000000000000 ff", vec![Event::DiscoveryFailed]),
    ];
    for (text, events) in cases {
        let expected: Vec<Record> = events.into_iter().map(Record::Event).collect();
        assert_eq!(records(&mut Decoder::default(), text), expected, "{text}");
    }
    assert_eq!(records(&mut Decoder::default(), "0a00"), [Record::Crash]);
}

#[test]
fn decodes_every_outcome() {
    let known = [
        ("00", Outcome::Served),
        ("05", Outcome::Error),
        ("0b", Outcome::Rejected),
        ("68", Outcome::Reset),
        ("6e", Outcome::TimedOut),
        ("6f", Outcome::ConnectFailed),
        ("72", Outcome::NotSent),
        ("7d", Outcome::Cancelled),
    ];
    for (code, outcome) in known {
        let text = format!("0500 0100000000000000 0000 00 {code} 44480000 0a124a07 8b13 00");
        let decoded = records(&mut Decoder::default(), &text);
        let [Record::Event(Event::AttemptEnded(ended))] = &decoded[..] else { panic!("{decoded:?}") };
        assert_eq!((ended.outcome, ended.request_finished), (outcome, false));
    }
}

#[test]
fn list_number_refers_to_the_newest_list() {
    let mut decoder = Decoder::default();
    let one = "0b00 00 01000000 02 0000000000000000 00 0a124a07 8b13 0000 0000803f 00";
    let two = "0b00 00 01000000 01 20145d0000000000 01 0a124a07 8b13 0500 0000c03f 03";
    let send_changes = "0200 00 2900000000000000 00";
    let decoded = records(&mut decoder, &format!("{one} 0200 02 2900000000000000 00 {two} {send_changes}"));
    let ready = ServerEntry {
        id: SERVER,
        state: ServerState::Ready,
        ready_at: 0,
        zone: 0,
        cell: 0,
        weight: 1.0,
        kind: 0,
    };
    let draining = ServerEntry {
        state: ServerState::Draining,
        ready_at: 0x5d_1420,
        zone: 1,
        cell: 5,
        weight: 1.5,
        kind: 3,
        ..ready
    };
    let expected = [
        Record::Event(Event::CachedServerList(vec![ready])),
        Record::Event(Event::ServerChanges(vec![draining])),
    ];
    assert_eq!(decoded, expected);
    let later = records(&mut decoder, "0200 01 2900000000000000 00");
    assert_eq!(later, [Record::Event(Event::ServerList(vec![draining]))]);
}

#[test]
fn invalid_weight_counts_as_unknown() {
    for weight in ["0000c07f", "0000807f", "000080bf"] {
        let list = format!("0b00 00 01000000 02 0000000000000000 00 0a124a07 8b13 0000 {weight} 00");
        let decoded = records(&mut Decoder::default(), &format!("{list} 0200 02 2900000000000000 00"));
        let [Record::Event(Event::CachedServerList(entries))] = &decoded[..] else { panic!("{decoded:?}") };
        assert_eq!(entries[0].weight, 0.0, "{weight}");
    }
}

#[test]
fn parses_known_unknown_and_absent_settings() {
    let text = "balancers=2\nrank=1\nnew.key=1\nservices.count=1\nservices.0.idempotency=token\n\
                services.0.dedup_scope=cell\nservices.0.window_us=4000000\nparties.count=1\n\
                parties.0.quota_rps=52.0\ndiscovery=subscribe\nobligations.ask_every_us=10000000\n";
    let s = parse_settings(text.as_bytes()).unwrap();
    assert_eq!(
        s.classes[0].idempotency,
        Idempotency::Deduplicated { scope: DedupScope::Cell, window: 4_000_000 }
    );
    assert_eq!((s.balancers, s.rank, s.tenants[0].quota_per_s), (2, 1, 52.0));
    assert_eq!(s.discovery, Discovery::Subscribed { max_retry_interval: 10_000_000 });
    assert_eq!((s.max_attempts, s.cancelling, s.hedging), (1, false, false));
    let count = parse_settings(b"services.count=4000000000").unwrap_err();
    assert!(count.to_string().contains("services.count"));
}

#[test]
fn encodes_a_reply() {
    let mut reply = Reply::default();
    reply.action(3, Action::Send { request: 0x0007_dde1_5d3a_91c4, server: SERVER, start_before: None });
    reply.action(3, Action::SetTimer { after: 500_000, token: 0x4d });
    reply.action(5, Action::Refuse { request: 1, retry_after: 9 });
    reply.action(5, Action::Fail(2));
    reply.action(5, Action::Cancel(2, 1));
    reply.action(5, Action::Subscribe);
    let body = hex("0d00 0300  0100 c4913a5de1dd0700 0a124a07 8b13 00000000  0500 20a10700 4d00000000000000
         0d00 0500  0200 0100000000000000 09000000  0300 0200000000000000
         0400 0200000000000000 0100  0b00 01");
    let mut frame = hex("08000000");
    frame.extend((body.len() as u32 + 4).to_le_bytes());
    frame.extend(hex("0c000000"));
    frame.extend(body);
    assert_eq!(reply.frame(12), frame);
}

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cherryusher-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The adapter may exit before it has read all of a malformed input.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

#[test]
fn adapter_replies_and_ends_with_its_input() {
    let out = run_adapter(&hex("0c000000 5a5c800000000000 01000000"));
    assert!(out.status.success());
    assert_eq!(out.stdout, hex("00000000 04000000 01000000"));
}

#[test]
fn adapter_reports_malformed_input() {
    let header = "5a5c800000000000 01000000";
    let cases = [
        ("0c0000", "within a frame's length"),
        ("ffffffff 5a5c", "within a frame"),
        ("04000000 00000000", "announced"),
        (&format!("0e000000 {header} 6300"), "unknown record code 99"),
        (&format!("13000000 {header} 0b00 00 ffffffff"), "announced"),
        (&format!("1a000000 {header} 0100 0000000000000000 ffffffff"), "announced"),
        (&format!("1a000000 {header} 0100 0000000000000000 00000000"), "no request classes"),
    ];
    for (input, message) in cases {
        let out = run_adapter(&hex(input));
        let stderr = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success() && stderr.contains(message), "{input}: {stderr}");
        assert!(stderr.lines().count() == 1 && !stderr.contains("panicked"), "{stderr}");
    }
}

#[test]
fn parses_weights_and_overload_factor() {
    let parse = |text: &str| cherryusher_drill::wire::parse_settings(text.as_bytes()).unwrap();
    let live = parse("weights=live\nobligations.fall_multiple=2.5\n");
    assert!(live.live_weights && live.overload_factor == 2.5);
    let nominal = parse("weights=nominal\n");
    assert!(!nominal.live_weights && nominal.overload_factor == Settings::default().overload_factor);
}

#[test]
fn fuzz_corpus_does_not_panic() {
    let frames = testkit::corpus("wire_batch");
    let valid = frames.iter().filter(|frame| Decoder::default().batch(frame).is_ok()).count();
    assert!(valid > 0);
}
