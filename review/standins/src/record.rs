//! The record of a case: lines with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes `record.txt`.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// A new record in the file of this path.
    pub fn new(path: &Path) -> Record {
        let file = File::create(path).expect("the record's file");
        Record { start: Instant::now(), file: Mutex::new(file) }
    }

    /// Milliseconds since the start.
    pub fn ms(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64() * 1_000.0
    }

    /// A line that is also shown.
    pub fn say(&self, text: &str) {
        let now = self.ms(Instant::now());
        println!("{now:9.1} {text}");
        self.line(now, text);
    }

    /// A line for the file alone.
    pub fn line(&self, ms: f64, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{ms:9.1} {text}");
    }
}
