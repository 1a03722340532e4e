//! Reader of the platform's list of servers: the leader reads it regularly, and a member once when a leader
//! that cannot reach the platform asks for it.

use std::time::Duration;

use bytes::Bytes;
use dunelink_protocol::ServerEntry;
use dunelink_settings::CloudApi;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use slog::{info, warn};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::engine::Engine;
use crate::list::{ListError, ListPage, parse_page};

/// Shortest interval between the starts of two readings.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Time within which one page must be read.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after a failed reading; doubled with each further failure up to [`READ_INTERVAL`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// After failing for this long, the leader asks another member to read the list, in microseconds.
const DELEGATE_AFTER_US: u64 = 1_500_000;
/// Largest size of a page.
const MAX_PAGE_BYTES: usize = 8 * 1024 * 1024;
/// Most pages of a list.
const MAX_PAGES: usize = 2_048;
/// Share of the platform's rate limit that the regular readings use. The rest is left for the first calls of
/// a new leader.
const READ_RATE_SHARE: f64 = 0.8;
/// Share of the platform's rate limit at which calls are paced.
const PACING_RATE_SHARE: f64 = 0.9;
/// Retries of a page before the whole reading fails.
const PAGE_RETRIES: u32 = 2;
/// Pause before a retry of a page.
const PAGE_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Size of the token bucket for calls, in seconds of the platform's rate limit.
const BURST_S: f64 = 0.25;

/// Why the list could not be read.
#[derive(Debug, Error)]
pub enum ListReadError {
    /// The connection to the platform failed.
    #[error("cannot connect to the platform: {0}; the list is read again soon")]
    Unreachable(#[from] std::io::Error),
    /// The connection broke during a call.
    #[error("a call to the platform failed: {0}; the list is read again soon")]
    Connection(#[from] hyper::Error),
    /// A call timed out.
    #[error("the platform did not answer within {CALL_TIMEOUT:?}; the list is read again soon")]
    Timeout,
    /// The platform answered with another status than 200.
    #[error("the platform answered with status {0}; the list is read again soon")]
    Status(StatusCode),
    /// A page is larger than the limit, or its body broke off.
    #[error("a page is too large or incomplete; the list is read again soon")]
    Body,
    /// A page is invalid.
    #[error(transparent)]
    Page(#[from] ListError),
    /// The lease ended while the list was read.
    #[error("the lease was lost while the list was read; the new leader reads the list")]
    LeaseLost,
    /// The list has too many pages, or a page refers to itself as the next one.
    #[error("the list does not end within {MAX_PAGES} pages; check the platform")]
    TooManyPages,
}

/// Reads the list page by page over a persistent connection.
#[derive(Debug)]
pub struct ListReader {
    api: CloudApi,
    /// Idle connection for the next call.
    connection: Option<SendRequest<Empty<Bytes>>>,
    /// Number of pages of the last complete list.
    page_count: usize,
    /// Token bucket for calls: tokens, and when they were counted. Negative while a call waits for its token.
    tokens: (f64, Instant),
}

impl ListReader {
    /// Creates a reader without a connection.
    pub fn new(api: CloudApi) -> Self {
        let tokens = (bucket_size(&api), Instant::now());
        Self { api, connection: None, page_count: 1, tokens }
    }

    /// Reads the complete list. `may_continue` is checked before each page, and `on_page` is given each page
    /// except the last.
    ///
    /// # Errors
    ///
    /// A page could not be read; the pages before it are discarded.
    pub async fn read(
        &mut self,
        may_continue: impl Fn() -> bool,
        on_page: impl Fn(&[ServerEntry]),
    ) -> Result<Vec<ServerEntry>, ListReadError> {
        let mut servers = Vec::new();
        let mut token = None;
        for page_number in 1..=MAX_PAGES {
            if !may_continue() {
                return Err(ListReadError::LeaseLost);
            }
            let page = self.page_with_retries(token.as_deref()).await?;
            if page.next_token.is_none() {
                servers.extend(page.servers);
                self.page_count = page_number;
                return Ok(servers);
            }
            on_page(&page.servers);
            servers.extend(page.servers);
            if page.next_token == token {
                break;
            }
            token = page.next_token;
        }
        Err(ListReadError::TooManyPages)
    }

    /// Reads a page. All pages but the first are retried, since a failure discards the pages before it.
    async fn page_with_retries(&mut self, token: Option<&str>) -> Result<ListPage, ListReadError> {
        let mut retries = if token.is_some() { PAGE_RETRIES } else { 0 };
        loop {
            match self.read_page(token).await {
                Err(_) if retries > 0 => retries -= 1,
                result => return result,
            }
            sleep(PAGE_RETRY_PAUSE).await;
        }
    }

    /// Interval between the starts of two readings, such that the calls stay below the platform's rate limit.
    fn read_interval(&self) -> Duration {
        let rate = (self.api.rate_per_s * READ_RATE_SHARE).max(0.01);
        READ_INTERVAL.max(Duration::from_secs_f64(self.page_count as f64 / rate))
    }

    /// Waits for a token of the rate limit.
    async fn wait_for_token(&mut self) {
        let rate = (self.api.rate_per_s * PACING_RATE_SHARE).max(0.01);
        let (tokens, at) = self.tokens;
        let tokens = (tokens + at.elapsed().as_secs_f64() * rate).min(bucket_size(&self.api)) - 1.0;
        self.tokens = (tokens, Instant::now());
        if tokens < 0.0 {
            sleep(Duration::from_secs_f64(-tokens / rate)).await;
        }
    }

    async fn read_page(&mut self, token: Option<&str>) -> Result<ListPage, ListReadError> {
        self.wait_for_token().await;
        // An idle connection may have been closed by the platform; the call then tries one new connection at
        // once.
        let idle_connection = self.connection.take().filter(|connection| !connection.is_closed());
        let result = timeout(CALL_TIMEOUT, self.request_with_reconnect(idle_connection, token)).await;
        result.unwrap_or(Err(ListReadError::Timeout))
    }

    async fn request_with_reconnect(
        &mut self,
        idle_connection: Option<SendRequest<Empty<Bytes>>>,
        token: Option<&str>,
    ) -> Result<ListPage, ListReadError> {
        let was_idle = idle_connection.is_some();
        let connection = match idle_connection {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        match self.request_page(connection, token).await {
            Err(ListReadError::Connection(_)) if was_idle => {
                let connection = self.connect().await?;
                self.request_page(connection, token).await
            }
            other => other,
        }
    }

    async fn connect(&self) -> Result<SendRequest<Empty<Bytes>>, ListReadError> {
        let socket = TcpStream::connect(self.api.address).await?;
        let _ = socket.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(socket)).await?;
        spawn_local(async move {
            // Errors of the connection also reach the call that uses it.
            let _ = connection.await;
        });
        Ok(sender)
    }

    async fn request_page(
        &mut self,
        mut connection: SendRequest<Empty<Bytes>>,
        token: Option<&str>,
    ) -> Result<ListPage, ListReadError> {
        connection.ready().await?;
        let uri = token.map_or_else(
            || "/instances".to_owned(),
            |token| format!("/instances?pageToken={}", percent_encoded(token)),
        );
        let request = Request::get(uri).header(HOST, self.api.address.to_string()).body(Empty::new());
        let Ok(request) = request else { return Err(ListReadError::Body) };
        let response = connection.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_PAGE_BYTES).collect().await;
        let body = body.map_err(|_| ListReadError::Body)?.to_bytes();
        self.connection = Some(connection);
        if status != StatusCode::OK {
            return Err(ListReadError::Status(status));
        }
        Ok(parse_page(&body)?)
    }
}

/// Size of the token bucket for calls.
fn bucket_size(api: &CloudApi) -> f64 {
    (api.rate_per_s * BURST_S).max(1.0)
}

/// Percent-encodes all characters that are reserved in a query.
fn percent_encoded(token: &str) -> String {
    let mut encoded = String::with_capacity(token.len());
    for byte in token.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                encoded.push(char::from(byte))
            }
            other => encoded.push_str(&format!("%{other:02X}")),
        }
    }
    encoded
}

/// Reads the list while this machine holds the lease, forever.
pub async fn run(api: CloudApi, engine: Engine) {
    let mut reader = ListReader::new(api);
    let mut health = ReadHealth::default();
    loop {
        if !engine.inspect(|node, now| node.holds_lease(now)) {
            health = ReadHealth::default();
            reader.connection = None;
            // A leader that loses its lease for a moment gets it back without a notification, so its state is
            // polled.
            let is_leader = engine.inspect(|node, _| node.replica().is_leader());
            if is_leader {
                sleep(INITIAL_BACKOFF).await;
            } else {
                engine.lease_changed().await;
            }
            continue;
        }
        let started_at = engine.now();
        let holds_lease = || engine.inspect(|node, now| node.holds_lease(now));
        let on_page = |page: &[ServerEntry]| {
            engine.update(|node, now, effects| node.handle_list_page(now, page, effects));
        };
        let pause = match reader.read(holds_lease, on_page).await {
            Ok(servers) => {
                health.record_success(&engine);
                engine.update(|node, now, effects| node.handle_list(now, started_at, servers, effects));
                let elapsed = Duration::from_micros(engine.now().saturating_sub(started_at));
                reader.read_interval().saturating_sub(elapsed)
            }
            Err(error) => health.record_failure(&engine, started_at, &error),
        };
        sleep(pause).await;
    }
}

/// Consecutive failures to read the list.
#[derive(Debug, Default)]
struct ReadHealth {
    /// Start of the first failed reading in microseconds; `None` after a success.
    failing_since: Option<u64>,
    failures: u32,
}

impl ReadHealth {
    fn record_success(&mut self, engine: &Engine) {
        if self.failing_since.take().is_some() {
            info!(engine.log(), "reading the server list works again"; "failures" => self.failures);
        }
        self.failures = 0;
    }

    /// Records a failure and returns the pause before the next reading.
    fn record_failure(&mut self, engine: &Engine, started_at: u64, error: &ListReadError) -> Duration {
        if self.failing_since.is_none() {
            warn!(engine.log(), "cannot read the server list"; "reason" => %error);
        }
        let since = *self.failing_since.get_or_insert(started_at);
        let pause = INITIAL_BACKOFF.saturating_mul(1 << self.failures.min(4)).min(READ_INTERVAL);
        self.failures = self.failures.saturating_add(1);
        if engine.now() > since + DELEGATE_AFTER_US {
            engine.update(|node, now, effects| node.delegate_list_read(now, effects));
        }
        pause
    }
}

/// Reads the list once for each request of the leader, forever.
pub async fn serve_leader_requests(api: CloudApi, engine: Engine) {
    let mut reader = ListReader::new(api);
    loop {
        let (request, leader) = engine.next_list_request().await;
        let read = reader.read(|| true, |_| ()).await;
        engine.answer_list_request(&leader, request, read.ok());
    }
}
