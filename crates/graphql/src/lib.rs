//! Classifies GraphQL-over-HTTP requests: which operation a request runs, and whether it may run twice. The
//! input is bytes, the output a [`ClassifiedRequest`]; there are no sockets, clocks or threads.
//!
//! A request is either forwarded unchanged or rejected. If different parsers of URLs, JSON or GraphQL could
//! read its bytes differently, it is rejected ([`ErrorCode::Ambiguous`]). An operation that can't be
//! determined is unsafe.
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
//! let classify = |body: &'static str| {
//!     let body = bytes::Bytes::from(body);
//!     let method = &http::Method::POST;
//!     reader.read(Request { method, query: None, headers: &headers, body: &body, has_key: false })
//! };
//! let query = classify(r#"{"query": "{ payslips { id } }"}"#)?;
//! assert!(matches!(query, ClassifiedRequest::Single(c) if c.class == read));
//! let mutation = classify(r#"{"query": "mutation { pay }"}"#)?;
//! assert!(matches!(mutation, ClassifiedRequest::Single(c) if c.class == pay));
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
