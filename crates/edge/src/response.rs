//! The one reading of a server's answer.

use http::header::{self, HeaderMap};
use http::response::Parts;
use http::{StatusCode, Version};

use crate::fields::{DECLINED, drop_hop_fields, single_text_value};

/// What an answer says of the request.
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
    /// It ran, and this is its result.
    Served,
    /// It has not run: the server's word, said once and clearly.
    Declined,
    /// A 2xx other than 200: it ran too, where servers go by HTTP alone.
    ServedNonOk,
    /// A 4xx about the request, which any other server would answer alike: all but 408, 421, 425 and 429, which are
    /// about the server or its connection.
    ClientError,
    /// It may have run.
    Error,
}

impl RequestOutcome {
    /// What a head says.
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

/// Whether an answer says where it ends, in one way: one that ends with its connection may be half of one, and
/// with two ends the rest would pass for the next answer (RFC 9112, 6.3). A server of HTTP/1.0 has no encodings
/// (6.1).
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
    let length = headers.contains_key(header::CONTENT_LENGTH);
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    match codings.next() {
        None => length,
        Some(coding) => {
            let chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked") && codings.next().is_none();
            chunked && !length && version == Version::HTTP_11
        }
    }
}

/// Whether an answer ends with its connection and says so: it has no framing, and its server closes (RFC 9112, 6.3 and
/// 9.6). Its end is then one that was meant, if the connection was not reset.
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
    let says = |word: &str| {
        let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
        values.flat_map(|value| value.split(',')).any(|option| option.trim().eq_ignore_ascii_case(word))
    };
    is_unframed(headers) && (says("close") || version == Version::HTTP_10 && !says("keep-alive"))
}

/// Whether an answer has no framing at all, so that the end of its connection is its end (RFC 9112, 6.3).
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

/// Whether an answer of this status has no body, whatever its fields say (RFC 9112, 6.3).
///
/// ```
/// assert!(dunelink_edge::response::has_no_body(http::StatusCode::NO_CONTENT));
/// ```
pub fn has_no_body(status: StatusCode) -> bool {
    matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Makes a server's head one that can be passed on: without the fields of its hop and its framing, in the
/// node's own version (RFC 9110, 6.2).
///
/// ```
/// let answer = http::Response::builder().version(http::Version::HTTP_10).header("connection", "close");
/// let (mut head, ()) = answer.header("x-note", "1").body(())?.into_parts();
/// dunelink_edge::response::prepare_for_forwarding(&mut head);
/// assert_eq!((head.version, head.headers.len()), (http::Version::HTTP_11, 1));
/// # Ok::<(), http::Error>(())
/// ```
pub fn prepare_for_forwarding(head: &mut Parts) {
    drop_hop_fields(&mut head.headers);
    head.version = Version::HTTP_11;
}
