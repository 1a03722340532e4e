//! The requests that are read.

use bytes::Bytes;
use dunelink_graphql::{Class, Documents, Effect, Known, Limits, Reader, Request, Table, Weights};
use http::{HeaderMap, HeaderValue, Method};

/// How many payslips a document asks for, with two fields each.
pub(crate) const FIELDS: [usize; 4] = [1, 10, 100, 1_000];

/// A reader that remembers so many bytes.
pub(crate) fn reader(known: u64) -> Reader {
    let class = |index, effect| Class { index, effect };
    Reader {
        table: Table { query: class(0, Effect::Safe), mutation: class(1, Effect::Unsafe), rules: Vec::new() },
        limits: Limits { bytes: 1 << 20, tokens: 1 << 20, fields: 1 << 20, ..Limits::default() },
        weights: Weights::default(),
        documents: Documents::default(),
        passed: Vec::new(),
        known: Known::holding(known),
    }
}

pub(crate) fn body(fields: usize) -> Bytes {
    let document = format!("query A {{ bureau(id: 7) {{ {} }} }}", "payslip { id gross } ".repeat(fields));
    serde_json::json!({"query": document, "variables": {"n": 5}}).to_string().into()
}

/// Whether it is taken for something.
pub(crate) fn read(reader: &Reader, body: &Bytes) -> bool {
    let mut headers = HeaderMap::new();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    reader
        .read(Request { method: &Method::POST, query: None, headers: &headers, body, has_key: false })
        .is_ok()
}
