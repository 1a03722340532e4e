//! One dunelink node: it takes requests from clients, asks the decision module where each goes, and passes
//! on the servers' answers.
#![forbid(unsafe_code)]

mod clients;
mod config;
mod discovery;
mod engine;
mod servers;
mod socket;

use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use cherryusher::Balancer;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

use crate::clients::Clients;
use crate::config::Config;
use crate::engine::{Engine, Mailbox};
use crate::servers::Servers;

/// For how long after SIGTERM connections are taken in: new ones come for up to 0.4 s.
const STILL_ACCEPT: Duration = Duration::from_millis(500);
/// SIGKILL may come 3.7 s after SIGTERM: by then all has to be answered.
const STAY_MOST: Duration = Duration::from_millis(3400);
/// What comes on top of the longest deadline, and what the last answers may take.
const LAST_ANSWERS: Duration = Duration::from_millis(100);

async fn run() -> Result<(), Box<dyn Error>> {
    // From the first moment: unhandled, both signals end the process.
    let (hang_up, mut terminate) = (signal(SignalKind::hangup())?, signal(SignalKind::terminate())?);
    let path = std::env::var("GW_CONFIG").map_err(|_| "GW_CONFIG does not name a configuration file")?;
    let config = Rc::new(Config::read(&path).map_err(|error| format!("{path}: {error}"))?);
    let listener = TcpListener::bind(config.listen).await?;
    eprintln!("dunelink: {} listens on {}", config.name, listener.local_addr()?);
    let (mailbox, inbox) = Mailbox::new(config.seed);
    let (servers, subscribe) = (Rc::new(Servers::new(&config)), Rc::new(Notify::new()));
    let balancer = Balancer::new(config.settings.clone(), config.seed)?;
    let engine = Engine::new(balancer, servers.clone(), mailbox.clone(), subscribe.clone());
    spawn_local(engine.run(inbox));
    let swept = servers.clone();
    spawn_local(async move { swept.sweep().await });
    let (moved, address) = watch::channel(config.discovery);
    spawn_local(reread(path, hang_up, moved));
    spawn_local(discovery::follow(config.clone(), address, servers.clone(), mailbox.clone(), subscribe));
    let clients = Rc::new(Clients::new(config.clone(), mailbox, servers));
    let watched = clients.clone();
    spawn_local(async move { watched.sweep().await });
    let stop = Rc::new(Notify::new());
    let accepting = spawn_local(clients.clone().accept(listener, stop.clone()));

    terminate.recv().await;
    eprintln!("dunelink: {} is leaving", config.name);
    clients.leave();
    sleep(STILL_ACCEPT).await;
    stop.notify_one();
    // Where all connections are busy, the kernel's would be waited for too long.
    let _ = timeout(LAST_ANSWERS, accepting).await;
    let wait = (config.longest() + LAST_ANSWERS).min(STAY_MOST.saturating_sub(STILL_ACCEPT));
    if timeout(wait, clients.close()).await.is_err() {
        clients.last_call();
        let _ = timeout(LAST_ANSWERS, clients.close()).await;
    }
    Ok(())
}

/// Reads the configuration anew at each SIGHUP. Only discovery moves while the node runs; a file that is
/// wrong changes nothing.
async fn reread(path: String, mut hang_up: Signal, moved: watch::Sender<SocketAddr>) {
    while hang_up.recv().await.is_some() {
        match Config::read(&path) {
            Ok(config) => {
                eprintln!("dunelink: {path} read anew; discovery is at {}", config.discovery);
                moved.send_if_modified(|at| std::mem::replace(at, config.discovery) != config.discovery);
            }
            Err(error) => eprintln!("dunelink: {path}: {error}; the configuration stays as it was"),
        }
    }
}

fn start() -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run())
}

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dunelink: {error}");
            ExitCode::FAILURE
        }
    }
}
