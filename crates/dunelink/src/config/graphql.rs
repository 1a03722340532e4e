//! An endpoint for GraphQL over HTTP.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use dunelink_edge::target::is_class_name;
use dunelink_graphql as graphql;
use dunelink_graphql::{
    ClassRule, ClassTable, ClassTableError, DocumentCache, DocumentManifest, RequestReader, Weights,
};
use serde::{Deserialize, Serialize};

use super::{Class, Config, ConfigError, Effect, Problem, error};

/// An endpoint for GraphQL over HTTP: its path, and how operations map to classes.
///
/// ```
/// let toml = r#"
///     [[classes]]
///     name = "read"
///     effect = "safe"
///     deadline = "2s"
///
///     [[classes]]
///     name = "pay"
///     effect = "unsafe"
///     deadline = "3s"
///
///     [graphql]
///     path = "/graphql"
///     query = "read"
///     mutation = "pay"
/// "#;
/// let config = dunelink::Config::from_toml(toml)?;
/// assert_eq!(config.graphql.unwrap().limits.depth, 16);
/// # Ok::<(), dunelink::config::ConfigError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GraphQl {
    /// Path of the endpoint, as it stands in requests.
    pub path: String,
    /// Class of queries that match no entry of `operations`; must be safe.
    pub query: String,
    /// Class of mutations that match no entry of `operations`, and of requests whose operation can't be
    /// determined; must be unsafe.
    pub mutation: String,
    /// Manifest of persisted documents that clients request by name, in JSON: an Apollo client's manifest or
    /// an object that maps names to texts. Read at the start and whenever a reload is requested.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub documents: Option<PathBuf>,
    /// Request parameters, beyond those of the specification, that servers ignore.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parameters: Vec<String>,
    /// Limits of a request.
    #[serde(default)]
    pub limits: GraphQlLimits,
    /// How the work of a request is estimated.
    #[serde(default)]
    pub weights: GraphQlWeights,
    /// Rules that assign operations to other classes; the first match counts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub operations: Vec<GraphQlOperation>,
}

/// Type of an operation.
///
/// ```
/// use dunelink::config::GraphQlType;
///
/// assert_eq!(serde_json::to_string(&GraphQlType::Mutation)?, "\"mutation\"");
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum GraphQlType {
    /// Reads only.
    Query,
    /// Changes state.
    Mutation,
}

/// A rule that assigns matching operations to a class.
///
/// ```
/// use dunelink::config::{GraphQlOperation, GraphQlType};
///
/// let submit = GraphQlOperation {
///     fields: vec!["submitTimesheet".into()],
///     ..GraphQlOperation::new(GraphQlType::Mutation, "timesheet-submit")
/// };
/// assert!(submit.names.is_empty());
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GraphQlOperation {
    /// Type of the operations.
    #[serde(rename = "type")]
    pub kind: GraphQlType,
    /// Root fields: an operation matches if it requests one or more of these and no others; any root fields
    /// match if empty. Required for mutations of a keyed class, as clients choose an operation's name freely.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub fields: Vec<String>,
    /// Operation names; any name matches if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub names: Vec<String>,
    /// Names of persisted documents; any document matches if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub documents: Vec<String>,
    /// Class of the operations: safe or unsafe for queries, keyed or unsafe for mutations. A request for an
    /// operation of a keyed class without `Idempotency-Key` gets the class `mutation` of the endpoint.
    pub class: String,
}

impl GraphQlOperation {
    /// A rule that matches all operations of a type.
    pub fn new(kind: GraphQlType, class: impl Into<String>) -> GraphQlOperation {
        let class = class.into();
        GraphQlOperation { kind, fields: Vec::new(), names: Vec::new(), documents: Vec::new(), class }
    }
}

/// Limits of a GraphQL request. A request that exceeds one is answered with an error that names the limit.
///
/// ```
/// let limits = dunelink::config::GraphQlLimits { batch: 0, ..Default::default() };
/// assert_eq!((limits.tokens, limits.aliases), (4_000, 64));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GraphQlLimits {
    /// Bytes of a document.
    pub bytes: usize,
    /// Tokens of a document, including white space and comments.
    pub tokens: usize,
    /// Depth of nested fields.
    pub depth: usize,
    /// Aliases after fragments are expanded.
    pub aliases: u64,
    /// Directives after fragments are expanded.
    pub directives: u64,
    /// Fields after fragments are expanded.
    pub fields: u64,
    /// Estimated work of a request.
    #[serde(with = "humantime_serde")]
    pub work: Duration,
    /// Requests in a batch; 0 if batches are not accepted.
    pub batch: usize,
    /// Size in bytes of the cache of parsed documents; 0 disables it.
    pub known: usize,
}

impl Default for GraphQlLimits {
    fn default() -> GraphQlLimits {
        let graphql::Limits { bytes, tokens, depth, aliases, directives, fields, work, batch } =
            Default::default();
        GraphQlLimits { bytes, tokens, depth, aliases, directives, fields, work, batch, known: 4 << 20 }
    }
}

/// How the work of an operation is estimated: `base`, plus for each field its weight times the lengths of the
/// enclosing lists. The estimate replaces `Req-Cost` where a client sends none.
///
/// ```
/// use dunelink::config::GraphQlWeights;
/// use std::time::Duration;
///
/// assert_eq!(GraphQlWeights::default().field, Duration::from_micros(20));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GraphQlWeights {
    /// Work of any operation.
    #[serde(with = "humantime_serde")]
    pub base: Duration,
    /// Weight of a field that is not listed in `fields`.
    #[serde(with = "humantime_serde")]
    pub field: Duration,
    /// Names of arguments that limit the length of a field's list.
    pub list_arguments: Vec<String>,
    /// Weights of fields by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub fields: BTreeMap<String, humantime_serde::Serde<Duration>>,
}

impl Default for GraphQlWeights {
    fn default() -> GraphQlWeights {
        let Weights { base, field, list_arguments, .. } = Weights::default();
        GraphQlWeights { base, field, list_arguments, fields: BTreeMap::new() }
    }
}

/// The node's own health page, which no endpoint may replace.
const HEALTH_PATH: &str = "/_health";

impl GraphQl {
    /// An endpoint with the default limits.
    pub fn new(path: impl Into<String>, query: impl Into<String>, mutation: impl Into<String>) -> GraphQl {
        GraphQl {
            path: path.into(),
            query: query.into(),
            mutation: mutation.into(),
            documents: None,
            parameters: Vec::new(),
            limits: GraphQlLimits::default(),
            weights: GraphQlWeights::default(),
            operations: Vec::new(),
        }
    }

    /// Checks the endpoint's settings against the classes.
    pub(super) fn check(&self, classes: &[Class]) -> Result<(), Problem> {
        let require = |holds: bool, key: &str, expected: &str| match holds {
            true => Ok(()),
            false => Err(Problem::new(format!("graphql.{key}"), expected)),
        };
        let segments: Vec<&str> =
            self.path.strip_prefix('/').map(|path| path.split('/').collect()).unwrap_or_default();
        let unencoded = !segments.is_empty() && segments.iter().all(|segment| is_class_name(segment));
        require(
            unencoded,
            "path",
            "expected a path such as \"/graphql\", of segments that need no encoding",
        )?;
        let first = segments.first().copied().unwrap_or_default();
        let conflicts =
            classes.iter().any(|class| class.name.eq_ignore_ascii_case(first)) || self.path == HEALTH_PATH;
        require(
            !conflicts,
            "path",
            "expected a path that does not begin with a class name, and not /_health",
        )?;
        for (at, name) in self.parameters.iter().enumerate() {
            let expected = "expected letters, digits, _ and -, and none of GraphQL's own parameters";
            require(graphql::is_allowable_parameter(name), &format!("parameters[{at}]"), expected)?;
        }
        let limits = &self.limits;
        for (limit, key) in [
            (limits.bytes as u64, "limits.bytes"),
            (limits.tokens as u64, "limits.tokens"),
            (limits.depth as u64, "limits.depth"),
            (limits.fields, "limits.fields"),
        ] {
            require(limit > 0, key, "expected at least 1")?;
        }
        require(limits.depth <= 64, "limits.depth", "expected at most 64")?;
        require(limits.batch <= 1_000, "limits.batch", "expected at most 1000")?;
        require(!limits.work.is_zero(), "limits.work", "expected a time above 0")?;
        let require_class = |name: &str, key: &str| {
            let exists = classes.iter().any(|class| class.name == name);
            require(exists, key, "expected the name of one of the [[classes]]")
        };
        require_class(&self.query, "query")?;
        require_class(&self.mutation, "mutation")?;
        for (at, operation) in self.operations.iter().enumerate() {
            require_class(&operation.class, &format!("operations[{at}].class"))?;
        }
        self.table(classes).check().map_err(|error| {
            let key = match error {
                ClassTableError::QueryClass => "query".to_string(),
                ClassTableError::MutationClass => "mutation".to_string(),
                ClassTableError::SafeMutationRule(at) | ClassTableError::KeyedQueryRule(at) => {
                    format!("operations[{at}].class")
                }
                ClassTableError::RuleWithoutFields(at) => format!("operations[{at}].fields"),
            };
            Problem::new(format!("graphql.{key}"), error.to_string())
        })
    }

    /// Builds the table that maps operations to classes.
    fn table(&self, classes: &[Class]) -> ClassTable {
        let class = |name: &str| {
            // `check` rejects unknown names. Without any class there is no safe default, so the effect is
            // unsafe.
            let index = classes.iter().position(|class| class.name == name).unwrap_or(0);
            let effect = match classes.get(index).map(|class| class.effect) {
                Some(Effect::Safe) => graphql::Effect::Safe,
                Some(Effect::Keyed) => graphql::Effect::Keyed,
                Some(Effect::Unsafe) | None => graphql::Effect::Unsafe,
            };
            graphql::Class { index, effect }
        };
        let rule = |operation: &GraphQlOperation| ClassRule {
            kind: match operation.kind {
                GraphQlType::Query => graphql::OperationKind::Query,
                GraphQlType::Mutation => graphql::OperationKind::Mutation,
            },
            fields: operation.fields.clone(),
            names: operation.names.clone(),
            documents: operation.documents.iter().map(|name| name.to_ascii_lowercase()).collect(),
            class: class(&operation.class),
        };
        ClassTable {
            query: class(&self.query),
            mutation: class(&self.mutation),
            rules: self.operations.iter().map(rule).collect(),
        }
    }

    /// Reads the manifest; empty if none is configured.
    fn read_documents(&self) -> Result<DocumentManifest, ConfigError> {
        let Some(path) = &self.documents else { return Ok(DocumentManifest::default()) };
        let text = error::read(path)?;
        DocumentManifest::from_json(&text).map_err(|e| {
            let error = ConfigError::new(format!("expected a manifest of documents: {e}"));
            error.at((e.line() > 0).then_some(e.line()), "").in_file(path)
        })
    }

    /// Builds the reader of the endpoint's requests from the current content of the manifest.
    ///
    /// # Errors
    ///
    /// The settings don't match the classes, the manifest can't be read, or one of its documents is invalid
    /// or exceeds a limit.
    pub(crate) fn reader(&self, classes: &[Class]) -> Result<RequestReader, ConfigError> {
        self.check(classes)?;
        let GraphQlLimits { bytes, tokens, depth, aliases, directives, fields, work, batch, known } =
            self.limits.clone();
        let weights = &self.weights;
        let reader = RequestReader {
            table: self.table(classes),
            limits: graphql::Limits { bytes, tokens, depth, aliases, directives, fields, work, batch },
            weights: Weights {
                base: weights.base,
                field: weights.field,
                fields: weights.fields.iter().map(|(name, weight)| (name.clone(), **weight)).collect(),
                list_arguments: weights.list_arguments.clone(),
            },
            manifest: self.read_documents()?,
            allowed_parameters: self.parameters.clone(),
            document_cache: DocumentCache::with_capacity(known as u64),
        };
        for (name, text) in reader.manifest.iter() {
            let read = graphql::Document::parse(text, &Default::default(), &reader.limits, &reader.weights);
            read.map_err(|error| {
                let error = ConfigError::new(error.to_string()).at(None, name);
                self.documents.iter().fold(error, |error, path| error.in_file(path))
            })?;
        }
        Ok(reader)
    }
}

impl Config {
    /// Builds the reader of requests at the GraphQL endpoint from the current content of the manifest; `None`
    /// without an endpoint.
    ///
    /// # Errors
    ///
    /// The settings don't match the classes, the manifest can't be read, or one of its documents is invalid
    /// or exceeds a limit.
    pub fn graphql_reader(&self) -> Result<Option<RequestReader>, ConfigError> {
        self.graphql.as_ref().map(|endpoint| endpoint.reader(&self.classes)).transpose()
    }
}
