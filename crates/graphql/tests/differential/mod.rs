//! Other readings of a request: what servers of many makes could find in its bytes. A request that is taken for safe
//! must have no mutation in any of them.

use bytes::Bytes;
use dunelink_graphql::*;
use http::{HeaderMap, HeaderValue, Method};
use serde_json::Value;

/// An endpoint whose operator lists nothing.
pub(crate) fn reader() -> RequestReader {
    let class = |index, effect| Class { index, effect };
    RequestReader {
        table: ClassTable {
            query: class(0, Effect::Safe),
            mutation: class(1, Effect::Unsafe),
            rules: Vec::new(),
        },
        limits: Limits::default(),
        weights: Weights::default(),
        manifest: DocumentManifest::default(),
        allowed_parameters: vec!["cache".into()],
        document_cache: DocumentCache::default(),
    }
}

/// Reads a request of JSON, whatever its bytes are.
pub(crate) fn post(reader: &RequestReader, body: &[u8]) -> Result<ClassifiedRequest, Rejection> {
    let mut headers = HeaderMap::new();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    let body = Bytes::copy_from_slice(body);
    reader.read(Request { method: &Method::POST, query: None, headers: &headers, body: &body, has_key: true })
}

/// Reads a request by GET.
pub(crate) fn get(reader: &RequestReader, query: &str) -> Result<ClassifiedRequest, Rejection> {
    let (headers, body) = (HeaderMap::new(), Bytes::new());
    let request =
        Request { method: &Method::GET, query: Some(query), headers: &headers, body: &body, has_key: true };
    reader.read(request)
}

/// Checks one body, and tells whether it is taken for safe.
pub(crate) fn check_post(body: &[u8]) -> bool {
    match post(&reader(), body) {
        Ok(ClassifiedRequest::Single(classification)) => check_classification(&classification, body),
        Ok(ClassifiedRequest::Batch(parts)) => {
            let check = |part: &BatchPart| {
                part.classification
                    .as_ref()
                    .is_ok_and(|classification| check_classification(classification, &part.body))
            };
            parts.iter().filter(|part| check(part)).count() == parts.len()
        }
        Err(_) => false,
    }
}

fn check_classification(classification: &Classification, body: &[u8]) -> bool {
    let safe = classification.class.effect == Effect::Safe;
    if safe {
        let texts = texts_of_body(body);
        assert!(!texts.is_empty(), "something runs");
        check_texts(&texts, &String::from_utf8_lossy(body));
    }
    safe
}

/// Checks one URL's query, and tells whether it is taken for safe. None is sent that surely holds a mutation.
pub(crate) fn check_get(query: &str) -> bool {
    let Ok(ClassifiedRequest::Single(classification)) = get(&reader(), query) else { return false };
    let safe = classification.class.effect == Effect::Safe;
    if safe {
        check_texts(&texts_of_query(query), query);
    }
    safe
}

fn check_texts(texts: &[String], from: &str) {
    for text in texts {
        assert!(!mutates(text), "taken for safe: {from:?}, though there is a mutation in {text:?}");
    }
}

/// All texts in a body that a server could take for its document: by JSON parsers that take the first or the last of
/// two names, heed no case, skip a mark in front, or read UTF-16.
fn texts_of_body(body: &[u8]) -> Vec<String> {
    let little: Vec<u16> = body.chunks_exact(2).map(|two| u16::from_le_bytes([two[0], two[1]])).collect();
    let big: Vec<u16> = body.chunks_exact(2).map(|two| u16::from_be_bytes([two[0], two[1]])).collect();
    let forms = [
        String::from_utf8_lossy(body).into_owned(),
        String::from_utf16_lossy(&little),
        String::from_utf16_lossy(&big),
    ];
    let mut texts = Vec::new();
    for form in forms {
        let plain = form.trim_start_matches('\u{feff}').split('\0').next().unwrap_or_default();
        if let Ok(Pairs(pairs)) = serde_json::from_str(plain) {
            let like = |name: &str| name.trim().to_lowercase().replace('\u{17f}', "s") == "query";
            let text = |value: &Value| value.as_str().map(String::from);
            texts.extend(pairs.iter().filter(|(name, _)| like(name)).filter_map(|(_, value)| text(value)));
        }
    }
    texts
}

/// The members of an object, all of them.
struct Pairs(Vec<(String, Value)>);

impl<'de> serde::Deserialize<'de> for Pairs {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Pairs, D::Error> {
        struct Visitor;
        impl<'de> serde::de::Visitor<'de> for Visitor {
            type Value = Pairs;
            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("an object")
            }
            fn visit_map<A: serde::de::MapAccess<'de>>(self, mut from: A) -> Result<Pairs, A::Error> {
                let mut pairs = Vec::new();
                while let Some(pair) = from.next_entry()? {
                    pairs.push(pair);
                }
                Ok(Pairs(pairs))
            }
        }
        from.deserialize_map(Visitor)
    }
}

/// The same for a URL's query: pairs that end with `&` or `;`, names without case, in brackets or cut at a NUL, decoded
/// once or twice.
fn texts_of_query(query: &str) -> Vec<String> {
    let once = |text: &str| {
        let spaced = text.replace('+', " ");
        percent_encoding::percent_decode_str(&spaced).decode_utf8_lossy().into_owned()
    };
    let mut texts = Vec::new();
    for ends in [&['&'][..], &['&', ';']] {
        for pair in query.split(ends) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let name = once(&once(name)).to_lowercase();
            let name = name.split(['[', '\0', '.']).next().unwrap_or_default().trim();
            if name == "query" {
                texts.extend([once(value), once(&once(value))]);
            }
        }
    }
    texts
}

/// Whether a document has a mutation in the eyes of another parser, or if it is read by older rules for the ends of
/// lines and texts.
fn mutates(text: &str) -> bool {
    let lines = text.replace(['\r', '\u{2028}', '\u{2029}', '\u{85}'], "\n");
    let joined = text.replace(['\r', '\u{feff}'], "");
    let cut = text.split('\0').next().unwrap_or_default();
    [text, &lines, &joined, cut].iter().any(|text| by_async_graphql(text) || by_graphql_parser(text))
}

fn by_async_graphql(text: &str) -> bool {
    use async_graphql_parser::types::OperationType;
    async_graphql_parser::parse_query(text)
        .is_ok_and(|document| document.operations.iter().any(|(_, o)| o.node.ty == OperationType::Mutation))
}

fn by_graphql_parser(text: &str) -> bool {
    use graphql_parser::query::{Definition, OperationDefinition};
    let mutation =
        |d: &Definition<'_, &str>| matches!(d, Definition::Operation(OperationDefinition::Mutation(_)));
    graphql_parser::parse_query(text).is_ok_and(|document| document.definitions.iter().any(mutation))
}
