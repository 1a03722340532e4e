//! GraphQL responses that the node generates itself.

use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use serde_json::value::RawValue;
use serde_json::{Map, Value, json};

use crate::error::{ErrorCode, Rejection};

/// The outcome of a request for which there is no server's answer to return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureResponse {
    /// The request was refused; retrying is harmless after this time, if given.
    Refused(Option<Duration>),
    /// The request may have run.
    Failed {
        /// Whether the deadline passed.
        timed_out: bool,
    },
    /// The request was not started, because an earlier part of its batch was not served.
    Skipped,
    /// A server answered, but not in JSON. The request has run, or the server rejected it.
    NotJson,
}

impl FailureResponse {
    /// The `extensions.code` of the error.
    pub fn code(self) -> &'static str {
        match self {
            FailureResponse::Refused(_) => "REFUSED",
            FailureResponse::Failed { timed_out: true } => "OUTCOME_UNKNOWN_TIMED_OUT",
            FailureResponse::Failed { timed_out: false } => "OUTCOME_UNKNOWN",
            FailureResponse::Skipped => "NOT_RUN",
            FailureResponse::NotJson => "ANSWER_UNREADABLE",
        }
    }

    fn message(self) -> &'static str {
        match self {
            FailureResponse::Refused(_) => "refused: asking again is harmless",
            FailureResponse::Failed { .. } => "no answer: it may have run",
            FailureResponse::Skipped => {
                "not run: an earlier part of the batch that may change something was not served"
            }
            FailureResponse::NotJson => "the server's answer to this part is no JSON",
        }
    }

    /// The body of the response.
    ///
    /// ```
    /// use dunelink_graphql::FailureResponse;
    ///
    /// let body = FailureResponse::Refused(Some(std::time::Duration::from_millis(1500))).body();
    /// let extensions = r#"{"code":"REFUSED","retryAfter":1.5}"#;
    /// let error = format!(r#"{{"message":"refused: asking again is harmless","extensions":{extensions}}}"#);
    /// assert_eq!(body, format!(r#"{{"errors":[{error}]}}"#));
    /// ```
    pub fn body(self) -> Bytes {
        let retry_after = match self {
            FailureResponse::Refused(after) => after.map(|after| ("retryAfter", json!(after.as_secs_f64()))),
            _ => None,
        };
        errors(self.message(), self.code(), retry_after)
    }
}

impl Rejection {
    /// The body of the response.
    pub fn body(&self) -> Bytes {
        let limit = match self.code {
            ErrorCode::Limit(limit) => Some(("limit", json!(limit.name()))),
            _ => None,
        };
        errors(&self.message, self.code.name(), limit)
    }
}

/// The body of a response with one error.
pub fn error_body(message: &str, code: &str) -> Bytes {
    errors(message, code, None)
}

fn errors(message: &str, code: &str, extension: Option<(&str, Value)>) -> Bytes {
    let mut extensions = Map::new();
    extensions.insert("code".into(), code.into());
    extensions.extend(extension.map(|(name, value)| (name.to_string(), value)));
    // Written by hand, to keep the order in which the specification lists the members.
    let mut body = BytesMut::new();
    body.put_slice(b"{\"errors\":[{\"message\":");
    body.put_slice(Value::from(message).to_string().as_bytes());
    body.put_slice(b",\"extensions\":");
    body.put_slice(Value::Object(extensions).to_string().as_bytes());
    body.put_slice(b"}]}");
    body.freeze()
}

/// Whether the bytes are one JSON value, so that they can be an element of an array.
pub fn is_json(body: &[u8]) -> bool {
    serde_json::from_slice::<&RawValue>(body).is_ok()
}

/// Joins the answers to the parts of a batch into a JSON array.
pub fn join_responses<'a>(bodies: impl IntoIterator<Item = &'a Bytes>) -> Bytes {
    let mut joined = BytesMut::from(&b"["[..]);
    for (index, body) in bodies.into_iter().enumerate() {
        if index > 0 {
            joined.put_u8(b',');
        }
        joined.put_slice(body);
    }
    joined.put_u8(b']');
    joined.freeze()
}
