//! Clients of the demonstration: requests at a constant rate, each on its own connection.

use std::net::SocketAddr;
use std::time::Duration;

use testkit::system::TestClient;
use testkit::system::scene::{HOST, KEY, RESUMABLE};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use super::statistics::ClientStatistics;

/// Timeout of a complete response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);
/// Number of prompt prefixes; requests with the same prefix can share a prefix cache.
const PROMPT_PREFIXES: u64 = 16;
/// Maximum number of requests in flight; further ones count as failed without being sent.
const MAX_IN_FLIGHT: usize = 1_024;

/// The running clients.
pub(super) struct LoadGenerator {
    sender: JoinHandle<JoinSet<()>>,
    stop: tokio::sync::oneshot::Sender<()>,
}

impl LoadGenerator {
    /// Starts sender `rate` requests per second to the fronts in turn.
    pub(super) fn start(fronts: Vec<SocketAddr>, rate: u32, statistics: ClientStatistics) -> Self {
        let (stop, stop_signal) = tokio::sync::oneshot::channel();
        Self { sender: tokio::spawn(send_requests(fronts, rate, statistics, stop_signal)), stop }
    }

    /// Stops sender and waits for the requests in flight.
    pub(super) async fn finish(self) {
        // Sending fails only if the sender task has already ended.
        let _ = self.stop.send(());
        if let Ok(mut in_flight) = self.sender.await {
            while in_flight.join_next().await.is_some() {}
        }
    }
}

async fn send_requests(
    fronts: Vec<SocketAddr>,
    rate: u32,
    statistics: ClientStatistics,
    mut stop_signal: tokio::sync::oneshot::Receiver<()>,
) -> JoinSet<()> {
    let mut in_flight = JoinSet::new();
    let mut ticks = interval(Duration::from_secs(1) / rate);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    for number in 0_u64.. {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = &mut stop_signal => break,
        }
        while in_flight.try_join_next().is_some() {}
        if in_flight.len() >= MAX_IN_FLIGHT {
            statistics.record_failure("not sent: too many requests in flight");
            continue;
        }
        let front = fronts[number as usize % fronts.len()];
        in_flight.spawn(send_one(front, number, statistics.clone()));
    }
    in_flight
}

async fn send_one(front: SocketAddr, number: u64, statistics: ClientStatistics) {
    let started_at = Instant::now();
    match timeout(RESPONSE_TIMEOUT, exchange(front, number, started_at)).await {
        Ok(Ok(first_event)) => statistics.record_served(first_event),
        Ok(Err(reason)) => statistics.record_failure(&reason),
        Err(_) => statistics.record_failure("no complete response within 8 s"),
    }
}

/// Sends one request, reads the complete response and returns the time to its first event.
async fn exchange(front: SocketAddr, number: u64, started_at: Instant) -> Result<Duration, String> {
    let client = TestClient::new(front, HOST, KEY);
    let prompt = format!("{:x}:800,{:x}:200", 0x5c1e_0000 + number % PROMPT_PREFIXES, 0x91bd_0000 + number);
    let request = client.request("POST", RESUMABLE).prompt(1_000, 64, &prompt).body(b"prompt");
    let mut connection =
        client.connect().await.map_err(|error| format!("connection failed: {}", error.kind()))?;
    connection.send(&request).await.map_err(|error| format!("sending failed: {}", error.kind()))?;
    let mut response = connection.head().await.map_err(|error| format!("no response: {}", error.kind()))?;
    let status = response.head.status();
    if status != 200 {
        return Err(format!("status {status}"));
    }
    let mut first = None;
    loop {
        match response.event().await {
            Ok(Some(_)) => first = first.or_else(|| Some(started_at.elapsed())),
            Ok(None) => return first.ok_or_else(|| "response without events".to_owned()),
            Err(error) => return Err(format!("stream broken: {}", error.kind())),
        }
    }
}
