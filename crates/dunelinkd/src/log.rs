//! The log: one event per line on standard error, as text or as JSON.

use clap::ValueEnum;
use dunelink::config;

/// The format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum LogFormat {
    /// Readable text.
    Text,
    /// A JSON object.
    Json,
}

impl From<config::LogFormat> for LogFormat {
    fn from(format: config::LogFormat) -> LogFormat {
        match format {
            config::LogFormat::Text => LogFormat::Text,
            config::LogFormat::Json => LogFormat::Json,
        }
    }
}

/// Starts writing events to the log, unless a subscriber is already installed.
pub(crate) fn init(format: LogFormat) {
    let subscriber = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false);
    // It fails only if a subscriber is already installed, which then stays.
    let _ = match format {
        LogFormat::Text => subscriber.try_init(),
        LogFormat::Json => subscriber.json().try_init(),
    };
}
