//! Stand-in servers, rosters and clients on loopback, and the conformance suite. For tests only.

pub mod conformance;
pub mod graphql;
pub mod late;
pub mod long;
pub mod peers;
pub mod reading;
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
