//! Reads the platform's list of servers: at the leader, or once for a leader that can't reach the platform.

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

/// Time between the beginnings of two readings.
const PERIOD: Duration = Duration::from_millis(500);
/// How long one page may take.
const CALL_PATIENCE: Duration = Duration::from_millis(700);
/// Pause after a failed reading; doubled with each further one up to [`PERIOD`].
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// After this long without a reading, another member is asked to read, in microseconds.
const DELEGATE_AFTER: u64 = 1_500_000;
/// Largest page, in bytes.
const MAX_PAGE_BYTES: usize = 8 * 1024 * 1024;
/// Most pages of one reading.
const MAX_PAGES: usize = 2_048;
/// Part of the platform's rate that the regular readings use. The rest is for the first calls of a new leader.
const RATE_PART: f64 = 0.8;
/// Part of the platform's rate at which calls may follow each other.
const PACE_PART: f64 = 0.9;
/// How often a page is asked for again before the pages before it are dropped with it.
const PAGE_RETRIES: u32 = 2;
/// Pause before a page is asked for again.
const PAGE_PAUSE: Duration = Duration::from_millis(150);
/// Calls that may follow each other at once, in seconds of the platform's rate.
const BURST_S: f64 = 0.25;

/// Why the list could not be read.
#[derive(Debug, Error)]
pub enum ListReadError {
    /// The platform can't be reached.
    #[error("the platform can't be reached: {0}; the list is read again soon")]
    Unreachable(#[from] std::io::Error),
    /// The call broke off.
    #[error("a call to the platform broke off: {0}; the list is read again soon")]
    Connection(#[from] hyper::Error),
    /// No answer came in time.
    #[error("the platform did not answer within {CALL_PATIENCE:?}; the list is read again soon")]
    Timeout,
    /// The platform refused.
    #[error("the platform answered {0}; the list is read again soon")]
    Status(StatusCode),
    /// The answer is too large or broke off.
    #[error("a page could not be read whole; the list is read again soon")]
    Body,
    /// The page can't be used.
    #[error(transparent)]
    Page(#[from] ListError),
    /// The lease ended during the reading.
    #[error("the lease ended; the new leader reads the list")]
    LeaseLost,
    /// There are more pages than a list can have, or a page leads to itself.
    #[error("the list has no last page within {MAX_PAGES}; check the platform")]
    TooManyPages,
}

/// Reads the list, page after page, over a connection that it keeps.
#[derive(Debug)]
pub struct ListReader {
    api: CloudApi,
    connection: Option<SendRequest<Empty<Bytes>>>,
    /// Pages of the last whole reading.
    pages: usize,
    /// Calls that may be made at once, and when that was so.
    allowed: (f64, Instant),
}

impl ListReader {
    /// A reader without a connection.
    pub fn new(api: CloudApi) -> Self {
        let allowed = (burst(&api), Instant::now());
        Self { api, connection: None, pages: 1, allowed }
    }

    /// Reads the whole list. `may_go_on` is asked before each call, and `on_page` is given each page that others follow.
    ///
    /// # Errors
    ///
    /// A page could not be read; the pages before it are dropped.
    pub async fn read(
        &mut self,
        may_go_on: impl Fn() -> bool,
        on_page: impl Fn(&[ServerEntry]),
    ) -> Result<Vec<ServerEntry>, ListReadError> {
        let mut servers = Vec::new();
        let mut token = None;
        for page_number in 1..=MAX_PAGES {
            if !may_go_on() {
                return Err(ListReadError::LeaseLost);
            }
            let page = self.page_or_again(token.as_deref()).await?;
            if page.next_token.is_none() {
                servers.extend(page.servers);
                self.pages = page_number;
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

    /// A page. Those that follow the first are asked for again, as many pages would be dropped with one.
    async fn page_or_again(&mut self, token: Option<&str>) -> Result<ListPage, ListReadError> {
        let mut retries = if token.is_some() { PAGE_RETRIES } else { 0 };
        loop {
            match self.page(token).await {
                Err(_) if retries > 0 => retries -= 1,
                read => return read,
            }
            sleep(PAGE_PAUSE).await;
        }
    }

    /// Time between two readings, so that all calls stay below the platform's rate.
    fn period(&self) -> Duration {
        let rate = (self.api.rate_per_s * RATE_PART).max(0.01);
        PERIOD.max(Duration::from_secs_f64(self.pages as f64 / rate))
    }

    /// Waits until the platform's rate allows a call.
    async fn pace(&mut self) {
        let rate = (self.api.rate_per_s * PACE_PART).max(0.01);
        let (allowed, at) = self.allowed;
        let allowed = (allowed + at.elapsed().as_secs_f64() * rate).min(burst(&self.api)) - 1.0;
        self.allowed = (allowed, Instant::now());
        if allowed < 0.0 {
            sleep(Duration::from_secs_f64(-allowed / rate)).await;
        }
    }

    async fn page(&mut self, token: Option<&str>) -> Result<ListPage, ListReadError> {
        self.pace().await;
        // A kept connection may have been closed meanwhile: then one new one is tried at once.
        let kept = self.connection.take().filter(|connection| !connection.is_closed());
        let read = timeout(CALL_PATIENCE, self.call(kept, token)).await;
        read.unwrap_or(Err(ListReadError::Timeout))
    }

    async fn call(
        &mut self,
        kept: Option<SendRequest<Empty<Bytes>>>,
        token: Option<&str>,
    ) -> Result<ListPage, ListReadError> {
        let was_kept = kept.is_some();
        let connection = match kept {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        match self.ask(connection, token).await {
            Err(ListReadError::Connection(_)) if was_kept => {
                let connection = self.connect().await?;
                self.ask(connection, token).await
            }
            other => other,
        }
    }

    async fn connect(&self) -> Result<SendRequest<Empty<Bytes>>, ListReadError> {
        let socket = TcpStream::connect(self.api.address).await?;
        let _ = socket.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(socket)).await?;
        spawn_local(async move {
            // Its error is also that of the call.
            let _ = connection.await;
        });
        Ok(sender)
    }

    async fn ask(
        &mut self,
        mut connection: SendRequest<Empty<Bytes>>,
        token: Option<&str>,
    ) -> Result<ListPage, ListReadError> {
        connection.ready().await?;
        let uri = token.map_or_else(
            || "/instances".to_owned(),
            |token| format!("/instances?pageToken={}", escaped(token)),
        );
        let request = Request::get(uri).header(HOST, self.api.address.to_string()).body(Empty::new());
        let Ok(request) = request else { return Err(ListReadError::Body) };
        let answer = connection.send_request(request).await?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_PAGE_BYTES).collect().await;
        let body = body.map_err(|_| ListReadError::Body)?.to_bytes();
        self.connection = Some(connection);
        if status != StatusCode::OK {
            return Err(ListReadError::Status(status));
        }
        Ok(parse_page(&body)?)
    }
}

/// Calls that may be made at once.
fn burst(api: &CloudApi) -> f64 {
    (api.rate_per_s * BURST_S).max(1.0)
}

/// Percent-encodes what is not unreserved in a query.
fn escaped(token: &str) -> String {
    let mut escaped = String::with_capacity(token.len());
    for byte in token.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                escaped.push(char::from(byte))
            }
            other => escaped.push_str(&format!("%{other:02X}")),
        }
    }
    escaped
}

/// Reads the list while this machine holds the lease, for ever.
pub async fn run(api: CloudApi, engine: Engine) {
    let mut reader = ListReader::new(api);
    let mut health = Health::default();
    loop {
        if !engine.inspect(|node, now| node.holds_lease(now)) {
            health = Health::default();
            reader.connection = None;
            // A leader that lost its lease for a moment gets it back without a change of leadership.
            let leads = engine.inspect(|node, _| node.replica().is_leader());
            if leads {
                sleep(FIRST_PAUSE).await;
            } else {
                engine.lease_changed().await;
            }
            continue;
        }
        let began = engine.now();
        let holds = || engine.inspect(|node, now| node.holds_lease(now));
        let on_page = |page: &[ServerEntry]| {
            engine.update(|node, now, effects| node.handle_list_page(now, page, effects));
        };
        let pause = match reader.read(holds, on_page).await {
            Ok(servers) => {
                health.succeeded(&engine);
                engine.update(|node, now, effects| node.handle_list(now, began, servers, effects));
                let spent = Duration::from_micros(engine.now().saturating_sub(began));
                reader.period().saturating_sub(spent)
            }
            Err(error) => health.failed(&engine, began, &error),
        };
        sleep(pause).await;
    }
}

/// Whether the platform answers.
#[derive(Debug, Default)]
struct Health {
    failing_since: Option<u64>,
    failures: u32,
}

impl Health {
    fn succeeded(&mut self, engine: &Engine) {
        if self.failing_since.take().is_some() {
            info!(engine.log(), "the list is read again"; "failures" => self.failures);
        }
        self.failures = 0;
    }

    /// Notes a failure; how long to wait before the next reading.
    fn failed(&mut self, engine: &Engine, began: u64, error: &ListReadError) -> Duration {
        if self.failing_since.is_none() {
            warn!(engine.log(), "the list can't be read"; "reason" => %error);
        }
        let since = *self.failing_since.get_or_insert(began);
        let pause = FIRST_PAUSE.saturating_mul(1 << self.failures.min(4)).min(PERIOD);
        self.failures = self.failures.saturating_add(1);
        if engine.now() > since + DELEGATE_AFTER {
            engine.update(|node, now, effects| node.delegate_list_read(now, effects));
        }
        pause
    }
}

/// Reads the list once each time that the leader asks for it, for ever.
pub async fn serve_leader_requests(api: CloudApi, engine: Engine) {
    let mut reader = ListReader::new(api);
    loop {
        let (request, leader) = engine.next_list_request().await;
        let read = reader.read(|| true, |_| ()).await;
        engine.answer_list_request(&leader, request, read.ok());
    }
}
