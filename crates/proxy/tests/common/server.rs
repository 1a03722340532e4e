//! A server that does as a test says, byte by byte.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use dunelink_protocol::ServerEntry;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// What a server does with a request, step by step.
#[derive(Clone)]
pub(crate) enum Step {
    /// Writes text; `{id}` stands for the request's id.
    Write(String),
    /// Waits until the test lets it go on.
    Wait(Rc<Notify>),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Never does anything more.
    Hang,
}

/// A request as a server got it.
#[derive(Debug, Clone)]
pub(crate) struct Received {
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
    /// Requests before it on its connection.
    pub(crate) before: usize,
}

impl Received {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (own, value) = line.split_once(": ")?;
            own.eq_ignore_ascii_case(name).then_some(value)
        })
    }
}

type Script = dyn Fn(usize, &Received) -> Vec<Step>;

pub(crate) struct Server {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    pub(crate) received: Rc<RefCell<Vec<Received>>>,
    pub(crate) connections: Rc<Cell<usize>>,
    /// Whether it answers before it has read a body, and reads that behind its answer.
    pub(crate) answers_early: Rc<Cell<bool>>,
    /// Connections that the proxy has closed.
    pub(crate) closed: Rc<Cell<usize>>,
}

impl Server {
    /// A server whose script gets the number of the request and the request.
    pub(crate) async fn start(id: &str, script: impl Fn(usize, &Received) -> Vec<Step> + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = Self {
            id: id.to_owned(),
            address,
            received: Rc::default(),
            connections: Rc::default(),
            answers_early: Rc::default(),
            closed: Rc::default(),
        };
        let (received, connections, closed) =
            (server.received.clone(), server.connections.clone(), server.closed.clone());
        let early = server.answers_early.clone();
        let script: Rc<Script> = Rc::new(script);
        tokio::task::spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                connections.set(connections.get() + 1);
                let (received, closed, script) = (received.clone(), closed.clone(), script.clone());
                let early = early.clone();
                tokio::task::spawn_local(async move {
                    serve(stream, &received, &*script, &early).await;
                    closed.set(closed.get() + 1);
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
            slots: 8,
            ready: true,
            cold_remaining_ms: 0,
            software_version: "v1".to_owned(),
            weights_version: None,
        }
    }
}

async fn serve(
    mut stream: TcpStream,
    received: &RefCell<Vec<Received>>,
    script: &Script,
    early: &Cell<bool>,
) {
    let mut buffer = Vec::new();
    let mut before = 0;
    while let Some(mut request) = read_head(&mut stream, &mut buffer).await {
        if !early.get() && read_body(&mut stream, &mut buffer, &mut request).await.is_none() {
            return;
        }
        request.before = before;
        before += 1;
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
                Step::Wait(go) => {
                    let mut byte = [0];
                    tokio::select! {
                        () = go.notified() => {}
                        _ = stream.read(&mut byte) => return,
                    }
                }
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
        if early.get() {
            if read_body(&mut stream, &mut buffer, &mut request).await.is_none() {
                return;
            }
            received.borrow_mut()[number].body = request.body;
        }
    }
}

async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Received> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8(buffer.drain(..end).collect()).unwrap();
    Some(Received { head, body: Vec::new(), before: 0 })
}

async fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, request: &mut Received) -> Option<()> {
    let length = request.header("content-length").map_or(0, |length| length.parse().unwrap());
    while buffer.len() < length {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
    request.body = buffer.drain(..length).collect();
    Some(())
}

/// An answer with a length and a seal.
pub(crate) fn answer(status: u16, fields: &str, body: &str) -> Vec<Step> {
    let length = body.len();
    vec![Step::Write(format!(
        "HTTP/1.1 {status} X\r\nX-Dunelink-Request-Id: {{id}}\r\nX-Dunelink-Response-Seal: seal-{status}\r\n{fields}Content-Length: {length}\r\n\r\n{body}"
    ))]
}

/// Says that the request was not run.
pub(crate) fn declined() -> Vec<Step> {
    answer(503, "X-Dunelink-Not-Executed: 1\r\n", "full")
}

/// The head of a stream.
pub(crate) fn stream_head(seal: &str) -> Step {
    Step::Write(format!(
        "HTTP/1.1 200 OK\r\nX-Dunelink-Request-Id: {{id}}\r\nX-Dunelink-Response-Seal: {seal}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ))
}

/// A piece of a stream.
pub(crate) fn chunk(text: &str) -> Step {
    Step::Write(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// The end of a stream.
pub(crate) fn last_chunk() -> Step {
    Step::Write("0\r\n\r\n".to_owned())
}

/// An event.
pub(crate) fn event(id: usize) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}
