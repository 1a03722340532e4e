//! `dunelink-control`: the control program of the fleet.

#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    dunelink_control::run(std::env::args_os().skip(1).collect())
}
