//! Why a configuration was not accepted.

/// An invalid configuration. Each message names the place as a JSON pointer, what was expected there and the
/// remedy. No message repeats an API key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The body is not one whole JSON document.
    #[error(
        "the configuration is not one whole JSON document ({reason}); send it complete and nothing after it"
    )]
    InvalidJson {
        /// What the JSON reader found, and where.
        reason: String,
    },
    /// Arrays and objects stand inside one another too deeply.
    #[error("the configuration nests more than {limit} levels deep; send one with fewer levels")]
    TooDeep {
        /// Levels that are accepted.
        limit: usize,
    },
    /// A field that has no default is absent or null.
    #[error("{pointer}: missing; add {expected}")]
    MissingField {
        /// Place of the field.
        pointer: String,
        /// What the value has to be.
        expected: &'static str,
    },
    /// A value is of another type or outside its range.
    #[error("{pointer}: of the wrong type or out of range; change it to {expected}")]
    InvalidValue {
        /// Place of the value.
        pointer: String,
        /// What the value has to be.
        expected: &'static str,
    },
    /// A route names a service that the configuration doesn't list.
    #[error("{pointer}: service `{service}` is not listed; add it under `services` or name one that is")]
    UnknownService {
        /// Place of the name.
        pointer: String,
        /// The name.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[error("{pointer}: the same host and prefix as {first}; remove one of the two or change its prefix")]
    DuplicateRoute {
        /// Place of the later route.
        pointer: String,
        /// Place of the earlier route.
        first: String,
    },
    /// Two services have the same name.
    #[error("{pointer}: the same name as {first}; rename or remove one of the two services")]
    DuplicateService {
        /// Place of the later service.
        pointer: String,
        /// Place of the earlier service.
        first: String,
    },
    /// The weights of a split sum to 0.
    #[error("{pointer}: the weights sum to 0; give at least one target a weight above 0")]
    ZeroWeights {
        /// Place of the split.
        pointer: String,
    },
    /// An API key stands more than once.
    #[error("{pointer}: the same key as {first}; remove it from one of the two places")]
    DuplicateApiKey {
        /// Place of the later key.
        pointer: String,
        /// Place of the earlier key.
        first: String,
    },
}

impl ConfigError {
    /// JSON pointer of the offending place; empty for the document as a whole.
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
