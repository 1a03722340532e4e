//! The program: command line, settings, start and end.

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
use dunelink_runtime::Clock;
use dunelink_runtime::log::logger;
use dunelink_settings::Boot;
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

/// Exit code when the arguments or the settings are wrong.
const WRONG_SETTINGS: u8 = 2;
/// Pause before an address in use is tried again.
const BIND_PAUSE: Duration = Duration::from_millis(200);
/// Time between two looks at the settings file.
const SETTINGS_PERIOD: Duration = Duration::from_secs(1);
/// How long the handing over may take at the end.
const LAST_PATIENCE: Duration = Duration::from_secs(1);
/// How long answers under way may take to leave after the handing over.
const LAST_ANSWERS: Duration = Duration::from_millis(150);
/// Part of the disk that the store may use, as a fraction.
const DISK_PART: (u64, u64) = (7, 8);
/// Bytes in a megabyte.
const MEGABYTE: u64 = 1_000_000;

/// Runs the program with its arguments.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    let command = match arguments::parse(arguments) {
        Ok(command) => command,
        Err(reason) => return wrong(&reason),
    };
    let format = match command {
        Command::Help => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Command::Check => return check(),
        Command::Serve(format) => format,
    };
    let boot = match settings() {
        Ok(boot) => boot,
        Err(error) => return wrong(&format!("{error:#}")),
    };
    let log = logger(format, Level::Info, &boot.node_name);
    match start(boot, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(log, "the program ends"; "reason" => format!("{error:#}"));
            ExitCode::FAILURE
        }
    }
}

fn wrong(reason: &str) -> ExitCode {
    eprintln!("dunelink-control: {reason}");
    ExitCode::from(WRONG_SETTINGS)
}

fn check() -> ExitCode {
    match settings() {
        Ok(boot) => {
            println!("{}: {} can run with it", Boot::path().display(), boot.node_name);
            ExitCode::SUCCESS
        }
        Err(error) => wrong(&format!("{error:#}")),
    }
}

/// The settings, with what this program needs beyond the others.
fn settings() -> anyhow::Result<Boot> {
    let boot = Boot::load()?;
    let path = Boot::path();
    if boot.data_dir.is_none() {
        bail!("{}: key `dataDir` is missing; this program needs a folder on a disk", path.display());
    }
    if boot.listen.control.is_none() {
        bail!("{}: key `listen.control` is missing; add the address for the operator", path.display());
    }
    Ok(boot)
}

fn start(boot: Boot, log: &Logger) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let outcome = LocalSet::new().block_on(&runtime, serve(boot, log.clone()));
    // The disk thread may hang in a call: the process does not wait for it.
    runtime.shutdown_background();
    outcome
}

async fn serve(boot: Boot, log: Logger) -> anyhow::Result<()> {
    // Both before the store is opened, which may take long: a signal that nobody listens for ends the program.
    let mut ending = signal(SignalKind::terminate()).context("SIGTERM can't be listened for")?;
    let hangup = signal(SignalKind::hangup()).context("SIGHUP can't be listened for")?;
    tokio::select! {
        engine = begin(&boot, &log) => {
            let engine = engine?;
            spawn_local(watch_settings(boot, engine.clone(), hangup));
            ending.recv().await;
            end(&engine).await;
        }
        _ = ending.recv() => {}
    }
    info!(log, "ended");
    Ok(())
}

/// Opens the store and starts all tasks.
async fn begin(boot: &Boot, log: &Logger) -> anyhow::Result<Engine> {
    let folder = boot.data_dir.clone().ok_or_else(|| anyhow!("`dataDir` is missing"))?;
    let control = boot.listen.control.ok_or_else(|| anyhow!("`listen.control` is missing"))?;
    let internal = internal_address(boot.ip, boot.internal_port());
    let clock = Clock::start();
    let (orders, mut events) =
        disk::start(&folder, disk_limits(boot)).context("the disk thread can't start")?;
    let opened = opened(&mut events, log).await?;
    let me = Member {
        id: founding_id(control),
        internal_address: internal,
        control_address: control,
        zone: boot.zone.clone(),
    };
    let start = identify(boot, me, opened, &orders, log);
    let node = Node::new(
        node_settings(boot),
        start.me,
        start.founding,
        start.recovered,
        seed(),
        clock.now(),
        log.clone(),
    );
    let links = PeerLinks::new(hello(boot));
    let engine = Engine::new(clock, log.clone(), node, orders, links);
    spawn_local(engine.clone().run_disk(events));
    spawn_local(engine.clone().run_deadlines());
    spawn_local(engine.clone().run_periodic_sends());
    spawn_local(feed_server::serve(bind(internal, log).await, engine.clone()));
    spawn_local(operator_api::serve(bind(control, log).await, engine.clone()));
    if let Some(api) = &boot.cloud_api {
        spawn_local(list_reader::run(api.clone(), engine.clone()));
        spawn_local(list_reader::serve_leader_requests(api.clone(), engine.clone()));
    }
    Ok(engine)
}

/// Waits until the store is open. A disk in trouble delays the start and does not end it.
async fn opened(events: &mut UnboundedReceiver<DiskEvent>, log: &Logger) -> anyhow::Result<OpenedStore> {
    loop {
        match events.recv().await {
            Some(DiskEvent::Opened(opened)) => return Ok(opened),
            Some(DiskEvent::HealthChanged(reason)) => {
                warn!(log, "the store can't be opened yet"; "reason" => reason)
            }
            Some(_) => {}
            None => bail!("the disk thread has ended"),
        }
    }
}

/// Decides who this replica is, and tells the disk thread whose the store is.
fn identify(
    boot: &Boot,
    me: Member,
    opened: OpenedStore,
    orders: &Sender<DiskCommand>,
    log: &Logger,
) -> InitialState {
    for note in &opened.notes {
        warn!(log, "the store was put right"; "note" => note);
    }
    let damaged = opened.damaged;
    let start = InitialState::determine(boot.bootstrap, &boot.seeds, me, opened, random_id);
    if let Some(state) = start.recovered.hard_state {
        info!(log, "going on"; "id" => %start.me.id, "term" => state.term);
    } else {
        let founds = start.founding.is_some();
        info!(log, "starting empty"; "id" => %start.me.id, "founds" => founds, "damaged" => damaged);
    }
    order(orders, start.disk_command.clone());
    start
}

fn order(orders: &Sender<DiskCommand>, order: DiskCommand) {
    // The thread ends only with the program.
    let _ = orders.send(order);
}

fn node_settings(boot: &Boot) -> NodeSettings {
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

fn disk_limits(boot: &Boot) -> Limits {
    let disk_bytes = match boot.limits.disk_mb {
        0 => Limits::default().disk_bytes,
        megabytes => megabytes * MEGABYTE / DISK_PART.1 * DISK_PART.0,
    };
    Limits { disk_bytes, ..Limits::default() }
}

fn hello(boot: &Boot) -> Hello {
    Hello {
        protocol_version: PROTOCOL_VERSION,
        link: LinkKind::Replica,
        node: boot.node_name.clone(),
        ip: boot.ip.to_string(),
        zone: boot.zone.clone(),
    }
}

/// Listens at an address; tries until it is free.
async fn bind(address: SocketAddr, log: &Logger) -> TcpListener {
    let mut told = false;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(reason) if !told => {
                told = true;
                warn!(log, "an address can't be listened at yet"; "address" => %address, "reason" => %reason);
            }
            Err(_) => {}
        }
        sleep(BIND_PAUSE).await;
    }
}

/// Takes in changes of the settings file, with a signal or without.
async fn watch_settings(boot: Boot, engine: Engine, mut hangup: Signal) {
    let mut seen = modified();
    let mut seeds = boot.seeds;
    loop {
        let signalled = timeout(SETTINGS_PERIOD, hangup.recv()).await.is_ok();
        let found = modified();
        if !signalled && found == seen {
            continue;
        }
        seen = found;
        match Boot::load() {
            Ok(boot) if boot.seeds != seeds => {
                info!(engine.log(), "other seeds"; "seeds" => format!("{:?}", boot.seeds));
                engine.update(|node, _, _| node.set_seeds(&boot.seeds));
                seeds = boot.seeds;
            }
            Ok(_) => {}
            Err(reason) => warn!(engine.log(), "the changed settings are not used"; "reason" => %reason),
        }
    }
}

fn modified() -> Option<(SystemTime, u64)> {
    let about = std::fs::metadata(Boot::path()).ok()?;
    Some((about.modified().ok()?, about.len()))
}

/// Hands the leadership over and lets answers under way leave.
async fn end(engine: &Engine) {
    info!(engine.log(), "ending");
    engine.update(|node, now, effects| node.transfer_leadership(now, effects));
    let handed_over = async {
        while !engine.inspect(|node, _| node.can_shut_down()) {
            sleep(Duration::from_millis(20)).await;
        }
        sleep(LAST_ANSWERS).await;
    };
    // The others elect a leader also without it.
    let _ = timeout(LAST_PATIENCE, handed_over).await;
}
