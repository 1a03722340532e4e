//! The headers of the protocol that the node reads or writes itself, and those of one hop.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Names a request; no other open one has the same.
pub const ID: HeaderName = HeaderName::from_static("req-id");
/// Makes repeats of a keyed request harmless.
pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// For how long the sender waits: seconds, with decimals.
pub const DEADLINE: HeaderName = HeaderName::from_static("req-deadline");
/// The tenant's name.
pub const OWNER: HeaderName = HeaderName::from_static("req-owner");
/// A guess at the work, in microseconds.
pub const COST: HeaderName = HeaderName::from_static("req-cost");
/// A server's word that it has not run the request.
pub(crate) const DECLINED: HeaderName = HeaderName::from_static("srv-declined");

/// The value of a header that is there once and is text.
pub(crate) fn only<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())?.to_str().ok()
}

/// Whether a message says where it ends, and in one way.
pub(crate) fn states_its_end(headers: &HeaderMap) -> bool {
    let encodings: Vec<&HeaderValue> = headers.get_all(header::TRANSFER_ENCODING).iter().collect();
    match (&encodings[..], headers.contains_key(header::CONTENT_LENGTH)) {
        ([], length) => length,
        ([one], length) => one.as_bytes().eq_ignore_ascii_case(b"chunked") && !length,
        _ => false,
    }
}

/// Removes what is about one connection and not about the message.
pub(crate) fn drop_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        // Without its key a keyed request would run twice, whatever a client says of its connection.
        .filter(|name| *name != ID && *name != KEY)
        .collect();
    let fixed = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
    ];
    named.iter().chain(&fixed).for_each(|name| {
        headers.remove(name);
    });
}
