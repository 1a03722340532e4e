//! Reading a client's request.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use dunelink_edge::fields::{drop_hop_fields, only};
use dunelink_edge::request::{Hosting, read as validate_head};
use dunelink_serving_model::PromptPart;
use dunelink_settings::ClientLimits;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::request::Parts;
use http::{Method, Request, StatusCode, Uri};
use http_body::Body;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use crate::response::{
    DEADLINE_MS, EXPECT_INSTANCE, LocalReply, PROMPT_PREFIX, REQUEST_ID, TENANT, TOKEN_COUNTS,
};

/// Most parts of a prompt that are looked at.
const MAX_PROMPT_PARTS: usize = 256;
/// Digits of a prompt part's id that name it.
const PART_ID_HEX_DIGITS: usize = 16;

/// A client's request, read whole.
#[derive(Debug)]
pub struct ClientRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: Uri,
    /// What goes on to a server; `Host` is among it.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Names the try.
    pub id: HeaderValue,
    /// How long the client waits.
    pub client_timeout: Option<Duration>,
    /// Its key, if it has one.
    pub api_key: Option<String>,
    /// What it says of its prompt.
    pub prompt: PromptInfo,
}

/// What a request says of its prompt.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct PromptInfo {
    /// Tokens of the prompt and tokens to be made at most, where they are stated.
    pub tokens: Option<(u32, u32)>,
    /// Parts in order.
    pub parts: Vec<PromptPart>,
}

impl PromptInfo {
    /// Reads the two headers.
    pub fn from_headers(headers: &HeaderMap) -> Self {
        let parts = only(headers, &PROMPT_PREFIX).map(parse_prompt_parts).unwrap_or_default();
        Self { tokens: only(headers, &TOKEN_COUNTS).and_then(parse_token_counts), parts }
    }

    /// Tokens in and out together, where they are stated.
    pub fn total_tokens(&self) -> Option<u64> {
        self.tokens.map(|(input, output)| u64::from(input) + u64::from(output))
    }
}

fn parse_token_counts(text: &str) -> Option<(u32, u32)> {
    let (input, output) = text.split_once(',')?;
    Some((input.trim().parse().ok()?, output.trim().parse().ok()?))
}

fn parse_prompt_parts(text: &str) -> Vec<PromptPart> {
    text.split(',').take(MAX_PROMPT_PARTS).map_while(parse_prompt_part).collect()
}

fn parse_prompt_part(text: &str) -> Option<PromptPart> {
    let (id, tokens) = text.trim().split_once(':')?;
    let digits = id.get(id.len().saturating_sub(PART_ID_HEX_DIGITS)..)?;
    Some(PromptPart { id: u64::from_str_radix(digits, 16).ok()?, tokens: tokens.parse().ok()? })
}

/// Reads a request whole; its body within `body_timeout`.
///
/// # Errors
///
/// What its client is told, and its id if it has one.
pub async fn read(
    request: Request<Incoming>,
    limits: &ClientLimits,
    body_timeout: Duration,
) -> Result<ClientRequest, (LocalReply, Option<HeaderValue>)> {
    let (mut head, body) = request.into_parts();
    let id = single_value(&head.headers, &REQUEST_ID).cloned();
    // Where its body ends is in doubt.
    if validate_head(&head, Hosting::Wire).is_err() {
        return Err((LocalReply::new(StatusCode::BAD_REQUEST).closing_connection(), id));
    }
    let max_bytes = usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX);
    // It is read also if the request is refused: an answer that overtakes it may be lost with the connection.
    let body = match read_body(body, max_bytes, body_timeout).await {
        Ok(body) => body,
        Err(reply) => return Err((reply, id)),
    };
    match build_request(&mut head, id.clone(), body) {
        Some(request) => Ok(request),
        None => Err((LocalReply::new(StatusCode::BAD_REQUEST), id)),
    }
}

async fn read_body(body: Incoming, max_bytes: usize, body_timeout: Duration) -> Result<Bytes, LocalReply> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(LocalReply::new(StatusCode::PAYLOAD_TOO_LARGE).closing_connection());
    }
    match with_timeout(body_timeout, Limited::new(body, max_bytes).collect()).await {
        Some(Ok(body)) => Ok(body.to_bytes()),
        Some(Err(error)) if error.is::<LengthLimitError>() => {
            Err(LocalReply::new(StatusCode::PAYLOAD_TOO_LARGE).closing_connection())
        }
        Some(Err(_)) => Err(LocalReply::new(StatusCode::BAD_REQUEST).closing_connection()),
        None => Err(LocalReply::new(StatusCode::REQUEST_TIMEOUT).closing_connection()),
    }
}

async fn with_timeout<T>(timeout: Duration, future: impl Future<Output = T>) -> Option<T> {
    tokio::time::timeout(timeout, future).await.ok()
}

/// Takes what is needed out of the head, and leaves what goes on; nothing if a field is missing, repeated or odd.
fn build_request(head: &mut Parts, id: Option<HeaderValue>, body: Bytes) -> Option<ClientRequest> {
    let id = id.filter(|id| !id.is_empty())?;
    let client_timeout = match head.headers.contains_key(&DEADLINE_MS) {
        true => Some(parse_milliseconds(single_value(&head.headers, &DEADLINE_MS)?)?),
        false => None,
    };
    let prompt = PromptInfo::from_headers(&head.headers);
    let api_key = head.headers.get(header::AUTHORIZATION).and_then(bearer_token).map(str::to_owned);
    let headers = &mut head.headers;
    drop_hop_fields(headers);
    for name in [header::AUTHORIZATION, TENANT, EXPECT_INSTANCE] {
        headers.remove(name);
    }
    headers.insert(REQUEST_ID, id.clone());
    if !body.is_empty() {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    let target = head.uri.path_and_query()?.clone();
    Some(ClientRequest {
        method: head.method.clone(),
        target: target.into(),
        headers: std::mem::take(headers),
        body,
        id,
        client_timeout,
        api_key,
        prompt,
    })
}

/// The value of a field that stands there once.
fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

fn parse_milliseconds(value: &HeaderValue) -> Option<Duration> {
    let millis: f64 = value.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(millis / 1_000.0).ok()
}

fn bearer_token(value: &HeaderValue) -> Option<&str> {
    let (scheme, token) = value.to_str().ok()?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}
