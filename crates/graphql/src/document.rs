//! GraphQL documents: their operations, the root fields, size and estimated work of each.

mod walk;

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use apollo_parser::Parser;
use apollo_parser::cst::{self, CstNode, Definition};
use serde_json::{Map, Value};

use crate::error::{ErrorCode, Limit, Rejection};
use crate::limits::{Limits, Weights};
use walk::Walk;

/// The type of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationKind {
    /// Reads data.
    Query,
    /// Changes data.
    Mutation,
    /// Requests a stream of responses.
    Subscription,
}

impl OperationKind {
    /// The keyword in a document.
    pub fn name(self) -> &'static str {
        match self {
            OperationKind::Query => "query",
            OperationKind::Mutation => "mutation",
            OperationKind::Subscription => "subscription",
        }
    }
}

/// One operation of a document.
#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    /// The type of the operation.
    pub kind: OperationKind,
    /// The name; `None` if the operation is anonymous.
    pub name: Option<String>,
    /// The names (not aliases) of the selected root fields, without duplicates, with fragments expanded.
    pub root_fields: Vec<String>,
    /// The size with fragments expanded.
    pub size: OperationSize,
    /// The estimated work, see [`Weights`].
    pub work: Duration,
}

/// The size of an operation with fragments expanded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OperationSize {
    /// The number of levels of nested fields.
    pub depth: usize,
    /// The number of fields.
    pub fields: u64,
    /// The number of aliases.
    pub aliases: u64,
    /// The number of directives.
    pub directives: u64,
}

/// A parsed document.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// The operations in order; there is at least one.
    pub operations: Vec<Arc<Operation>>,
    /// The variables on which the estimated work depends, with their values, see [`walk::numeric_value`].
    work_variables: Vec<(String, Option<f64>)>,
}

impl Document {
    /// Parses a document; the values of its variables are used to estimate its work.
    ///
    /// # Errors
    ///
    /// Fails if the document does not follow the grammar, can't be valid for any schema, exceeds a limit, or
    /// has characters at which another parser could end a comment or a string.
    pub fn parse(
        text: &str,
        variables: &Map<String, Value>,
        limits: &Limits,
        weights: &Weights,
    ) -> Result<Document, Rejection> {
        if text.len() > limits.bytes {
            return Err(Limit::Bytes.exceeded());
        }
        check_ambiguous_characters(text)?;
        // The parser's recursion limit also counts nested values, besides the levels of fields.
        let parser = Parser::new(text).token_limit(limits.tokens).recursion_limit(4 * limits.depth);
        let tree = parser.parse();
        if let Some(error) = tree.errors().next() {
            return Err(match error.is_limit() {
                true if tree.token_limit().high >= limits.tokens => Limit::Tokens.exceeded(),
                true => Limit::Depth.exceeded(),
                false => syntax_error(text, error),
            });
        }
        let (mut operations, mut fragments) = (Vec::new(), Vec::new());
        for definition in tree.document().definitions() {
            match definition {
                Definition::OperationDefinition(operation) => operations.push(operation),
                Definition::FragmentDefinition(fragment) => fragments.push(fragment),
                _ => return Err(invalid("only operations and fragments can be run")),
            }
        }
        let mut walk = Walk::new(&fragments, variables, limits, weights)?;
        let operations: Vec<Arc<Operation>> = operations
            .iter()
            .map(|operation| read_operation(operation, &mut walk).map(Arc::new))
            .collect::<Result<_, _>>()?;
        check_operation_names(&operations)?;
        Ok(Document { operations, work_variables: walk.work_variables() })
    }

    /// Whether the estimated work is the same with these values of the variables.
    pub(crate) fn has_same_work(&self, variables: &Map<String, Value>) -> bool {
        self.work_variables.iter().all(|(name, value)| walk::numeric_value(variables, name) == *value)
    }

    /// Returns the operation with this name, or the only operation if there is no name.
    ///
    /// # Errors
    ///
    /// Fails if there is no operation of that name, or no name but several operations.
    pub fn select_operation(&self, name: Option<&str>) -> Result<&Arc<Operation>, Rejection> {
        let operation_error = |message: &'static str| Rejection::new(ErrorCode::Operation, message);
        match (name, &self.operations[..]) {
            (None, [only]) => Ok(only),
            (None, _) => Err(operation_error("operationName has to say which operation is meant")),
            (Some(name), operations) => operations
                .iter()
                .find(|operation| operation.name.as_deref() == Some(name))
                .ok_or(operation_error("the document has no operation of that name")),
        }
    }
}

/// A document that can't be valid for any schema.
pub(crate) fn invalid(message: &'static str) -> Rejection {
    Rejection::new(ErrorCode::Validation, message)
}

/// The parser's error, with its line number.
fn syntax_error(text: &str, error: &apollo_parser::Error) -> Rejection {
    let line = 1 + text.bytes().take(error.index()).filter(|b| *b == b'\n').count();
    Rejection::new(ErrorCode::Syntax, format!("line {line}: {}", error.message()))
}

/// Rejects characters that parsers treat differently: some end a line, and with it a comment, or end the
/// text, where others ignore them. Within a string they can be written as escapes.
fn check_ambiguous_characters(text: &str) -> Result<(), Rejection> {
    let mut previous = ' ';
    for c in text.chars().chain([' ']) {
        let ambiguous = matches!(c, '\0'..='\u{8}' | '\u{b}' | '\u{c}' | '\u{e}'..='\u{1f}' | '\u{7f}'..='\u{9f}')
            || matches!(c, '\u{2028}' | '\u{2029}' | '\u{feff}');
        if ambiguous || previous == '\r' && c != '\n' {
            let shown = if ambiguous { c } else { previous };
            let message =
                format!("the document has {}, which not all parsers read alike", shown.escape_unicode());
            return Err(Rejection::new(ErrorCode::Ambiguous, message));
        }
        previous = c;
    }
    Ok(())
}

fn read_operation(
    definition: &cst::OperationDefinition,
    walk: &mut Walk<'_>,
) -> Result<Operation, Rejection> {
    let kind = match definition.operation_type() {
        None => OperationKind::Query,
        Some(keyword) if keyword.mutation_token().is_some() => OperationKind::Mutation,
        Some(keyword) if keyword.subscription_token().is_some() => OperationKind::Subscription,
        Some(keyword) if keyword.query_token().is_some() => OperationKind::Query,
        Some(_) => return Err(invalid("an operation's type is not known")),
    };
    let selections = definition.selection_set().ok_or(invalid("an operation asks for nothing"))?;
    let mut totals = walk.selections(&selections, 0)?;
    walk.directives(definition.directives(), &mut totals.size)?;
    for variable in definition.variable_definitions().iter().flat_map(|v| v.variable_definitions()) {
        walk.directives(variable.directives(), &mut totals.size)?;
    }
    let mut root_fields = Vec::new();
    walk.root_fields(&selections, &mut HashSet::new(), &mut root_fields)?;
    Ok(Operation {
        kind,
        name: definition.name().map(|name| name.text().to_string()),
        root_fields,
        size: totals.size,
        work: walk.work(totals.work_us),
    })
}

/// Checks that the operations have different names; an anonymous operation has to be the only one.
fn check_operation_names(operations: &[Arc<Operation>]) -> Result<(), Rejection> {
    if operations.is_empty() {
        return Err(Rejection::new(ErrorCode::Operation, "the document has no operation"));
    }
    let mut names = HashSet::new();
    for operation in operations {
        match &operation.name {
            None if operations.len() > 1 => {
                return Err(invalid("an operation without a name has to be alone"));
            }
            Some(name) if !names.insert(name) => return Err(invalid("two operations have one name")),
            _ => {}
        }
    }
    Ok(())
}

/// The source text of a node.
fn source(node: &impl CstNode) -> String {
    node.source_string()
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    fn read(text: &str) -> Result<Document, Rejection> {
        read_with(text, json!({}), &Limits::default())
    }

    fn read_with(text: &str, variables: Value, limits: &Limits) -> Result<Document, Rejection> {
        Document::parse(text, variables.as_object().unwrap(), limits, &Weights::default())
    }

    fn code(text: &str) -> Option<ErrorCode> {
        read(text).err().map(|rejection| rejection.code)
    }

    #[test]
    fn parses_operations_and_root_fields() {
        let text = "query A { x: payslips { id } ...Rest } \
            fragment Rest on Query { bureau ... on Query { payslips { id } bank: account } ... @skip(if: false) { z } } \
            mutation B($a: Int = 3) { order(amount: $a) { id } }";
        let document = read(text).unwrap();
        let kinds: Vec<_> = document.operations.iter().map(|o| (o.kind, o.name.as_deref())).collect();
        assert_eq!(kinds, [(OperationKind::Query, Some("A")), (OperationKind::Mutation, Some("B"))]);
        assert_eq!(document.operations[0].root_fields, ["payslips", "bureau", "account", "z"]);
        let size = OperationSize { depth: 2, fields: 7, aliases: 2, directives: 1 };
        assert_eq!(document.operations[0].size, size);
        assert_eq!(document.select_operation(Some("B")).unwrap().root_fields, ["order"]);
        assert!(document.select_operation(None).is_err() && document.select_operation(Some("C")).is_err());
        assert_eq!(read("{ a }").unwrap().select_operation(None).unwrap().kind, OperationKind::Query);
    }

    #[test]
    fn rejects_invalid_and_ambiguous_documents() {
        let (syntax, invalid) = (Some(ErrorCode::Syntax), Some(ErrorCode::Validation));
        for (text, expected) in [
            ("{ a }", None),
            // Descriptions of operations are new in the edition of 2025-09; the parser does not support them
            // yet.
            ("\"about it\" query A { a }", syntax),
            ("{ a(b: \"\"\"x \\\"\"\" y\"\"\") }", None),
            ("# mutation\r\n{ a }", None),
            ("{ a(b: \"\u{e9}\u{1F600}\") }", None),
            ("", syntax),
            ("# nothing", syntax),
            ("{}", syntax),
            ("{ a", syntax),
            ("{ a } }", syntax),
            ("query { a } garbage", syntax),
            ("Mutation { a }", syntax),
            ("mutation", syntax),
            ("{ a(b: \"x) }", syntax),
            ("{ a(b: \"\\u{d800}\") }", syntax),
            ("{ a(b: 01) }", syntax),
            ("{ a ? }", syntax),
            ("type A { b: Int }", invalid),
            ("{ a } type A { b: Int }", invalid),
            ("extend type A { b: Int } { a }", invalid),
            ("fragment F on Q { a }", Some(ErrorCode::Operation)),
            ("{ a } { b }", invalid),
            ("{ a } query B { b }", invalid),
            ("query A { a } mutation A { b }", invalid),
            ("{ ...F } fragment F on Q { a } fragment F on Q { b }", invalid),
            ("{ ...F }", invalid),
            ("{ ...F } fragment F on Q { ...F }", invalid),
            ("{ a { ...F } } fragment F on Q { ...G } fragment G on Q { b { ...F } }", invalid),
            ("{ a @defer { b } }", Some(ErrorCode::Incremental)),
            ("{ ... @defer(if: $x) { b } }", Some(ErrorCode::Incremental)),
            ("{ ...F } fragment F on Q { a @stream }", Some(ErrorCode::Incremental)),
            ("# x\rmutation { b }\n{ a }", Some(ErrorCode::Ambiguous)),
            ("# x\u{2028}mutation { b }\n{ a }", Some(ErrorCode::Ambiguous)),
            ("# x\u{85}mutation { b }\n{ a }", Some(ErrorCode::Ambiguous)),
            ("{ a\0 }", Some(ErrorCode::Ambiguous)),
            ("\u{feff}{ a }", Some(ErrorCode::Ambiguous)),
            ("{ a } \r", Some(ErrorCode::Ambiguous)),
        ] {
            assert_eq!(code(text), expected, "{text:?}");
        }
    }

    #[test]
    fn estimates_work_from_fields_and_enclosing_lists() {
        let work = |text: &str, variables| {
            read_with(text, variables, &Limits::default()).map(|d| d.operations[0].work)
        };
        let us = |us| Ok(Duration::from_micros(us));
        assert_eq!(work("{ a }", json!({})), us(220));
        assert_eq!(work("{ a(first: 10) { b c } }", json!({})), us(200 + 20 + 10 * 40));
        assert_eq!(
            work("{ a(first: $n) { ...F } } fragment F on A { b(last: 3) { c } }", json!({"n": 5})),
            us(200 + 20 + 5 * (20 + 60))
        );
        assert_eq!(
            work("query($n: Int = 4) { a(first: $n) { b } }", json!({})),
            us(200 + 20 + 80),
            "the default of the variable"
        );
        assert_eq!(work("{ a(first: -1) { b } }", json!({})), us(220), "a negative length counts as 0");
        let huge =
            work("{ a(first: 999999999999) { b(first: 1e99) { c(first: 99999999) { d } } } }", json!({}));
        assert!(huge.is_ok() || huge == Err(Limit::Work.exceeded()));
    }

    #[test]
    fn limits_reject_oversized_documents() {
        let limit = |text: String| match code(&text) {
            Some(ErrorCode::Limit(limit)) => Some(limit.name()),
            _ => None,
        };
        assert_eq!(limit(format!("{{ {} }}", "a: b ".repeat(600))), Some("aliases"));
        assert_eq!(limit(format!("{{ {} }}", "a ".repeat(1_100))), Some("fields"));
        assert_eq!(limit(format!("{{ {} }}", "a: b ".repeat(6_000))), Some("tokens"));
        assert_eq!(limit(format!("{{ {} }}", "a ".repeat(30_000))), Some("bytes"));
        assert_eq!(limit(format!("{} {}", "{ a ".repeat(17), "} ".repeat(17))), Some("depth"));
        assert_eq!(limit(format!("{}a{}", "{ a ".repeat(300), "} ".repeat(300))), Some("depth"));
        assert_eq!(limit(format!("{}a{}", "{a".repeat(10_000), "}".repeat(10_000))), Some("tokens"));
        assert_eq!(limit(format!("{{ a(b: {}{}) }}", "[".repeat(1_000), "]".repeat(1_000))), Some("depth"));
        assert_eq!(limit(format!("{{ a {} }}", "@x ".repeat(65))), Some("directives"));
        // Each fragment spreads the next one twice, which expands to 2^40 fields.
        let bomb: String =
            (0..40).map(|n| format!("fragment F{n} on Q {{ ...F{} ...F{} }} ", n + 1, n + 1)).collect();
        assert_eq!(limit(format!("{{ ...F0 }} {bomb} fragment F40 on Q {{ a }}")), Some("fields"));
        // A chain of fragments has only one level of fields, but its length is limited too.
        let chain: String = (0..300).map(|n| format!("fragment F{n} on Q{{...F{}}}", n + 1)).collect();
        assert_eq!(limit(format!("{{...F0}}{chain}fragment F300 on Q{{a}}")), Some("depth"));
    }
}
