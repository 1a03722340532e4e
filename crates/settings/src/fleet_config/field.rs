//! Typed access to JSON values with their location in the document.
//!
//! Values stay unparsed until they are read, and a location becomes a JSON pointer only for an error. A valid
//! document therefore takes one pass, and only strings that are kept are allocated.

use std::str::Utf8Error;

use sonic_rs::{JsonValueTrait, LazyValue};

use super::error::ConfigError;

/// Greatest nesting depth that is accepted, because the JSON parser recurses once per level.
const MAX_DEPTH: usize = 64;

/// Location of a value: the path from the root of the document, as a linked list from the value up to the
/// root.
#[derive(Clone, Copy)]
pub(super) struct Location<'p> {
    parent: Option<&'p Location<'p>>,
    step: Step<'p>,
}

#[derive(Clone, Copy)]
enum Step<'p> {
    Root,
    Key(&'p str),
    Index(usize),
}

impl<'p> Location<'p> {
    pub(super) const ROOT: Location<'static> = Location { parent: None, step: Step::Root };

    pub(super) fn key(&'p self, key: &'p str) -> Location<'p> {
        Location { parent: Some(self), step: Step::Key(key) }
    }

    pub(super) fn index(&'p self, index: usize) -> Location<'p> {
        Location { parent: Some(self), step: Step::Index(index) }
    }

    /// The location as a JSON pointer (RFC 6901).
    pub(super) fn pointer(&self) -> String {
        let mut pointer = self.parent.map(Location::pointer).unwrap_or_default();
        match self.step {
            Step::Root => {}
            Step::Key(key) => {
                pointer.push('/');
                pointer.push_str(&key.replace('~', "~0").replace('/', "~1"));
            }
            Step::Index(index) => {
                pointer.push('/');
                pointer.push_str(&index.to_string());
            }
        }
        pointer
    }

    pub(super) fn missing_field(&self, expected: &'static str) -> ConfigError {
        ConfigError::MissingField { pointer: self.pointer(), expected }
    }

    pub(super) fn invalid_value(&self, expected: &'static str) -> ConfigError {
        ConfigError::InvalidValue { pointer: self.pointer(), expected }
    }
}

/// A value that is not null, with its location.
pub(super) struct Field<'j, 'p> {
    pub(super) value: LazyValue<'j>,
    pub(super) location: Location<'p>,
}

impl<'j> Field<'j, 'static> {
    /// The root value of a document, after a check that the document is complete JSON.
    ///
    /// The encoding is checked before parsing, because the JSON parser assumes that the text of a lazy value
    /// is valid UTF-8.
    pub(super) fn document(bytes: &'j [u8]) -> Result<Self, ConfigError> {
        if nests_deeper(bytes, MAX_DEPTH) {
            return Err(ConfigError::TooDeep { limit: MAX_DEPTH });
        }
        let text = str::from_utf8(bytes).map_err(|error| not_utf8(&error))?;
        let value: LazyValue<'j> = sonic_rs::from_str(text).map_err(|error| invalid_json(&error))?;
        Ok(Self { value, location: Location::ROOT })
    }
}

impl<'j> Field<'j, '_> {
    /// Calls `read` with the key and value of each member of the object whose value is not null.
    pub(super) fn for_each_member(
        self,
        mut read: impl FnMut(&str, Field<'j, '_>) -> Result<(), ConfigError>,
    ) -> Result<(), ConfigError> {
        let location = self.location;
        let pairs = self.value.into_object_iter().ok_or_else(|| location.invalid_value("an object"))?;
        for pair in pairs {
            let (key, value) = pair.map_err(|error| invalid_json(&error))?;
            if !value.is_null() {
                read(&key, Field { value, location: location.key(&key) })?;
            }
        }
        Ok(())
    }

    /// Reads each element of the array with `read`, which also receives the index.
    pub(super) fn read_array<T>(
        self,
        mut read: impl FnMut(Field<'j, '_>, usize) -> Result<T, ConfigError>,
    ) -> Result<Vec<T>, ConfigError> {
        let location = self.location;
        let entries = self.value.into_array_iter().ok_or_else(|| location.invalid_value("an array"))?;
        let mut items = Vec::new();
        for (index, entry) in entries.enumerate() {
            let value = entry.map_err(|error| invalid_json(&error))?;
            items.push(read(Field { value, location: location.index(index) }, index)?);
        }
        Ok(items)
    }

    pub(super) fn string(&self) -> Result<String, ConfigError> {
        let text = self.value.as_str();
        text.map(str::to_owned).ok_or_else(|| self.location.invalid_value("a string"))
    }

    pub(super) fn boolean(&self) -> Result<bool, ConfigError> {
        self.value.as_bool().ok_or_else(|| self.location.invalid_value("true or false"))
    }

    /// A finite number of at least 0.
    pub(super) fn number(&self) -> Result<f64, ConfigError> {
        let number = self.value.as_f64().filter(|number| number.is_finite() && *number >= 0.0);
        number.ok_or_else(|| self.location.invalid_value("a number of at least 0"))
    }

    /// An integer of at least 0; a float such as `7.0` is accepted too.
    pub(super) fn integer(&self) -> Result<u64, ConfigError> {
        let integer = self.value.as_u64().or_else(|| integer_from_float(self.value.as_f64()?));
        integer.ok_or_else(|| self.location.invalid_value("an integer of at least 0"))
    }

    /// An integer of at least 0; one above the range of `u32` saturates.
    pub(super) fn integer_u32(&self) -> Result<u32, ConfigError> {
        Ok(u32::try_from(self.integer()?).unwrap_or(u32::MAX))
    }

    /// A number of milliseconds; fractions are rounded up.
    pub(super) fn milliseconds(&self) -> Result<u64, ConfigError> {
        match self.value.as_u64() {
            Some(integer) => Ok(integer),
            None => Ok(self.number()?.ceil() as u64),
        }
    }
}

/// The smallest float above the range of `u64`: 2^64.
const U64_RANGE_END: f64 = 18_446_744_073_709_551_616.0;

fn integer_from_float(number: f64) -> Option<u64> {
    let fits = number.fract() == 0.0 && (0.0..U64_RANGE_END).contains(&number);
    fits.then_some(number as u64)
}

fn invalid_json(error: &sonic_rs::Error) -> ConfigError {
    let reason = error.to_string();
    ConfigError::InvalidJson { reason: reason.lines().next().unwrap_or_default().to_owned() }
}

fn not_utf8(error: &Utf8Error) -> ConfigError {
    ConfigError::InvalidJson { reason: format!("not UTF-8 after byte {}", error.valid_up_to()) }
}

/// True if brackets outside of strings are nested more than `limit` levels deep.
fn nests_deeper(bytes: &[u8], limit: usize) -> bool {
    let mut depth = 0_usize;
    let mut in_string = false;
    let mut escaped = false;
    for &byte in bytes {
        match byte {
            _ if escaped => escaped = false,
            b'\\' => escaped = in_string,
            b'"' => in_string = !in_string,
            b'[' | b'{' if !in_string => depth += 1,
            b']' | b'}' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > limit {
            return true;
        }
    }
    false
}
