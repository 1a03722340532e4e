//! Planned work on the proxy process during the soak: in series, and overlapping.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rustix::process::Signal;
use testkit::system::MemoryMeter;
use tokio::time::{Instant, sleep};

use super::soak_configuration;
use crate::common::agent::Agent;
use crate::common::process::ProxyProcess;
use crate::common::server::Server;

const MAX_PAUSE_MS: u64 = 500;
const MAX_STOP_MS: u64 = 800;
/// Time after SIGTERM in which the process must end: its grace period of 4 s, and some more.
const MAX_SHUTDOWN: Duration = Duration::from_secs(6);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A proxy process that is replaced by a new one after each shutdown.
pub(crate) struct ProxyUnderTest {
    agent: Rc<Agent>,
    memory_mb: u64,
    process: ProxyProcess,
    front: Rc<Cell<SocketAddr>>,
    meter: MemoryMeter,
    max_memory_mb: u64,
    version: u64,
    starts: usize,
    /// Requests that earlier processes refused for lack of memory.
    refused: u64,
    failures: Vec<String>,
}

impl ProxyUnderTest {
    pub(crate) async fn start(agent: Rc<Agent>, memory_mb: u64, servers: &[Server]) -> Self {
        let process = spawn(&agent, memory_mb, 1, servers).await;
        let (front, meter) = (Rc::new(Cell::new(process.front)), process.measure_memory());
        Self {
            agent,
            memory_mb,
            process,
            front,
            meter,
            max_memory_mb: 0,
            version: 1,
            starts: 1,
            refused: 0,
            failures: Vec::new(),
        }
    }

    /// Returns the address for clients, which changes with each start.
    pub(crate) fn front(&self) -> Rc<Cell<SocketAddr>> {
        self.front.clone()
    }

    pub(crate) fn process(&self) -> &ProxyProcess {
        &self.process
    }

    pub(crate) fn starts(&self) -> usize {
        self.starts
    }

    /// Returns how many requests were refused for lack of memory.
    pub(crate) fn refused(&self) -> u64 {
        self.refused + refused(&self.process)
    }

    pub(crate) fn failures(&self) -> &[String] {
        &self.failures
    }

    pub(crate) fn max_memory_mb(&self) -> u64 {
        self.max_memory_mb.max(self.meter.max_mb())
    }

    /// Carries out random operations for `duration`.
    pub(crate) async fn operate(
        &mut self,
        servers: &[Server],
        duration: Duration,
        random: &mut fastrand::Rng,
    ) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            sleep(Duration::from_millis(random.u64(..MAX_PAUSE_MS))).await;
            if self.process.has_ended() {
                self.failures.push("the process ended by itself".to_owned());
                self.restart(servers).await;
            }
            match random.u32(..8) {
                0..3 => self.pause(random).await,
                3 => self.process.signal(Signal::HUP),
                4 => self.shut_down(servers, random).await,
                _ => {
                    self.version += 1;
                    self.agent.send_configuration(&soak_configuration(self.version));
                }
            }
        }
    }

    /// Stops the process while bytes keep arriving, and continues it.
    async fn pause(&self, random: &mut fastrand::Rng) {
        self.process.signal(Signal::STOP);
        sleep(Duration::from_millis(random.u64(..MAX_STOP_MS))).await;
        self.process.signal(Signal::CONT);
    }

    /// Shuts the process down, at times while it is stopped, and starts another.
    async fn shut_down(&mut self, servers: &[Server], random: &mut fastrand::Rng) {
        self.process.signal(Signal::TERM);
        if random.bool() {
            self.pause(random).await;
        }
        let end = Instant::now() + MAX_SHUTDOWN;
        while !self.process.has_ended() {
            if Instant::now() > end {
                self.failures.push(format!("the process runs {MAX_SHUTDOWN:?} after SIGTERM"));
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        self.restart(servers).await;
    }

    async fn restart(&mut self, servers: &[Server]) {
        self.max_memory_mb = self.max_memory_mb();
        self.refused = self.refused();
        self.process = spawn(&self.agent, self.memory_mb, self.version, servers).await;
        self.meter = self.process.measure_memory();
        self.front.set(self.process.front);
        self.starts += 1;
    }
}

/// Returns how many requests the process has refused for lack of memory, by its log.
fn refused(process: &ProxyProcess) -> u64 {
    let lines = process.log_lines("memory for requests is used up");
    let counts = lines.iter().filter_map(|line| {
        let count = line.split("refused=").nth(1)?.split_whitespace().next()?;
        count.trim_matches('"').parse::<u64>().ok()
    });
    counts.sum()
}

async fn spawn(agent: &Agent, memory_mb: u64, version: u64, servers: &[Server]) -> ProxyProcess {
    let process = ProxyProcess::spawn(agent, &format!("[limits]\nmemoryMb = {memory_mb}\nmaxFds = 4100\n"));
    let servers: Vec<&Server> = servers.iter().collect();
    process.configure(agent, version, &soak_configuration(version), &servers).await;
    process
}
