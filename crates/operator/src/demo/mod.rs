//! A complete small fleet on loopback addresses: three control machines, two fronts, model servers and
//! clients. During the run the leader is killed and one server drains.
//!
//! The programs of the fleet run as separate processes, from the folder of this program. Model servers, the
//! platform's server list and the clients run in this process. The demonstration uses its own loopback
//! addresses and a folder that is removed at the end.

mod fleet;
mod load;
mod statistics;

use std::io::Write;
use std::time::Duration;

use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};

pub use statistics::Summary;

use crate::error::OperatorError;
use fleet::DemoFleet;
use load::LoadGenerator;
use statistics::ClientStatistics;

/// Minimum duration in seconds: a shorter demonstration would not show the recovery.
pub const MIN_SECONDS: u64 = 8;
/// Maximum duration in seconds.
pub const MAX_SECONDS: u64 = 600;
/// Maximum rate in requests per second.
pub const MAX_RATE: u32 = 200;

/// Options of a demonstration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Time for which the clients send, in seconds; [`MIN_SECONDS`] to [`MAX_SECONDS`].
    pub seconds: u64,
    /// Requests per second; 1 to [`MAX_RATE`].
    pub rate: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self { seconds: 20, rate: 40 }
    }
}

/// Time between two status queries to the control machines.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);
/// Status queries per output line.
const QUERIES_PER_LINE: u64 = 5;

/// Runs a demonstration and writes one line per second and a summary to `out`. It ends early when `stop`
/// completes.
///
/// # Errors
///
/// A program is missing in the folder of this program, or the fleet does not become ready.
pub async fn run(
    options: Options,
    out: &mut impl Write,
    stop: impl Future<Output = ()>,
) -> Result<Summary, OperatorError> {
    let seconds = options.seconds.clamp(MIN_SECONDS, MAX_SECONDS);
    write_line(
        out,
        "starting three control machines, two fronts and four model servers on loopback addresses",
    );
    let mut demo_fleet = DemoFleet::start().await?;
    let clients = format!(
        "fleet ready; clients send {} requests per second, each with a streaming response",
        options.rate
    );
    write_line(out, &clients);
    let statistics = ClientStatistics::default();
    let load = LoadGenerator::start(demo_fleet.fronts(), options.rate.clamp(1, MAX_RATE), statistics.clone());
    tokio::select! {
        () = run_steps(&mut demo_fleet, seconds, &statistics, out) => {}
        () = stop => write_line(out, "stopped"),
    }
    load.finish().await;
    let summary = statistics.summary(demo_fleet.leaderless_duration(), demo_fleet.requests_after_drain());
    summary.lines().iter().for_each(|line| write_line(out, line));
    Ok(summary)
}

/// Writes a line and ignores write errors, such as a closed pipe.
fn write_line(out: &mut impl Write, line: &str) {
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

/// A step of the demonstration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Reconfigure,
    KillLeaderAndDrain,
    StopServer,
    RestartControl,
}

fn steps(seconds: u64) -> Vec<(Duration, Step)> {
    let duration = Duration::from_secs(seconds);
    let half = duration / 2;
    vec![
        (duration / 4, Step::Reconfigure),
        (half, Step::KillLeaderAndDrain),
        (half + fleet::DRAIN_TIME, Step::StopServer),
        (duration * 3 / 4, Step::RestartControl),
    ]
}

async fn run_steps(
    demo_fleet: &mut DemoFleet,
    seconds: u64,
    statistics: &ClientStatistics,
    out: &mut impl Write,
) {
    let started_at = Instant::now();
    let end = started_at + Duration::from_secs(seconds);
    let mut steps = steps(seconds);
    steps.sort_by_key(|(at, _)| *at);
    let mut steps = steps.into_iter().peekable();
    let mut ticks = interval(QUERY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut queries = 0_u64;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = sleep_until(end) => return,
        }
        while let Some((_, step)) = steps.next_if(|(at, _)| started_at.elapsed() >= *at) {
            let message = perform(demo_fleet, step).await;
            write_line(out, &format!("      {message}"));
        }
        let status_text = demo_fleet.query_status().await;
        queries += 1;
        if queries.is_multiple_of(QUERIES_PER_LINE) {
            let second = started_at.elapsed().as_secs_f64().round();
            write_line(out, &format!("{second:>3} s  {}  {status_text}", statistics.take_recent_line()));
        }
    }
}

async fn perform(demo_fleet: &mut DemoFleet, step: Step) -> String {
    match step {
        Step::Reconfigure => demo_fleet.reconfigure().await,
        Step::KillLeaderAndDrain => demo_fleet.kill_leader_and_drain(),
        Step::StopServer => demo_fleet.stop_server().await,
        Step::RestartControl => demo_fleet.restart_control(),
    }
}
