//! The daemon's memory while long bodies pass through slow peers.

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

use crate::children::{config, daemon};
use crate::memory::resident;

/// What is measured.
#[derive(clap::Args)]
pub(crate) struct Options {
    /// Bytes of a body.
    #[arg(long, default_value_t = 32_000_000)]
    bytes: usize,
    /// How long its client, or the server of a request, takes.
    #[arg(long, default_value_t = 6)]
    seconds: u32,
    /// The daemon's program.
    #[arg(long, default_value = "target/release/dunelink")]
    daemon: PathBuf,
}

/// Steps in which a slow peer reads.
const STEPS: usize = 100;

/// Reads so many bytes in steps over a time.
async fn read_slowly(from: &mut TcpStream, bytes: usize, seconds: u32) -> anyhow::Result<()> {
    let mut piece = vec![0; bytes / STEPS];
    for _ in 0..STEPS {
        from.read_exact(&mut piece).await?;
        sleep(Duration::from_secs(seconds.into()) / STEPS as u32).await;
    }
    Ok(())
}

/// Writes so many bytes as fast as they are taken.
async fn write_all(to: &mut TcpStream, mut bytes: usize) -> anyhow::Result<()> {
    static PIECE: [u8; 1 << 16] = [7; 1 << 16];
    while bytes > 0 {
        let piece = &PIECE[..bytes.min(PIECE.len())];
        to.write_all(piece).await?;
        bytes -= piece.len();
    }
    Ok(())
}

/// Reads a head to its end.
async fn head(from: &mut TcpStream) -> anyhow::Result<String> {
    let (mut text, mut reader) = (Vec::new(), BufReader::with_capacity(1, from));
    while !text.ends_with(b"\r\n\r\n") {
        text.push(reader.read_u8().await?);
    }
    Ok(String::from_utf8(text)?)
}

/// A server that gives long answers to GETs, and reads POSTs slowly.
async fn serve(mut stream: TcpStream, bytes: usize, seconds: u32) -> anyhow::Result<()> {
    loop {
        if head(&mut stream).await?.starts_with("GET") {
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

/// A client that reads a long answer slowly, or sends a long request.
async fn ask(to: SocketAddr, get: bool, options: (usize, u32)) -> anyhow::Result<()> {
    let mut stream = TcpStream::connect(to).await?;
    let (line, length) = if get { ("GET /view", 0) } else { ("POST /order", options.0) };
    let fields = if get { String::new() } else { format!("Content-Length: {length}\r\n") };
    stream.write_all(format!("{line}/1 HTTP/1.1\r\nHost: n\r\n{fields}\r\n").as_bytes()).await?;
    write_all(&mut stream, length).await?;
    let answer = head(&mut stream).await?;
    anyhow::ensure!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    if get { read_slowly(&mut stream, options.0, options.1).await } else { Ok(()) }
}

pub(crate) fn run(options: &Options) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let (bytes, seconds) = (options.bytes / STEPS * STEPS, options.seconds);
    runtime.block_on(async {
        println!("{bytes} bytes in {seconds} s, by 100 steps\n");
        println!("| bodies at once | answers, peak memory | requests, peak memory |\n| --- | --- | --- |");
        for count in [1, 10, 100] {
            let mut peaks = Vec::new();
            for get in [true, false] {
                let listener = TcpListener::bind("127.0.0.1:0").await?;
                let mut config = config("bodies", vec![Server::new("s", listener.local_addr()?)]);
                config.classes.push(Class::new("order", Effect::Unsafe, Duration::from_secs(20)));
                config.limits = Limits { sockets: 2000, server_connections: Some(600), ..Limits::default() };
                let servers = tokio::spawn(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        tokio::spawn(serve(stream, bytes, seconds));
                    }
                });
                let (child, address) = daemon(Command::new(&options.daemon), &config).await?;
                let process = child.id().context("the daemon has ended")?;
                let mut clients: JoinSet<anyhow::Result<()>> = JoinSet::new();
                (0..count).for_each(|_| drop(clients.spawn(ask(address, get, (bytes, seconds)))));
                let mut peak: f64 = 0.0;
                while !clients.is_empty() {
                    peak = peak.max(resident(process)?);
                    tokio::select! {
                        done = clients.join_next() => done.context("a client")???,
                        () = sleep(Duration::from_millis(50)) => {}
                    }
                }
                peaks.push(format!("{:.1} MB", peak / 1e6));
                servers.abort();
            }
            println!("| {count} | {} | {} |", peaks[0], peaks[1]);
        }
        Ok(())
    })
}
