//! Computes the size and estimated work of selections; each fragment is visited once.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use apollo_parser::cst::{self, CstNode, Selection};
use serde_json::{Map, Value};

use super::{OperationSize, invalid, source};
use crate::error::{ErrorCode, Limit, Rejection};
use crate::limits::{Limits, Weights};

/// The maximum list length that the estimated work is based on.
const MAX_LIST_LENGTH: f64 = 1e6;
/// The maximum nesting of selections, fragments included, as a multiple of the allowed levels of fields.
const NESTING_PER_DEPTH: usize = 4;

/// The totals of some selections, with fragments expanded.
#[derive(Clone, Copy, Default)]
pub(super) struct Totals {
    pub(super) size: OperationSize,
    /// The estimated work, without the operation's base, in microseconds.
    pub(super) work_us: f64,
}

impl Totals {
    fn add(&mut self, other: Totals) {
        let (size, added) = (&mut self.size, other.size);
        size.depth = size.depth.max(added.depth);
        size.fields = size.fields.saturating_add(added.fields);
        size.aliases = size.aliases.saturating_add(added.aliases);
        size.directives = size.directives.saturating_add(added.directives);
        self.work_us += other.work_us;
    }
}

/// The state of the visit of a fragment.
enum FragmentState {
    NotVisited,
    /// The fragment is being visited. If it is reached again, it spreads itself.
    Visiting,
    Visited(Totals),
}

/// A visit of all operations of a document. The totals of each fragment are computed once.
pub(super) struct Walk<'a> {
    fragments: HashMap<String, (&'a cst::FragmentDefinition, FragmentState)>,
    variables: &'a Map<String, Value>,
    limits: &'a Limits,
    weights: &'a Weights,
    work_variables: RefCell<Vec<(String, Option<f64>)>>,
}

/// The numeric value that a request gives to a variable; `None` if it gives none, even if the variable has a
/// default.
pub(super) fn numeric_value(variables: &Map<String, Value>, name: &str) -> Option<f64> {
    // A value that is not a number counts as a list length of 1.
    variables.get(name).map(|value| value.as_f64().unwrap_or(1.0))
}

impl<'a> Walk<'a> {
    pub(super) fn new(
        fragments: &'a [cst::FragmentDefinition],
        variables: &'a Map<String, Value>,
        limits: &'a Limits,
        weights: &'a Weights,
    ) -> Result<Walk<'a>, Rejection> {
        let mut states = HashMap::new();
        for fragment in fragments {
            let name =
                fragment.fragment_name().and_then(|n| n.name()).ok_or(invalid("a fragment has no name"))?;
            if states.insert(name.text().to_string(), (fragment, FragmentState::NotVisited)).is_some() {
                return Err(invalid("two fragments have one name"));
            }
        }
        Ok(Walk { fragments: states, variables, limits, weights, work_variables: RefCell::default() })
    }

    /// Returns the totals of some selections. `level` is the nesting of fields and fragments around them.
    pub(super) fn selections(&mut self, set: &cst::SelectionSet, level: usize) -> Result<Totals, Rejection> {
        if level > NESTING_PER_DEPTH * self.limits.depth {
            return Err(Limit::Depth.exceeded());
        }
        let mut totals = Totals::default();
        for selection in set.selections() {
            match selection {
                Selection::Field(field) => totals.add(self.field(&field, level)?),
                Selection::InlineFragment(inline) => {
                    self.directives(inline.directives(), &mut totals.size)?;
                    if let Some(set) = inline.selection_set() {
                        totals.add(self.selections(&set, level + 1)?);
                    }
                }
                Selection::FragmentSpread(spread) => {
                    self.directives(spread.directives(), &mut totals.size)?;
                    totals.add(self.fragment(&spread_name(&spread)?, level)?);
                }
            }
            self.check(&totals.size)?;
        }
        Ok(totals)
    }

    fn check(&self, size: &OperationSize) -> Result<(), Rejection> {
        let limits = self.limits;
        for (exceeded, limit) in [
            (size.depth > limits.depth, Limit::Depth),
            (size.aliases > limits.aliases, Limit::Aliases),
            (size.directives > limits.directives, Limit::Directives),
            (size.fields > limits.fields, Limit::Fields),
        ] {
            if exceeded {
                return Err(limit.exceeded());
            }
        }
        Ok(())
    }

    fn field(&mut self, field: &cst::Field, level: usize) -> Result<Totals, Rejection> {
        let name = field.name().ok_or(invalid("a field has no name"))?;
        let mut totals = match field.selection_set() {
            Some(set) => self.selections(&set, level + 1)?,
            None => Totals::default(),
        };
        totals.size.depth += 1;
        totals.size.fields = totals.size.fields.saturating_add(1);
        totals.size.aliases = totals.size.aliases.saturating_add(u64::from(field.alias().is_some()));
        self.directives(field.directives(), &mut totals.size)?;
        totals.work_us = self.weights.field_us(&name.text()) + self.list_length(field) * totals.work_us;
        Ok(totals)
    }

    fn fragment(&mut self, name: &str, level: usize) -> Result<Totals, Rejection> {
        let (fragment, state) = self.fragments.get_mut(name).ok_or(invalid("a fragment is not there"))?;
        match std::mem::replace(state, FragmentState::Visiting) {
            FragmentState::Visiting => return Err(invalid("a fragment spreads itself")),
            FragmentState::Visited(totals) => {
                *state = FragmentState::Visited(totals);
                return Ok(totals);
            }
            FragmentState::NotVisited => {}
        }
        let fragment = *fragment;
        let mut totals = match fragment.selection_set() {
            Some(set) => self.selections(&set, level + 1)?,
            None => Totals::default(),
        };
        self.directives(fragment.directives(), &mut totals.size)?;
        if let Some((_, state)) = self.fragments.get_mut(name) {
            *state = FragmentState::Visited(totals);
        }
        Ok(totals)
    }

    /// The maximum length of a field's list by its arguments; 1 if it has no such argument.
    fn list_length(&self, field: &cst::Field) -> f64 {
        let arguments = field.arguments();
        let lengths = arguments.iter().flat_map(|a| a.arguments()).filter_map(|argument| {
            let name = argument.name()?;
            let is_length = self.weights.list_arguments.iter().any(|listed| *listed == name.text().as_str());
            let value = argument.value().filter(|_| is_length)?;
            match value {
                cst::Value::IntValue(_) => source(&value).trim().parse().ok(),
                cst::Value::Variable(variable) => self.number_of(&variable),
                _ => None,
            }
        });
        lengths.reduce(f64::max).map_or(1.0, |length| length.clamp(0.0, MAX_LIST_LENGTH))
    }

    /// The numeric value of a variable: the request's value, or else the default of its definition.
    fn number_of(&self, variable: &cst::Variable) -> Option<f64> {
        let name = variable.name()?.text().to_string();
        let value = numeric_value(self.variables, &name);
        let mut work_variables = self.work_variables.borrow_mut();
        if !work_variables.iter().any(|(listed, _)| *listed == name) {
            work_variables.push((name.clone(), value));
        }
        if value.is_some() {
            return value;
        }
        // The default is in the enclosing operation's definition of the variable; within a fragment there is
        // none.
        let operation = variable.syntax().ancestors().find_map(cst::OperationDefinition::cast)?;
        let definitions = operation.variable_definitions()?;
        let has_name = |d: &cst::VariableDefinition| {
            d.variable().and_then(|v| v.name()).is_some_and(|n| n.text() == name.as_str())
        };
        let default = definitions.variable_definitions().find(has_name)?.default_value()?.value()?;
        source(&default).trim().parse().ok()
    }

    /// Counts directives, and rejects those that request incremental delivery.
    pub(super) fn directives(
        &self,
        directives: Option<cst::Directives>,
        size: &mut OperationSize,
    ) -> Result<(), Rejection> {
        for directive in directives.iter().flat_map(|d| d.directives()) {
            size.directives = size.directives.saturating_add(1);
            if directive.name().is_some_and(|n| matches!(&*n.text(), "defer" | "stream")) {
                return Err(Rejection::new(ErrorCode::Incremental, "@defer and @stream are not passed on"));
            }
        }
        self.check(size)
    }

    /// Adds the names of the fields that root selections select, with fragments expanded.
    /// [`Walk::selections`] has already rejected fragments that spread themselves, so the recursion ends.
    pub(super) fn root_fields(
        &self,
        set: &cst::SelectionSet,
        visited: &mut HashSet<String>,
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
                Selection::FragmentSpread(spread) => {
                    let name = spread_name(&spread)?;
                    let fragment = self.fragments.get(&name).map(|(fragment, _)| fragment.selection_set());
                    fragment.flatten().filter(|_| visited.insert(name))
                }
            };
            if let Some(inner) = inner {
                self.root_fields(&inner, visited, names)?;
            }
        }
        Ok(())
    }

    /// The variables that were used as list lengths, with their values, see [`numeric_value`].
    pub(super) fn work_variables(self) -> Vec<(String, Option<f64>)> {
        self.work_variables.into_inner()
    }

    /// The estimated work of an operation whose fields take this time.
    pub(super) fn work(&self, fields_us: f64) -> Duration {
        let fields = Duration::try_from_secs_f64(fields_us / 1e6).unwrap_or(Duration::MAX);
        self.weights.base.saturating_add(fields)
    }
}

fn spread_name(spread: &cst::FragmentSpread) -> Result<String, Rejection> {
    let name = spread.fragment_name().and_then(|n| n.name());
    name.map(|name| name.text().to_string()).ok_or(invalid("a fragment has no name"))
}
