//! A proxy in a process of its own.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};

use rustix::process::{Pid, Signal, kill_process};
use testkit::system::MemoryMeter;

use super::agent::Agent;
use super::server::Server;
use super::{readiness_status, settings};

/// A proxy in a process of its own, and the addresses that it listens on.
pub(crate) struct ProxyProcess {
    child: Child,
    /// Kept open because the process logs to it.
    _log: BufReader<ChildStderr>,
    pub(crate) front: SocketAddr,
    pub(crate) readiness: SocketAddr,
}

impl ProxyProcess {
    /// Starts a proxy with the settings of the other tests and `more_settings`.
    pub(crate) fn spawn(agent: &Agent, more_settings: &str) -> Self {
        static STARTED: AtomicUsize = AtomicUsize::new(0);
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("dunelink-proxy-{}-{number}.toml", std::process::id()));
        fs::write(&path, settings(agent) + more_settings).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_dunelink-proxy"));
        let mut child = command.env("DUNELINK_BOOT", &path).stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        log.read_line(&mut line).unwrap();
        fs::remove_file(&path).unwrap();
        let address = |field: &str| {
            let value = line.split(field).nth(1).unwrap().split_whitespace().next().unwrap();
            value.trim_matches('"').parse().unwrap()
        };
        Self { front: address("front="), readiness: address("readiness="), child, _log: log }
    }

    /// Passes a configuration and servers to the proxy, and waits until it is ready.
    pub(crate) async fn configure(&self, agent: &Agent, configuration: &str, servers: &[&Server]) {
        agent.send_configuration(configuration);
        agent.send_grants(1);
        agent.set_servers(servers);
        agent.send_heartbeat(0, 1);
        while readiness_status(self.readiness).await != 200 {}
    }

    pub(crate) fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub(crate) fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Measures the memory of the process until the result is dropped.
    pub(crate) fn measure_memory(&self) -> MemoryMeter {
        MemoryMeter::start(self.child.id(), self.front.port())
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
