//! Going through selections, each fragment once.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use apollo_parser::cst::{self, CstNode, Selection};
use serde_json::{Map, Value};

use super::{OperationSize, invalid, source};
use crate::error::{ErrorCode, Limit, Rejection};
use crate::limits::{Limits, Weights};

/// No list is taken to be longer.
const LIST_MOST: f64 = 1e6;
/// Fragments within fragments, for each level of fields that is allowed.
const CHAINS: usize = 4;

/// What is known of some selections.
#[derive(Clone, Copy, Default)]
pub(super) struct Facts {
    pub(super) size: OperationSize,
    /// Microseconds.
    pub(super) work: f64,
}

impl Facts {
    fn add(&mut self, other: Facts) {
        let (size, more) = (&mut self.size, other.size);
        size.depth = size.depth.max(more.depth);
        size.fields = size.fields.saturating_add(more.fields);
        size.aliases = size.aliases.saturating_add(more.aliases);
        size.directives = size.directives.saturating_add(more.directives);
        self.work += other.work;
    }
}

/// A fragment, as far as it is known.
enum Fragment {
    New,
    /// It is being gone through: met again, it would be without end.
    Open,
    DocumentCache(Facts),
}

/// One way through all operations of a document. What a fragment adds up to is worked out once.
pub(super) struct Walk<'a> {
    fragments: HashMap<String, (&'a cst::FragmentDefinition, Fragment)>,
    variables: &'a Map<String, Value>,
    limits: &'a Limits,
    weights: &'a Weights,
    weighed_by: RefCell<Vec<(String, Option<f64>)>>,
}

/// The number that a variable was given; a default where it is defined is not one.
pub(super) fn value_of(variables: &Map<String, Value>, name: &str) -> Option<f64> {
    // Something that is no number is no length, nor is it absent.
    variables.get(name).map(|value| value.as_f64().unwrap_or(1.0))
}

impl<'a> Walk<'a> {
    pub(super) fn new(
        fragments: &'a [cst::FragmentDefinition],
        variables: &'a Map<String, Value>,
        limits: &'a Limits,
        weights: &'a Weights,
    ) -> Result<Walk<'a>, Rejection> {
        let mut known = HashMap::new();
        for fragment in fragments {
            let name =
                fragment.fragment_name().and_then(|n| n.name()).ok_or(invalid("a fragment has no name"))?;
            if known.insert(name.text().to_string(), (fragment, Fragment::New)).is_some() {
                return Err(invalid("two fragments have one name"));
            }
        }
        Ok(Walk { fragments: known, variables, limits, weights, weighed_by: RefCell::default() })
    }

    /// What selections add up to. `level` counts how deep this goes, in fields and fragments.
    pub(super) fn selections(&mut self, set: &cst::SelectionSet, level: usize) -> Result<Facts, Rejection> {
        if level > CHAINS * self.limits.depth {
            return Err(Limit::Depth.exceeded());
        }
        let mut facts = Facts::default();
        for selection in set.selections() {
            match selection {
                Selection::Field(field) => facts.add(self.field(&field, level)?),
                Selection::InlineFragment(inline) => {
                    self.directives(inline.directives(), &mut facts.size)?;
                    if let Some(set) = inline.selection_set() {
                        facts.add(self.selections(&set, level + 1)?);
                    }
                }
                Selection::FragmentSpread(spread) => {
                    self.directives(spread.directives(), &mut facts.size)?;
                    facts.add(self.fragment(&name_of(&spread)?, level)?);
                }
            }
            self.check(&facts.size)?;
        }
        Ok(facts)
    }

    fn check(&self, size: &OperationSize) -> Result<(), Rejection> {
        let limits = self.limits;
        for (over, limit) in [
            (size.depth > limits.depth, Limit::Depth),
            (size.aliases > limits.aliases, Limit::Aliases),
            (size.directives > limits.directives, Limit::Directives),
            (size.fields > limits.fields, Limit::Fields),
        ] {
            if over {
                return Err(limit.exceeded());
            }
        }
        Ok(())
    }

    fn field(&mut self, field: &cst::Field, level: usize) -> Result<Facts, Rejection> {
        let name = field.name().ok_or(invalid("a field has no name"))?;
        let mut facts = match field.selection_set() {
            Some(set) => self.selections(&set, level + 1)?,
            None => Facts::default(),
        };
        facts.size.depth += 1;
        facts.size.fields = facts.size.fields.saturating_add(1);
        facts.size.aliases = facts.size.aliases.saturating_add(u64::from(field.alias().is_some()));
        self.directives(field.directives(), &mut facts.size)?;
        facts.work = self.weights.of(&name.text()) + self.list_size(field) * facts.work;
        Ok(facts)
    }

    fn fragment(&mut self, name: &str, level: usize) -> Result<Facts, Rejection> {
        let (fragment, state) = self.fragments.get_mut(name).ok_or(invalid("a fragment is not there"))?;
        match std::mem::replace(state, Fragment::Open) {
            Fragment::Open => return Err(invalid("a fragment spreads itself")),
            Fragment::DocumentCache(facts) => {
                *state = Fragment::DocumentCache(facts);
                return Ok(facts);
            }
            Fragment::New => {}
        }
        let fragment = *fragment;
        let mut facts = match fragment.selection_set() {
            Some(set) => self.selections(&set, level + 1)?,
            None => Facts::default(),
        };
        self.directives(fragment.directives(), &mut facts.size)?;
        if let Some((_, state)) = self.fragments.get_mut(name) {
            *state = Fragment::DocumentCache(facts);
        }
        Ok(facts)
    }

    /// How long the list that a field stands for may be; 1 if nothing says so.
    fn list_size(&self, field: &cst::Field) -> f64 {
        let arguments = field.arguments();
        let sizes = arguments.iter().flat_map(|a| a.arguments()).filter_map(|argument| {
            let name = argument.name()?;
            let counts = self.weights.list_arguments.iter().any(|known| *known == name.text().as_str());
            let value = argument.value().filter(|_| counts)?;
            match value {
                cst::Value::IntValue(_) => source(&value).trim().parse().ok(),
                cst::Value::Variable(variable) => self.number(&variable),
                _ => None,
            }
        });
        sizes.reduce(f64::max).map_or(1.0, |size| size.clamp(0.0, LIST_MOST))
    }

    /// The number that a variable stands for: its value, else the default where it is defined.
    fn number(&self, variable: &cst::Variable) -> Option<f64> {
        let name = variable.name()?.text().to_string();
        let value = value_of(self.variables, &name);
        let mut weighed_by = self.weighed_by.borrow_mut();
        if !weighed_by.iter().any(|(known, _)| *known == name) {
            weighed_by.push((name.clone(), value));
        }
        if value.is_some() {
            return value;
        }
        // The operation is the outermost of the nodes around it; a fragment's variables have no default there.
        let operation = variable.syntax().ancestors().find_map(cst::OperationDefinition::cast)?;
        let definitions = operation.variable_definitions()?;
        let named = |d: &cst::VariableDefinition| {
            d.variable().and_then(|v| v.name()).is_some_and(|n| n.text() == name.as_str())
        };
        let default = definitions.variable_definitions().find(named)?.default_value()?.value()?;
        source(&default).trim().parse().ok()
    }

    /// Counts directives, and turns down those by which an answer would come in parts.
    pub(super) fn directives(
        &self,
        from: Option<cst::Directives>,
        size: &mut OperationSize,
    ) -> Result<(), Rejection> {
        for directive in from.iter().flat_map(|d| d.directives()) {
            size.directives = size.directives.saturating_add(1);
            if directive.name().is_some_and(|n| matches!(&*n.text(), "defer" | "stream")) {
                return Err(Rejection::new(ErrorCode::Incremental, "@defer and @stream are not passed on"));
            }
        }
        self.check(size)
    }

    /// The names of the fields that selections at the root ask for, fragments spread out. [`Walk::selections`]
    /// went through the same ones before, so this comes to an end.
    pub(super) fn root_fields(
        &self,
        set: &cst::SelectionSet,
        spread: &mut HashSet<String>,
        names: &mut Vec<String>,
    ) -> Result<(), Rejection> {
        for selection in set.selections() {
            let inner = match selection {
                Selection::Field(field) => {
                    let name = field.name().map(|name| name.text().to_string()).unwrap_or_default();
                    if !names.contains(&name) {
                        names.push(name);
                    }
                    None
                }
                Selection::InlineFragment(inline) => inline.selection_set(),
                Selection::FragmentSpread(other) => {
                    let name = name_of(&other)?;
                    let fragment = self.fragments.get(&name).map(|(fragment, _)| fragment.selection_set());
                    fragment.flatten().filter(|_| spread.insert(name))
                }
            };
            if let Some(inner) = inner {
                self.root_fields(&inner, spread, names)?;
            }
        }
        Ok(())
    }

    /// The variables that were looked at for lengths, and what they were.
    pub(super) fn weighed_by(self) -> Vec<(String, Option<f64>)> {
        self.weighed_by.into_inner()
    }

    /// The time for so many microseconds beside the operation's own.
    pub(super) fn work(&self, us: f64) -> Duration {
        let more = Duration::try_from_secs_f64(us / 1e6).unwrap_or(Duration::MAX);
        self.weights.base.saturating_add(more)
    }
}

fn name_of(spread: &cst::FragmentSpread) -> Result<String, Rejection> {
    let name = spread.fragment_name().and_then(|n| n.name());
    name.map(|name| name.text().to_string()).ok_or(invalid("a fragment has no name"))
}
