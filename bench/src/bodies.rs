//! Peak memory of the daemon while it streams long bodies to slow clients or servers.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use dunelink::Server;
use dunelink::config::{Class, Effect, Limits};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::Command;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::children::{node_config, start_daemon};
use crate::memory::resident_bytes;

/// Options of `bodies`.
#[derive(clap::Args)]
pub(crate) struct Options {
    /// Size of a body, in bytes.
    #[arg(long, default_value_t = 32_000_000)]
    bytes: usize,
    /// Seconds that the slow reader takes for a body: the client of a response, or the server of a request.
    #[arg(long, default_value_t = 6)]
    seconds: u32,
    /// Path of the daemon's program.
    #[arg(long, default_value = "target/release/dunelink")]
    daemon: PathBuf,
}

/// Number of reads in which a slow reader takes a body.
const READ_STEPS: usize = 100;

/// Reads `bytes` in `READ_STEPS` equal reads, spread over `seconds`.
async fn read_slowly(from: &mut TcpStream, bytes: usize, seconds: u32) -> anyhow::Result<()> {
    let mut chunk = vec![0; bytes / READ_STEPS];
    for _ in 0..READ_STEPS {
        from.read_exact(&mut chunk).await?;
        sleep(Duration::from_secs(seconds.into()) / READ_STEPS as u32).await;
    }
    Ok(())
}

/// Writes `bytes` as fast as the receiver accepts them.
async fn write_all(to: &mut TcpStream, mut bytes: usize) -> anyhow::Result<()> {
    static CHUNK: [u8; 1 << 16] = [7; 1 << 16];
    while bytes > 0 {
        let chunk = &CHUNK[..bytes.min(CHUNK.len())];
        to.write_all(chunk).await?;
        bytes -= chunk.len();
    }
    Ok(())
}

/// Reads the head of a message, up to and including its empty line.
async fn read_head(from: &mut TcpStream) -> anyhow::Result<String> {
    let (mut text, mut reader) = (Vec::new(), BufReader::with_capacity(1, from));
    while !text.ends_with(b"\r\n\r\n") {
        text.push(reader.read_u8().await?);
    }
    Ok(String::from_utf8(text)?)
}

/// Serves one connection: sends a long response to each GET, and reads the body of each POST slowly.
async fn serve(mut stream: TcpStream, bytes: usize, seconds: u32) -> anyhow::Result<()> {
    loop {
        if read_head(&mut stream).await?.starts_with("GET") {
            stream
                .write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {bytes}\r\n\r\n").as_bytes())
                .await?;
            write_all(&mut stream, bytes).await?;
        } else {
            read_slowly(&mut stream, bytes, seconds).await?;
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await?;
        }
    }
}

/// Sends one request as a client: a GET whose long response it reads slowly, or a POST with a long body.
/// `bytes_and_seconds` is the size of the body and the duration of a slow read.
async fn send_request(to: SocketAddr, is_get: bool, bytes_and_seconds: (usize, u32)) -> anyhow::Result<()> {
    let mut stream = TcpStream::connect(to).await?;
    let (request_line, length) = if is_get { ("GET /view", 0) } else { ("POST /order", bytes_and_seconds.0) };
    let headers = if is_get { String::new() } else { format!("Content-Length: {length}\r\n") };
    stream.write_all(format!("{request_line}/1 HTTP/1.1\r\nHost: n\r\n{headers}\r\n").as_bytes()).await?;
    write_all(&mut stream, length).await?;
    let response_head = read_head(&mut stream).await?;
    anyhow::ensure!(response_head.starts_with("HTTP/1.1 200"), "{response_head}");
    if is_get { read_slowly(&mut stream, bytes_and_seconds.0, bytes_and_seconds.1).await } else { Ok(()) }
}

pub(crate) fn run(options: &Options) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let (bytes, seconds) = (options.bytes / READ_STEPS * READ_STEPS, options.seconds);
    runtime.block_on(async {
        println!("{bytes} bytes in {seconds} s, by 100 steps\n");
        println!("| bodies at once | answers, peak memory | requests, peak memory |\n| --- | --- | --- |");
        for count in [1, 10, 100] {
            let mut peak_texts = Vec::new();
            for is_get in [true, false] {
                let listener = TcpListener::bind("127.0.0.1:0").await?;
                let mut config = node_config("bodies", vec![Server::new("s", listener.local_addr()?)]);
                config.classes.push(Class::new("order", Effect::Unsafe, Duration::from_secs(20)));
                config.limits = Limits { sockets: 2000, server_connections: Some(600), ..Limits::default() };
                let servers = tokio::spawn(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        tokio::spawn(serve(stream, bytes, seconds));
                    }
                });
                let (child, address) = start_daemon(Command::new(&options.daemon), &config).await?;
                let pid = child.id().context("the daemon has ended")?;
                let mut clients: JoinSet<anyhow::Result<()>> = JoinSet::new();
                (0..count).for_each(|_| drop(clients.spawn(send_request(address, is_get, (bytes, seconds)))));
                let mut peak_bytes: f64 = 0.0;
                while !clients.is_empty() {
                    peak_bytes = peak_bytes.max(resident_bytes(pid)?);
                    tokio::select! {
                        result = clients.join_next() => result.context("no client is left")???,
                        () = sleep(Duration::from_millis(50)) => {}
                    }
                }
                peak_texts.push(format!("{:.1} MB", peak_bytes / 1e6));
                servers.abort();
            }
            println!("| {count} | {} | {} |", peak_texts[0], peak_texts[1]);
        }
        Ok(())
    })
}
