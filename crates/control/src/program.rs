//! Start, settings and shutdown of the control program.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::mpsc::Sender;
use std::time::{Duration, SystemTime};

use anyhow::{Context, anyhow, bail};
use dunelink_grants::QuotaBounds;
use dunelink_protocol::hello::PROTOCOL_VERSION;
use dunelink_protocol::{Hello, LinkKind};
use dunelink_replication::Member;
use dunelink_runtime::log::logger;
use dunelink_runtime::{Clock, ListenLimits, listen};
use dunelink_settings::BootSettings;
use dunelink_storage::Limits;
use slog::{Level, Logger, error, info, warn};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

use crate::arguments::{self, Command, HELP};
use crate::disk::{self, DiskCommand, DiskEvent, OpenedStore};
use crate::engine::{Engine, seed};
use crate::identity::{founding_id, internal_address, random_id};
use crate::node::{Node, NodeSettings};
use crate::peer_links::PeerLinks;
use crate::start::{InitialState, replication_settings};
use crate::{feed_server, list_reader, operator_api};

/// Exit code for invalid arguments or settings.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Interval between attempts to bind an address that is in use.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between checks of the settings file for changes.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time that a shutdown waits for the leadership transfer and [`REPLY_GRACE`].
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the leadership transfer for replies in flight to reach their callers.
const REPLY_GRACE: Duration = Duration::from_millis(150);
/// Share of the configured disk space that the store may use, as numerator and denominator.
const DISK_SHARE: (u64, u64) = (7, 8);
const BYTES_PER_MEGABYTE: u64 = 1_000_000;

/// Runs the program with its arguments.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    let command = match arguments::parse(arguments) {
        Ok(command) => command,
        Err(reason) => return exit_invalid_settings(&reason),
    };
    let format = match command {
        Command::Help => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Command::Check => return check_settings(),
        Command::Serve(format) => format,
    };
    let boot = match load_settings() {
        Ok(boot) => boot,
        Err(error) => return exit_invalid_settings(&format!("{error:#}")),
    };
    let log = logger(format, Level::Info, &boot.node_name);
    match run_until_shutdown(boot, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(log, "exiting with an error"; "reason" => format!("{error:#}"));
            ExitCode::FAILURE
        }
    }
}

fn exit_invalid_settings(reason: &str) -> ExitCode {
    eprintln!("dunelink-control: {reason}");
    ExitCode::from(EXIT_INVALID_SETTINGS)
}

fn check_settings() -> ExitCode {
    match load_settings() {
        Ok(boot) => {
            println!("{}: valid settings for {}", BootSettings::path().display(), boot.node_name);
            ExitCode::SUCCESS
        }
        Err(error) => exit_invalid_settings(&format!("{error:#}")),
    }
}

/// Loads the settings and checks the keys that this program requires beyond the common ones.
fn load_settings() -> anyhow::Result<BootSettings> {
    let boot = BootSettings::load()?;
    let path = BootSettings::path();
    if boot.data_dir.is_none() {
        bail!("{}: key `dataDir` is missing; set it to the folder for the replicated log", path.display());
    }
    if boot.listen.control.is_none() {
        bail!(
            "{}: key `listen.control` is missing; set it to the address of the operator API",
            path.display()
        );
    }
    Ok(boot)
}

fn run_until_shutdown(boot: BootSettings, log: &Logger) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let outcome = LocalSet::new().block_on(&runtime, serve(boot, log.clone()));
    // The disk thread may hang in a system call: the process does not wait for it.
    runtime.shutdown_background();
    outcome
}

async fn serve(boot: BootSettings, log: Logger) -> anyhow::Result<()> {
    // Both handlers are installed before the store is opened, which may take long: a signal without a handler
    // would kill the process.
    let mut terminate = signal(SignalKind::terminate()).context("cannot install the SIGTERM handler")?;
    let hangup = signal(SignalKind::hangup()).context("cannot install the SIGHUP handler")?;
    tokio::select! {
        engine = start_tasks(&boot, &log) => {
            let engine = engine?;
            spawn_local(watch_settings(boot, engine.clone(), hangup));
            terminate.recv().await;
            shut_down(&engine).await;
        }
        _ = terminate.recv() => {}
    }
    info!(log, "ended");
    Ok(())
}

/// Opens the store and starts all tasks.
async fn start_tasks(boot: &BootSettings, log: &Logger) -> anyhow::Result<Engine> {
    let folder = boot.data_dir.clone().ok_or_else(|| anyhow!("`dataDir` is missing"))?;
    let control = boot.listen.control.ok_or_else(|| anyhow!("`listen.control` is missing"))?;
    let internal = internal_address(boot.ip, boot.internal_port());
    let clock = Clock::start();
    let (disk_commands, mut events) =
        disk::start(&folder, disk_limits(boot)).context("cannot start the disk thread")?;
    let opened = wait_for_store(&mut events, log).await?;
    let me = Member {
        id: founding_id(control),
        internal_address: internal,
        control_address: control,
        zone: boot.zone.clone(),
    };
    let initial = initial_state(boot, me, opened, &disk_commands, log);
    let node = Node::new(
        node_settings(boot),
        initial.me,
        initial.founding,
        initial.recovered,
        seed(),
        clock.now(),
        log.clone(),
    );
    let links = PeerLinks::new(hello(boot));
    let engine = Engine::new(clock, log.clone(), node, disk_commands, links);
    spawn_local(engine.clone().run_disk(events));
    spawn_local(engine.clone().run_deadlines());
    spawn_local(engine.clone().run_periodic_sends());
    spawn_local(feed_server::serve(bind(internal, feed_server::LISTEN_LIMITS, log).await, engine.clone()));
    spawn_local(operator_api::serve(
        bind(control, operator_api::LISTEN_LIMITS, log).await,
        engine.clone(),
        operator_api::body_budget(&boot.limits),
    ));
    if let Some(api) = &boot.cloud_api {
        spawn_local(list_reader::run(api.clone(), engine.clone()));
        spawn_local(list_reader::serve_leader_requests(api.clone(), engine.clone()));
    }
    Ok(engine)
}

/// Waits until the store is open. A failing disk delays the start but does not abort it.
async fn wait_for_store(
    events: &mut UnboundedReceiver<DiskEvent>,
    log: &Logger,
) -> anyhow::Result<OpenedStore> {
    loop {
        match events.recv().await {
            Some(DiskEvent::Opened(opened)) => return Ok(opened),
            Some(DiskEvent::HealthChanged(reason)) => {
                warn!(log, "cannot open the store yet, retrying"; "reason" => reason)
            }
            Some(_) => {}
            None => bail!("the disk thread has stopped"),
        }
    }
}

/// Determines the identity of this replica and assigns the store to it on the disk thread.
fn initial_state(
    boot: &BootSettings,
    me: Member,
    opened: OpenedStore,
    disk_commands: &Sender<DiskCommand>,
    log: &Logger,
) -> InitialState {
    for note in &opened.notes {
        warn!(log, "the store was repaired while opening"; "note" => note);
    }
    let damaged = opened.damaged;
    let initial = InitialState::determine(boot.bootstrap, &boot.seeds, me, opened, random_id);
    if let Some(state) = initial.recovered.hard_state {
        info!(log, "resuming from the store"; "id" => %initial.me.id, "term" => state.term);
    } else {
        let founds = initial.founding.is_some();
        info!(log, "starting with an empty store";
            "id" => %initial.me.id, "founds" => founds, "damaged" => damaged);
    }
    send_disk_command(disk_commands, initial.disk_command.clone());
    initial
}

fn send_disk_command(disk_commands: &Sender<DiskCommand>, command: DiskCommand) {
    // The disk thread ends only with the process.
    let _ = disk_commands.send(command);
}

fn node_settings(boot: &BootSettings) -> NodeSettings {
    let tolerated = usize::try_from(boot.fault_tolerance.machines.max(1)).unwrap_or(1);
    let bounds = &boot.bounds;
    NodeSettings {
        replication: replication_settings(tolerated),
        quota: QuotaBounds {
            window_s: bounds.quota_window_s,
            overshoot: bounds.quota_overshoot,
            slack: bounds.quota_slack,
        },
        seeds: boot.seeds.clone(),
    }
}

fn disk_limits(boot: &BootSettings) -> Limits {
    let disk_bytes = match boot.limits.disk_mb {
        0 => Limits::default().disk_bytes,
        megabytes => megabytes * BYTES_PER_MEGABYTE / DISK_SHARE.1 * DISK_SHARE.0,
    };
    Limits { disk_bytes, ..Limits::default() }
}

fn hello(boot: &BootSettings) -> Hello {
    Hello {
        protocol_version: PROTOCOL_VERSION,
        link: LinkKind::Replica,
        node: boot.node_name.clone(),
        ip: boot.ip.to_string(),
        zone: boot.zone.clone(),
    }
}

/// Binds an address; retries until it is free.
async fn bind(address: SocketAddr, limits: ListenLimits, log: &Logger) -> TcpListener {
    let mut warned = false;
    loop {
        match listen(address, limits) {
            Ok(listener) => return listener,
            Err(reason) if !warned => {
                warned = true;
                warn!(log, "cannot listen on the address yet, retrying";
                    "address" => %address, "reason" => %reason);
            }
            Err(_) => {}
        }
        sleep(BIND_RETRY_INTERVAL).await;
    }
}

/// Applies changed seeds when the settings file changes or on SIGHUP.
async fn watch_settings(boot: BootSettings, engine: Engine, mut hangup: Signal) {
    let mut loaded_version = settings_file_version();
    let mut seeds = boot.seeds;
    loop {
        let hangup_received = timeout(SETTINGS_POLL_INTERVAL, hangup.recv()).await.is_ok();
        let current_version = settings_file_version();
        if !hangup_received && current_version == loaded_version {
            continue;
        }
        loaded_version = current_version;
        match BootSettings::load() {
            Ok(boot) if boot.seeds != seeds => {
                info!(engine.log(), "seeds changed"; "seeds" => format!("{:?}", boot.seeds));
                engine.update(|node, _, _| node.set_seeds(&boot.seeds));
                seeds = boot.seeds;
            }
            Ok(_) => {}
            Err(reason) => {
                warn!(engine.log(), "ignoring invalid changes of the settings file"; "reason" => %reason)
            }
        }
    }
}

fn settings_file_version() -> Option<(SystemTime, u64)> {
    let metadata = std::fs::metadata(BootSettings::path()).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}

/// Transfers the leadership to another member and lets replies in flight reach their callers.
async fn shut_down(engine: &Engine) {
    info!(engine.log(), "ending");
    engine.update(|node, now, effects| node.transfer_leadership(now, effects));
    let drained = async {
        while !engine.inspect(|node, _| node.can_shut_down()) {
            sleep(Duration::from_millis(20)).await;
        }
        sleep(REPLY_GRACE).await;
    };
    // If the transfer does not finish in time, the other members elect a leader after the election timeout.
    let _ = timeout(SHUTDOWN_TIMEOUT, drained).await;
}
