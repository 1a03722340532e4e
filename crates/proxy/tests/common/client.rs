//! A test client that writes raw bytes and parses responses.

use std::net::SocketAddr;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

pub(crate) struct Client {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// A response. `complete` tells whether its end was received.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
    pub(crate) complete: bool,
}

impl Response {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (field, value) = line.split_once(": ")?;
            field.eq_ignore_ascii_case(name).then_some(value)
        })
    }
}

/// The client timeout that requests state by default, in milliseconds.
const DEADLINE_MS: u32 = 3_000;
/// Segment size and receive buffer of a connection with small buffers, in bytes.
const SMALL_SEGMENT_BYTES: u32 = 1_024;

fn request(path: &str, id: &str, fields: &str) -> String {
    format!("{}body", request_head(path, id, DEADLINE_MS, fields))
}

/// Returns the head of a request with a body of four bytes.
pub(crate) fn request_head(path: &str, id: &str, deadline_ms: u32, fields: &str) -> String {
    request_head_for(path, id, deadline_ms, fields, 4)
}

/// Returns the head of a request with a body of `body_bytes`.
fn request_head_for(path: &str, id: &str, deadline_ms: u32, fields: &str, body_bytes: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Dunelink-Request-Id: {id}\r\nX-Dunelink-Deadline-Ms: {deadline_ms}\r\n{fields}Content-Length: {body_bytes}\r\n\r\n"
    )
}

impl Client {
    pub(crate) async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        stream.set_nodelay(true).unwrap();
        Self { stream, buffer: Vec::new() }
    }

    /// Opens a connection; `None` if it is refused.
    pub(crate) async fn try_connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        Some(Self { stream, buffer: Vec::new() })
    }

    /// Opens a connection on which the kernel buffers little between the proxy and a client that does not read;
    /// `None` if it is refused.
    pub(crate) async fn try_connect_with_small_buffers(address: SocketAddr) -> Option<Self> {
        let socket = TcpSocket::new_v4().unwrap();
        SockRef::from(&socket).set_tcp_mss(SMALL_SEGMENT_BYTES).unwrap();
        socket.set_recv_buffer_size(SMALL_SEGMENT_BYTES).unwrap();
        Some(Self { stream: socket.connect(address).await.ok()?, buffer: Vec::new() })
    }

    pub(crate) async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    /// Sends text, or as much of it as the proxy accepts before it closes the connection.
    pub(crate) async fn try_send(&mut self, text: &str) {
        let _ = self.stream.write_all(text.as_bytes()).await;
    }

    /// Sends a request with a body, the given id and the default timeout.
    pub(crate) async fn send_request(&mut self, path: &str, id: &str) {
        self.send_request_with(path, id, "").await;
    }

    pub(crate) async fn send_request_with(&mut self, path: &str, id: &str, fields: &str) {
        self.send(&request(path, id, fields)).await;
    }

    /// Sends a request with this body and the default timeout.
    pub(crate) async fn send_request_with_body(&mut self, path: &str, id: &str, body: &str) {
        self.send(&request_head_for(path, id, DEADLINE_MS, "", body.len())).await;
        self.send(body).await;
    }

    /// Sends a request; false if the connection is closed.
    pub(crate) async fn try_send_request(&mut self, path: &str, id: &str) -> bool {
        self.stream.write_all(request(path, id, "").as_bytes()).await.is_ok()
    }

    /// Reads a response; `None` if the connection closes before its first byte.
    pub(crate) async fn try_read_response(&mut self) -> Option<Response> {
        while self.buffer.is_empty() {
            if !self.read_more().await {
                return None;
            }
        }
        Some(self.read_response().await)
    }

    /// Sends a request and reads its response.
    pub(crate) async fn call(&mut self, path: &str, id: &str) -> Response {
        self.send_request(path, id).await;
        self.read_response().await
    }

    async fn read_more(&mut self) -> bool {
        self.stream.read_buf(&mut self.buffer).await.unwrap_or(0) > 0
    }

    /// Reads the head of a response; `None` if the connection closes.
    pub(crate) async fn read_head(&mut self) -> Option<Response> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let head = String::from_utf8(self.buffer.drain(..end + 4).collect()).unwrap();
                let status = head.split(' ').nth(1).unwrap().parse().unwrap();
                return Some(Response { status, head, body: String::new(), complete: false });
            }
            if !self.read_more().await {
                return None;
            }
        }
    }

    /// Reads the next chunk of a chunked body; `None` if the connection closes.
    pub(crate) async fn read_chunk(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = std::str::from_utf8(&self.buffer[..end]).unwrap();
                let size = usize::from_str_radix(line, 16)
                    .unwrap_or_else(|_| panic!("invalid chunk size: {line:?}"));
                if self.buffer.len() >= end + 2 + size + 2 {
                    let chunk: Vec<u8> = self.buffer.drain(..end + 2 + size + 2).collect();
                    return Some(String::from_utf8(chunk[end + 2..end + 2 + size].to_vec()).unwrap());
                }
            }
            if !self.read_more().await {
                return None;
            }
        }
    }

    /// Reads a response up to its end, or up to the end of the connection.
    pub(crate) async fn read_response(&mut self) -> Response {
        let mut response = self.read_head().await.expect("the connection closed before a response");
        if let Some(length) = response.header("content-length") {
            let length: usize = length.parse().unwrap();
            while self.buffer.len() < length {
                if !self.read_more().await {
                    response.body = String::from_utf8(std::mem::take(&mut self.buffer)).unwrap();
                    return response;
                }
            }
            response.body = String::from_utf8(self.buffer.drain(..length).collect()).unwrap();
            response.complete = true;
            return response;
        }
        while let Some(chunk) = self.read_chunk().await {
            if chunk.is_empty() {
                response.complete = true;
                return response;
            }
            response.body.push_str(&chunk);
        }
        response
    }

    /// Reads up to the end of the connection. Returns the received text, and an error if the connection was
    /// reset.
    pub(crate) async fn read_to_end(&mut self) -> (String, std::io::Result<()>) {
        let end = loop {
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(0) => break Ok(()),
                Ok(_) => {}
                Err(error) => break Err(error),
            }
        };
        (String::from_utf8(std::mem::take(&mut self.buffer)).unwrap(), end)
    }

    /// Whether the connection is closed.
    pub(crate) async fn is_closed(&mut self) -> bool {
        !self.read_more().await
    }
}
