//! A document: its operations, what they ask for, and what they may cost.

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

/// What an operation does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationKind {
    /// It reads.
    Query,
    /// It changes something.
    Mutation,
    /// It would be answered again and again.
    Subscription,
}

impl OperationKind {
    /// The word in a document.
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
    /// What it does.
    pub kind: OperationKind,
    /// Its name, if it has one.
    pub name: Option<String>,
    /// The fields that it asks the root for, once each, fragments spread out; without their aliases.
    pub root_fields: Vec<String>,
    /// How large it is, fragments spread out.
    pub size: OperationSize,
    /// What work to expect.
    pub work: Duration,
}

/// How large an operation is, fragments spread out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OperationSize {
    /// Levels of fields within fields.
    pub depth: usize,
    /// Fields.
    pub fields: u64,
    /// Aliases.
    pub aliases: u64,
    /// Directives.
    pub directives: u64,
}

/// What a document holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Its operations, in order; at least one.
    pub operations: Vec<Arc<Operation>>,
    /// The variables that their work follows from, and the values that these had.
    weighed_by: Vec<(String, Option<f64>)>,
}

impl Document {
    /// Reads a document, with the values that its variables have for it to be weighed by.
    ///
    /// # Errors
    ///
    /// It does not follow the grammar, could not be run by any server, is over a limit, or has characters by
    /// which another parser could see another end of a comment or a string.
    pub fn parse(
        text: &str,
        variables: &Map<String, Value>,
        limits: &Limits,
        weights: &Weights,
    ) -> Result<Document, Rejection> {
        if text.len() > limits.bytes {
            return Err(Limit::Bytes.exceeded());
        }
        check_characters(text)?;
        // Values within values count too, and each level of fields is one of the parser's.
        let parser = Parser::new(text).token_limit(limits.tokens).recursion_limit(4 * limits.depth);
        let tree = parser.parse();
        if let Some(error) = tree.errors().next() {
            return Err(match error.is_limit() {
                true if tree.token_limit().high >= limits.tokens => Limit::Tokens.exceeded(),
                true => Limit::Depth.exceeded(),
                false => syntax(text, error),
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
        check_names(&operations)?;
        Ok(Document { operations, weighed_by: walk.weighed_by() })
    }

    /// Whether its work is the same with these values of variables.
    pub(crate) fn fits(&self, variables: &Map<String, Value>) -> bool {
        self.weighed_by.iter().all(|(name, value)| walk::value_of(variables, name) == *value)
    }

    /// The operation that a request means.
    ///
    /// # Errors
    ///
    /// There is none of that name, or no name where there are several.
    pub fn select_operation(&self, name: Option<&str>) -> Result<&Arc<Operation>, Rejection> {
        let none = |message: &'static str| Rejection::new(ErrorCode::Operation, message);
        match (name, &self.operations[..]) {
            (None, [only]) => Ok(only),
            (None, _) => Err(none("operationName has to say which operation is meant")),
            (Some(name), all) => all
                .iter()
                .find(|operation| operation.name.as_deref() == Some(name))
                .ok_or(none("the document has no operation of that name")),
        }
    }
}

pub(crate) fn invalid(message: &'static str) -> Rejection {
    Rejection::new(ErrorCode::Validation, message)
}

/// What the parser says, with the line.
fn syntax(text: &str, error: &apollo_parser::Error) -> Rejection {
    let line = 1 + text.bytes().take(error.index()).filter(|b| *b == b'\n').count();
    Rejection::new(ErrorCode::Syntax, format!("line {line}: {}", error.message()))
}

/// Characters of which parsers have different opinions: whether they end a line, and so a comment, or are ignored,
/// or end a text. Within a string they can be written as escapes.
fn check_characters(text: &str) -> Result<(), Rejection> {
    let mut before = ' ';
    for c in text.chars().chain([' ']) {
        let odd = matches!(c, '\0'..='\u{8}' | '\u{b}' | '\u{c}' | '\u{e}'..='\u{1f}' | '\u{7f}'..='\u{9f}')
            || matches!(c, '\u{2028}' | '\u{2029}' | '\u{feff}');
        if odd || before == '\r' && c != '\n' {
            let shown = if odd { c } else { before };
            let message =
                format!("the document has {}, which not all parsers read alike", shown.escape_unicode());
            return Err(Rejection::new(ErrorCode::Ambiguous, message));
        }
        before = c;
    }
    Ok(())
}

fn read_operation(from: &cst::OperationDefinition, walk: &mut Walk<'_>) -> Result<Operation, Rejection> {
    let kind = match from.operation_type() {
        None => OperationKind::Query,
        Some(word) if word.mutation_token().is_some() => OperationKind::Mutation,
        Some(word) if word.subscription_token().is_some() => OperationKind::Subscription,
        Some(word) if word.query_token().is_some() => OperationKind::Query,
        Some(_) => return Err(invalid("an operation's type is not known")),
    };
    let selections = from.selection_set().ok_or(invalid("an operation asks for nothing"))?;
    let mut facts = walk.selections(&selections, 0)?;
    walk.directives(from.directives(), &mut facts.size)?;
    for variable in from.variable_definitions().iter().flat_map(|v| v.variable_definitions()) {
        walk.directives(variable.directives(), &mut facts.size)?;
    }
    let mut root_fields = Vec::new();
    walk.root_fields(&selections, &mut HashSet::new(), &mut root_fields)?;
    Ok(Operation {
        kind,
        name: from.name().map(|name| name.text().to_string()),
        root_fields,
        size: facts.size,
        work: walk.work(facts.work),
    })
}

/// Checks that operations can be told apart; only one that is alone has no name.
fn check_names(operations: &[Arc<Operation>]) -> Result<(), Rejection> {
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

/// The source of a node, for names and numbers.
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
        read(text).err().map(|wrong| wrong.code)
    }

    #[test]
    fn operations_are_told_with_what_they_ask_the_root_for() {
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
    fn what_no_server_could_run_or_parsers_read_differently_is_an_error() {
        let (syntax, invalid) = (Some(ErrorCode::Syntax), Some(ErrorCode::Validation));
        for (text, wrong) in [
            ("{ a }", None),
            // Descriptions of operations are of the edition of 2025-09; the parser does not know them yet.
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
            assert_eq!(code(text), wrong, "{text:?}");
        }
    }

    #[test]
    fn work_follows_from_fields_and_the_lists_around_them() {
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
            "its default"
        );
        assert_eq!(work("{ a(first: -1) { b } }", json!({})), us(220), "an empty list");
        let huge =
            work("{ a(first: 999999999999) { b(first: 1e99) { c(first: 99999999) { d } } } }", json!({}));
        assert!(huge.is_ok() || huge == Err(Limit::Work.exceeded()));
    }

    #[test]
    fn hostile_documents_meet_a_limit_with_a_name() {
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
        // Each fragment asks for the next one twice: 2^40 fields.
        let bomb: String =
            (0..40).map(|n| format!("fragment F{n} on Q {{ ...F{} ...F{} }} ", n + 1, n + 1)).collect();
        assert_eq!(limit(format!("{{ ...F0 }} {bomb} fragment F40 on Q {{ a }}")), Some("fields"));
        // A chain of fragments is no level of fields, but has an end too.
        let chain: String = (0..300).map(|n| format!("fragment F{n} on Q{{...F{}}}", n + 1)).collect();
        assert_eq!(limit(format!("{{...F0}}{chain}fragment F300 on Q{{a}}")), Some("depth"));
    }
}
