//! Nothing is taken for safe that any server could read as a mutation: by examples, by chance, by the corpora.

mod differential;

use differential::*;
use dunelink_graphql::*;
use proptest::prelude::*;
use testkit::corpus;

const PAY: &str = "mutation { pay }";

#[test]
fn a_mutation_does_not_hide() {
    let escaped: String = PAY.chars().map(|c| format!("\\u{:04x}", u32::from(c))).collect();
    let utf16 = |text: &str| text.encode_utf16().flat_map(u16::to_le_bytes).collect::<Vec<u8>>();
    let hidden = [
        format!(r#"{{"query": "{PAY}"}}"#).into_bytes(),
        format!(r#"{{"query": "{escaped}"}}"#).into_bytes(),
        format!(r#"{{"qu\u0065ry": "{PAY}"}}"#).into_bytes(),
        format!(r#"{{"query": "{{a}}", "query": "{PAY}"}}"#).into_bytes(),
        format!(r#"{{"query": "{PAY}", "query": "{{a}}"}}"#).into_bytes(),
        format!(r#"{{"query": "{{a}}", "Query": "{PAY}"}}"#).into_bytes(),
        r#"{"query": "query A {a} mutation B {pay}", "operationName": "A"}"#.to_string().into_bytes(),
        r#"{"query": "query A {a} mutation B {pay}", "operationName": "B"}"#.to_string().into_bytes(),
        br##"{"query": "# x\rmutation { pay }\n#\n"}"##.to_vec(),
        br##"{"query": "# x\u2028mutation { pay }\n{a}"}"##.to_vec(),
        format!("\u{feff}{{\"query\": \"{PAY}\"}}").into_bytes(),
        utf16(&format!(r#"{{"query": "{PAY}"}}"#)),
        format!(r#"[{{"query": "{{a}}"}}, {{"query": "{PAY}"}}]"#).into_bytes(),
        format!(r#"[[{{"query": "{PAY}"}}]]"#).into_bytes(),
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
        "it is but a text"
    );
    assert!(check_get("query=%7Ba%7D"));
}

#[test]
fn a_mutation_by_get_is_told_to_come_by_post() {
    for query in ["query=mutation%7Bpay%7D", "query=query+A%7Ba%7D+mutation+B%7Bpay%7D&operationName=A"] {
        let wrong = get(&reader(), query).unwrap_err();
        assert_eq!(
            (wrong.code, wrong.status(ResponseMediaType::Json).as_u16()),
            (ErrorCode::MethodNotAllowed, 405),
            "{query}"
        );
    }
    let unknown = get(&reader(), "documentId=7f3a").unwrap();
    assert!(
        matches!(unknown, ClassifiedRequest::Single(r) if r.class.effect == Effect::Unsafe),
        "it goes once"
    );
}

/// Pieces of bodies, by which readings come apart.
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

/// DocumentManifest, some with a mutation, made of pieces that parsers may see differently.
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
    (prefix, batch, any::<bool>()).prop_map(|(prefix, parts, alone)| match alone {
        true => format!("{prefix}{}", parts[0]),
        false => format!("{prefix}[{}]", parts.join(",")),
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, rng_seed: proptest::test_runner::RngSeed::Fixed(9), ..Default::default() })]

    #[test]
    fn no_body_is_taken_for_safe_that_could_be_a_mutation(body in body()) {
        check_post(body.as_bytes());
    }

    #[test]
    fn no_query_is_taken_for_safe_that_could_be_a_mutation(
        pairs in prop::collection::vec((
            prop::sample::select(vec!["query", "query", "Query", "query[]", "query%00", "%71uery", "+query", "cache", "operationName"]),
            document(),
            prop::sample::select(vec!["&", "&", ";"]),
            0_u8..3,
        ), 1..4),
    ) {
        let mut query = String::new();
        for (name, value, end, encodings) in pairs {
            let mut value = value.replace("\\\\", "\\").replace("\\n", "\n").replace("\\r", "\r");
            for _ in 0..encodings {
                value = percent_encoding::utf8_percent_encode(&value, percent_encoding::NON_ALPHANUMERIC).to_string();
            }
            query += &format!("{name}={value}{end}");
        }
        check_get(&query);
    }

    /// Bytes of any kind, and those of a good request spoilt somewhere.
    #[test]
    fn no_bytes_break_it(noise in prop::collection::vec(any::<u8>(), 0..64), at in 0_usize..60, with in any::<u8>()) {
        check_post(&noise);
        let mut body = br#"{"query": "query A { a } # x", "variables": {"n": 1}}"#.to_vec();
        if let Some(byte) = body.get_mut(at) {
            *byte = with;
        }
        check_post(&body);
    }

    /// By any ends in any order: nothing that may change something runs beside another, out of order, or after one
    /// that was not served; what only reads runs in any case.
    #[test]
    fn a_batch_runs_as_if_in_order(parts in prop::collection::vec((any::<bool>(), 0_u8..4), 1..12), choice in any::<u64>()) {
        let reads: Vec<bool> = parts.iter().map(|(reads, _)| *reads).collect();
        let mut order = BatchSchedule::new(reads.clone());
        let (mut out, mut sent, mut over, mut broken) = (Vec::new(), Vec::new(), vec![false; parts.len()], false);
        let mut choice = choice;
        loop {
            for step in order.next() {
                match step {
                    BatchStep::Send(at) => {
                        prop_assert!(!sent.contains(&at));
                        prop_assert!((0..at).all(|b| over[b] || reads[b] && reads[at]), "{at} waits for what is before it");
                        prop_assert!(reads[at] || !broken);
                        sent.push(at);
                        out.push(at);
                    }
                    BatchStep::Skip(at) => {
                        prop_assert!(broken && !reads[at] && !over[at]);
                        over[at] = true;
                    }
                }
            }
            if out.is_empty() {
                break;
            }
            let at = out.swap_remove(choice as usize % out.len());
            choice = choice.rotate_right(7);
            let end = [PartStatus::Served, PartStatus::Served, PartStatus::Refused, PartStatus::Failed][usize::from(parts[at].1)];
            broken |= !reads[at] && end != PartStatus::Served;
            over[at] = true;
            order.finish(at, end);
        }
        prop_assert!(order.is_finished() && over.iter().all(|over| *over));
        prop_assert!(reads.iter().enumerate().all(|(at, reads)| !reads || sent.contains(&at)));
    }
}

#[test]
fn the_corpora_hold_nothing_that_is_taken_for_safe_and_could_be_a_mutation() {
    let bodies = corpus("graphql_body");
    assert!(bodies.iter().filter(|body| check_post(body)).count() > 2, "some of them are safe");
    let queries = corpus("graphql_url");
    let texts = queries.iter().filter_map(|query| std::str::from_utf8(query).ok());
    assert!(texts.filter(|query| check_get(query)).count() > 1, "some of them are safe");
}
