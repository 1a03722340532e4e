//! Why a request is rejected, and the response that says so.

use std::borrow::Cow;

use http::StatusCode;

use crate::media::ResponseMediaType;

/// Why a request is rejected. No part of it was sent to a server.
///
/// ```
/// use dunelink_graphql::{ErrorCode, Rejection, ResponseMediaType};
///
/// let rejection = Rejection::new(ErrorCode::Syntax, "expected a name");
/// assert_eq!(rejection.status(ResponseMediaType::GraphqlResponse), 400);
/// // A client that accepts only `application/json` can't tell an intermediary's 4xx from a server's.
/// assert_eq!(rejection.status(ResponseMediaType::Json), 200);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct Rejection {
    /// The category of the error.
    pub code: ErrorCode,
    /// A description for the client.
    pub message: Cow<'static, str>,
}

impl Rejection {
    /// Creates a rejection.
    pub fn new(code: ErrorCode, message: impl Into<Cow<'static, str>>) -> Rejection {
        Rejection { code, message: message.into() }
    }

    /// The HTTP status of the response in this media type.
    pub fn status(&self, media: ResponseMediaType) -> StatusCode {
        self.code.status(media)
    }
}

/// The category of an error, sent as `extensions.code`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum ErrorCode {
    /// The client accepts no media type of GraphQL responses.
    NotAcceptable,
    /// The body is not `application/json` in UTF-8.
    UnsupportedMediaType,
    /// The method is neither GET nor POST, or it is GET for a mutation.
    MethodNotAllowed,
    /// The request is not well-formed GraphQL over HTTP.
    BadRequest,
    /// Different parsers could read the request differently, and a server's might not agree with this one.
    Ambiguous,
    /// A batch where batches are disabled, an empty batch, or a batch within another.
    Batch,
    /// The document does not follow the grammar.
    Syntax,
    /// The document follows the grammar, but can't be valid for any schema.
    Validation,
    /// The requested operation can't be determined.
    Operation,
    /// The request exceeds one of the operator's limits.
    Limit(Limit),
    /// Subscriptions are not supported.
    Subscription,
    /// `@defer` and `@stream` are not supported.
    Incremental,
}

impl ErrorCode {
    /// The value of `extensions.code`.
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

    /// The HTTP status for the error. A well-formed request with a document that can't be executed gets 200
    /// if the response is `application/json` (GraphQL over HTTP, 6.4.1), and 400 otherwise (6.4.2).
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

/// A limit set by the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Limit {
    /// The length of a document in bytes.
    Bytes,
    /// The number of tokens of a document.
    Tokens,
    /// Levels of nested fields, with fragments expanded, or of nested values.
    Depth,
    /// The number of aliases, with fragments expanded.
    Aliases,
    /// The number of directives, with fragments expanded.
    Directives,
    /// The number of fields, with fragments expanded.
    Fields,
    /// The estimated execution time of a request.
    Work,
    /// The number of requests in a batch.
    Batch,
}

impl Limit {
    /// The name of the setting.
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

    /// The rejection of a request that exceeds this limit.
    pub(crate) fn exceeded(self) -> Rejection {
        Rejection::new(ErrorCode::Limit(self), format!("over the limit on {}", self.name()))
    }
}
