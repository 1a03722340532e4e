//! Typed reading of JSON values that know their place.
//!
//! Values stay unparsed until they are asked for, and a place turns into a JSON pointer only for an error, so
//! that a valid document costs one pass and no texts but those that are kept.

use std::str::Utf8Error;

use sonic_rs::{JsonValueTrait, LazyValue};

use super::error::ConfigError;

/// Deepest nesting that is accepted; the JSON reader calls itself once for each level.
const MAX_DEPTH: usize = 64;

/// Where a value stands: the steps from the top of the document.
#[derive(Clone, Copy)]
pub(super) struct Place<'p> {
    parent: Option<&'p Place<'p>>,
    step: Step<'p>,
}

#[derive(Clone, Copy)]
enum Step<'p> {
    Top,
    Key(&'p str),
    Index(usize),
}

impl<'p> Place<'p> {
    pub(super) const TOP: Place<'static> = Place { parent: None, step: Step::Top };

    pub(super) fn key(&'p self, key: &'p str) -> Place<'p> {
        Place { parent: Some(self), step: Step::Key(key) }
    }

    pub(super) fn index(&'p self, index: usize) -> Place<'p> {
        Place { parent: Some(self), step: Step::Index(index) }
    }

    /// The place as a JSON pointer (RFC 6901).
    pub(super) fn pointer(&self) -> String {
        let mut pointer = self.parent.map(Place::pointer).unwrap_or_default();
        match self.step {
            Step::Top => {}
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

    pub(super) fn missing(&self, expected: &'static str) -> ConfigError {
        ConfigError::MissingField { pointer: self.pointer(), expected }
    }

    pub(super) fn wrong(&self, expected: &'static str) -> ConfigError {
        ConfigError::InvalidValue { pointer: self.pointer(), expected }
    }
}

/// A value that is not null, with its place.
pub(super) struct Field<'j, 'p> {
    pub(super) value: LazyValue<'j>,
    pub(super) place: Place<'p>,
}

impl<'j> Field<'j, 'static> {
    /// The whole document, after a check that it is complete JSON.
    ///
    /// The encoding is checked before the JSON reader sees the bytes: it takes a lazy value's text as UTF-8.
    pub(super) fn document(bytes: &'j [u8]) -> Result<Self, ConfigError> {
        if nests_deeper(bytes, MAX_DEPTH) {
            return Err(ConfigError::TooDeep { limit: MAX_DEPTH });
        }
        let text = str::from_utf8(bytes).map_err(|error| not_utf8(&error))?;
        let value: LazyValue<'j> = sonic_rs::from_str(text).map_err(|error| unreadable(&error))?;
        Ok(Self { value, place: Place::TOP })
    }
}

impl<'j> Field<'j, '_> {
    /// Calls `read` with each pair of the object whose value is not null.
    pub(super) fn each_pair(
        self,
        mut read: impl FnMut(&str, Field<'j, '_>) -> Result<(), ConfigError>,
    ) -> Result<(), ConfigError> {
        let place = self.place;
        let pairs = self.value.into_object_iter().ok_or_else(|| place.wrong("an object"))?;
        for pair in pairs {
            let (key, value) = pair.map_err(|error| unreadable(&error))?;
            if !value.is_null() {
                read(&key, Field { value, place: place.key(&key) })?;
            }
        }
        Ok(())
    }

    /// The entries of the array, each read by `read`.
    pub(super) fn list<T>(
        self,
        mut read: impl FnMut(Field<'j, '_>, usize) -> Result<T, ConfigError>,
    ) -> Result<Vec<T>, ConfigError> {
        let place = self.place;
        let entries = self.value.into_array_iter().ok_or_else(|| place.wrong("an array"))?;
        let mut list = Vec::new();
        for (index, entry) in entries.enumerate() {
            let value = entry.map_err(|error| unreadable(&error))?;
            list.push(read(Field { value, place: place.index(index) }, index)?);
        }
        Ok(list)
    }

    pub(super) fn text(&self) -> Result<String, ConfigError> {
        let text = self.value.as_str();
        text.map(str::to_owned).ok_or_else(|| self.place.wrong("a text"))
    }

    pub(super) fn flag(&self) -> Result<bool, ConfigError> {
        self.value.as_bool().ok_or_else(|| self.place.wrong("true or false"))
    }

    /// A finite number of at least 0.
    pub(super) fn number(&self) -> Result<f64, ConfigError> {
        let number = self.value.as_f64().filter(|number| number.is_finite() && *number >= 0.0);
        number.ok_or_else(|| self.place.wrong("a number of at least 0"))
    }

    /// A whole number of at least 0; `7.0` is one as well.
    pub(super) fn whole(&self) -> Result<u64, ConfigError> {
        let whole = self.value.as_u64().or_else(|| whole_from_float(self.value.as_f64()?));
        whole.ok_or_else(|| self.place.wrong("a whole number of at least 0"))
    }

    /// A whole number of at least 0; one above the range of 32 bits counts as the largest.
    pub(super) fn whole_u32(&self) -> Result<u32, ConfigError> {
        Ok(u32::try_from(self.whole()?).unwrap_or(u32::MAX))
    }

    /// A number of milliseconds; fractions are rounded up.
    pub(super) fn milliseconds(&self) -> Result<u64, ConfigError> {
        match self.value.as_u64() {
            Some(whole) => Ok(whole),
            None => Ok(self.number()?.ceil() as u64),
        }
    }
}

/// First value that a 64-bit whole number can't hold.
const ABOVE_U64: f64 = 18_446_744_073_709_551_616.0;

fn whole_from_float(number: f64) -> Option<u64> {
    let fits = number.fract() == 0.0 && (0.0..ABOVE_U64).contains(&number);
    fits.then_some(number as u64)
}

fn unreadable(error: &sonic_rs::Error) -> ConfigError {
    let reason = error.to_string();
    ConfigError::InvalidJson { reason: reason.lines().next().unwrap_or_default().to_owned() }
}

fn not_utf8(error: &Utf8Error) -> ConfigError {
    ConfigError::InvalidJson { reason: format!("not UTF-8 after byte {}", error.valid_up_to()) }
}

/// True when brackets outside texts stand more than `limit` levels inside one another.
fn nests_deeper(bytes: &[u8], limit: usize) -> bool {
    let mut depth = 0_usize;
    let mut in_text = false;
    let mut escaped = false;
    for &byte in bytes {
        match byte {
            _ if escaped => escaped = false,
            b'\\' => escaped = in_text,
            b'"' => in_text = !in_text,
            b'[' | b'{' if !in_text => depth += 1,
            b']' | b'}' if !in_text => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > limit {
            return true;
        }
    }
    false
}
