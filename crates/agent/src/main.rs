//! The program `dunelink-agent`: command line, settings file and signals.

use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Context;
use dunelink_agent::{Agent, Arguments, Command, HELP};
use dunelink_runtime::log::logger;
use dunelink_settings::BootSettings;
use slog::{Level, Logger, info};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Notify;

/// Exit code for an invalid command line or settings file.
const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    match prepare() {
        Ok(Some((boot, log))) => exit_code(serve(boot, log)),
        Ok(None) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dunelink-agent: {error}");
            ExitCode::from(USAGE_EXIT_CODE)
        }
    }
}

/// Parses the command line and reads the settings file. `None` if the command needs nothing more.
fn prepare() -> anyhow::Result<Option<(BootSettings, Logger)>> {
    let arguments = Arguments::parse(pico_args::Arguments::from_env())?;
    if arguments.command == Command::Help {
        print!("{HELP}");
        return Ok(None);
    }
    let boot = BootSettings::load()?;
    if arguments.command == Command::Check {
        println!("settings can be used");
        return Ok(None);
    }
    let log = logger(arguments.log_format, Level::Info, &boot.node_name);
    Ok(Some((boot, log)))
}

fn exit_code(result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dunelink-agent: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn serve(boot: BootSettings, log: Logger) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.context("the async runtime can't be started: check the limit of open files")?;
    runtime.block_on(serve_until_stopped(boot, log))
}

async fn serve_until_stopped(boot: BootSettings, log: Logger) -> anyhow::Result<()> {
    let failure = "signal handlers can't be installed";
    let mut terminate = signal(SignalKind::terminate()).context(failure)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(failure)?;
    let reload = Arc::new(Notify::new());
    tokio::spawn(forward_hangups(signal(SignalKind::hangup()).context(failure)?, Arc::clone(&reload)));
    let agent = Agent::new(&boot, BootSettings::path(), log.clone());
    tokio::select! {
        () = agent.run(reload) => {}
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    info!(log, "stopped");
    Ok(())
}

async fn forward_hangups(mut hangup: Signal, reload: Arc<Notify>) {
    while hangup.recv().await.is_some() {
        reload.notify_one();
    }
}
