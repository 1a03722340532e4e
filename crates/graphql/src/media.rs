//! The media types that an answer may have.

/// The media type of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Media {
    /// `application/graphql-response+json`.
    Response,
    /// `application/json`.
    Json,
}

impl Media {
    /// Its name, for `Content-Type`.
    pub fn name(self) -> &'static str {
        match self {
            Media::Response => "application/graphql-response+json; charset=utf-8",
            Media::Json => "application/json; charset=utf-8",
        }
    }
}
