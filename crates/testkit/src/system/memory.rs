//! Measures the memory of a process.

use std::collections::HashSet;
use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Interval between two measurements.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// State of a listening socket in `/proc/net/tcp`.
const LISTEN_STATE: &str = "0A";
const BYTES_PER_MB: u64 = 1 << 20;

/// Measures the memory of a process as the platform counts it: resident, and received bytes that were not read
/// yet.
pub struct MemoryMeter {
    max_bytes: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl MemoryMeter {
    /// Measures the process until the result is dropped. `port` is the one on which it accepts connections.
    pub fn start(pid: u32, port: u16) -> Self {
        let (max_bytes, stop) = (Arc::<AtomicU64>::default(), Arc::<AtomicBool>::default());
        let (max, stopped) = (max_bytes.clone(), stop.clone());
        let thread = std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                if let Some(resident) = resident_bytes(pid) {
                    max.fetch_max(resident + unread_bytes(pid, port), Ordering::Relaxed);
                }
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self { max_bytes, stop, thread: Some(thread) }
    }

    /// Returns the most memory so far, in megabytes of 1,048,576 bytes, rounded up.
    pub fn max_mb(&self) -> u64 {
        self.max_bytes.load(Ordering::Relaxed).div_ceil(BYTES_PER_MB)
    }

    /// Asserts that the process has taken less than `limit_mb` so far, and prints what it took.
    pub fn assert_below(&self, limit_mb: u64) {
        let max_mb = self.max_mb();
        eprintln!("most memory: {max_mb} MB");
        assert!(max_mb < limit_mb, "the process took {max_mb} MB");
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
fn unread_bytes(pid: u32, port: u16) -> u64 {
    let sockets: HashSet<String> = fs::read_dir(format!("/proc/{pid}/fd"))
        .into_iter()
        .flatten()
        .filter_map(|entry| {
            let target = fs::read_link(entry.ok()?.path()).ok()?;
            Some(target.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned())
        })
        .collect();
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let port = format!(":{port:04X}");
    let unread = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, local, _, state, queues, _, _, _, _, inode, ..] = fields[..] else { return None };
        let belongs = sockets.contains(inode) || local.ends_with(&port);
        let (_, received) = queues.split_once(':')?;
        (belongs && state != LISTEN_STATE).then(|| u64::from_str_radix(received, 16).unwrap_or(0))
    });
    unread.sum()
}
