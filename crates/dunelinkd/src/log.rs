//! The log: one event per line on standard error, as text or as JSON.

use clap::ValueEnum;
use dunelink::config;

/// The format of a log line, as given on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum LogFormatArg {
    /// Readable text.
    Text,
    /// A JSON object.
    Json,
}

impl From<config::LogFormat> for LogFormatArg {
    fn from(format: config::LogFormat) -> LogFormatArg {
        match format {
            config::LogFormat::Text => LogFormatArg::Text,
            config::LogFormat::Json => LogFormatArg::Json,
        }
    }
}

/// Starts writing events to the log, unless a subscriber is already installed.
pub(crate) fn init(format: LogFormatArg) {
    let subscriber = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false);
    // It fails only if a subscriber is already installed, which then stays.
    let _ = match format {
        LogFormatArg::Text => subscriber.try_init(),
        LogFormatArg::Json => subscriber.json().try_init(),
    };
}
