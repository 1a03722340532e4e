//! Other proxies, to stand beside: one that only passes on, and tower's balancer.

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

/// Which proxy, and its servers.
#[derive(clap::Args)]
pub(crate) struct Peer {
    kind: Kind,
    /// How many servers there are; they share the addresses.
    #[arg(long)]
    fleet: usize,
    servers: Vec<SocketAddr>,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Kind {
    /// In turn, with kept connections, and nothing else.
    Hyper,
    /// Tower's power of two choices by requests in flight.
    P2c,
}

/// One server's kept connections.
#[derive(Clone)]
struct Server {
    address: SocketAddr,
    idle: Rc<RefCell<Vec<SendRequest<Incoming>>>>,
}

type Answering = Pin<Box<dyn Future<Output = Result<Response<Incoming>, tower::BoxError>>>>;

impl Service<Request<Incoming>> for Server {
    type Response = Response<Incoming>;
    type Error = tower::BoxError;
    type Future = Answering;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), tower::BoxError>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Answering {
        let Server { address, idle } = self.clone();
        Box::pin(async move {
            let kept = idle.borrow_mut().pop().filter(|sender| !sender.is_closed());
            let mut sender = match kept {
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

/// Serves until it is killed.
pub(crate) fn run(peer: &Peer) -> anyhow::Result<()> {
    let server =
        |number: usize| Server { address: peer.servers[number % peer.servers.len()], idle: Rc::default() };
    let servers: Rc<Vec<Server>> = Rc::new((0..peer.fleet).map(server).collect());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        println!("{}", listener.local_addr()?);
        std::io::stdout().flush()?;
        let turn = Rc::new(Cell::new(0));
        let list = ServiceList::new(servers.to_vec());
        let balance = Rc::new(Mutex::new(Balance::new(PendingRequestsDiscover::new(
            list,
            CompleteOnResponse::default(),
        ))));
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let (servers, turn, balance, kind) = (servers.clone(), turn.clone(), balance.clone(), peer.kind);
            let service = service_fn(move |request: Request<Incoming>| {
                let (servers, turn, balance) = (servers.clone(), turn.clone(), balance.clone());
                async move {
                    match kind {
                        Kind::Hyper => {
                            turn.set((turn.get() + 1) % servers.len());
                            servers[turn.get()].clone().call(request).await
                        }
                        Kind::P2c => {
                            let answering = {
                                let mut balance = balance.lock().await;
                                balance.ready().await?.call(request)
                            };
                            answering.await
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
