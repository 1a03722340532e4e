//! What a GraphQL-over-HTTP request would run, and whether it may run twice. Bytes in, a [`ClassifiedRequest`] out: no
//! sockets, clocks or threads.
//!
//! A request is passed on as it came or turned down, and never changed. Where two readings of its bytes are
//! possible, by different parsers of URLs, JSON or GraphQL, it is turned down ([`ErrorCode::Ambiguous`]); whatever can't
//! be told is unsafe.
//!
//! ```
//! use dunelink_graphql::*;
//!
//! let (read, pay) = (Class { index: 0, effect: Effect::Safe }, Class { index: 1, effect: Effect::Unsafe });
//! let reader = RequestReader {
//!     table: ClassTable { query: read, mutation: pay, rules: Vec::new() },
//!     limits: Limits::default(),
//!     weights: Weights::default(),
//!     manifest: DocumentManifest::default(),
//!     allowed_parameters: Vec::new(),
//!     document_cache: DocumentCache::with_capacity(1 << 20),
//! };
//! let mut headers = http::HeaderMap::new();
//! headers.insert("content-type", "application/json".parse()?);
//! let ask = |body: &'static str| {
//!     let body = bytes::Bytes::from(body);
//!     reader.read(Request { method: &http::Method::POST, query: None, headers: &headers, body: &body, has_key: false })
//! };
//! assert!(matches!(ask(r#"{"query": "{ payslips { id } }"}"#)?, ClassifiedRequest::Single(classification) if classification.class == read));
//! assert!(matches!(ask(r#"{"query": "mutation { pay }"}"#)?, ClassifiedRequest::Single(classification) if classification.class == pay));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod batch_schedule;
mod class_table;
mod document;
mod document_cache;
mod error;
mod json;
mod limits;
mod manifest;
mod media;
mod negotiation;
mod params;
mod reader;
mod response;

pub use batch_schedule::{BatchSchedule, BatchStep, PartStatus};
pub use class_table::{Class, ClassReason, ClassRule, ClassTable, ClassTableError, Classification, Effect};
pub use document::{Document, Operation, OperationKind, OperationSize};
pub use document_cache::DocumentCache;
pub use error::{ErrorCode, Limit, Rejection};
pub use limits::{Limits, Weights};
pub use manifest::DocumentManifest;
pub use media::ResponseMediaType;
pub use params::is_allowable_parameter;
pub use reader::{BatchPart, ClassifiedRequest, Request, RequestReader};
pub use response::{FailureResponse, error_body, is_json, join_responses};
