//! Merging the logs of several nodes: log formats, clock differences and contradictions.

use dunelink_timeline::{Event, Log, Micros, merge, parse};
use proptest::prelude::*;

/// A text log line `ms` milliseconds after a fixed time.
fn line(ms: u64, rest: &str) -> String {
    format!("2026-12-02T01:00:{:02}.{:03}000Z  INFO fleet: {rest}", ms / 1000, ms % 1000)
}

fn log(name: &str, lines: &[String]) -> Log {
    Log::read(name, lines.iter().map(String::as_str))
}

fn view(ms: u64, node: &str, epoch: u64, members: &str) -> String {
    line(ms, &format!("view decided node=\"{node}\" epoch=\"1.{epoch}\" members=\"{members}\""))
}

fn lease(ms: u64, node: &str, held: bool, more: &str) -> String {
    line(ms, &format!("lease node=\"{node}\" of=\"chair\" held={held}{more}"))
}

#[test]
fn text_and_json_parse_to_the_same_event() {
    let text = line(1500, "side node=\"n 0\" side=\"minority\" cause=\"n1, \\\"n2\\\" not heard\" ms=12");
    let json = r#"{"timestamp":"2026-12-02T01:00:01.500000Z","level":"INFO","target":"fleet",
        "fields":{"message":"side","node":"n 0","side":"minority","cause":"n1, \"n2\" not heard","ms":12}}"#;
    let (text, json) = (parse(&text).unwrap(), parse(&json.replace('\n', "")).unwrap());
    assert_eq!(text, json);
    assert_eq!((text.message.as_str(), text.field("cause")), ("side", Some("n1, \"n2\" not heard")));
    for other in ["", "panicked at src/main.rs", "{}", "2026-12-02 INFO fleet: x", "{\"timestamp\":1}"] {
        assert_eq!(parse(other), None, "{other}");
    }
}

#[test]
fn clocks_are_aligned_by_decided_views() {
    let views = |shift: u64, node: &str| -> Vec<String> {
        (1..6).map(|epoch| view(shift + epoch * 1000, node, epoch, "n0,n1")).collect()
    };
    // The third log shares no view with the others.
    let logs = [log("a", &views(0, "n0")), log("b", &views(7_000, "n1")), log("c", &[line(9_000, "starts")])];
    let merged = merge(&logs, true);
    assert_eq!(merged.clock_offsets, [Some(0), Some(-7_000_000), None]);
    assert_eq!(merged.skewed_logs(&logs).collect::<Vec<_>>(), [("n1", Some(-7_000_000)), ("c", None)]);
    let order: Vec<(usize, &str)> =
        merged.events.iter().filter_map(|(_, log, event)| Some((*log, event.field("epoch")?))).collect();
    assert_eq!(order[..4], [(0, "1.1"), (1, "1.1"), (0, "1.2"), (1, "1.2")]);
    assert_eq!(merge(&logs, false).clock_offsets, [Some(0); 3]);
}

#[test]
fn conflicting_views_and_overlapping_leases_are_reported() {
    let one = [view(1000, "n0", 1, "n0,n1"), lease(1100, "n0", true, ""), lease(5000, "n0", false, "")];
    let two = [view(1010, "n1", 1, "n1"), lease(3000, "n1", true, ""), lease(6000, "n1", false, "")];
    let merged = merge(&[log("a", &one), log("b", &two)], true);
    let descriptions: Vec<&str> =
        merged.contradictions.iter().map(|contradiction| contradiction.description.as_str()).collect();
    assert_eq!(
        descriptions,
        ["epoch 1.1 is n0,n1 at n0 and n1 at n1", "chair is held by n0 and n1 for 2010 ms"]
    );
}

#[test]
fn killed_and_paused_processes_hold_no_lease_meanwhile() {
    let two = [lease(3000, "n1", true, ""), line(20_000, "side node=\"n1\" side=\"majority\"")];
    let killed =
        vec![lease(1000, "n0", true, ""), line(9000, "starts node=\"n0\""), line(9500, "side node=\"n0\"")];
    let paused = vec![lease(1000, "n0", true, ""), lease(12_000, "n0", false, " ago_ms=9500")];
    for one in [killed, paused] {
        let merged = merge(&[log("a", &one), log("b", &two)], false);
        assert_eq!(merged.contradictions, [], "{one:?}");
    }
}

fn event() -> impl Strategy<Value = (i64, Event)> {
    let name = "[a-z][a-z_.0-9]{0,8}";
    let fields = proptest::collection::btree_map(name, "[ -~]{0,12}", 0..4);
    // The message contains no `=`, which would start a field.
    (0..86_400_000_000_i64, "[A-Z][A-Za-z ,:]{0,20}[a-z]", fields).prop_map(|(at, message, fields)| {
        let at = 1_796_000_000_000_000 + at;
        (at, Event { at, level: "INFO".into(), target: "fleet".into(), message, fields })
    })
}

proptest! {
    #[test]
    fn written_events_parse_back((at, event) in event()) {
        let time = std::time::UNIX_EPOCH + std::time::Duration::from_micros(at as u64);
        let time = humantime::format_rfc3339_micros(time);
        let fields: String = event.fields.iter().map(|(name, value)| format!(" {name}={value:?}")).collect();
        let text = format!("{time}  INFO fleet: {}{fields}", event.message);
        prop_assert_eq!(parse(&text), Some(event.clone()), "{}", text);
        let mut all: serde_json::Map<_, _> =
            event.fields.iter().map(|(name, value)| (name.clone(), value.clone().into())).collect();
        all.insert("message".into(), event.message.clone().into());
        let json = serde_json::json!({"timestamp": time.to_string(), "level": "INFO", "target": "fleet", "fields": all});
        prop_assert_eq!(parse(&json.to_string()), Some(event));
    }

    #[test]
    fn arbitrary_lines_merge_in_order(lines in proptest::collection::vec("[ -~]{0,80}", 0..20)) {
        let log = Log::read("x", lines.iter().map(String::as_str));
        let merged = merge(&[log.clone(), log], true);
        let times: Vec<Micros> = merged.events.iter().map(|(at, ..)| *at).collect();
        prop_assert!(times.is_sorted());
    }
}

#[test]
fn fuzzing_corpus_merges_without_errors() {
    let corpus_files = testkit::corpus("log_line");
    assert!(!corpus_files.is_empty());
    for bytes in corpus_files {
        let text = String::from_utf8_lossy(&bytes);
        let log = Log::read("x", text.lines());
        assert_eq!(merge(&[log.clone(), log], true).clock_offsets[0], Some(0));
    }
}
