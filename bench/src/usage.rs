//! CPU time of processes, read from `/proc`.

use std::time::Duration;

use anyhow::Context;

/// `/proc` reports CPU times in hundredths of a second (`USER_HZ` is 100).
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// User plus system time that a process has used so far: fields 14 and 15 of its `stat` file, see proc(5).
pub(crate) fn cpu_time(pid: u32) -> anyhow::Result<Duration> {
    let path = format!("/proc/{pid}/stat");
    let text = std::fs::read_to_string(&path).with_context(|| path.clone())?;
    // The second field is the program's name in parentheses; it may contain spaces and parentheses itself.
    let after_name = text.rsplit_once(')').context("no process name in the stat file")?.1;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |field: usize| -> anyhow::Result<u32> {
        Ok(fields.get(field - 3).context("too few fields in the stat file")?.parse()?)
    };
    Ok(CLOCK_TICK * (ticks(14)? + ticks(15)?))
}
