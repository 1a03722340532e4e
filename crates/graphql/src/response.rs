//! Answers of the node's own, as GraphQL responses.

use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use serde_json::value::RawValue;
use serde_json::{Map, Value, json};

use crate::error::{ErrorCode, Rejection};

/// What became of a request that no server's answer tells of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureResponse {
    /// Trying again is harmless, once this time is over.
    Refused(Option<Duration>),
    /// It may have run. Whether it was time that ran out.
    Failed {
        /// Whether it was time that ran out.
        timed_out: bool,
    },
    /// It was not begun, as one before it in its batch was not served.
    Skipped,
    /// A server answered, but not in JSON. It has run, or was turned down.
    NotJson,
}

impl FailureResponse {
    /// `extensions.code` of its error.
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

    /// The response's body.
    ///
    /// ```
    /// use dunelink_graphql::FailureResponse;
    ///
    /// let body = FailureResponse::Refused(Some(std::time::Duration::from_millis(1500))).body();
    /// assert_eq!(&body[..], br#"{"errors":[{"message":"refused: asking again is harmless","extensions":{"code":"REFUSED","retryAfter":1.5}}]}"#);
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
    /// The response's body.
    pub fn body(&self) -> Bytes {
        let limit = match self.code {
            ErrorCode::Limit(limit) => Some(("limit", json!(limit.name()))),
            _ => None,
        };
        errors(&self.message, self.code.name(), limit)
    }
}

/// A response of one error.
pub fn error_body(message: &str, code: &str) -> Bytes {
    errors(message, code, None)
}

fn errors(message: &str, code: &str, more: Option<(&str, Value)>) -> Bytes {
    let mut extensions = Map::new();
    extensions.insert("code".into(), code.into());
    extensions.extend(more.map(|(name, value)| (name.to_string(), value)));
    // In the order that the specification names them in.
    let mut body = BytesMut::new();
    body.put_slice(b"{\"errors\":[{\"message\":");
    body.put_slice(Value::from(message).to_string().as_bytes());
    body.put_slice(b",\"extensions\":");
    body.put_slice(Value::Object(extensions).to_string().as_bytes());
    body.put_slice(b"}]}");
    body.freeze()
}

/// Whether bytes are one JSON value, and so can stand in an array.
pub fn is_json(body: &[u8]) -> bool {
    serde_json::from_slice::<&RawValue>(body).is_ok()
}

/// The answers to a batch's parts as one.
pub fn join_responses<'a>(bodies: impl IntoIterator<Item = &'a Bytes>) -> Bytes {
    let mut whole = BytesMut::from(&b"["[..]);
    for (at, body) in bodies.into_iter().enumerate() {
        if at > 0 {
            whole.put_u8(b',');
        }
        whole.put_slice(body);
    }
    whole.put_u8(b']');
    whole.freeze()
}
