//! The clients: connections that each send the next request once the last one is answered.

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

/// For how long a case warms up.
const WARM: Duration = Duration::from_millis(500);

/// What clients send, and where to.
#[derive(clap::Args)]
pub(crate) struct Generate {
    #[arg(long)]
    connections: usize,
    #[arg(long)]
    seconds: f64,
    to: Vec<SocketAddr>,
}

/// What they saw.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Figures {
    pub(crate) per_second: f64,
    pub(crate) p50_ms: f64,
    pub(crate) p99_ms: f64,
    pub(crate) failed: u64,
}

impl Figures {
    /// Each figure's median by itself; failures added up.
    pub(crate) fn median(all: &[Figures]) -> Figures {
        let middle = |of: fn(&Figures) -> f64| {
            let mut values: Vec<f64> = all.iter().map(of).collect();
            values.sort_by(f64::total_cmp);
            values.get(values.len() / 2).copied().unwrap_or_default()
        };
        Figures {
            per_second: middle(|f| f.per_second),
            p50_ms: middle(|f| f.p50_ms),
            p99_ms: middle(|f| f.p99_ms),
            failed: all.iter().map(|f| f.failed).sum(),
        }
    }
}

#[derive(Default)]
struct Seen {
    times: Vec<u32>,
    failed: u64,
}

/// Reads one answer; whether its status is 200.
async fn answer(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> anyhow::Result<bool> {
    buffer.clear();
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(buffer).await? == 0 {
            bail!("the connection ended");
        }
    };
    let head = std::str::from_utf8(&buffer[..end])?.to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:")).context("no length")?;
    let length: usize = length.trim().parse()?;
    let served = head.starts_with("http/1.1 200");
    while buffer.len() < end + length {
        if stream.read_buf(buffer).await? == 0 {
            bail!("the answer ended early");
        }
    }
    Ok(served)
}

async fn client(number: usize, to: SocketAddr, begin: Instant, end: Instant, seen: Rc<RefCell<Seen>>) {
    let mut buffer = Vec::with_capacity(4096);
    let mut text = Vec::with_capacity(256);
    let mut count = 0_u64;
    'connect: while Instant::now() < end {
        let Ok(mut stream) = TcpStream::connect(to).await else { continue };
        let _ = stream.set_nodelay(true);
        while Instant::now() < end {
            count += 1;
            text.clear();
            let _ = write!(
                text,
                "GET /view/{number} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {number:08x}{count:08x}\r\n\
                 Req-Deadline: 2.000\r\n\r\n"
            );
            let asked = Instant::now();
            let answered = match stream.write_all(&text).await {
                Ok(()) => answer(&mut stream, &mut buffer).await,
                Err(error) => Err(error.into()),
            };
            let counts = asked >= begin && Instant::now() < end;
            match answered {
                Ok(true) if counts => {
                    seen.borrow_mut()
                        .times
                        .push(u32::try_from(asked.elapsed().as_micros()).unwrap_or(u32::MAX));
                }
                Ok(true) => {}
                Ok(false) => seen.borrow_mut().failed += 1,
                // A proxy may end a connection between requests.
                Err(_) => continue 'connect,
            }
        }
    }
}

pub(crate) fn run(options: &Generate) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let seen: Rc<RefCell<Seen>> = Rc::default();
    let begin = Instant::now() + WARM;
    let end = begin + Duration::from_secs_f64(options.seconds);
    LocalSet::new().block_on(&runtime, async {
        let clients: Vec<_> = (0..options.connections)
            .map(|number| {
                let to = options.to[number % options.to.len()];
                spawn_local(client(number, to, begin, end, seen.clone()))
            })
            .collect();
        for client in clients {
            client.await?;
        }
        anyhow::Ok(())
    })?;
    let Seen { mut times, failed } = seen.take();
    times.sort_unstable();
    let at = |part: f64| match times.len() {
        0 => 0.0,
        count => f64::from(times[((count - 1) as f64 * part) as usize]) / 1e3,
    };
    let per_second = times.len() as f64 / options.seconds;
    println!(
        "{}",
        serde_json::to_string(&Figures { per_second, p50_ms: at(0.5), p99_ms: at(0.99), failed })?
    );
    Ok(())
}
