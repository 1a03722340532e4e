//! A stand-in model server: it checks which instance a caller expects, notes what it reads, and answers by script.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use super::message::{BodyReader, Head, read_head};
use super::reply::Reply;
use super::{until, within};

mod answer;

use answer::{Ending, Writer};

/// A request that a server has read whole.
#[derive(Clone, Debug)]
pub struct Received {
    /// The id of the server's incarnation that read it.
    pub server: String,
    /// `X-Dunelink-Request-Id`, or empty.
    pub id: String,
    /// The request line and the fields.
    pub head: Head,
    /// The body without its framing.
    pub body: Vec<u8>,
    /// The number of the connection, counted from 1 over all incarnations.
    pub connection: u64,
    /// When it had been read.
    pub at: Instant,
    /// Whether it began to run: false if it was turned away.
    pub runs: bool,
}

impl Received {
    /// The method.
    pub fn method(&self) -> &str {
        self.head.word(0)
    }

    /// The path with its query.
    pub fn target(&self) -> &str {
        self.head.word(1)
    }
}

/// What a server has seen.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Requests in the order of their reading, without probes and without those that expect another instance.
    pub requests: Vec<Received>,
    /// Requests that expected another instance.
    pub misdirected: Vec<Received>,
    /// `GET` of the health path and of `/api/report`.
    pub probes: Vec<Received>,
    /// Ids of requests whose caller left before the answer's end.
    pub left: Vec<String>,
    /// Ids of requests whose answer has been written whole.
    pub answered: Vec<String>,
    /// Connections taken so far.
    pub connections: u64,
    /// Connections open now.
    pub open: u64,
}

/// Replies for the next requests, at one server or at whichever of several comes first.
pub type Replies = Arc<Mutex<VecDeque<Reply>>>;

/// Shared by all connections of a server.
struct Shared {
    id: Mutex<String>,
    next: Mutex<VecDeque<Reply>>,
    common: Replies,
    usual: Mutex<Reply>,
    seen: watch::Sender<Seen>,
}

/// A server on loopback; its port closes when it is dropped.
pub struct ModelServer {
    address: SocketAddr,
    shared: Arc<Shared>,
    listening: Option<JoinHandle<()>>,
}

impl ModelServer {
    /// Starts a server with this id, which answers with 200 and a short body.
    pub async fn start(address: SocketAddr, id: &str) -> ModelServer {
        ModelServer::start_with(address, id, Replies::default()).await
    }

    /// The same; replies that it has in common with others come behind its own.
    pub async fn start_with(address: SocketAddr, id: &str, common: Replies) -> ModelServer {
        let shared = Shared {
            id: Mutex::new(id.to_owned()),
            next: Mutex::default(),
            common,
            usual: Mutex::new(Reply::plain(200, "well")),
            seen: watch::Sender::new(Seen::default()),
        };
        let mut server = ModelServer { address, shared: Arc::new(shared), listening: None };
        server.listen().await;
        server
    }

    async fn listen(&mut self) {
        let bind = || async { TcpListener::bind(self.address).await.ok() };
        let listener = until("a model server's port", bind).await;
        self.listening = Some(tokio::spawn(accept(listener, self.shared.clone())));
    }

    /// Closes the port and all connections, as a crash does.
    pub async fn stop(&mut self) {
        if let Some(listening) = self.listening.take() {
            listening.abort();
            let _ = listening.await;
        }
        self.shared.seen.send_modify(|seen| seen.open = 0);
    }

    /// Starts again at the same address, as another incarnation.
    pub async fn restart(&mut self, id: &str) {
        self.stop().await;
        *self.shared.id.lock().unwrap() = id.to_owned();
        self.listen().await;
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The id of its present incarnation.
    pub fn id(&self) -> String {
        self.shared.id.lock().unwrap().clone()
    }

    /// The next request that runs is answered like this, behind those said before.
    pub fn next(&self, reply: Reply) {
        self.shared.next.lock().unwrap().push_back(reply);
    }

    /// Requests without a reply of their own are answered like this.
    pub fn usually(&self, reply: Reply) {
        *self.shared.usual.lock().unwrap() = reply;
    }

    /// What it has seen so far.
    pub fn seen(&self) -> Seen {
        self.shared.seen.borrow().clone()
    }

    /// How often a request of this id began to run.
    pub fn runs(&self, id: &str) -> usize {
        let seen = self.shared.seen.borrow();
        seen.requests.iter().filter(|request| request.runs && request.id == id).count()
    }

    /// Waits until what it has seen gives something.
    pub async fn wait<T>(&self, what: &str, look: impl Fn(&Seen) -> Option<T>) -> T {
        let mut seen = self.shared.seen.subscribe();
        let found = seen.wait_for(|seen| look(seen).is_some());
        let found = within(what, found).await.expect("the sender lives in the server");
        look(&found).expect("just looked")
    }

    /// Waits for the request of this id.
    pub async fn request(&self, id: &str) -> Received {
        let look = |seen: &Seen| seen.requests.iter().find(|request| request.id == id).cloned();
        self.wait(&format!("request {id} at a server"), look).await
    }

    /// Waits until the caller of a request has left before the end of the answer.
    pub async fn left(&self, id: &str) {
        let look = |seen: &Seen| seen.left.iter().any(|own| own == id).then_some(());
        self.wait(&format!("the caller of {id} to leave"), look).await;
    }
}

impl Drop for ModelServer {
    fn drop(&mut self) {
        if let Some(listening) = self.listening.take() {
            listening.abort();
        }
    }
}

/// Takes connections until it is aborted, which ends them too.
async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let mut number = 0;
        shared.seen.send_modify(|seen| {
            seen.connections += 1;
            seen.open += 1;
            number = seen.connections;
        });
        let shared = shared.clone();
        connections.spawn(async move {
            serve(stream, number, &shared).await;
            shared.seen.send_modify(|seen| seen.open = seen.open.saturating_sub(1));
        });
        while connections.try_join_next().is_some() {}
    }
}

/// One connection: request after request.
async fn serve(stream: TcpStream, connection: u64, shared: &Shared) {
    let (reader, writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    let mut writer = Writer::new(writer);
    while let Ok(Some(head)) = read_head(&mut reader).await {
        let Ok(body) = BodyReader::of_request(&head).rest(&mut reader).await else { return };
        let server = shared.id.lock().unwrap().clone();
        let id = head.field("x-dunelink-request-id").unwrap_or_default().to_owned();
        let received = Received { server, id, head, body, connection, at: Instant::now(), runs: true };
        let ending = match note(shared, received.clone()) {
            Noted::Probe => writer.probe(&received).await,
            Noted::Misdirected => writer.misdirected(&received).await,
            Noted::Runs(reply) => {
                let ending = writer.reply(&received, &reply, &mut reader).await;
                let id = received.id.clone();
                shared.seen.send_modify(|seen| match ending {
                    Ending::CallerLeft => seen.left.push(id),
                    Ending::Whole | Ending::Closes => seen.answered.push(id),
                    Ending::Broken => (),
                });
                ending
            }
        };
        if ending != Ending::Whole {
            return;
        }
    }
}

enum Noted {
    Probe,
    Misdirected,
    Runs(Reply),
}

/// Enters a request in the record, and says how it is answered.
fn note(shared: &Shared, mut received: Received) -> Noted {
    let path = received.target().split('?').next().unwrap_or_default();
    if received.method() == "GET" && matches!(path, "/health" | "/api/report") {
        shared.seen.send_modify(|seen| seen.probes.push(received));
        return Noted::Probe;
    }
    let expected = received.head.field("x-dunelink-expect-instance");
    if expected.is_some_and(|expected| expected != received.server) {
        received.runs = false;
        shared.seen.send_modify(|seen| seen.misdirected.push(received));
        return Noted::Misdirected;
    }
    let own = shared.next.lock().unwrap().pop_front();
    let next = own.or_else(|| shared.common.lock().unwrap().pop_front());
    let reply = next.unwrap_or_else(|| shared.usual.lock().unwrap().clone()).resolved(&received.head);
    received.runs = !matches!(reply.content, super::reply::Content::NotExecuted(_));
    shared.seen.send_modify(|seen| seen.requests.push(received));
    Noted::Runs(reply)
}
