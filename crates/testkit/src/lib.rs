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

use std::path::PathBuf;

/// The files of a fuzz target's corpus.
pub fn corpus(target: &str) -> Vec<Vec<u8>> {
    let folder: PathBuf = [env!("CARGO_MANIFEST_DIR"), "..", "..", "fuzz", "corpus", target].iter().collect();
    let entries =
        std::fs::read_dir(folder).unwrap().map(|entry| std::fs::read(entry.unwrap().path()).unwrap());
    entries.collect()
}
