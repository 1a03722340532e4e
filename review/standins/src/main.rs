//! Drivers of the review's scripts.

mod crash;
mod early;
mod record;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (case, programs, record) = (arguments.next(), arguments.next(), arguments.next());
    let (Some(case), Some(programs), Some(record)) = (case, programs, record) else {
        eprintln!("usage: review-standins CASE PROGRAMS RECORD");
        return ExitCode::from(2);
    };
    if case == "stream-server" {
        // ADDRESS and ID in place of PROGRAMS and RECORD.
        return crash::serve(Path::new(&programs), Path::new(&record)).await;
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (programs, record) = (PathBuf::from(programs), PathBuf::from(record));
    let broken = match case.as_str() {
        "crash" => crash::run(&programs, &record, trouble).await,
        "early" => early::run(&programs, &record, trouble).await,
        _ => None,
    };
    broken.map_or(ExitCode::from(2), |broken| ExitCode::from(u8::from(broken)))
}
