//! A test server that follows a script, down to single bytes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dunelink_protocol::ServerEntry;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// A step of a server's reaction to a request.
#[derive(Clone)]
pub(crate) enum Step {
    /// Writes text; `{id}` is replaced by the request's id.
    Write(String),
    /// Waits until the test notifies it or the proxy closes the connection.
    Wait(Rc<Notify>),
    /// Waits until the test notifies it, and reads nothing meanwhile.
    StopReading(Rc<Notify>),
    /// Waits for this time.
    Pause(Duration),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Keeps the connection open without writing anything.
    Hang,
}

/// A request as the server received it.
#[derive(Debug, Clone)]
pub(crate) struct ReceivedRequest {
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
    /// Number of earlier requests on the same connection.
    pub(crate) earlier_on_connection: usize,
}

impl ReceivedRequest {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (field, value) = line.split_once(": ")?;
            field.eq_ignore_ascii_case(name).then_some(value)
        })
    }
}

type Script = dyn Fn(usize, &ReceivedRequest) -> Vec<Step>;

pub(crate) struct Server {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    pub(crate) received: Rc<RefCell<Vec<ReceivedRequest>>>,
    pub(crate) connections: Rc<Cell<usize>>,
    /// Whether the server responds before it reads a request's body, and reads the body afterwards.
    pub(crate) responds_before_body: Rc<Cell<bool>>,
    /// Whether the server discards the bodies that it has read.
    pub(crate) discards_bodies: Rc<Cell<bool>>,
    /// Number of requests that the server list states the server processes concurrently.
    pub(crate) slots: Cell<u32>,
    /// Number of connections that have ended.
    pub(crate) closed_connections: Rc<Cell<usize>>,
}

impl Server {
    /// Starts a server. Its script gets the number of the request, counted from 0, and the request.
    pub(crate) async fn start(
        id: &str,
        script: impl Fn(usize, &ReceivedRequest) -> Vec<Step> + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = Self {
            id: id.to_owned(),
            address,
            received: Rc::default(),
            connections: Rc::default(),
            responds_before_body: Rc::default(),
            discards_bodies: Rc::default(),
            slots: Cell::new(8),
            closed_connections: Rc::default(),
        };
        let (received, connections, closed_connections) =
            (server.received.clone(), server.connections.clone(), server.closed_connections.clone());
        let responds_early = server.responds_before_body.clone();
        let discards_bodies = server.discards_bodies.clone();
        let script: Rc<Script> = Rc::new(script);
        tokio::task::spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                connections.set(connections.get() + 1);
                let (received, closed_connections, script) =
                    (received.clone(), closed_connections.clone(), script.clone());
                let (responds_early, discards_bodies) = (responds_early.clone(), discards_bodies.clone());
                tokio::task::spawn_local(async move {
                    serve(stream, &received, &*script, &responds_early, &discards_bodies).await;
                    closed_connections.set(closed_connections.get() + 1);
                });
            }
        });
        server
    }

    pub(crate) fn count(&self) -> usize {
        self.received.borrow().len()
    }

    pub(crate) fn entry(&self) -> ServerEntry {
        ServerEntry {
            id: self.id.clone(),
            service: "s".to_owned(),
            address: self.address.to_string(),
            zone: "z".to_owned(),
            slots: self.slots.get(),
            ready: true,
            cold_remaining_ms: 0,
            software_version: "v1".to_owned(),
            weights_version: None,
        }
    }
}

async fn serve(
    mut stream: TcpStream,
    received: &RefCell<Vec<ReceivedRequest>>,
    script: &Script,
    responds_early: &Cell<bool>,
    discards_bodies: &Cell<bool>,
) {
    let mut buffer = Vec::new();
    let mut earlier_on_connection = 0;
    while let Some(mut request) = read_head(&mut stream, &mut buffer).await {
        if !responds_early.get() && read_body(&mut stream, &mut buffer, &mut request).await.is_none() {
            return;
        }
        if discards_bodies.get() {
            request.body = Vec::new();
        }
        request.earlier_on_connection = earlier_on_connection;
        earlier_on_connection += 1;
        let id = request.header("x-dunelink-request-id").unwrap_or_default().to_owned();
        let number = received.borrow().len();
        received.borrow_mut().push(request.clone());
        let steps = script(number, &request);
        for step in steps {
            match step {
                Step::Write(text) => {
                    if stream.write_all(text.replace("{id}", &id).as_bytes()).await.is_err() {
                        return;
                    }
                }
                Step::Wait(release) => {
                    let mut byte = [0];
                    tokio::select! {
                        () = release.notified() => {}
                        _ = stream.read(&mut byte) => return,
                    }
                }
                Step::StopReading(release) => release.notified().await,
                Step::Pause(duration) => tokio::time::sleep(duration).await,
                Step::Close => return,
                Step::Reset => {
                    stream.set_zero_linger().unwrap();
                    return;
                }
                Step::Hang => {
                    let mut byte = [0];
                    let _ = stream.read(&mut byte).await;
                    return;
                }
            }
        }
        if responds_early.get() {
            if read_body(&mut stream, &mut buffer, &mut request).await.is_none() {
                return;
            }
            received.borrow_mut()[number].body = request.body;
        }
    }
}

async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<ReceivedRequest> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8(buffer.drain(..end).collect()).unwrap();
    Some(ReceivedRequest { head, body: Vec::new(), earlier_on_connection: 0 })
}

async fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    request: &mut ReceivedRequest,
) -> Option<()> {
    let length = request.header("content-length").map_or(0, |length| length.parse().unwrap());
    while buffer.len() < length {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
    request.body = buffer.drain(..length).collect();
    Some(())
}

/// A response with a content length and a seal.
pub(crate) fn respond(status: u16, fields: &str, body: &str) -> Vec<Step> {
    let length = body.len();
    vec![Step::Write(format!(
        "HTTP/1.1 {status} X\r\nX-Dunelink-Request-Id: {{id}}\r\nX-Dunelink-Response-Seal: seal-{status}\r\n{fields}Content-Length: {length}\r\n\r\n{body}"
    ))]
}

/// A response that declares that the request was not executed.
pub(crate) fn rejected() -> Vec<Step> {
    respond(503, "X-Dunelink-Not-Executed: 1\r\n", "full")
}

/// The head of an event stream.
pub(crate) fn stream_head(seal: &str) -> Step {
    stream_head_with("", seal)
}

/// The head of an event stream with more fields.
pub(crate) fn stream_head_with(fields: &str, seal: &str) -> Step {
    Step::Write(format!(
        "HTTP/1.1 200 OK\r\nX-Dunelink-Request-Id: {{id}}\r\nX-Dunelink-Response-Seal: {seal}\r\n{fields}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ))
}

/// A chunk of a stream.
pub(crate) fn chunk(text: &str) -> Step {
    Step::Write(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// The end of a chunked stream.
pub(crate) fn last_chunk() -> Step {
    Step::Write("0\r\n\r\n".to_owned())
}

/// The text of an event.
pub(crate) fn event(id: usize) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}
