//! The program `dunelink-agent`: command line, settings, signals.

use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Context;
use dunelink_agent::{Agent, Arguments, Command, HELP};
use dunelink_runtime::log::logger;
use dunelink_settings::BootSettings;
use slog::{Level, Logger, info};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Notify;

/// Exit code for a command line or settings that can't be used.
const MISUSE: u8 = 2;

fn main() -> ExitCode {
    match prepare() {
        Ok(Some((boot, log))) => finish(serve(boot, log)),
        Ok(None) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dunelink-agent: {error}");
            ExitCode::from(MISUSE)
        }
    }
}

/// Reads command line and settings; nothing if that was all that was asked for.
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

fn finish(served: anyhow::Result<()>) -> ExitCode {
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dunelink-agent: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn serve(boot: BootSettings, log: Logger) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.context("the event loop can't be set up: check the limit of open files")?;
    runtime.block_on(serve_until_stopped(boot, log))
}

async fn serve_until_stopped(boot: BootSettings, log: Logger) -> anyhow::Result<()> {
    let refused = "signal handlers can't be installed";
    let mut terminate = signal(SignalKind::terminate()).context(refused)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(refused)?;
    let reload = Arc::new(Notify::new());
    tokio::spawn(pass_on(signal(SignalKind::hangup()).context(refused)?, Arc::clone(&reload)));
    let agent = Agent::new(&boot, BootSettings::path(), log.clone());
    tokio::select! {
        () = agent.run(reload) => {}
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    info!(log, "stopped");
    Ok(())
}

async fn pass_on(mut hangup: Signal, reload: Arc<Notify>) {
    while hangup.recv().await.is_some() {
        reload.notify_one();
    }
}
