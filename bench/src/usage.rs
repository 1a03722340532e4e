//! CPU time of processes, as the kernel counts it.

use std::time::Duration;

use anyhow::Context;

/// The kernel tells times in hundredths of a second.
const TICK: Duration = Duration::from_millis(10);

/// User and system time of a process so far. `field` numbers are those of proc(5): 14 and 15.
pub(crate) fn cpu(process: u32) -> anyhow::Result<Duration> {
    let path = format!("/proc/{process}/stat");
    let text = std::fs::read_to_string(&path).with_context(|| path.clone())?;
    // The second field is a name in brackets, which may hold anything.
    let rest = text.rsplit_once(')').context("no name")?.1;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks =
        |field: usize| -> anyhow::Result<u32> { Ok(fields.get(field - 3).context("no field")?.parse()?) };
    Ok(TICK * (ticks(14)? + ticks(15)?))
}
