//! A client of the fleet that sees every byte: heads, events with their times, cut answers.

use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::time::Instant;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::message::{BodyReader, Head, read_head};
use super::within;

/// What a request tells as its time, unless a test says otherwise, in ms.
const DEADLINE_MS: &str = "8000";

/// A request with an id of its own.
#[derive(Clone, Debug)]
pub struct Request {
    /// `X-Dunelink-Request-Id`.
    pub id: String,
    method: String,
    target: String,
    fields: Vec<(String, String)>,
    body: Vec<u8>,
    chunked: bool,
}

impl Request {
    /// A request of this method for this path and host.
    pub fn new(method: &str, host: &str, target: &str) -> Request {
        let id = format!("{:016x}", fastrand::u64(..));
        let fields =
            [("Host", host), ("X-Dunelink-Request-Id", &id), ("X-Dunelink-Deadline-Ms", DEADLINE_MS)];
        let fields = fields.map(|(name, value)| (name.to_owned(), value.to_owned())).to_vec();
        let (method, target) = (method.to_owned(), target.to_owned());
        Request { id, method, target, fields, body: Vec::new(), chunked: false }
    }

    /// The same with a field, in place of one of that name.
    pub fn field(mut self, name: &str, value: &str) -> Request {
        self.fields.retain(|(own, _)| !own.eq_ignore_ascii_case(name));
        self.fields.push((name.to_owned(), value.to_owned()));
        self
    }

    /// The same with this key.
    pub fn key(self, key: &str) -> Request {
        self.field("Authorization", &format!("Bearer {key}"))
    }

    /// The same with the fields of a request to a model: tokens in and out, and the parts of the prompt.
    pub fn prompt(self, tokens_in: u32, tokens_out: u32, parts: &str) -> Request {
        self.field("X-Dunelink-Model", "m")
            .field("X-Dunelink-Token-Counts", &format!("{tokens_in},{tokens_out}"))
            .field("X-Dunelink-Prompt-Prefix", parts)
    }

    /// The same with this body, framed by its length.
    pub fn body(mut self, body: &[u8]) -> Request {
        self.body = body.to_vec();
        self
    }

    /// The same with its body in chunks.
    pub fn chunked(mut self) -> Request {
        self.chunked = true;
        self
    }

    /// The length of its body without framing.
    pub fn body_bytes(&self) -> usize {
        self.body.len()
    }

    /// All its bytes.
    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        for (name, value) in &self.fields {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.chunked {
            text.push_str("Transfer-Encoding: chunked\r\n\r\n");
            let mut bytes = text.into_bytes();
            for part in self.body.chunks(self.body.len().div_ceil(2).max(1)) {
                bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
                bytes.extend_from_slice(part);
                bytes.extend_from_slice(b"\r\n");
            }
            bytes.extend_from_slice(b"0\r\n\r\n");
            return bytes;
        }
        if !self.body.is_empty() || self.method == "POST" {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        [text.as_bytes(), &self.body].concat()
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status line and fields.
    pub head: Head,
    /// The body without its framing.
    pub body: Vec<u8>,
}

impl Answer {
    /// The status.
    pub fn status(&self) -> u16 {
        self.head.status()
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// An event of a stream.
#[derive(Clone, Debug)]
pub struct Event {
    /// Its id; 0 if it has none.
    pub id: u64,
    /// Its `data` lines.
    pub data: String,
    /// When its last byte came.
    pub at: Instant,
}

/// A client's connection.
pub struct Connection {
    reader: BufReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

impl Connection {
    /// Connects.
    ///
    /// # Errors
    ///
    /// What the system says when it can't.
    pub async fn open(to: SocketAddr) -> Result<Connection> {
        let stream = within("a connection to come up", TcpStream::connect(to)).await?;
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        Ok(Connection { reader: BufReader::new(reader), writer })
    }

    /// Sends a whole request.
    ///
    /// # Errors
    ///
    /// What the system says when it can't.
    pub async fn send(&mut self, request: &Request) -> Result<()> {
        self.send_bytes(&request.bytes()).await
    }

    /// Sends bytes.
    ///
    /// # Errors
    ///
    /// What the system says when it can't.
    pub async fn send_bytes(&mut self, bytes: &[u8]) -> Result<()> {
        within("bytes to be taken", self.writer.write_all(bytes)).await
    }

    /// Reads the head of an answer; its body follows by way of the result.
    ///
    /// # Errors
    ///
    /// An answer that is none, and a connection that ends before its end.
    pub async fn head(&mut self) -> Result<Answering<'_>> {
        let head = within("the head of an answer", read_head(&mut self.reader)).await?;
        let head = head.ok_or_else(|| Error::new(ErrorKind::UnexpectedEof, "closed without an answer"))?;
        let body = BodyReader::of_answer(&head);
        Ok(Answering { head, body, text: Vec::new(), connection: self })
    }

    /// Reads a whole answer.
    ///
    /// # Errors
    ///
    /// An answer that is none, and a connection that ends before its end.
    pub async fn answer(&mut self) -> Result<Answer> {
        let answering = self.head().await?;
        answering.rest().await
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// As [`Connection::send`] and [`Connection::answer`].
    pub async fn ask(&mut self, request: &Request) -> Result<Answer> {
        self.send(request).await?;
        self.answer().await
    }

    /// Waits until the other side closes; false if it sends something instead.
    pub async fn closes(&mut self) -> bool {
        let bytes = within("the connection to end", self.reader.fill_buf()).await;
        bytes.map_or(true, <[u8]>::is_empty)
    }
}

/// An answer whose head has come.
pub struct Answering<'c> {
    /// Status line and fields.
    pub head: Head,
    body: BodyReader,
    text: Vec<u8>,
    connection: &'c mut Connection,
}

impl Answering<'_> {
    /// The next event; nothing at the end of a whole answer.
    ///
    /// # Errors
    ///
    /// A connection that ends before the answer's end, and an answer that ends amid an event.
    pub async fn event(&mut self) -> Result<Option<Event>> {
        loop {
            if let Some(end) = self.text.windows(2).position(|pair| pair == b"\n\n") {
                let text: Vec<u8> = self.text.drain(..end + 2).collect();
                return Ok(Some(event(&String::from_utf8_lossy(&text))));
            }
            let piece = within("a piece of a stream", self.body.piece(&mut self.connection.reader)).await?;
            match piece {
                Some(bytes) => self.text.extend_from_slice(&bytes),
                None if self.text.is_empty() => return Ok(None),
                None => return Err(Error::new(ErrorKind::InvalidData, "a whole answer ends amid an event")),
            }
        }
    }

    /// All events up to the end, and whether the answer ended as a whole one.
    pub async fn events(&mut self) -> (Vec<Event>, bool) {
        let mut events = Vec::new();
        loop {
            match self.event().await {
                Ok(Some(event)) => events.push(event),
                Ok(None) => return (events, true),
                Err(_) => return (events, false),
            }
        }
    }

    /// The rest of the body.
    ///
    /// # Errors
    ///
    /// A connection that ends before the answer's end.
    pub async fn rest(mut self) -> Result<Answer> {
        let body = within("a body", self.body.rest(&mut self.connection.reader)).await?;
        Ok(Answer { head: self.head, body })
    }
}

fn event(text: &str) -> Event {
    let (mut id, mut data) = (0, Vec::new());
    for line in text.lines() {
        match line.split_once(':') {
            Some(("id", value)) => id = value.trim().parse().unwrap_or(0),
            Some(("data", value)) => data.push(value.trim_start()),
            _ => (),
        }
    }
    Event { id, data: data.join("\n"), at: Instant::now() }
}

/// A client that knows where to connect, which host to name and which key to show.
#[derive(Clone, Debug)]
pub struct TestClient {
    /// The address of a front machine.
    pub front: SocketAddr,
    /// The host of its requests.
    pub host: String,
    /// Its key, if it has one.
    pub key: Option<String>,
}

impl TestClient {
    /// A client of a front machine.
    pub fn new(front: SocketAddr, host: &str, key: &str) -> TestClient {
        TestClient { front, host: host.to_owned(), key: Some(key.to_owned()) }
    }

    /// A request with this client's host and key.
    pub fn request(&self, method: &str, target: &str) -> Request {
        let request = Request::new(method, &self.host, target);
        match &self.key {
            Some(key) => request.key(key),
            None => request,
        }
    }

    /// A new connection.
    ///
    /// # Errors
    ///
    /// What the system says when it can't.
    pub async fn connect(&self) -> Result<Connection> {
        Connection::open(self.front).await
    }

    /// Sends a request on a new connection and reads the whole answer.
    ///
    /// # Errors
    ///
    /// As [`Connection::ask`].
    pub async fn ask(&self, request: &Request) -> Result<Answer> {
        self.connect().await?.ask(request).await
    }
}
