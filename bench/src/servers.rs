//! Stand-in servers that answer at once, in a process of their own: their work is not the node's.

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

/// An answer's body.
const BODY: &[u8] = &[b'x'; 512];

/// Serves until standard input ends.
pub(crate) fn run(count: usize) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut line = Vec::new();
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            line.push(listener.local_addr()?.to_string());
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let _ = stream.set_nodelay(true);
                    let answer = service_fn(|_| async {
                        Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(BODY))))
                    });
                    tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), answer));
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
