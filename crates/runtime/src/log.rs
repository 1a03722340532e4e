//! Logging of the programs: one line per event on standard error, as text or JSON.

use std::fmt::{self, Write as _};
use std::io::Write as _;

use slog::{Drain, KV, Key, Level, Logger, OwnedKVList, Record, Serializer};

/// Format of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// `LEVEL message key=value ...`
    Text,
    /// One JSON object per line.
    Json,
}

impl std::str::FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(format!("unknown log format `{other}`: use `text` or `json`")),
        }
    }
}

/// Creates a logger that writes events of `level` and above to standard error, each with the node's name.
pub fn logger(format: Format, level: Level, node: &str) -> Logger {
    let drain = StderrDrain { format, level };
    Logger::root(drain.ignore_res(), slog::o!("node" => node.to_owned()))
}

/// Writes each event synchronously on the calling thread, in a single system call.
struct StderrDrain {
    format: Format,
    level: Level,
}

impl Drain for StderrDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        if !record.level().is_at_least(self.level) {
            return Ok(());
        }
        let mut line = Line::new(self.format, record);
        // Values that can't be formatted are omitted, so that an event is never lost because of one of its
        // fields.
        let _ = record.kv().serialize(record, &mut line);
        let _ = values.serialize(record, &mut line);
        let _ = std::io::stderr().write_all(line.finish().as_bytes());
        Ok(())
    }
}

/// The line of an event while it is formatted.
struct Line {
    format: Format,
    text: String,
}

impl Line {
    fn new(format: Format, record: &Record<'_>) -> Self {
        let level = record.level().as_short_str();
        let message = record.msg();
        let text = match format {
            Format::Text => format!("{level} {message}"),
            Format::Json => {
                format!("{{\"level\":\"{level}\",\"message\":{}", json_string(&message.to_string()))
            }
        };
        Self { format, text }
    }

    fn finish(mut self) -> String {
        if self.format == Format::Json {
            self.text.push('}');
        }
        self.text.push('\n');
        self.text
    }
}

impl Serializer for Line {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments<'_>) -> slog::Result {
        match self.format {
            Format::Text => write!(self.text, " {key}={value}")?,
            Format::Json => write!(self.text, ",{}:{}", json_string(key), json_string(&value.to_string()))?,
        }
        Ok(())
    }
}

/// Formats `text` as a JSON string with its quotes.
fn json_string(text: &str) -> String {
    let mut quoted = String::with_capacity(text.len() + 2);
    quoted.push('"');
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            c if c.is_control() => {
                let _ = write!(quoted, "\\u{:04x}", u32::from(c));
            }
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}
