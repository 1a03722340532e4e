//! A process of the fleet.

use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, Signal, kill_process};

use super::until;

/// Lines of a log that a failing test shows.
const LOG_TAIL: usize = 60;

/// A process with its settings file and its log. It is killed when this is dropped.
pub struct FleetProcess {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    /// Length of the log when it was started last, in bytes.
    log_before: u64,
    child: Option<Child>,
}

impl FleetProcess {
    /// A process that is not started yet; both files are named after it.
    pub fn new(program: PathBuf, folder: &Path, name: &str) -> FleetProcess {
        let settings = folder.join(format!("{name}.toml"));
        let log = folder.join(format!("{name}.log"));
        FleetProcess { program, settings, log, log_before: 0, child: None }
    }

    /// Puts a new settings file in place of the one that is there, all at once.
    pub fn write_settings(&self, text: &str) {
        let whole = self.settings.with_extension("new");
        std::fs::write(&whole, text).expect("a settings file");
        std::fs::rename(&whole, &self.settings).expect("a settings file");
    }

    /// Starts it.
    pub fn start(&mut self) {
        self.log_before = self.log_length();
        let log = OpenOptions::new().create(true).append(true).open(&self.log).expect("a log");
        let both: File = log.try_clone().expect("a second handle");
        let path = std::env::var_os("PATH").unwrap_or_default();
        let child = Command::new(&self.program)
            .env_clear()
            .env("PATH", path)
            .env("DUNELINK_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(both))
            .spawn();
        self.child = Some(child.unwrap_or_else(|error| panic!("{}: {error}", self.program.display())));
    }

    /// Sends a signal, if it runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Its id, if it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills it without notice.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether it was started and has not ended by itself.
    pub fn runs(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Whether it has written to its log since it was started last: it is past the first instructions of a program.
    pub fn has_spoken(&self) -> bool {
        self.log_length() > self.log_before
    }

    fn log_length(&self) -> u64 {
        self.log.metadata().map_or(0, |data| data.len())
    }

    /// Waits for its end.
    pub async fn ended(&mut self) -> ExitStatus {
        let mut child = self.child.take().expect("a process that was started");
        let look = || std::future::ready(child.try_wait().expect("its state"));
        until("a process to end", look).await
    }

    /// All that it has written.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// The last lines of it.
    pub fn log_tail(&self) -> String {
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(LOG_TAIL)..].join("\n")
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
