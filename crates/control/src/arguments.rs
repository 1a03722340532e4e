//! Command-line arguments.

use std::ffi::OsString;

use dunelink_runtime::log::Format;
use pico_args::Arguments;

/// Text that `--help` prints.
pub const HELP: &str = "\
dunelink-control: the control program of a dunelink fleet

Usage: dunelink-control [--check] [--log text|json]

  --check           read the settings file, say whether it can be used, and end
  --log text|json   how events are written to standard error (text)
  --help            print this text

The settings file is the one that the variable DUNELINK_BOOT names.
";

/// A parsed command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Print the help text.
    Help,
    /// Check the settings file and exit.
    Check,
    /// Run the control program until SIGTERM and log in this format.
    Serve(Format),
}

/// Parses the arguments, without the program's name.
///
/// # Errors
///
/// Names the argument that is unknown or has an invalid value.
pub fn parse(arguments: Vec<OsString>) -> Result<Command, String> {
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    let check = arguments.contains("--check");
    let format: Option<Format> = arguments.opt_value_from_str("--log").map_err(|error| error.to_string())?;
    let rest = arguments.finish();
    if let Some(unknown) = rest.first() {
        return Err(format!("argument `{}` is unknown: see --help", unknown.to_string_lossy()));
    }
    Ok(if check { Command::Check } else { Command::Serve(format.unwrap_or(Format::Text)) })
}
