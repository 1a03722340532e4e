//! Processor time and memory of the processes that this one started.

use std::fs;

/// What a process has used so far.
pub(crate) struct Usage {
    /// Its id.
    pub(crate) pid: u32,
    /// Processor time of all its threads, in seconds.
    pub(crate) cpu_s: f64,
    /// Resident memory, in KB.
    pub(crate) resident_kb: u64,
    /// The most resident memory so far, in KB.
    pub(crate) most_kb: u64,
}

impl Usage {
    /// All children of this process.
    pub(crate) fn of_children() -> Vec<Usage> {
        children().into_iter().map(of).collect()
    }
}

fn children() -> Vec<u32> {
    let Ok(threads) = fs::read_dir("/proc/self/task") else { return Vec::new() };
    let lists =
        threads.flatten().filter_map(|thread| fs::read_to_string(thread.path().join("children")).ok());
    let ids =
        lists.flat_map(|list| list.split_whitespace().filter_map(|id| id.parse().ok()).collect::<Vec<_>>());
    ids.collect()
}

fn of(pid: u32) -> Usage {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let field = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
    };
    let (resident_kb, most_kb) = (field("VmRSS:"), field("VmHWM:"));
    Usage { pid, cpu_s: cpu_s(pid), resident_kb, most_kb }
}

/// The kernel's count of nanoseconds on a processor, summed over threads.
fn cpu_s(pid: u32) -> f64 {
    let Ok(threads) = fs::read_dir(format!("/proc/{pid}/task")) else { return 0.0 };
    let counts =
        threads.flatten().filter_map(|thread| fs::read_to_string(thread.path().join("schedstat")).ok());
    let nanos = counts.filter_map(|count| count.split_whitespace().next()?.parse::<u64>().ok());
    nanos.sum::<u64>() as f64 / 1e9
}
