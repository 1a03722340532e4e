//! The log: one event per line on standard error, as text or as JSON.

use clap::ValueEnum;
use dunelink::config::LogFormat;

/// The format of a log line, as given on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum LogFormatArg {
    /// Readable text.
    Text,
    /// A JSON object.
    Json,
}

impl From<LogFormat> for LogFormatArg {
    fn from(format: LogFormat) -> LogFormatArg {
        match format {
            LogFormat::Text => LogFormatArg::Text,
            LogFormat::Json => LogFormatArg::Json,
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
