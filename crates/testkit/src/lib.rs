//! Stand-in servers, rosters and clients on loopback, and the conformance suite. For tests; [`system`] alone, without the
//! feature `suites`, also serves the demonstration of `dunelink-fleet`.

#[cfg(feature = "suites")]
pub mod conformance;
#[cfg(feature = "suites")]
pub mod graphql;
#[cfg(feature = "suites")]
pub mod late;
#[cfg(feature = "suites")]
pub mod long;
#[cfg(feature = "suites")]
pub mod peers;
#[cfg(feature = "suites")]
pub mod reading;
#[cfg(feature = "suites")]
pub mod rig;
pub mod system;

use std::ops::Range;
use std::path::PathBuf;
use std::str::FromStr;

/// The seeds of a soak: those of the environment variable, two numbers with `..` between them, or `default`.
pub fn seeds_from_environment(variable: &str, default: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var(variable) else { return default };
    let range = text.split_once("..").and_then(|(first, end)| Some(first.parse().ok()?..end.parse().ok()?));
    range.unwrap_or_else(|| panic!("{variable} must be two numbers with `..` between them"))
}

/// The number in the environment variable, or `default`.
pub fn number_from_environment<N: FromStr>(variable: &str, default: N) -> N {
    let Ok(text) = std::env::var(variable) else { return default };
    text.parse().unwrap_or_else(|_| panic!("{variable} must be a number in its range"))
}

/// The files of a fuzz target's corpus.
pub fn corpus(target: &str) -> Vec<Vec<u8>> {
    let folder: PathBuf = [env!("CARGO_MANIFEST_DIR"), "..", "..", "fuzz", "corpus", target].iter().collect();
    let entries =
        std::fs::read_dir(folder).unwrap().map(|entry| std::fs::read(entry.unwrap().path()).unwrap());
    entries.collect()
}
