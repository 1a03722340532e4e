//! Runs `dunelink-fleet` and provides temporary folders.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Path of the `dunelink-fleet` binary under test.
pub(crate) const FLEET_COMMAND: &str = env!("CARGO_BIN_EXE_dunelink-fleet");

/// The result of a command.
#[derive(Debug)]
pub(crate) struct CommandResult {
    /// Exit code.
    pub(crate) code: i32,
    /// Standard output.
    pub(crate) stdout: String,
    /// Standard error.
    pub(crate) stderr: String,
}

/// Runs the command without a settings file.
pub(crate) fn run_command(arguments: &[&str]) -> CommandResult {
    let output =
        Command::new(FLEET_COMMAND).args(arguments).env("DUNELINK_BOOT", "/nowhere/local.toml").output();
    to_result(output.expect("the command cannot be started"))
}

fn to_result(output: Output) -> CommandResult {
    CommandResult {
        code: output.status.code().expect("no exit code"),
        stdout: String::from_utf8(output.stdout).expect("standard output is not UTF-8"),
        stderr: String::from_utf8(output.stderr).expect("standard error is not UTF-8"),
    }
}

/// A temporary folder that is removed when this value is dropped.
#[derive(Debug)]
pub(crate) struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    /// Creates an empty folder.
    pub(crate) fn new() -> TemporaryFolder {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("dunelink-operator-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the folder cannot be created");
        TemporaryFolder(path)
    }

    /// Path of the folder.
    pub(crate) fn path(&self) -> &Path {
        &self.0
    }

    /// Writes a file into the folder and returns its path as text.
    pub(crate) fn file(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("the file cannot be written");
        path.to_str().expect("the path is not UTF-8").to_owned()
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
