//! What a stand-in model server answers, and how it goes wrong.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Semaphore;

use super::message::Head;

/// When the events of a stream are written.
#[derive(Clone, Debug)]
pub enum Pace {
    /// One after another.
    AtOnce,
    /// With this pause in front of each but the first.
    Every(Duration),
    /// One for each permit that the test adds.
    Gated(Arc<Semaphore>),
}

impl Pace {
    /// A gate, and the handle that opens it.
    pub fn gate() -> (Pace, Arc<Semaphore>) {
        let gate = Arc::new(Semaphore::new(0));
        (Pace::Gated(gate.clone()), gate)
    }
}

/// What an answer carries.
#[derive(Clone, Debug)]
pub enum Content {
    /// A status and a whole body.
    Plain(u16, String),
    /// Events with the ids 1 to this number; a request with `Last-Event-Id` gets those behind it.
    Events(u64, Pace),
    /// A status with `X-Dunelink-Not-Executed`: the request was turned away.
    NotExecuted(u16),
    /// As many events as the request states tokens out, with this pause in front of each but the first; a short body
    /// for a request that states none.
    AsAsked(Duration),
}

/// The tokens to be made that a request states.
fn tokens_out(head: &Head) -> Option<u64> {
    let counts = head.field("x-dunelink-token-counts")?;
    counts.split_once(',')?.1.trim().parse().ok()
}

/// How an answer goes wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It does not.
    None,
    /// The connection ends before the answer's first byte.
    CloseBeforeHead,
    /// The connection ends in the middle of the head.
    CloseInHead,
    /// The connection ends behind half of the body, or behind the head of a stream.
    CloseInBody,
    /// The connection ends in the middle of the event with this id.
    CloseInEvent(u64),
    /// The connection ends between the event with this id and the next.
    CloseAfterEvent(u64),
    /// Nothing more is written once the event with this id is out.
    SilentAfterEvent(u64),
    /// These bytes follow the whole answer.
    MoreBytes(Vec<u8>),
    /// The same after this time.
    LateBytes(Duration, Vec<u8>),
    /// These bytes take the answer's place.
    Garbage(Vec<u8>),
    /// The answer names this request id.
    OtherId(String),
    /// The answer names no request id.
    NoId,
    /// There is no answer.
    Silent,
}

/// An answer to one request.
#[derive(Clone, Debug)]
pub struct Reply {
    /// What it carries.
    pub content: Content,
    /// How it goes wrong.
    pub fault: Fault,
    /// Whether it says `Connection: close`, and the connection ends behind it.
    pub closes: bool,
    /// Time before its first byte.
    pub delay: Duration,
    /// Further fields of its head.
    pub fields: Vec<(String, String)>,
    /// Waits for a permit of this before its first byte.
    pub gate: Option<Arc<Semaphore>>,
}

impl Reply {
    fn of(content: Content) -> Reply {
        let (fault, delay) = (Fault::None, Duration::ZERO);
        Reply { content, fault, closes: false, delay, fields: Vec::new(), gate: None }
    }

    /// An answer of this status with this body.
    pub fn plain(status: u16, body: &str) -> Reply {
        Reply::of(Content::Plain(status, body.to_owned()))
    }

    /// A stream of so many events.
    pub fn events(count: u64, pace: Pace) -> Reply {
        Reply::of(Content::Events(count, pace))
    }

    /// The request is turned away without having run.
    pub fn not_executed(status: u16) -> Reply {
        Reply::of(Content::NotExecuted(status))
    }

    /// A stream of as many events as the request states tokens out, with this pause between them; a short body for a
    /// request that states none.
    pub fn as_asked(pause: Duration) -> Reply {
        Reply::of(Content::AsAsked(pause))
    }

    /// What the request of this head gets by it.
    pub(super) fn resolved(mut self, head: &Head) -> Reply {
        if let Content::AsAsked(pause) = self.content {
            self.content = match tokens_out(head) {
                Some(count) => Content::Events(count, Pace::Every(pause)),
                None => Content::Plain(200, "well".to_owned()),
            };
        }
        self
    }

    /// No answer at all.
    pub fn silent() -> Reply {
        Reply::plain(200, "").with(Fault::Silent)
    }

    /// The same with this fault.
    pub fn with(mut self, fault: Fault) -> Reply {
        self.fault = fault;
        self
    }

    /// The same, and the connection ends behind it.
    pub fn closing(mut self) -> Reply {
        self.closes = true;
        self
    }

    /// The same after this time.
    pub fn after(mut self, delay: Duration) -> Reply {
        self.delay = delay;
        self
    }

    /// The same once the test has added a permit.
    pub fn gated(mut self, gate: Arc<Semaphore>) -> Reply {
        self.gate = Some(gate);
        self
    }

    /// The same with another field in its head.
    pub fn field(mut self, name: &str, value: &str) -> Reply {
        self.fields.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// The text of an event: the same from whichever server.
pub fn event_data(id: u64) -> String {
    format!("piece-{id}")
}

/// The bytes of an event.
pub fn event_bytes(id: u64) -> Vec<u8> {
    format!("id: {id}\ndata: {}\n\n", event_data(id)).into_bytes()
}

/// The stamp that a server of this id puts on its answer to a request.
pub fn seal(server_id: &str, request_id: &str) -> String {
    format!("{server_id}.{request_id}.0.c9f2a4d1")
}
