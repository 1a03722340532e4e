//! Proxies to compare with: a minimal round-robin proxy, and tower's balancer.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::Write;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::task::{LocalSet, spawn_local};
use tower::balance::p2c::Balance;
use tower::discover::ServiceList;
use tower::load::{CompleteOnResponse, PendingRequestsDiscover};
use tower::{Service, ServiceExt};

/// Options of `peer`: the kind of proxy, and its servers.
#[derive(clap::Args)]
pub(crate) struct Peer {
    kind: Kind,
    /// Number of servers; they share the addresses.
    #[arg(long)]
    fleet: usize,
    servers: Vec<SocketAddr>,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Kind {
    /// Round robin over pooled connections, and nothing else.
    Hyper,
    /// Tower's balancer: power of two choices by requests in flight.
    P2c,
}

/// A server and its idle connections.
#[derive(Clone)]
struct Server {
    address: SocketAddr,
    idle: Rc<RefCell<Vec<SendRequest<Incoming>>>>,
}

/// The response to a request, once it has arrived.
type ResponseFuture = Pin<Box<dyn Future<Output = Result<Response<Incoming>, tower::BoxError>>>>;

impl Service<Request<Incoming>> for Server {
    type Response = Response<Incoming>;
    type Error = tower::BoxError;
    type Future = ResponseFuture;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), tower::BoxError>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> ResponseFuture {
        let Server { address, idle } = self.clone();
        Box::pin(async move {
            let idle_sender = idle.borrow_mut().pop().filter(|sender| !sender.is_closed());
            let mut sender = match idle_sender {
                Some(sender) => sender,
                None => {
                    let stream = TcpStream::connect(address).await?;
                    stream.set_nodelay(true)?;
                    let (sender, connection) =
                        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
                    spawn_local(connection);
                    sender
                }
            };
            sender.ready().await?;
            let response = sender.send_request(request).await?;
            idle.borrow_mut().push(sender);
            Ok(response)
        })
    }
}

/// Prints the proxy's address and serves until the process is killed.
pub(crate) fn run(peer: &Peer) -> anyhow::Result<()> {
    let server =
        |number: usize| Server { address: peer.servers[number % peer.servers.len()], idle: Rc::default() };
    let servers: Rc<Vec<Server>> = Rc::new((0..peer.fleet).map(server).collect());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        println!("{}", listener.local_addr()?);
        std::io::stdout().flush()?;
        let last_used = Rc::new(Cell::new(0));
        let list = ServiceList::new(servers.to_vec());
        let balance = Rc::new(Mutex::new(Balance::new(PendingRequestsDiscover::new(
            list,
            CompleteOnResponse::default(),
        ))));
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let (servers, last_used, balance, kind) =
                (servers.clone(), last_used.clone(), balance.clone(), peer.kind);
            let service = service_fn(move |request: Request<Incoming>| {
                let (servers, last_used, balance) = (servers.clone(), last_used.clone(), balance.clone());
                async move {
                    match kind {
                        Kind::Hyper => {
                            last_used.set((last_used.get() + 1) % servers.len());
                            servers[last_used.get()].clone().call(request).await
                        }
                        Kind::P2c => {
                            let response = {
                                let mut balance = balance.lock().await;
                                balance.ready().await?.call(request)
                            };
                            response.await
                        }
                    }
                }
            });
            spawn_local(async move {
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    })
}
