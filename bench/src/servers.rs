//! Stand-in servers that answer immediately. They run in a process of their own, so that their CPU time is
//! not counted as the node's.

use std::convert::Infallible;
use std::io::Write;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// The body of every response.
const RESPONSE_BODY: &[u8] = &[b'x'; 512];

/// Starts `count` servers, prints their addresses on one line, and serves until standard input ends.
pub(crate) fn run(count: usize) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut addresses = Vec::new();
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?.to_string());
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let _ = stream.set_nodelay(true);
                    let service = service_fn(|_| async {
                        Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(RESPONSE_BODY))))
                    });
                    tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
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
