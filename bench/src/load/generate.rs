//! The load generator: connections that each send the next request as soon as the last one is answered.

use std::cell::RefCell;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};

/// Warm-up before the measurement; requests sent during it are not timed.
const WARM_UP: Duration = Duration::from_millis(500);

/// Options of `generate`.
#[derive(clap::Args)]
pub(crate) struct Generate {
    /// Number of connections.
    #[arg(long)]
    connections: usize,
    /// Seconds of the measurement, after the warm-up.
    #[arg(long)]
    seconds: f64,
    /// Addresses of the proxy or the servers; the connections are spread over them.
    to: Vec<SocketAddr>,
}

/// Results of one case.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Figures {
    /// Requests answered with 200 per second.
    pub(crate) per_second: f64,
    /// Median latency, in milliseconds.
    pub(crate) p50_ms: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub(crate) p99_ms: f64,
    /// Number of responses with another status than 200, also during the warm-up.
    pub(crate) failed: u64,
}

impl Figures {
    /// The median of each figure by itself, and the sum of the failures.
    pub(crate) fn median(all: &[Figures]) -> Figures {
        let median_of = |value: fn(&Figures) -> f64| {
            let mut values: Vec<f64> = all.iter().map(value).collect();
            values.sort_by(f64::total_cmp);
            values.get(values.len() / 2).copied().unwrap_or_default()
        };
        Figures {
            per_second: median_of(|f| f.per_second),
            p50_ms: median_of(|f| f.p50_ms),
            p99_ms: median_of(|f| f.p99_ms),
            failed: all.iter().map(|f| f.failed).sum(),
        }
    }
}

#[derive(Default)]
struct Observations {
    /// Latencies in microseconds.
    latencies_us: Vec<u32>,
    failed: u64,
}

/// Reads one response. Returns whether its status is 200.
async fn read_response(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> anyhow::Result<bool> {
    buffer.clear();
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(buffer).await? == 0 {
            bail!("the connection was closed before the end of the response head");
        }
    };
    let head = std::str::from_utf8(&buffer[..end])?.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"))
        .context("the response has no Content-Length")?;
    let length: usize = length.trim().parse()?;
    let is_ok = head.starts_with("http/1.1 200");
    while buffer.len() < end + length {
        if stream.read_buf(buffer).await? == 0 {
            bail!("the connection was closed before the end of the response body");
        }
    }
    Ok(is_ok)
}

/// One client: sends requests on one connection until `end`, reconnects when it fails, and records what is
/// answered between `begin` and `end`.
async fn client(
    number: usize,
    to: SocketAddr,
    begin: Instant,
    end: Instant,
    observations: Rc<RefCell<Observations>>,
) {
    let mut buffer = Vec::with_capacity(4096);
    let mut request = Vec::with_capacity(256);
    let mut count = 0_u64;
    'connect: while Instant::now() < end {
        let Ok(mut stream) = TcpStream::connect(to).await else { continue };
        let _ = stream.set_nodelay(true);
        while Instant::now() < end {
            count += 1;
            request.clear();
            let _ = write!(
                request,
                "GET /view/{number} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {number:08x}{count:08x}\r\n\
                 Req-Deadline: 2.000\r\n\r\n"
            );
            let sent_at = Instant::now();
            let result = match stream.write_all(&request).await {
                Ok(()) => read_response(&mut stream, &mut buffer).await,
                Err(error) => Err(error.into()),
            };
            let is_measured = sent_at >= begin && Instant::now() < end;
            match result {
                Ok(true) if is_measured => {
                    observations
                        .borrow_mut()
                        .latencies_us
                        .push(u32::try_from(sent_at.elapsed().as_micros()).unwrap_or(u32::MAX));
                }
                Ok(true) => {}
                Ok(false) => observations.borrow_mut().failed += 1,
                // A proxy may close a connection between requests.
                Err(_) => continue 'connect,
            }
        }
    }
}

/// Runs all clients, and prints their figures as JSON.
pub(crate) fn run(options: &Generate) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let observations: Rc<RefCell<Observations>> = Rc::default();
    let begin = Instant::now() + WARM_UP;
    let end = begin + Duration::from_secs_f64(options.seconds);
    LocalSet::new().block_on(&runtime, async {
        let clients: Vec<_> = (0..options.connections)
            .map(|number| {
                let to = options.to[number % options.to.len()];
                spawn_local(client(number, to, begin, end, observations.clone()))
            })
            .collect();
        for client in clients {
            client.await?;
        }
        anyhow::Ok(())
    })?;
    let Observations { mut latencies_us, failed } = observations.take();
    latencies_us.sort_unstable();
    let at = |quantile: f64| match latencies_us.len() {
        0 => 0.0,
        count => f64::from(latencies_us[((count - 1) as f64 * quantile) as usize]) / 1e3,
    };
    let per_second = latencies_us.len() as f64 / options.seconds;
    println!(
        "{}",
        serde_json::to_string(&Figures { per_second, p50_ms: at(0.5), p99_ms: at(0.99), failed })?
    );
    Ok(())
}
