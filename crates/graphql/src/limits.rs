//! The operator's limits on requests, and the weights that estimate the work of an operation.

use std::collections::HashMap;
use std::time::Duration;

/// The limits on a request. A request that exceeds one is rejected with an error that names the limit.
///
/// Bytes and tokens are checked before a document is parsed, depth during parsing, all others afterwards.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The maximum length of a document in bytes.
    pub bytes: usize,
    /// The maximum number of tokens of a document, including white space and comments.
    pub tokens: usize,
    /// The maximum number of levels of nested fields.
    pub depth: usize,
    /// The maximum number of aliases, with fragments expanded.
    pub aliases: u64,
    /// The maximum number of directives, with fragments expanded.
    pub directives: u64,
    /// The maximum number of fields, with fragments expanded.
    pub fields: u64,
    /// The maximum estimated work of a request.
    pub work: Duration,
    /// The maximum number of requests in a batch; 0 rejects all batches.
    pub batch: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            bytes: 32 * 1024,
            tokens: 4_000,
            depth: 16,
            aliases: 64,
            directives: 64,
            fields: 1_000,
            work: Duration::from_secs(3600),
            batch: 10,
        }
    }
}

/// The weights that estimate the work of an operation: `base`, plus for each field its weight times the
/// lengths of all enclosing lists. Without a schema, a list is recognized by an argument that limits its
/// length.
#[derive(Clone, Debug, PartialEq)]
pub struct Weights {
    /// The work of any operation, before its fields.
    pub base: Duration,
    /// The weight of a field that is not in `fields`.
    pub field: Duration,
    /// The weights of fields by name.
    pub fields: HashMap<String, Duration>,
    /// The names of arguments that limit the length of a field's list.
    pub list_arguments: Vec<String>,
}

impl Default for Weights {
    fn default() -> Weights {
        Weights {
            base: Duration::from_micros(200),
            field: Duration::from_micros(20),
            fields: HashMap::new(),
            list_arguments: ["first", "last", "limit"].map(String::from).to_vec(),
        }
    }
}

impl Weights {
    /// The weight of a field in microseconds.
    pub(crate) fn field_us(&self, field: &str) -> f64 {
        self.fields.get(field).unwrap_or(&self.field).as_secs_f64() * 1e6
    }
}
