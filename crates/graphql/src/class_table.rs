//! The operator's table: which class an operation is of.

use std::sync::Arc;

use crate::document::{Document, Operation, OperationKind};
use crate::error::Rejection;

/// What may happen to a request that is sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    /// Repeats do no harm.
    Safe,
    /// Servers drop a repeat with the same `Idempotency-Key`.
    Keyed,
    /// It must never run twice.
    Unsafe,
}

impl Effect {
    /// In one word.
    pub fn name(self) -> &'static str {
        match self {
            Effect::Safe => "safe",
            Effect::Keyed => "keyed",
            Effect::Unsafe => "unsafe",
        }
    }
}

/// A class of requests, by its number in the node's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Class {
    /// Its number.
    pub index: usize,
    /// What a repeat does.
    pub effect: Effect,
}

/// One line of the table: operations that are of a class of their own.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassRule {
    /// What they do.
    pub kind: OperationKind,
    /// The root fields that they may ask for, one or more of these and no others. Empty: any.
    pub fields: Vec<String>,
    /// Their names. Empty: any, or none.
    pub names: Vec<String>,
    /// Names of the documents that they are in, as in the manifest. Empty: any.
    pub documents: Vec<String>,
    /// Their class.
    pub class: Class,
}

impl ClassRule {
    fn fits(&self, operation: &Operation, document: Option<&str>) -> bool {
        let within = |list: &[String], item: &str| list.is_empty() || list.iter().any(|known| known == item);
        self.kind == operation.kind
            && operation.root_fields.iter().all(|field| within(&self.fields, field))
            && within(&self.names, operation.name.as_deref().unwrap_or_default())
            && within(&self.documents, document.unwrap_or_default())
    }
}

/// All lines, and what holds for operations that none of them fits.
///
/// The first line that fits counts. A mutation of a keyed class is keyed if its request has an `Idempotency-Key`;
/// else it is as any other mutation.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassTable {
    /// Queries; safe.
    pub query: Class,
    /// Mutations, and what can't be told; unsafe.
    pub mutation: Class,
    /// The lines.
    pub rules: Vec<ClassRule>,
}

/// What a part of the table does not allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClassTableError {
    /// The class for queries.
    #[error("expected a class whose effect is safe")]
    QueryClass,
    /// The class for mutations.
    #[error("expected a class whose effect is unsafe")]
    MutationClass,
    /// A line about mutations, by its number.
    #[error("expected a class whose effect is keyed or unsafe: these are mutations")]
    SafeMutationRule(usize),
    /// A line about queries, by its number.
    #[error("expected a class whose effect is safe or unsafe: queries have no key")]
    KeyedQueryRule(usize),
    /// A line about keyed mutations that names no fields, by its number.
    #[error("expected the root fields of these mutations: clients choose an operation's name")]
    RuleWithoutFields(usize),
}

/// ClassReason an operation is of its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassReason {
    /// By a line of the table, by its number.
    Rule(usize),
    /// No line fits.
    Default(OperationKind),
    /// A line fits, by its number, and its class is keyed; but the request has no key.
    MissingKey(usize),
    /// Another operation of the document is not as harmless, and a server might run that one.
    StricterOperation(OperationKind),
    /// The document is not known.
    UnknownDocument,
}

/// ClassReason, in words.
impl std::fmt::Display for ClassReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ClassReason::Rule(at) => write!(f, "operations[{at}] fits"),
            ClassReason::Default(kind) => {
                write!(f, "no line of the table fits; a {} by default", kind.name())
            }
            ClassReason::MissingKey(at) => {
                write!(f, "operations[{at}] fits, but there is no Idempotency-Key")
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

/// What a request is taken for.
#[derive(Clone, Debug, PartialEq)]
pub struct Classification {
    /// Its class.
    pub class: Class,
    /// ClassReason.
    pub reason: ClassReason,
    /// The operation, if it is known.
    pub operation: Option<Arc<Operation>>,
}

impl ClassTable {
    /// Checks that no line makes light of an effect.
    ///
    /// # Errors
    ///
    /// The first that does.
    pub fn check(&self) -> Result<(), ClassTableError> {
        if self.query.effect != Effect::Safe {
            return Err(ClassTableError::QueryClass);
        }
        if self.mutation.effect != Effect::Unsafe {
            return Err(ClassTableError::MutationClass);
        }
        for (at, rule) in self.rules.iter().enumerate() {
            match (rule.kind, rule.class.effect) {
                (OperationKind::Query, Effect::Keyed) => return Err(ClassTableError::KeyedQueryRule(at)),
                (OperationKind::Mutation | OperationKind::Subscription, Effect::Safe) => {
                    return Err(ClassTableError::SafeMutationRule(at));
                }
                (OperationKind::Mutation, Effect::Keyed) if rule.fields.is_empty() => {
                    return Err(ClassTableError::RuleWithoutFields(at));
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn class_of(&self, operation: &Operation, document: Option<&str>, has_key: bool) -> (Class, ClassReason) {
        match self.rules.iter().enumerate().find(|(_, rule)| rule.fits(operation, document)) {
            Some((at, rule)) if rule.class.effect == Effect::Keyed && !has_key => {
                (self.mutation, ClassReason::MissingKey(at))
            }
            Some((at, rule)) => (rule.class, ClassReason::Rule(at)),
            None if operation.kind == OperationKind::Query => {
                (self.query, ClassReason::Default(OperationKind::Query))
            }
            None => (self.mutation, ClassReason::Default(operation.kind)),
        }
    }

    /// What a request for this operation of the document is taken for. `name` is the document's, if it has one.
    ///
    /// # Errors
    ///
    /// The operation can't be told, or is a subscription.
    pub fn classify(
        &self,
        document: &Document,
        operation: Option<&str>,
        name: Option<&str>,
        has_key: bool,
    ) -> Result<Classification, Rejection> {
        let meant = document.select_operation(operation)?;
        if meant.kind == OperationKind::Subscription {
            return Err(Rejection::new(crate::ErrorCode::Subscription, "subscriptions are not passed on"));
        }
        let (class, reason) = self.class_of(meant, name, has_key);
        // Which operation runs is the server's choice in the end.
        let stricter = |other: &&Arc<Operation>| {
            let of = self.class_of(other, name, has_key).0;
            of.effect > class.effect || of.effect == Effect::Keyed && of != class
        };
        let (class, reason) = match document.operations.iter().find(stricter) {
            Some(other) => (self.mutation, ClassReason::StricterOperation(other.kind)),
            None => (class, reason),
        };
        Ok(Classification { class, reason, operation: Some(meant.clone()) })
    }

    /// What a request for a document that is not known is taken for.
    pub fn classify_unknown(&self) -> Classification {
        Classification { class: self.mutation, reason: ClassReason::UnknownDocument, operation: None }
    }
}
