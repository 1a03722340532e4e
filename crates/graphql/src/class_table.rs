//! The operator's table that assigns a class to each operation.

use std::sync::Arc;

use crate::document::{Document, Operation, OperationKind};
use crate::error::Rejection;

/// The effect of sending a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    /// Repeats are harmless.
    Safe,
    /// Servers deduplicate repeats with the same `Idempotency-Key`.
    Keyed,
    /// It must never run twice.
    Unsafe,
}

impl Effect {
    /// The name of the effect in settings.
    pub fn name(self) -> &'static str {
        match self {
            Effect::Safe => "safe",
            Effect::Keyed => "keyed",
            Effect::Unsafe => "unsafe",
        }
    }
}

/// A request class of the node's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Class {
    /// The index in the list of classes.
    pub index: usize,
    /// The effect of a repeat.
    pub effect: Effect,
}

/// A rule that assigns a class to the operations it matches.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassRule {
    /// The operation type to match.
    pub kind: OperationKind,
    /// The root fields that an operation may select; it matches if it selects no others. If empty, any.
    pub fields: Vec<String>,
    /// The operation names to match; if empty, any operation, also one without a name.
    pub names: Vec<String>,
    /// The names of the documents to match, as in the manifest; if empty, any document.
    pub documents: Vec<String>,
    /// The class of the matching operations.
    pub class: Class,
}

impl ClassRule {
    fn matches(&self, operation: &Operation, document: Option<&str>) -> bool {
        let allows =
            |list: &[String], item: &str| list.is_empty() || list.iter().any(|listed| listed == item);
        self.kind == operation.kind
            && operation.root_fields.iter().all(|field| allows(&self.fields, field))
            && allows(&self.names, operation.name.as_deref().unwrap_or_default())
            && allows(&self.documents, document.unwrap_or_default())
    }
}

/// The rules, and the default classes for operations that no rule matches.
///
/// The first matching rule applies. A mutation of a keyed class is keyed only if its request has an
/// `Idempotency-Key`; otherwise it has the default class of mutations.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassTable {
    /// The default class of queries; its effect is safe.
    pub query: Class,
    /// The default class of mutations, and of operations that can't be determined; its effect is unsafe.
    pub mutation: Class,
    /// The rules, in order of precedence.
    pub rules: Vec<ClassRule>,
}

/// An effect that its place in the table does not allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClassTableError {
    /// The default class of queries is not safe.
    #[error("expected a class whose effect is safe")]
    QueryClass,
    /// The default class of mutations is not unsafe.
    #[error("expected a class whose effect is unsafe")]
    MutationClass,
    /// The rule with this index matches mutations or subscriptions, but its class is safe.
    #[error("expected a class whose effect is keyed or unsafe: these are mutations")]
    SafeMutationRule(usize),
    /// The rule with this index matches queries, but its class is keyed.
    #[error("expected a class whose effect is safe or unsafe: queries have no key")]
    KeyedQueryRule(usize),
    /// The rule with this index matches mutations of a keyed class, but lists no root fields.
    #[error("expected the root fields of these mutations: clients choose an operation's name")]
    RuleWithoutFields(usize),
}

/// The reason for the class of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassReason {
    /// The rule with this index matches.
    Rule(usize),
    /// No rule matches.
    Default(OperationKind),
    /// The rule with this index matches and its class is keyed, but the request has no key.
    MissingKey(usize),
    /// Another operation of the document, of this type, has a stricter effect, and a server might run that
    /// one.
    StricterOperation(OperationKind),
    /// The request names a document that is not in the manifest.
    UnknownDocument,
}

/// A description of the reason.
impl std::fmt::Display for ClassReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ClassReason::Rule(index) => write!(f, "operations[{index}] fits"),
            ClassReason::Default(kind) => {
                write!(f, "no line of the table fits; a {} by default", kind.name())
            }
            ClassReason::MissingKey(index) => {
                write!(f, "operations[{index}] fits, but there is no Idempotency-Key")
            }
            ClassReason::StricterOperation(kind) => {
                write!(f, "the document has another operation, a {}, that must not run twice", kind.name())
            }
            ClassReason::UnknownDocument => {
                write!(f, "the document is not known here, so it may be anything")
            }
        }
    }
}

/// The class of a request and the operation that determines it.
#[derive(Clone, Debug, PartialEq)]
pub struct Classification {
    /// The class of the request.
    pub class: Class,
    /// The reason for the class.
    pub reason: ClassReason,
    /// The requested operation; `None` if the document is not in the manifest.
    pub operation: Option<Arc<Operation>>,
}

impl ClassTable {
    /// Checks that no class of the table understates the effect of the operations it is for.
    ///
    /// # Errors
    ///
    /// Returns the first class or rule that does.
    pub fn check(&self) -> Result<(), ClassTableError> {
        if self.query.effect != Effect::Safe {
            return Err(ClassTableError::QueryClass);
        }
        if self.mutation.effect != Effect::Unsafe {
            return Err(ClassTableError::MutationClass);
        }
        for (index, rule) in self.rules.iter().enumerate() {
            match (rule.kind, rule.class.effect) {
                (OperationKind::Query, Effect::Keyed) => return Err(ClassTableError::KeyedQueryRule(index)),
                (OperationKind::Mutation | OperationKind::Subscription, Effect::Safe) => {
                    return Err(ClassTableError::SafeMutationRule(index));
                }
                (OperationKind::Mutation, Effect::Keyed) if rule.fields.is_empty() => {
                    return Err(ClassTableError::RuleWithoutFields(index));
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn class_of(&self, operation: &Operation, document: Option<&str>, has_key: bool) -> (Class, ClassReason) {
        match self.rules.iter().enumerate().find(|(_, rule)| rule.matches(operation, document)) {
            Some((index, rule)) if rule.class.effect == Effect::Keyed && !has_key => {
                (self.mutation, ClassReason::MissingKey(index))
            }
            Some((index, rule)) => (rule.class, ClassReason::Rule(index)),
            None if operation.kind == OperationKind::Query => {
                (self.query, ClassReason::Default(OperationKind::Query))
            }
            None => (self.mutation, ClassReason::Default(operation.kind)),
        }
    }

    /// Classifies a request for an operation of a document. `operation` is the operation's name,
    /// `document_name` the name under which the document is stored; both are `None` if the request has none.
    ///
    /// # Errors
    ///
    /// Fails if the operation can't be determined, or is a subscription.
    pub fn classify(
        &self,
        document: &Document,
        operation: Option<&str>,
        document_name: Option<&str>,
        has_key: bool,
    ) -> Result<Classification, Rejection> {
        let selected = document.select_operation(operation)?;
        if selected.kind == OperationKind::Subscription {
            return Err(Rejection::new(crate::ErrorCode::Subscription, "subscriptions are not passed on"));
        }
        let (class, reason) = self.class_of(selected, document_name, has_key);
        // The server decides in the end which operation runs.
        let is_stricter = |other: &&Arc<Operation>| {
            let other_class = self.class_of(other, document_name, has_key).0;
            other_class.effect > class.effect || other_class.effect == Effect::Keyed && other_class != class
        };
        let (class, reason) = match document.operations.iter().find(is_stricter) {
            Some(other) => (self.mutation, ClassReason::StricterOperation(other.kind)),
            None => (class, reason),
        };
        Ok(Classification { class, reason, operation: Some(selected.clone()) })
    }

    /// Classifies a request for a document that is not in the manifest.
    pub fn classify_unknown(&self) -> Classification {
        Classification { class: self.mutation, reason: ClassReason::UnknownDocument, operation: None }
    }
}
