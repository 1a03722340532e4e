//! Errors of the operator's configuration.

/// An invalid configuration. Each message names the location as a JSON pointer, the expected value and the
/// remedy. No message contains an API key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The body is not exactly one complete JSON document.
    #[error(
        "the configuration is not exactly one JSON document ({reason}); send it complete and nothing after it"
    )]
    InvalidJson {
        /// Message of the JSON parser, with the position.
        reason: String,
    },
    /// Arrays and objects are nested too deeply.
    #[error("the configuration is nested more than {limit} levels deep; send one with fewer levels")]
    TooDeep {
        /// Greatest nesting depth that is accepted.
        limit: usize,
    },
    /// A required field is missing or null.
    #[error("{pointer}: missing; add {expected}")]
    MissingField {
        /// JSON pointer to the field.
        pointer: String,
        /// Description of a valid value.
        expected: &'static str,
    },
    /// A value has the wrong type or is out of range.
    #[error("{pointer}: wrong type or out of range; change it to {expected}")]
    InvalidValue {
        /// JSON pointer to the value.
        pointer: String,
        /// Description of a valid value.
        expected: &'static str,
    },
    /// A route names a service that the configuration does not define.
    #[error("{pointer}: service `{service}` is not listed; add it under `services` or name one that is")]
    UnknownService {
        /// JSON pointer to the name.
        pointer: String,
        /// The unknown name.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[error("{pointer}: the same host and prefix as {first}; remove one of the two or change its prefix")]
    DuplicateRoute {
        /// JSON pointer to the later route.
        pointer: String,
        /// JSON pointer to the earlier route.
        first: String,
    },
    /// Two services have the same name.
    #[error("{pointer}: the same name as {first}; rename or remove one of the two services")]
    DuplicateService {
        /// JSON pointer to the later service.
        pointer: String,
        /// JSON pointer to the earlier service.
        first: String,
    },
    /// The weights of a split sum to 0.
    #[error("{pointer}: the weights sum to 0; give at least one target a weight above 0")]
    ZeroWeights {
        /// JSON pointer to the split.
        pointer: String,
    },
    /// An API key occurs more than once.
    #[error("{pointer}: the same key as {first}; remove it from one of the two places")]
    DuplicateApiKey {
        /// JSON pointer to the later key.
        pointer: String,
        /// JSON pointer to the earlier key.
        first: String,
    },
}

impl ConfigError {
    /// JSON pointer to the invalid value; empty for the document as a whole.
    pub fn pointer(&self) -> &str {
        match self {
            Self::InvalidJson { .. } | Self::TooDeep { .. } => "",
            Self::MissingField { pointer, .. }
            | Self::InvalidValue { pointer, .. }
            | Self::UnknownService { pointer, .. }
            | Self::DuplicateRoute { pointer, .. }
            | Self::DuplicateService { pointer, .. }
            | Self::ZeroWeights { pointer }
            | Self::DuplicateApiKey { pointer, .. } => pointer,
        }
    }
}
