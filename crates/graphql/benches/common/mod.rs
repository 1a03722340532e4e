//! The requests that are read.

use bytes::Bytes;
use dunelink_graphql::{
    Class, ClassTable, DocumentCache, DocumentManifest, Effect, Limits, Request, RequestReader, Weights,
};
use http::{HeaderMap, HeaderValue, Method};

/// How many payslips a document asks for, with two fields each.
pub(crate) const FIELDS: [usize; 4] = [1, 10, 100, 1_000];

/// A reader that remembers so many bytes.
pub(crate) fn reader(known: u64) -> RequestReader {
    let class = |index, effect| Class { index, effect };
    RequestReader {
        table: ClassTable {
            query: class(0, Effect::Safe),
            mutation: class(1, Effect::Unsafe),
            rules: Vec::new(),
        },
        limits: Limits { bytes: 1 << 20, tokens: 1 << 20, fields: 1 << 20, ..Limits::default() },
        weights: Weights::default(),
        manifest: DocumentManifest::default(),
        allowed_parameters: Vec::new(),
        document_cache: DocumentCache::with_capacity(known),
    }
}

pub(crate) fn body(fields: usize) -> Bytes {
    let document = format!("query A {{ bureau(id: 7) {{ {} }} }}", "payslip { id gross } ".repeat(fields));
    serde_json::json!({"query": document, "variables": {"n": 5}}).to_string().into()
}

/// Whether it is taken for something.
pub(crate) fn read(reader: &RequestReader, body: &Bytes) -> bool {
    let mut headers = HeaderMap::new();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    reader
        .read(Request { method: &Method::POST, query: None, headers: &headers, body, has_key: false })
        .is_ok()
}
