//! The bytes of a stand-in server's answers, faults among them.

use std::fmt::Write as _;
use std::future::pending;
use std::io;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::Received;
use crate::system::reply::{Content, Fault, Pace, Reply, event_bytes, seal};

/// Running requests, waiting requests, and slots.
const LOAD: &str = "1,0,64";

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// Written whole; the connection stays.
    Whole,
    /// Written whole; the connection ends.
    Closes,
    /// Broken off by script; the connection ends.
    Broken,
    /// The caller left first.
    CallerLeft,
}

/// Writes answers to one connection.
pub(super) struct Writer {
    stream: OwnedWriteHalf,
}

impl Writer {
    pub(super) fn new(stream: OwnedWriteHalf) -> Writer {
        Writer { stream }
    }

    /// Answers a health check or a request for a report.
    pub(super) async fn probe(&mut self, received: &Received) -> Ending {
        let body = if received.target().starts_with("/api/report") {
            "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,\
             \"sequence\":0,\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":90000,\"handles\":0}"
        } else {
            ""
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Dunelink-Instance-Id: {}\r\nX-Dunelink-Server-Load: {LOAD}\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            received.server,
            body.len()
        );
        self.whole(head.as_bytes()).await
    }

    /// Answers a request that expects another instance.
    pub(super) async fn misdirected(&mut self, received: &Received) -> Ending {
        let head = format!(
            "HTTP/1.1 421 Misdirected Request\r\nX-Dunelink-Instance-Id: {}\r\nX-Dunelink-Request-Id: {}\r\n\
             Content-Length: 0\r\n\r\n",
            received.server, received.id
        );
        self.whole(head.as_bytes()).await
    }

    async fn whole(&mut self, bytes: &[u8]) -> Ending {
        match self.stream.write_all(bytes).await {
            Ok(()) => Ending::Whole,
            Err(_) => Ending::CallerLeft,
        }
    }

    /// Answers by script, while it looks out for the caller's end.
    pub(super) async fn reply(
        &mut self,
        received: &Received,
        reply: &Reply,
        reader: &mut BufReader<OwnedReadHalf>,
    ) -> Ending {
        tokio::select! {
            biased;
            ending = self.write(received, reply) => ending.unwrap_or(Ending::CallerLeft),
            () = caller_left(reader) => Ending::CallerLeft,
        }
    }

    async fn write(&mut self, received: &Received, reply: &Reply) -> io::Result<Ending> {
        if let Some(gate) = &reply.gate {
            gate.acquire().await.expect("never closed").forget();
        }
        if !reply.delay.is_zero() {
            tokio::time::sleep(reply.delay).await;
        }
        match &reply.fault {
            Fault::CloseBeforeHead => return Ok(Ending::Broken),
            Fault::Silent => return pending().await,
            Fault::Garbage(bytes) => {
                self.stream.write_all(bytes).await?;
                return Ok(Ending::Broken);
            }
            _ => (),
        }
        let head = head(received, reply);
        if reply.fault == Fault::CloseInHead {
            self.stream.write_all(&head.as_bytes()[..head.len() / 2]).await?;
            return Ok(Ending::Broken);
        }
        self.stream.write_all(head.as_bytes()).await?;
        let whole = match &reply.content {
            Content::Plain(_, body) => self.body(body.as_bytes(), &reply.fault).await?,
            Content::Events(count, pace) => {
                let last = received.head.field("last-event-id").and_then(|id| id.parse().ok());
                self.events(last.unwrap_or(0) + 1, *count, pace, &reply.fault).await?
            }
            Content::NotExecuted(_) => true,
            Content::AsAsked(_) => unreachable!("resolved when the request was read"),
        };
        if !whole {
            return Ok(Ending::Broken);
        }
        if let Fault::MoreBytes(bytes) = &reply.fault {
            self.stream.write_all(bytes).await?;
        }
        if let Fault::LateBytes(delay, bytes) = &reply.fault {
            tokio::time::sleep(*delay).await;
            self.stream.write_all(bytes).await?;
        }
        Ok(if reply.closes { Ending::Closes } else { Ending::Whole })
    }

    /// False if it was broken off by script.
    async fn body(&mut self, body: &[u8], fault: &Fault) -> io::Result<bool> {
        let cut = *fault == Fault::CloseInBody;
        let length = if cut { body.len() / 2 } else { body.len() };
        self.stream.write_all(&body[..length]).await?;
        Ok(!cut)
    }

    /// False if it was broken off by script.
    async fn events(&mut self, first: u64, last: u64, pace: &Pace, fault: &Fault) -> io::Result<bool> {
        if *fault == Fault::CloseInBody {
            return Ok(false);
        }
        for id in first..=last {
            match pace {
                Pace::AtOnce => (),
                Pace::Every(pause) if id > first => tokio::time::sleep(*pause).await,
                Pace::Every(_) => (),
                Pace::Gated(gate) => gate.acquire().await.expect("never closed").forget(),
            }
            let event = event_bytes(id);
            let mut chunk = format!("{:x}\r\n", event.len()).into_bytes();
            let cut = *fault == Fault::CloseInEvent(id);
            chunk.extend_from_slice(if cut { &event[..event.len() / 2] } else { &event });
            if !cut {
                chunk.extend_from_slice(b"\r\n");
            }
            self.stream.write_all(&chunk).await?;
            if cut || *fault == Fault::CloseAfterEvent(id) {
                return Ok(false);
            }
            if *fault == Fault::SilentAfterEvent(id) {
                return pending().await;
            }
        }
        self.stream.write_all(b"0\r\n\r\n").await?;
        Ok(true)
    }
}

/// Waits until the caller closes its side; for ever if it has sent something more.
async fn caller_left(reader: &mut BufReader<OwnedReadHalf>) {
    match reader.fill_buf().await {
        Ok(bytes) if !bytes.is_empty() => pending().await,
        _ => (),
    }
}

fn head(received: &Received, reply: &Reply) -> String {
    let status = match reply.content {
        Content::Plain(status, _) | Content::NotExecuted(status) => status,
        Content::Events(..) | Content::AsAsked(_) => 200,
    };
    let mut text = format!("HTTP/1.1 {status} Text\r\n");
    let id = match &reply.fault {
        Fault::OtherId(other) => Some(other.as_str()),
        Fault::NoId => None,
        _ => Some(received.id.as_str()),
    };
    let mut field = |name: &str, value: &str| write!(text, "{name}: {value}\r\n").expect("a string");
    if let Some(id) = id {
        field("X-Dunelink-Request-Id", id);
    }
    field("X-Dunelink-Server-Load", LOAD);
    match &reply.content {
        Content::Plain(_, body) => {
            field("X-Dunelink-Response-Seal", &seal(&received.server, &received.id));
            field("Content-Length", &body.len().to_string());
        }
        Content::Events(..) => {
            field("X-Dunelink-Response-Seal", &seal(&received.server, &received.id));
            field("Content-Type", "text/event-stream");
            field("Transfer-Encoding", "chunked");
        }
        Content::AsAsked(_) => (),
        Content::NotExecuted(_) => {
            field("X-Dunelink-Not-Executed", "1");
            field("Content-Length", "0");
        }
    }
    if reply.closes {
        field("Connection", "close");
    }
    for (name, value) in &reply.fields {
        field(name, value);
    }
    text.push_str("\r\n");
    text
}
