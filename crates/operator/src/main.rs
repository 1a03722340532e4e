//! `dunelink-fleet`: the command-line tool of the fleet's operators.

#![forbid(unsafe_code)]

mod command;
mod command_line;

use std::process::ExitCode;

/// Exit code of a command that cannot be executed.
const EXIT_FAILED: u8 = 2;

fn main() -> ExitCode {
    let command = match command_line::parse(std::env::args_os().skip(1).collect()) {
        Ok(command) => command,
        Err(reason) => return fail(&format!("{reason:#}; see --help")),
    };
    match command::run(command) {
        Ok(code) => code,
        Err(error) => fail(&format!("{error:#}")),
    }
}

fn fail(reason: &str) -> ExitCode {
    eprintln!("dunelink-fleet: {reason}");
    ExitCode::from(EXIT_FAILED)
}
