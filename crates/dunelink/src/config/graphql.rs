//! An endpoint that speaks GraphQL over HTTP.

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

/// An endpoint that speaks GraphQL over HTTP: where it is, and which class each operation is of.
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
    /// Its path, as clients write it.
    pub path: String,
    /// The class of queries that no line below fits; its effect is safe.
    pub query: String,
    /// The class of mutations that no line below fits, and of what can't be told; its effect is unsafe.
    pub mutation: String,
    /// A manifest of documents that clients ask for by name: JSON, an Apollo client's or an object of names and
    /// texts. Read at the start, and again when told to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub documents: Option<PathBuf>,
    /// Parameters of requests, beside those of the specification, that servers do not heed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parameters: Vec<String>,
    /// What a request may hold.
    #[serde(default)]
    pub limits: GraphQlLimits,
    /// What work to expect.
    #[serde(default)]
    pub weights: GraphQlWeights,
    /// Operations that are of a class of their own; the first that fits counts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub operations: Vec<GraphQlOperation>,
}

/// What an operation does.
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
    /// It reads.
    Query,
    /// It changes something.
    Mutation,
}

/// Operations that are of a class of their own.
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
    /// What they do.
    #[serde(rename = "type")]
    pub kind: GraphQlType,
    /// The root fields that they may ask for, one or more of these and no others; any if empty. A keyed class for
    /// mutations wants them, as clients choose an operation's name.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub fields: Vec<String>,
    /// Their names; any if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub names: Vec<String>,
    /// The names of their documents; any if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub documents: Vec<String>,
    /// Their class: safe or unsafe for queries; keyed or unsafe for mutations. One of a keyed class that comes
    /// without `Idempotency-Key` is of `mutation`'s class.
    pub class: String,
}

impl GraphQlOperation {
    /// All operations of a type.
    pub fn new(kind: GraphQlType, class: impl Into<String>) -> GraphQlOperation {
        let class = class.into();
        GraphQlOperation { kind, fields: Vec::new(), names: Vec::new(), documents: Vec::new(), class }
    }
}

/// What a GraphQL request may hold. Over one of them it is answered with an error that has that limit's name.
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
    /// Tokens of a document, white space and comments among them.
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
    #[serde(with = "humantime_serde")]
    pub work: Duration,
    /// Requests in a batch; 0 where none are taken.
    pub batch: usize,
    /// Bytes of documents that are remembered, so as not to parse them again; 0 for none.
    pub known: usize,
}

impl Default for GraphQlLimits {
    fn default() -> GraphQlLimits {
        let graphql::Limits { bytes, tokens, depth, aliases, directives, fields, work, batch } =
            Default::default();
        GraphQlLimits { bytes, tokens, depth, aliases, directives, fields, work, batch, known: 4 << 20 }
    }
}

/// What work to expect of an operation: `base`, and for each field its weight times the lengths of the lists around
/// it. It stands in for `Req-Cost`, where a client sends none.
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
    /// Any operation.
    #[serde(with = "humantime_serde")]
    pub base: Duration,
    /// A field that is not named below.
    #[serde(with = "humantime_serde")]
    pub field: Duration,
    /// Arguments that say how long a field's list may be.
    pub list_arguments: Vec<String>,
    /// Fields by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub fields: BTreeMap<String, humantime_serde::Serde<Duration>>,
}

impl Default for GraphQlWeights {
    fn default() -> GraphQlWeights {
        let Weights { base, field, list_arguments, .. } = Weights::default();
        GraphQlWeights { base, field, list_arguments, fields: BTreeMap::new() }
    }
}

/// A node's own page, which no endpoint may take the place of.
const HEALTH: &str = "/_health";

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

    /// Checks that it holds together with the classes.
    pub(super) fn check(&self, classes: &[Class]) -> Result<(), Problem> {
        let want = |kept: bool, key: &str, expected: &str| match kept {
            true => Ok(()),
            false => Err(Problem::new(format!("graphql.{key}"), expected)),
        };
        let parts: Vec<&str> =
            self.path.strip_prefix('/').map(|path| path.split('/').collect()).unwrap_or_default();
        let plain = !parts.is_empty() && parts.iter().all(|part| is_class_name(part));
        want(plain, "path", "expected a path such as \"/graphql\", of parts that need no encoding")?;
        let first = parts.first().copied().unwrap_or_default();
        let taken = classes.iter().any(|class| class.name.eq_ignore_ascii_case(first)) || self.path == HEALTH;
        want(!taken, "path", "expected a path that does not begin with a class's name, and not /_health")?;
        for (at, name) in self.parameters.iter().enumerate() {
            let expected = "expected letters, digits, _ and -, and none of GraphQL's own parameters";
            want(graphql::is_allowable_parameter(name), &format!("parameters[{at}]"), expected)?;
        }
        let l = &self.limits;
        for (most, key) in [
            (l.bytes as u64, "limits.bytes"),
            (l.tokens as u64, "limits.tokens"),
            (l.depth as u64, "limits.depth"),
            (l.fields, "limits.fields"),
        ] {
            want(most > 0, key, "expected at least 1")?;
        }
        want(l.depth <= 64, "limits.depth", "expected at most 64")?;
        want(l.batch <= 1_000, "limits.batch", "expected at most 1000")?;
        want(!l.work.is_zero(), "limits.work", "expected a time above 0")?;
        let known = |name: &str, key: &str| {
            let known = classes.iter().any(|class| class.name == name);
            want(known, key, "expected the name of one of the [[classes]]")
        };
        known(&self.query, "query")?;
        known(&self.mutation, "mutation")?;
        for (at, operation) in self.operations.iter().enumerate() {
            known(&operation.class, &format!("operations[{at}].class"))?;
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

    /// Which class an operation is of.
    fn table(&self, classes: &[Class]) -> ClassTable {
        let class = |name: &str| {
            // Names were checked; without classes nothing is safe.
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

    /// Reads the manifest, if there is one.
    fn read_documents(&self) -> Result<DocumentManifest, ConfigError> {
        let Some(path) = &self.documents else { return Ok(DocumentManifest::default()) };
        let text = error::read(path)?;
        DocumentManifest::from_json(&text).map_err(|e| {
            let wrong = ConfigError::of(format!("expected a manifest of documents: {e}"));
            wrong.at((e.line() > 0).then_some(e.line()), "").in_file(path)
        })
    }

    /// What reads the requests at the endpoint, with the manifest as it is now.
    ///
    /// # Errors
    ///
    /// It does not hold together with the classes, or the manifest can't be read or has a document that would be
    /// turned down.
    pub(crate) fn reader(&self, classes: &[Class]) -> Result<RequestReader, ConfigError> {
        self.check(classes)?;
        let GraphQlLimits { bytes, tokens, depth, aliases, directives, fields, work, batch, known } =
            self.limits.clone();
        let w = &self.weights;
        let reader = RequestReader {
            table: self.table(classes),
            limits: graphql::Limits { bytes, tokens, depth, aliases, directives, fields, work, batch },
            weights: Weights {
                base: w.base,
                field: w.field,
                fields: w.fields.iter().map(|(name, weight)| (name.clone(), **weight)).collect(),
                list_arguments: w.list_arguments.clone(),
            },
            manifest: self.read_documents()?,
            allowed_parameters: self.parameters.clone(),
            document_cache: DocumentCache::with_capacity(known as u64),
        };
        for (name, text) in reader.manifest.iter() {
            let read = graphql::Document::parse(text, &Default::default(), &reader.limits, &reader.weights);
            read.map_err(|wrong| {
                let wrong = ConfigError::of(wrong.to_string()).at(None, name);
                self.documents.iter().fold(wrong, |wrong, path| wrong.in_file(path))
            })?;
        }
        Ok(reader)
    }
}

impl Config {
    /// What reads the requests at the GraphQL endpoint, with the manifest as it is now; nothing without an endpoint.
    ///
    /// # Errors
    ///
    /// The configuration does not hold together, or the manifest can't be read or has a document that would be
    /// turned down.
    pub fn graphql_reader(&self) -> Result<Option<RequestReader>, ConfigError> {
        self.graphql.as_ref().map(|endpoint| endpoint.reader(&self.classes)).transpose()
    }
}
