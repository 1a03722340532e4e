//! Reads a client request and validates its head.

use std::time::Duration;

use dunelink_edge::fields::{drop_hop_fields, single_text_value};
use dunelink_edge::request::{HostRequirement, validate_head};
use dunelink_serving_model::PromptPart;
use dunelink_settings::ClientLimits;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::request::Parts;
use http::{Method, Request, StatusCode, Uri};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::memory::request_body::RequestBody;
use crate::request_failure::RequestFailure;
use crate::response::{
    DEADLINE_MS, EXPECT_INSTANCE, LocalReply, PROMPT_PREFIX, REQUEST_ID, TENANT, TOKEN_COUNTS,
};

/// Maximum number of prompt parts that are read.
const MAX_PROMPT_PARTS: usize = 256;
/// Number of trailing hex digits of a prompt part's id that are used.
const PART_ID_HEX_DIGITS: usize = 16;

/// A client request whose body was read completely.
#[derive(Debug)]
pub struct ClientRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Headers that are forwarded to a server, including `Host`.
    pub headers: HeaderMap,
    /// Body, received completely.
    pub body: RequestBody,
    /// Client-chosen id of this attempt, from `x-dunelink-request-id`.
    pub id: HeaderValue,
    /// How long the client waits for the response; `None` if it does not say.
    pub client_timeout: Option<Duration>,
    /// Bearer token of the client; `None` if it sent none.
    pub api_key: Option<String>,
    /// Prompt size and prefix that the request states.
    pub prompt: PromptInfo,
}

/// Prompt size and prefix that a request states in its headers.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct PromptInfo {
    /// Prompt tokens and maximum output tokens; `None` if the request does not state them.
    pub tokens: Option<(u32, u32)>,
    /// Prompt parts in prompt order.
    pub parts: Vec<PromptPart>,
}

impl PromptInfo {
    /// Parses the `x-dunelink-prompt-prefix` and `x-dunelink-token-counts` headers. Invalid values are
    /// ignored.
    pub fn from_headers(headers: &HeaderMap) -> Self {
        let parts = single_text_value(headers, &PROMPT_PREFIX).map(parse_prompt_parts).unwrap_or_default();
        Self { tokens: single_text_value(headers, &TOKEN_COUNTS).and_then(parse_token_counts), parts }
    }

    /// Returns the sum of prompt tokens and maximum output tokens, if the request states them.
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

/// Reads a request completely and stores its body in `body`. The body has to arrive within `body_timeout`.
///
/// # Errors
///
/// The reply to the client, and the request's id if it has one.
pub async fn read(
    request: Request<Incoming>,
    body: RequestBody,
    limits: &ClientLimits,
    body_timeout: Duration,
) -> Result<ClientRequest, (LocalReply, Option<HeaderValue>)> {
    let (mut head, incoming) = request.into_parts();
    let id = single_value(&head.headers, &REQUEST_ID).cloned();
    // The head is ambiguous, so the end of the request's body is uncertain.
    if validate_head(&head, HostRequirement::Required).is_err() {
        return Err((LocalReply::new(StatusCode::BAD_REQUEST).closing_connection(), id));
    }
    let max_bytes = usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX);
    // The body is read even if the request will be rejected: a response sent before the client has finished
    // sending may be lost when the connection closes.
    if let Err(reply) = read_body(incoming, &body, max_bytes, body_timeout).await {
        return Err((reply, id));
    }
    match build_request(&mut head, id.clone(), body) {
        Some(request) => Ok(request),
        None => Err((LocalReply::new(StatusCode::BAD_REQUEST), id)),
    }
}

/// Reads the body, up to `max_bytes` and within `timeout`. A body that is released for lack of memory is read
/// to its end, and the request is refused.
async fn read_body(
    incoming: Incoming,
    body: &RequestBody,
    max_bytes: usize,
    timeout: Duration,
) -> Result<(), LocalReply> {
    if !incoming.is_end_stream() {
        let received = tokio::time::timeout(timeout, receive(incoming, body, max_bytes)).await;
        received
            .unwrap_or(Err(StatusCode::REQUEST_TIMEOUT))
            .map_err(|status| LocalReply::new(status).closing_connection())?;
    }
    if body.is_released() {
        return Err(RequestFailure::REJECTED.with_jitter().local_reply());
    }
    body.finish();
    Ok(())
}

/// Receives a body of up to `max_bytes`.
async fn receive(mut incoming: Incoming, body: &RequestBody, max_bytes: usize) -> Result<(), StatusCode> {
    let stated_length = incoming.size_hint().exact();
    if incoming.size_hint().lower() > max_bytes as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let mut received_bytes = 0;
    while let Some(frame) = incoming.frame().await {
        let data = frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data().unwrap_or_default();
        body.push(&data, stated_length.map(|length| length.saturating_sub(received_bytes as u64)));
        received_bytes += data.len();
        if received_bytes > max_bytes {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
    }
    Ok(())
}

/// Builds the request from its head and body; removes the headers that are not forwarded. `None` if a
/// required field is missing, repeated or invalid.
fn build_request(head: &mut Parts, id: Option<HeaderValue>, body: RequestBody) -> Option<ClientRequest> {
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
    if body.length() > 0 {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(body.length()));
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

/// Returns the value of a header that occurs exactly once.
fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

fn parse_milliseconds(value: &HeaderValue) -> Option<Duration> {
    let millis: f64 = value.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(millis / 1_000.0).ok()
}

/// Returns the API key that an `Authorization` header contains.
pub(crate) fn bearer_token(value: &HeaderValue) -> Option<&str> {
    let (scheme, token) = value.to_str().ok()?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}
