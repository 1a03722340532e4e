//! Stand-in servers that answer at once and cost as little as they can: a head's end is all they look for.

use std::io::Write;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// How many addresses there are; a fleet of any size is spread over them.
const ADDRESSES: usize = 64;

/// Serves until standard input ends.
pub(crate) fn run() -> anyhow::Result<()> {
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n{}", "x".repeat(200));
    let answer: &'static [u8] = answer.into_bytes().leak();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut line = Vec::new();
        for _ in 0..ADDRESSES {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            line.push(listener.local_addr()?.to_string());
            tokio::spawn(async move {
                loop {
                    let Ok((mut stream, _)) = listener.accept().await else { continue };
                    let _ = stream.set_nodelay(true);
                    tokio::spawn(async move {
                        let mut buffer = Vec::with_capacity(2048);
                        while matches!(stream.read_buf(&mut buffer).await, Ok(1..)) {
                            if buffer.ends_with(b"\r\n\r\n") {
                                buffer.clear();
                                if stream.write_all(answer).await.is_err() {
                                    return;
                                }
                            }
                        }
                    });
                }
            });
        }
        println!("{}", line.join(" "));
        std::io::stdout().flush()?;
        let mut end = Vec::new();
        tokio::io::stdin().read_to_end(&mut end).await?;
        Ok(())
    })
}
