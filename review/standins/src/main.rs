//! Drivers of the review's scripts.

mod crash;
mod early;
mod record;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (case, programs, folder) = (arguments.next(), arguments.next(), arguments.next());
    let (Some(case), Some(programs), Some(folder)) = (case, programs, folder) else {
        eprintln!("usage: review-standins CASE PROGRAMS FOLDER");
        return ExitCode::from(2);
    };
    if case == "stream-server" {
        // ADDRESS and ID in place of the folders.
        return crash::serve(Path::new(&programs), Path::new(&folder)).await;
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (programs, folder) = (PathBuf::from(programs), PathBuf::from(folder));
    let broken = match case.as_str() {
        "crash" => crash::run(&programs, &folder, trouble).await,
        "early" => early::run(&programs, &folder, trouble).await,
        _ => None,
    };
    broken.map_or(ExitCode::from(2), |broken| ExitCode::from(u8::from(broken)))
}
