//! The request reader and the requests of the benchmarks.

use bytes::Bytes;
use dunelink_graphql::{
    Class, ClassTable, DocumentCache, DocumentManifest, Effect, Limits, Request, RequestReader, Weights,
};
use http::{HeaderMap, HeaderValue, Method};

/// The numbers of payslips that the documents request, with two fields each.
pub(crate) const PAYSLIPS: [usize; 4] = [1, 10, 100, 1_000];

/// Creates a reader whose cache of documents has this capacity in bytes.
pub(crate) fn reader(cache_bytes: u64) -> RequestReader {
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
        document_cache: DocumentCache::with_capacity(cache_bytes),
    }
}

pub(crate) fn body(payslips: usize) -> Bytes {
    let document = format!("query A {{ bureau(id: 7) {{ {} }} }}", "payslip { id gross } ".repeat(payslips));
    serde_json::json!({"query": document, "variables": {"n": 5}}).to_string().into()
}

/// Reads a request, and returns whether it is accepted.
pub(crate) fn is_accepted(reader: &RequestReader, body: &Bytes) -> bool {
    let mut headers = HeaderMap::new();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    reader
        .read(Request { method: &Method::POST, query: None, headers: &headers, body, has_key: false })
        .is_ok()
}
