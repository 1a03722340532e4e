//! ClassReason a request is not passed on, and how a client is told.

use std::borrow::Cow;

use http::StatusCode;

use crate::media::ResponseMediaType;

/// ClassReason a request is not passed on. Nothing of it was sent.
///
/// ```
/// use dunelink_graphql::{ErrorCode, ResponseMediaType, Rejection};
///
/// let wrong = Rejection::new(ErrorCode::Syntax, "expected a name");
/// assert_eq!(wrong.status(ResponseMediaType::GraphqlResponse), 400);
/// // To a client that only reads `application/json` an intermediary's 4xx and a server's look alike.
/// assert_eq!(wrong.status(ResponseMediaType::Json), 200);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct Rejection {
    /// What kind of thing is wrong.
    pub code: ErrorCode,
    /// What is wrong, in words.
    pub message: Cow<'static, str>,
}

impl Rejection {
    /// What is wrong, by kind and in words.
    pub fn new(code: ErrorCode, message: impl Into<Cow<'static, str>>) -> Rejection {
        Rejection { code, message: message.into() }
    }

    /// The status that says so in this media type.
    pub fn status(&self, media: ResponseMediaType) -> StatusCode {
        self.code.status(media)
    }
}

/// What kind of thing is wrong with a request; `extensions.code` of its error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum ErrorCode {
    /// The client reads no media type that GraphQL answers come in.
    NotAcceptable,
    /// The body is not `application/json` in UTF-8.
    UnsupportedMediaType,
    /// Neither GET nor POST, or a mutation by GET.
    MethodNotAllowed,
    /// It is no well-formed GraphQL-over-HTTP request.
    BadRequest,
    /// It could be read in two ways, and a server might take the other one.
    Ambiguous,
    /// A batch where none is taken, an empty one, or one within another.
    Batch,
    /// The document does not follow the grammar.
    Syntax,
    /// The document follows the grammar, but no server could run it.
    Validation,
    /// Which operation is meant can't be told.
    Operation,
    /// Over one of the operator's limits.
    Limit(Limit),
    /// Subscriptions are not passed on.
    Subscription,
    /// `@defer` and `@stream` are not passed on.
    Incremental,
}

impl ErrorCode {
    /// As clients see it.
    pub fn name(self) -> &'static str {
        match self {
            ErrorCode::NotAcceptable => "NOT_ACCEPTABLE",
            ErrorCode::UnsupportedMediaType => "UNSUPPORTED_MEDIA_TYPE",
            ErrorCode::MethodNotAllowed => "METHOD_NOT_ALLOWED",
            ErrorCode::BadRequest => "BAD_REQUEST",
            ErrorCode::Ambiguous => "AMBIGUOUS_REQUEST",
            ErrorCode::Batch => "BATCH_NOT_TAKEN",
            ErrorCode::Syntax => "GRAPHQL_PARSE_FAILED",
            ErrorCode::Validation => "GRAPHQL_VALIDATION_FAILED",
            ErrorCode::Operation => "OPERATION_RESOLUTION_FAILURE",
            ErrorCode::Limit(_) => "LIMIT_EXCEEDED",
            ErrorCode::Subscription => "SUBSCRIPTION_NOT_SUPPORTED",
            ErrorCode::Incremental => "INCREMENTAL_DELIVERY_NOT_SUPPORTED",
        }
    }

    /// The status for it. A request that is well-formed, with a document that can't be run, is told so with 200
    /// where the answer is `application/json` (GraphQL over HTTP, 6.4.1), and with 400 otherwise (6.4.2).
    pub fn status(self, media: ResponseMediaType) -> StatusCode {
        match self {
            ErrorCode::NotAcceptable => StatusCode::NOT_ACCEPTABLE,
            ErrorCode::UnsupportedMediaType => StatusCode::UNSUPPORTED_MEDIA_TYPE,
            ErrorCode::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            ErrorCode::BadRequest | ErrorCode::Ambiguous | ErrorCode::Batch => StatusCode::BAD_REQUEST,
            _ if media == ResponseMediaType::Json => StatusCode::OK,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// Which of the operator's limits a request is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Limit {
    /// Bytes of a document.
    Bytes,
    /// Tokens of a document.
    Tokens,
    /// Levels of fields within fields, fragments spread out, or of values within values.
    Depth,
    /// Aliases, fragments spread out.
    Aliases,
    /// Directives, fragments spread out.
    Directives,
    /// Fields, fragments spread out.
    Fields,
    /// The work that a request is expected to be.
    Work,
    /// Requests in a batch.
    Batch,
}

impl Limit {
    /// The name of its setting.
    pub fn name(self) -> &'static str {
        match self {
            Limit::Bytes => "bytes",
            Limit::Tokens => "tokens",
            Limit::Depth => "depth",
            Limit::Aliases => "aliases",
            Limit::Directives => "directives",
            Limit::Fields => "fields",
            Limit::Work => "work",
            Limit::Batch => "batch",
        }
    }

    /// A request is over it.
    pub(crate) fn exceeded(self) -> Rejection {
        Rejection::new(ErrorCode::Limit(self), format!("over the limit on {}", self.name()))
    }
}
