//! No request is classified as safe if any server could read it as a mutation: examples, generated requests,
//! and the fuzzing corpora.

mod differential;

use differential::*;
use dunelink_graphql::*;
use proptest::prelude::*;
use testkit::corpus;

const MUTATION: &str = "mutation { pay }";

#[test]
fn hidden_mutations_are_not_safe() {
    let escaped: String = MUTATION.chars().map(|c| format!("\\u{:04x}", u32::from(c))).collect();
    let utf16 = |text: &str| text.encode_utf16().flat_map(u16::to_le_bytes).collect::<Vec<u8>>();
    let hidden = [
        format!(r#"{{"query": "{MUTATION}"}}"#).into_bytes(),
        format!(r#"{{"query": "{escaped}"}}"#).into_bytes(),
        format!(r#"{{"qu\u0065ry": "{MUTATION}"}}"#).into_bytes(),
        format!(r#"{{"query": "{{a}}", "query": "{MUTATION}"}}"#).into_bytes(),
        format!(r#"{{"query": "{MUTATION}", "query": "{{a}}"}}"#).into_bytes(),
        format!(r#"{{"query": "{{a}}", "Query": "{MUTATION}"}}"#).into_bytes(),
        r#"{"query": "query A {a} mutation B {pay}", "operationName": "A"}"#.to_string().into_bytes(),
        r#"{"query": "query A {a} mutation B {pay}", "operationName": "B"}"#.to_string().into_bytes(),
        br##"{"query": "# x\rmutation { pay }\n#\n"}"##.to_vec(),
        br##"{"query": "# x\u2028mutation { pay }\n{a}"}"##.to_vec(),
        format!("\u{feff}{{\"query\": \"{MUTATION}\"}}").into_bytes(),
        utf16(&format!(r#"{{"query": "{MUTATION}"}}"#)),
        format!(r#"[{{"query": "{{a}}"}}, {{"query": "{MUTATION}"}}]"#).into_bytes(),
        format!(r#"[[{{"query": "{MUTATION}"}}]]"#).into_bytes(),
        br#"{"extensions": {"persistedQuery": {"version": 1, "sha256Hash": "00"}}}"#.to_vec(),
        br#"{"documentId": "pay"}"#.to_vec(),
    ];
    for body in hidden {
        assert!(!check_post(&body), "{}", String::from_utf8_lossy(&body));
    }
    for query in [
        "query=mutation%7Bpay%7D",
        "query=%7Ba%7D&query=mutation%7Bpay%7D",
        "query=%7Ba%7D;query=mutation%7Bpay%7D",
        "query=%7Ba%7D&QUERY=mutation%7Bpay%7D",
        "query=%7Ba(b%3A%22%2522)%7Dmutation%7Bpay%7D%23%22)%7D",
        "query=query+A%7Ba%7D+mutation+B%7Bpay%7D&operationName=A",
    ] {
        assert!(!check_get(query), "{query}");
    }
    assert!(
        check_post(br#"{"query": "{ a(b: \"mutation { pay }\") # mutation { pay }\n }"}"#),
        "mutations in a string and a comment are not run"
    );
    assert!(check_get("query=%7Ba%7D"));
}

#[test]
fn mutations_by_get_are_rejected() {
    for query in ["query=mutation%7Bpay%7D", "query=query+A%7Ba%7D+mutation+B%7Bpay%7D&operationName=A"] {
        let rejection = get(&reader(), query).unwrap_err();
        assert_eq!(
            (rejection.code, rejection.status(ResponseMediaType::Json).as_u16()),
            (ErrorCode::MethodNotAllowed, 405),
            "{query}"
        );
    }
    let unknown_document = get(&reader(), "documentId=7f3a").unwrap();
    assert!(
        matches!(unknown_document, ClassifiedRequest::Single(r) if r.class.effect == Effect::Unsafe),
        "a document that only the server knows is unsafe"
    );
}

/// Members of a body that parsers may read differently.
fn member() -> impl Strategy<Value = String> {
    let name = prop::sample::select(vec![
        "query",
        "query",
        "query",
        "Query",
        "qu\\u0065ry",
        "QUERY",
        " query",
        "operationName",
        "variables",
        "extensions",
        "cache",
        "id",
    ]);
    let value = prop_oneof![
        4 => document().prop_map(|d| format!("\"{}\"", d.replace('"', "\\\""))),
        1 => prop::sample::select(vec!["\"A\"", "\"B\"", "null", "{}", "7", "[]", "\"\""]).prop_map(String::from),
    ];
    (name, value).prop_map(|(name, value)| format!("\"{name}\": {value}"))
}

/// Documents, some with a mutation, made of fragments that parsers may read differently.
fn document() -> impl Strategy<Value = String> {
    let piece = prop::sample::select(vec![
        "{a}",
        "query A{a}",
        "mutation B{pay}",
        "mutation{pay}",
        "\\u006dutation{pay}",
        "# x",
        "#",
        "\\r",
        "\\n",
        "\\r\\n",
        " ",
        "\\u2028",
        "\\u0085",
        "\\ufeff",
        "\\u0000",
        "{a(b:\"",
        "\")}",
        "\"\"\"",
        "\\\\",
        "fragment F on Q{a}",
        "...F",
        "{",
        "}",
        ",",
        "subscription{a}",
        "query",
        "mutation",
        "{a(b:\"\"\"x",
        "\"\"\")}",
    ]);
    prop::collection::vec(piece, 1..7).prop_map(|pieces| pieces.concat())
}

fn body() -> impl Strategy<Value = String> {
    let object =
        prop::collection::vec(member(), 1..4).prop_map(|members| format!("{{{}}}", members.join(", ")));
    let prefix = prop::sample::select(vec!["", "", "", " ", "\u{feff}", "\n"]);
    let batch = prop::collection::vec(object, 1..3);
    (prefix, batch, any::<bool>()).prop_map(|(prefix, parts, is_single)| match is_single {
        true => format!("{prefix}{}", parts[0]),
        false => format!("{prefix}[{}]", parts.join(",")),
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, rng_seed: proptest::test_runner::RngSeed::Fixed(9), ..Default::default() })]

    #[test]
    fn generated_bodies_with_mutations_are_not_safe(body in body()) {
        check_post(body.as_bytes());
    }

    #[test]
    fn generated_queries_with_mutations_are_not_safe(
        pairs in prop::collection::vec((
            prop::sample::select(vec!["query", "query", "Query", "query[]", "query%00", "%71uery", "+query", "cache", "operationName"]),
            document(),
            prop::sample::select(vec!["&", "&", ";"]),
            0_u8..3,
        ), 1..4),
    ) {
        let mut query = String::new();
        for (name, value, separator, encodings) in pairs {
            let mut value = value.replace("\\\\", "\\").replace("\\n", "\n").replace("\\r", "\r");
            for _ in 0..encodings {
                value = percent_encoding::utf8_percent_encode(&value, percent_encoding::NON_ALPHANUMERIC).to_string();
            }
            query += &format!("{name}={value}{separator}");
        }
        check_get(&query);
    }

    /// Random bytes, and a valid request with one byte changed.
    #[test]
    fn arbitrary_bytes_do_not_panic(noise in prop::collection::vec(any::<u8>(), 0..64), index in 0_usize..60, replacement in any::<u8>()) {
        check_post(&noise);
        let mut body = br#"{"query": "query A { a } # x", "variables": {"n": 1}}"#.to_vec();
        if let Some(byte) = body.get_mut(index) {
            *byte = replacement;
        }
        check_post(&body);
    }

    /// With any statuses, and parts that finish in any order: a part that isn't read-only never runs beside
    /// another, out of order, or after such a part that was not served; all read-only parts run.
    #[test]
    fn batch_parts_run_in_order(parts in prop::collection::vec((any::<bool>(), 0_u8..4), 1..12), choice in any::<u64>()) {
        let read_only: Vec<bool> = parts.iter().map(|(read_only, _)| *read_only).collect();
        let mut schedule = BatchSchedule::new(read_only.clone());
        let (mut in_flight, mut sent, mut finished, mut write_failed) = (Vec::new(), Vec::new(), vec![false; parts.len()], false);
        let mut choice = choice;
        loop {
            for step in schedule.next() {
                match step {
                    BatchStep::Send(at) => {
                        prop_assert!(!sent.contains(&at));
                        prop_assert!((0..at).all(|b| finished[b] || read_only[b] && read_only[at]), "part {at} was sent before earlier parts finished");
                        prop_assert!(read_only[at] || !write_failed);
                        sent.push(at);
                        in_flight.push(at);
                    }
                    BatchStep::Skip(at) => {
                        prop_assert!(write_failed && !read_only[at] && !finished[at]);
                        finished[at] = true;
                    }
                }
            }
            if in_flight.is_empty() {
                break;
            }
            let at = in_flight.swap_remove(choice as usize % in_flight.len());
            choice = choice.rotate_right(7);
            let status = [PartStatus::Served, PartStatus::Served, PartStatus::Refused, PartStatus::Failed][usize::from(parts[at].1)];
            write_failed |= !read_only[at] && status != PartStatus::Served;
            finished[at] = true;
            schedule.finish(at, status);
        }
        prop_assert!(schedule.is_finished() && finished.iter().all(|finished| *finished));
        prop_assert!(read_only.iter().enumerate().all(|(at, read_only)| !read_only || sent.contains(&at)));
    }
}

#[test]
fn corpus_mutations_are_not_safe() {
    let bodies = corpus("graphql_body");
    assert!(
        bodies.iter().filter(|body| check_post(body)).count() > 2,
        "the corpus has too few safe requests"
    );
    let queries = corpus("graphql_url");
    let texts = queries.iter().filter_map(|query| std::str::from_utf8(query).ok());
    assert!(texts.filter(|query| check_get(query)).count() > 1, "the corpus has too few safe requests");
}
