//! The scripts of the second review. `standins-2 NAME` plays one; it exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

mod bodies;
mod fleet;
mod quota;

use std::process::ExitCode;

fn main() -> ExitCode {
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let played = match std::env::args().nth(1).as_deref() {
        Some("bodies") => bodies::play(with_trouble),
        Some("quota") => quota::play(with_trouble),
        other => Err(std::io::Error::other(format!("unknown script {other:?}"))),
    };
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
