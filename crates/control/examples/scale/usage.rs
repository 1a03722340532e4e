//! Processor time and memory of the child processes of this process.

use std::fs;

/// Resources that a process has used so far.
pub(crate) struct Usage {
    /// Process id.
    pub(crate) pid: u32,
    /// Processor time of all its threads, in seconds.
    pub(crate) cpu_s: f64,
    /// Resident memory in KiB, as the kernel reports it.
    pub(crate) resident_kb: u64,
    /// Peak resident memory in KiB.
    pub(crate) peak_resident_kb: u64,
}

impl Usage {
    /// The usage of all children of this process.
    pub(crate) fn of_children() -> Vec<Usage> {
        child_ids().into_iter().map(of_process).collect()
    }
}

/// Ids of the children of this process.
fn child_ids() -> Vec<u32> {
    let Ok(threads) = fs::read_dir("/proc/self/task") else { return Vec::new() };
    let lists =
        threads.flatten().filter_map(|thread| fs::read_to_string(thread.path().join("children")).ok());
    let ids =
        lists.flat_map(|list| list.split_whitespace().filter_map(|id| id.parse().ok()).collect::<Vec<_>>());
    ids.collect()
}

fn of_process(pid: u32) -> Usage {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let field = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
    };
    let (resident_kb, peak_resident_kb) = (field("VmRSS:"), field("VmHWM:"));
    Usage { pid, cpu_s: cpu_s(pid), resident_kb, peak_resident_kb }
}

/// Processor time in seconds, summed over the threads of a process from the kernel's scheduler statistics.
fn cpu_s(pid: u32) -> f64 {
    let Ok(threads) = fs::read_dir(format!("/proc/{pid}/task")) else { return 0.0 };
    let counts =
        threads.flatten().filter_map(|thread| fs::read_to_string(thread.path().join("schedstat")).ok());
    let nanos = counts.filter_map(|count| count.split_whitespace().next()?.parse::<u64>().ok());
    nanos.sum::<u64>() as f64 / 1e9
}
