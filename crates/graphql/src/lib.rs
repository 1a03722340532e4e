//! What a GraphQL-over-HTTP request would run, and whether it may run twice. Bytes in, a [`Verdict`] out: no
//! sockets, clocks or threads.
//!
//! A request is passed on as it came or turned down, and never changed. Where two readings of its bytes are
//! possible, by different parsers of URLs, JSON or GraphQL, it is turned down ([`Code::Ambiguous`]); whatever can't
//! be told is unsafe.
//!
//! ```
//! use dunelink_graphql::*;
//!
//! let (read, pay) = (Class { index: 0, effect: Effect::Safe }, Class { index: 1, effect: Effect::Unsafe });
//! let reader = Reader {
//!     table: Table { query: read, mutation: pay, rules: Vec::new() },
//!     limits: Limits::default(),
//!     weights: Weights::default(),
//!     documents: Documents::default(),
//!     passed: Vec::new(),
//!     known: Known::holding(1 << 20),
//! };
//! let mut headers = http::HeaderMap::new();
//! headers.insert("content-type", "application/json".parse()?);
//! let ask = |body: &'static str| {
//!     let body = bytes::Bytes::from(body);
//!     reader.read(Request { method: &http::Method::POST, query: None, headers: &headers, body: &body, has_key: false })
//! };
//! assert!(matches!(ask(r#"{"query": "{ payslips { id } }"}"#)?, Verdict::Single(ruling) if ruling.class == read));
//! assert!(matches!(ask(r#"{"query": "mutation { pay }"}"#)?, Verdict::Single(ruling) if ruling.class == pay));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod answer;
mod document;
mod documents;
mod error;
mod json;
mod known;
mod limits;
mod media;
mod negotiation;
mod order;
mod params;
mod reader;
mod table;

pub use answer::{Fate, error_body, is_json, join};
pub use document::{Document, Kind, Operation, Size};
pub use documents::Documents;
pub use error::{Code, Limit, Rejection};
pub use known::Known;
pub use limits::{Limits, Weights};
pub use media::Media;
pub use order::{End, Order, Step};
pub use params::is_passable;
pub use reader::{Part, Reader, Request, Verdict};
pub use table::{Class, Effect, Rule, Ruling, Table, TableError, Why};
