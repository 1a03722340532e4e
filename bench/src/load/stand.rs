//! Stand-in servers that answer immediately with as little work as possible: they only look for the end of a
//! head.

use std::io::Write;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Number of addresses; any number of servers is spread over them.
const ADDRESS_COUNT: usize = 64;

/// Prints the addresses on one line, and serves until standard input ends.
pub(crate) fn run() -> anyhow::Result<()> {
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n{}", "x".repeat(200));
    let response: &'static [u8] = response.into_bytes().leak();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut addresses = Vec::new();
        for _ in 0..ADDRESS_COUNT {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?.to_string());
            tokio::spawn(async move {
                loop {
                    let Ok((mut stream, _)) = listener.accept().await else { continue };
                    let _ = stream.set_nodelay(true);
                    tokio::spawn(async move {
                        let mut buffer = Vec::with_capacity(2048);
                        while matches!(stream.read_buf(&mut buffer).await, Ok(1..)) {
                            if buffer.ends_with(b"\r\n\r\n") {
                                buffer.clear();
                                if stream.write_all(response).await.is_err() {
                                    return;
                                }
                            }
                        }
                    });
                }
            });
        }
        println!("{}", addresses.join(" "));
        std::io::stdout().flush()?;
        let mut input = Vec::new();
        tokio::io::stdin().read_to_end(&mut input).await?;
        Ok(())
    })
}
