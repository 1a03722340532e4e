//! The operator: sends configurations and reads them back, as the page of the wire tells.

use std::io::Result;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use tokio::time::{Instant, sleep, timeout};

use super::client::{Answer, Connection, Request};

/// Silence after which a call moves on to another node.
const SILENCE: Duration = Duration::from_secs(1);
/// The same for a body of a megabyte or more.
const SILENCE_LARGE: Duration = Duration::from_secs(4);
/// The least size of a large body, in bytes.
const LARGE: usize = 1_000_000;
/// Redirects that one try follows.
const REDIRECTS: usize = 2;
/// The first pause before another node is tried, doubled each time.
const FIRST_BACKOFF: Duration = Duration::from_millis(20);
/// The longest of those pauses.
const LAST_BACKOFF: Duration = Duration::from_millis(500);
/// Tries after which a 4xx without a meaning of its own ends a call.
const TRIES_OF_OTHER_4XX: usize = 3;

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// 200, with the body and the time from the first try on.
    Taken(String, Duration),
    /// A status that ends a call, with its body.
    Refused(u16, String),
    /// No clear answer within the time given; what came last.
    Unclear(String),
}

impl Outcome {
    /// Whether it was 200.
    pub fn is_taken(&self) -> bool {
        matches!(self, Outcome::Taken(..))
    }

    /// The status of a refusal; 200 if it was taken, 0 if it is unclear.
    pub fn status(&self) -> u16 {
        match self {
            Outcome::Taken(..) => 200,
            Outcome::Refused(status, _) => *status,
            Outcome::Unclear(_) => 0,
        }
    }
}

/// An operator with its list of nodes that serve control.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    /// The nodes it picks from.
    pub nodes: Vec<SocketAddr>,
    /// How long a call goes on.
    pub within: Duration,
}

impl OperatorClient {
    /// An operator that gives a call so much time.
    pub fn new(nodes: Vec<SocketAddr>, within: Duration) -> OperatorClient {
        OperatorClient { nodes, within }
    }

    /// Sends a configuration on top of a version until there is a clear answer.
    pub async fn replace(&self, base: u64, configuration: &Value) -> Outcome {
        self.replace_text(base, &configuration.to_string()).await
    }

    /// The same with any text.
    pub async fn replace_text(&self, base: u64, text: &str) -> Outcome {
        self.call(&replacing(base, text)).await
    }

    /// Sends one order to one node once, and follows redirects.
    ///
    /// # Errors
    ///
    /// What the connection ended with; silence is a time-out.
    pub async fn replace_at(&self, node: SocketAddr, base: u64, configuration: &Value) -> Result<Answer> {
        attempt(node, &replacing(base, &configuration.to_string())).await
    }

    /// Reads the newest configuration.
    pub async fn read(&self) -> Outcome {
        self.call(&reading()).await
    }

    /// The version and all of the newest configuration.
    ///
    /// # Panics
    ///
    /// If there is none in time.
    pub async fn read_whole(&self) -> Value {
        match self.read().await {
            Outcome::Taken(body, _) => serde_json::from_str(&body).expect("a configuration"),
            other => panic!("reading the configuration: {other:?}"),
        }
    }

    /// Reads at one node once, and follows redirects.
    ///
    /// # Errors
    ///
    /// What the connection ended with; silence is a time-out.
    pub async fn read_at(&self, node: SocketAddr) -> Result<Answer> {
        attempt(node, &reading()).await
    }

    async fn call(&self, request: &Request) -> Outcome {
        let start = Instant::now();
        let mut backoff = FIRST_BACKOFF;
        let mut others = 0;
        let mut last = "no node to call".to_owned();
        let first = fastrand::usize(..self.nodes.len().max(1));
        for node in self.nodes.iter().cycle().skip(first) {
            match attempt(*node, request).await {
                Ok(answer) => match answer.status() {
                    200 => return Outcome::Taken(answer.text(), start.elapsed()),
                    status @ (400 | 409 | 412 | 413 | 422) => return Outcome::Refused(status, answer.text()),
                    status if (400..500).contains(&status) && !matches!(status, 408 | 429) => {
                        others += 1;
                        if others == TRIES_OF_OTHER_4XX {
                            return Outcome::Refused(status, answer.text());
                        }
                    }
                    status => last = format!("{node}: {status} {}", answer.text()),
                },
                Err(error) => last = format!("{node}: {error}"),
            }
            if start.elapsed() + backoff > self.within {
                break;
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(LAST_BACKOFF);
        }
        Outcome::Unclear(last)
    }
}

fn replacing(base: u64, text: &str) -> Request {
    Request::new("POST", "control", "/api/Config.Replace")
        .field("X-Dunelink-Base-Version", &base.to_string())
        .field("Content-Type", "application/json")
        .body(text.as_bytes())
}

fn reading() -> Request {
    Request::new("GET", "control", "/api/Config.Read")
}

/// One try: a node, and where it redirects to.
async fn attempt(node: SocketAddr, request: &Request) -> Result<Answer> {
    let mut node = node;
    let mut answer = once(node, request).await?;
    for _ in 0..REDIRECTS {
        if answer.status() != 307 {
            break;
        }
        let Some(next) = answer.head.field("location").and_then(location) else { break };
        node = next;
        answer = once(node, request).await?;
    }
    Ok(answer)
}

fn location(url: &str) -> Option<SocketAddr> {
    let rest = url.strip_prefix("http://")?;
    rest.split('/').next()?.parse().ok()
}

async fn once(node: SocketAddr, request: &Request) -> Result<Answer> {
    let exchange = async { Connection::open(node).await?.ask(request).await };
    let silence = if request.body_bytes() < LARGE { SILENCE } else { SILENCE_LARGE };
    timeout(silence, exchange).await.map_err(std::io::Error::from)?
}
