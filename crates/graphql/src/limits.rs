//! What an operator allows of a document, and what it is expected to cost.

use std::collections::HashMap;
use std::time::Duration;

/// The most that a request may hold. Over one of them it is an error with that limit's name.
///
/// Bytes and tokens are looked at before a document is parsed, depth while it is, all others after.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of a document.
    pub bytes: usize,
    /// Tokens of a document, with white space and comments.
    pub tokens: usize,
    /// Levels of fields within fields.
    pub depth: usize,
    /// Aliases, with fragments spread out.
    pub aliases: u64,
    /// Directives, with fragments spread out.
    pub directives: u64,
    /// Fields, with fragments spread out.
    pub fields: u64,
    /// The work that a request is expected to be.
    pub work: Duration,
    /// Requests in a batch; 0 where none are taken.
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

/// What work to expect of an operation: `base`, and for each field its weight times the sizes of all lists
/// around it. Without a schema a list is known by an argument that says how long it may be.
#[derive(Clone, Debug, PartialEq)]
pub struct Weights {
    /// Any operation.
    pub base: Duration,
    /// A field that has no weight of its own.
    pub field: Duration,
    /// By name of field.
    pub fields: HashMap<String, Duration>,
    /// Arguments that say how long a field's list may be.
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
    /// A field's own weight in microseconds.
    pub(crate) fn of(&self, field: &str) -> f64 {
        self.fields.get(field).unwrap_or(&self.field).as_secs_f64() * 1e6
    }
}
