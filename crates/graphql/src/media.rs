//! The media types of responses.

/// The media type of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMediaType {
    /// `application/graphql-response+json`.
    GraphqlResponse,
    /// `application/json`.
    Json,
}

impl ResponseMediaType {
    /// The value for `Content-Type`.
    pub fn name(self) -> &'static str {
        match self {
            ResponseMediaType::GraphqlResponse => "application/graphql-response+json; charset=utf-8",
            ResponseMediaType::Json => "application/json; charset=utf-8",
        }
    }
}
