//! A proxy in a process of its own, and the memory that it takes.

use std::collections::HashSet;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

use super::agent::Agent;
use super::server::Server;
use super::{readiness_status, settings};

/// Interval between two measurements of a process's memory.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// State of a listening socket in `/proc/net/tcp`.
const LISTEN_STATE: &str = "0A";

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

/// Measures the memory of a process as the platform counts it: resident, and received bytes that were not read
/// yet.
pub(crate) struct MemoryMeter {
    max_bytes: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl MemoryMeter {
    fn start(pid: u32, front_port: u16) -> Self {
        let (max_bytes, stop) = (Arc::<AtomicU64>::default(), Arc::<AtomicBool>::default());
        let (max, stopped) = (max_bytes.clone(), stop.clone());
        let thread = std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                if let Some(resident) = resident_bytes(pid) {
                    max.fetch_max(resident + unread_bytes(pid, front_port), Ordering::Relaxed);
                }
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self { max_bytes, stop, thread: Some(thread) }
    }

    /// Returns the most memory so far, in megabytes of 1,048,576 bytes, rounded up.
    pub(crate) fn max_mb(&self) -> u64 {
        self.max_bytes.load(Ordering::Relaxed).div_ceil(1 << 20)
    }
}

impl Drop for MemoryMeter {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn resident_bytes(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    Some(line.split_whitespace().nth(1)?.parse::<u64>().ok()? * 1_024)
}

/// Returns the number of received bytes that the process has not read, on its sockets and on connections that
/// it has not accepted.
fn unread_bytes(pid: u32, front_port: u16) -> u64 {
    let sockets: HashSet<String> = fs::read_dir(format!("/proc/{pid}/fd"))
        .into_iter()
        .flatten()
        .filter_map(|entry| {
            let target = fs::read_link(entry.ok()?.path()).ok()?;
            Some(target.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned())
        })
        .collect();
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let front = format!(":{front_port:04X}");
    let unread = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, local, _, state, queues, _, _, _, _, inode, ..] = fields[..] else { return None };
        let belongs = sockets.contains(inode) || local.ends_with(&front);
        let (_, received) = queues.split_once(':')?;
        (belongs && state != LISTEN_STATE).then(|| u64::from_str_radix(received, 16).unwrap_or(0))
    });
    unread.sum()
}
