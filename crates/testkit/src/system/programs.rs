//! The fleet's programs, as they stand beside the test's own.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::time::SystemTime;

/// The core machines' program.
pub const CONTROL: &str = "dunelink-control";
/// The program beside each proxy.
pub const AGENT: &str = "dunelink-agent";
/// The clients' program.
pub const PROXY: &str = "dunelink-proxy";

/// Where the programs are.
#[derive(Clone, Debug)]
pub struct Programs {
    folder: PathBuf,
}

impl Programs {
    /// The programs beside one of them, which is the test's own; those that are missing, or older than a source, are
    /// built once a test process.
    pub fn beside(own: &str) -> Programs {
        static FOLDER: OnceLock<PathBuf> = OnceLock::new();
        let folder = FOLDER.get_or_init(|| {
            let own = Path::new(own);
            let folder = own.parent().expect("the folder of a program").to_owned();
            build(&folder, own);
            folder
        });
        Programs { folder: folder.clone() }
    }

    /// The programs in a folder, as they are.
    pub fn in_folder(folder: &Path) -> Programs {
        Programs { folder: folder.to_owned() }
    }

    /// The path of a program.
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }
}

fn build(folder: &Path, own: &Path) {
    let newest = newest_source(&workspace().join("crates"));
    let outdated = |path: &Path| match path.metadata().and_then(|data| data.modified()) {
        Ok(built) => built < newest,
        Err(_) => true,
    };
    let names: Vec<&str> = [CONTROL, AGENT, PROXY]
        .into_iter()
        .filter(|name| folder.join(name) != own && outdated(&folder.join(name)))
        .collect();
    if names.is_empty() {
        return;
    }
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.arg("build").arg("--target-dir").arg(folder.parent().expect("the target folder"));
    command.current_dir(workspace());
    if folder.ends_with("release") {
        command.arg("--release");
    }
    for name in names {
        command.args(["-p", name]);
    }
    let built = command.output().expect("cargo");
    assert!(built.status.success(), "building the programs: {}", String::from_utf8_lossy(&built.stderr));
}

fn workspace() -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "..", ".."].iter().collect()
}

/// The time of the newest Rust source under a folder, tests apart.
fn newest_source(folder: &Path) -> SystemTime {
    let mut newest = SystemTime::UNIX_EPOCH;
    let Ok(entries) = std::fs::read_dir(folder) else { return newest };
    for entry in entries.flatten() {
        let path = entry.path();
        if path.is_dir() && !path.ends_with("tests") {
            newest = newest.max(newest_source(&path));
        } else if path.extension().is_some_and(|kind| kind == "rs") {
            newest = newest.max(entry.metadata().and_then(|data| data.modified()).unwrap_or(newest));
        }
    }
    newest
}
