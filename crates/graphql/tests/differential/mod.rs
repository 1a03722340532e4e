//! Reads requests as lenient servers with other parsers could. A request that is classified as safe must not
//! contain a mutation in any of these readings.

use bytes::Bytes;
use dunelink_graphql::*;
use http::{HeaderMap, HeaderValue, Method};
use serde_json::Value;

/// The reader of an endpoint without rules or a manifest.
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

/// Reads a POST request that declares JSON, with any bytes as its body.
pub(crate) fn post(reader: &RequestReader, body: &[u8]) -> Result<ClassifiedRequest, Rejection> {
    let mut headers = HeaderMap::new();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    let body = Bytes::copy_from_slice(body);
    reader.read(Request { method: &Method::POST, query: None, headers: &headers, body: &body, has_key: true })
}

/// Reads a GET request.
pub(crate) fn get(reader: &RequestReader, query: &str) -> Result<ClassifiedRequest, Rejection> {
    let (headers, body) = (HeaderMap::new(), Bytes::new());
    let request =
        Request { method: &Method::GET, query: Some(query), headers: &headers, body: &body, has_key: true };
    reader.read(request)
}

/// Checks the body of a POST request, and returns whether it is classified as safe.
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
        assert!(!texts.is_empty(), "a safe request has a document");
        check_texts(&texts, &String::from_utf8_lossy(body));
    }
    safe
}

/// Checks the URL's query of a GET request, and returns whether it is classified as safe.
pub(crate) fn check_get(query: &str) -> bool {
    let Ok(ClassifiedRequest::Single(classification)) = get(&reader(), query) else { return false };
    let safe = classification.class.effect == Effect::Safe;
    if safe {
        check_texts(&texts_of_query(query), query);
    }
    safe
}

fn check_texts(texts: &[String], request: &str) {
    for text in texts {
        assert!(!has_mutation(text), "classified as safe: {request:?}, but {text:?} has a mutation");
    }
}

/// All texts in a body that a server could take for its document: with JSON parsers that use the first or the
/// last of duplicate members, ignore the case of names, skip a byte order mark, or read UTF-16.
fn texts_of_body(body: &[u8]) -> Vec<String> {
    let little_endian: Vec<u16> =
        body.chunks_exact(2).map(|pair| u16::from_le_bytes([pair[0], pair[1]])).collect();
    let big_endian: Vec<u16> =
        body.chunks_exact(2).map(|pair| u16::from_be_bytes([pair[0], pair[1]])).collect();
    let decodings = [
        String::from_utf8_lossy(body).into_owned(),
        String::from_utf16_lossy(&little_endian),
        String::from_utf16_lossy(&big_endian),
    ];
    let mut texts = Vec::new();
    for decoding in decodings {
        let json = decoding.trim_start_matches('\u{feff}').split('\0').next().unwrap_or_default();
        if let Ok(Members(members)) = serde_json::from_str(json) {
            let is_query = |name: &str| name.trim().to_lowercase().replace('\u{17f}', "s") == "query";
            let text = |value: &Value| value.as_str().map(String::from);
            texts.extend(
                members.iter().filter(|(name, _)| is_query(name)).filter_map(|(_, value)| text(value)),
            );
        }
    }
    texts
}

/// All members of an object, duplicates included.
struct Members(Vec<(String, Value)>);

impl<'de> serde::Deserialize<'de> for Members {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Members, D::Error> {
        struct Visitor;
        impl<'de> serde::de::Visitor<'de> for Visitor {
            type Value = Members;
            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("an object")
            }
            fn visit_map<A: serde::de::MapAccess<'de>>(self, mut from: A) -> Result<Members, A::Error> {
                let mut members = Vec::new();
                while let Some(member) = from.next_entry()? {
                    members.push(member);
                }
                Ok(Members(members))
            }
        }
        from.deserialize_map(Visitor)
    }
}

/// All texts in a URL's query that a server could take for its document: pairs are separated by `&` or also
/// by `;`, names are compared without case and end at a bracket, a dot or a NUL, values are decoded once or
/// twice.
fn texts_of_query(query: &str) -> Vec<String> {
    let decode = |text: &str| {
        let spaced = text.replace('+', " ");
        percent_encoding::percent_decode_str(&spaced).decode_utf8_lossy().into_owned()
    };
    let mut texts = Vec::new();
    for separators in [&['&'][..], &['&', ';']] {
        for pair in query.split(separators) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let name = decode(&decode(name)).to_lowercase();
            let name = name.split(['[', '\0', '.']).next().unwrap_or_default().trim();
            if name == "query" {
                texts.extend([decode(value), decode(&decode(value))]);
            }
        }
    }
    texts
}

/// Whether a document has a mutation if another parser reads it, or if it is read by older rules for line
/// ends and for the end of the text.
fn has_mutation(text: &str) -> bool {
    let lines = text.replace(['\r', '\u{2028}', '\u{2029}', '\u{85}'], "\n");
    let joined = text.replace(['\r', '\u{feff}'], "");
    let before_nul = text.split('\0').next().unwrap_or_default();
    [text, &lines, &joined, before_nul]
        .iter()
        .any(|text| async_graphql_finds_mutation(text) || graphql_parser_finds_mutation(text))
}

fn async_graphql_finds_mutation(text: &str) -> bool {
    use async_graphql_parser::types::OperationType;
    async_graphql_parser::parse_query(text)
        .is_ok_and(|document| document.operations.iter().any(|(_, o)| o.node.ty == OperationType::Mutation))
}

fn graphql_parser_finds_mutation(text: &str) -> bool {
    use graphql_parser::query::{Definition, OperationDefinition};
    let is_mutation =
        |d: &Definition<'_, &str>| matches!(d, Definition::Operation(OperationDefinition::Mutation(_)));
    graphql_parser::parse_query(text).is_ok_and(|document| document.definitions.iter().any(is_mutation))
}
