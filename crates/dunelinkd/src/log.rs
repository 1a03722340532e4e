//! The log: one event a line on standard error, for people or for programs.

use clap::ValueEnum;
use dunelink::config::LogFormat;

/// The form of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Form {
    /// For people.
    Text,
    /// A JSON object.
    Json,
}

impl From<LogFormat> for Form {
    fn from(form: LogFormat) -> Form {
        match form {
            LogFormat::Text => Form::Text,
            LogFormat::Json => Form::Json,
        }
    }
}

/// From now on events are written. What was set up before stays.
pub(crate) fn begin(form: Form) {
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false);
    // It fails where there is one already, which is the same.
    let _ = match form {
        Form::Text => log.try_init(),
        Form::Json => log.json().try_init(),
    };
}
