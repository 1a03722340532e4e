//! Interpretation of server responses, and their preparation for forwarding.

use http::header::{self, HeaderMap};
use http::response::Parts;
use http::{StatusCode, Version};

use crate::fields::{DECLINED, drop_hop_fields, single_text_value};

/// What a response states about the execution of the request.
///
/// ```
/// use dunelink_edge::response::RequestOutcome;
///
/// let (head, ()) = http::Response::builder().status(503).header("srv-declined", "1").body(())?.into_parts();
/// assert_eq!(RequestOutcome::of(&head), RequestOutcome::Declined);
/// # Ok::<(), http::Error>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request was executed: status 200.
    Served,
    /// The request was not executed: status 503 or 504 with exactly one `srv-declined: 1`.
    Declined,
    /// A 2xx status other than 200: the request was executed, if the server follows plain HTTP semantics.
    ServedNonOk,
    /// A 4xx status about the request, which any other server would return too: all except 408, 421, 425 and
    /// 429, which are about the server or the connection.
    ClientError,
    /// Any other status: the request may have been executed.
    Error,
}

impl RequestOutcome {
    /// Determines the outcome from a response head.
    pub fn of(head: &Parts) -> RequestOutcome {
        match head.status {
            StatusCode::OK => RequestOutcome::Served,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
                if single_text_value(&head.headers, &DECLINED) == Some("1") =>
            {
                RequestOutcome::Declined
            }
            StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_EARLY
            | StatusCode::TOO_MANY_REQUESTS => RequestOutcome::Error,
            status if status.is_success() => RequestOutcome::ServedNonOk,
            status if status.is_client_error() => RequestOutcome::ClientError,
            _ => RequestOutcome::Error,
        }
    }
}

/// Whether a response states its end in exactly one way. A response delimited by the end of its connection
/// may be truncated, and with two conflicting ends the rest would be taken for the next response (RFC 9112,
/// 6.3). HTTP/1.0 has no transfer codings (6.1).
///
/// ```
/// use dunelink_edge::response::is_self_delimited;
/// use http::{HeaderMap, Version};
///
/// let mut headers = HeaderMap::new();
/// assert!(!is_self_delimited(&headers, Version::HTTP_11));
/// headers.insert("transfer-encoding", "chunked".parse().unwrap());
/// assert!(is_self_delimited(&headers, Version::HTTP_11) && !is_self_delimited(&headers, Version::HTTP_10));
/// headers.insert("content-length", "3".parse().unwrap());
/// assert!(!is_self_delimited(&headers, Version::HTTP_11));
/// ```
pub fn is_self_delimited(headers: &HeaderMap, version: Version) -> bool {
    let has_length = headers.contains_key(header::CONTENT_LENGTH);
    let mut transfer_codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    match transfer_codings.next() {
        None => has_length,
        Some(coding) => {
            let is_chunked =
                coding.as_bytes().eq_ignore_ascii_case(b"chunked") && transfer_codings.next().is_none();
            is_chunked && !has_length && version == Version::HTTP_11
        }
    }
}

/// Whether a response is delimited by the end of its connection and announces that: it has no framing, and
/// the server closes the connection (RFC 9112, 6.3 and 9.6). The end is then intended, unless the connection
/// was reset.
///
/// ```
/// use dunelink_edge::response::ends_with_connection;
/// use http::{HeaderMap, Version};
///
/// let mut headers = HeaderMap::new();
/// assert!(!ends_with_connection(&headers, Version::HTTP_11) && ends_with_connection(&headers, Version::HTTP_10));
/// headers.insert("connection", "close".parse().unwrap());
/// assert!(ends_with_connection(&headers, Version::HTTP_11));
/// headers.insert("transfer-encoding", "gzip".parse().unwrap());
/// assert!(!ends_with_connection(&headers, Version::HTTP_11));
/// ```
pub fn ends_with_connection(headers: &HeaderMap, version: Version) -> bool {
    let has_option = |name: &str| {
        let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
        values.flat_map(|value| value.split(',')).any(|option| option.trim().eq_ignore_ascii_case(name))
    };
    is_unframed(headers) && (has_option("close") || version == Version::HTTP_10 && !has_option("keep-alive"))
}

/// Whether a response has no framing, so that it is delimited by the end of its connection (RFC 9112, 6.3).
///
/// ```
/// use dunelink_edge::response::is_unframed;
/// use http::HeaderMap;
///
/// let mut headers = HeaderMap::new();
/// assert!(is_unframed(&headers));
/// headers.insert("content-length", "3".parse().unwrap());
/// assert!(!is_unframed(&headers));
/// ```
pub fn is_unframed(headers: &HeaderMap) -> bool {
    !headers.contains_key(header::CONTENT_LENGTH) && !headers.contains_key(header::TRANSFER_ENCODING)
}

/// Whether the content type of a response is that of an event stream; `None` if it states none.
///
/// ```
/// use dunelink_edge::response::states_event_stream;
/// use http::HeaderMap;
///
/// let mut headers = HeaderMap::new();
/// assert_eq!(states_event_stream(&headers), None);
/// headers.insert("content-type", "Text/Event-Stream; charset=utf-8".parse().unwrap());
/// assert_eq!(states_event_stream(&headers), Some(true));
/// headers.insert("content-type", "application/json".parse().unwrap());
/// assert_eq!(states_event_stream(&headers), Some(false));
/// ```
pub fn states_event_stream(headers: &HeaderMap) -> Option<bool> {
    let content_type = headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
    let media_type = content_type.split(';').next().unwrap_or_default();
    Some(media_type.trim().eq_ignore_ascii_case("text/event-stream"))
}

/// Whether a response with this status never has a body, regardless of its fields (RFC 9112, 6.3).
///
/// ```
/// assert!(dunelink_edge::response::has_no_body(http::StatusCode::NO_CONTENT));
/// ```
pub fn has_no_body(status: StatusCode) -> bool {
    matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Prepares a response head for forwarding: removes hop-by-hop fields and framing, and sets the HTTP
/// version of this node (RFC 9110, 6.2).
///
/// ```
/// let response = http::Response::builder().version(http::Version::HTTP_10).header("connection", "close");
/// let (mut head, ()) = response.header("x-note", "1").body(())?.into_parts();
/// dunelink_edge::response::prepare_for_forwarding(&mut head);
/// assert_eq!((head.version, head.headers.len()), (http::Version::HTTP_11, 1));
/// # Ok::<(), http::Error>(())
/// ```
pub fn prepare_for_forwarding(head: &mut Parts) {
    drop_hop_fields(&mut head.headers);
    head.version = Version::HTTP_11;
}
