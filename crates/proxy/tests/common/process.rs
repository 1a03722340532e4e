//! A proxy in a process of its own.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use rustix::process::{Pid, Signal, kill_process};
use testkit::system::MemoryMeter;

use super::agent::Agent;
use super::server::Server;
use super::{readiness_status, settings, wait_until};

/// A proxy in a process of its own, and the addresses that it listens on.
pub(crate) struct ProxyProcess {
    child: Child,
    /// Number of connections to the agent before the process was started.
    earlier_hellos: usize,
    /// Lines that the process has logged.
    log: Arc<Mutex<Vec<String>>>,
    pub(crate) front: SocketAddr,
    pub(crate) readiness: SocketAddr,
}

impl ProxyProcess {
    /// Starts a proxy with the settings of the other tests and `more_settings`.
    pub(crate) fn spawn(agent: &Agent, more_settings: &str) -> Self {
        static STARTED: AtomicUsize = AtomicUsize::new(0);
        let earlier_hellos = agent.hellos.borrow().len();
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
        Self {
            front: address("front="),
            readiness: address("readiness="),
            child,
            earlier_hellos,
            log: collect_lines(log),
        }
    }

    /// Passes a configuration and servers to the proxy, and waits until it is ready.
    pub(crate) async fn configure(
        &self,
        agent: &Agent,
        version: u64,
        configuration: &str,
        servers: &[&Server],
    ) {
        // Until then, messages would go to the process before this one.
        wait_until(|| agent.hellos.borrow().len() > self.earlier_hellos).await;
        agent.send_configuration(configuration);
        agent.send_grants(1);
        agent.set_servers(servers);
        agent.send_heartbeat(0, version);
        while readiness_status(self.readiness).await != 200 {}
    }

    pub(crate) fn kill(&mut self) {
        // An error means that it has ended.
        let _ = self.child.kill();
        self.child.wait().unwrap();
    }

    /// Returns the lines that the process has logged so far and that contain `text`.
    pub(crate) fn log_lines(&self, text: &str) -> Vec<String> {
        self.log.lock().unwrap().iter().filter(|line| line.contains(text)).cloned().collect()
    }

    /// Whether the process has ended.
    pub(crate) fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
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

/// Reads the log in a thread of its own until the process ends.
fn collect_lines(log: BufReader<ChildStderr>) -> Arc<Mutex<Vec<String>>> {
    let lines = Arc::<Mutex<Vec<String>>>::default();
    let collected = lines.clone();
    std::thread::spawn(move || {
        for line in log.lines().map_while(Result::ok) {
            collected.lock().unwrap().push(line);
        }
    });
    lines
}
