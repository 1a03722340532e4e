//! The fields of the protocol, and those of one hop.

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
/// Marks a client's retry.
pub const RETRY: HeaderName = HeaderName::from_static("req-retry");
/// Further figures about a request.
pub const EXTRA: HeaderName = HeaderName::from_static("req-extra");
/// A server's word that it has not run the request.
pub const DECLINED: HeaderName = HeaderName::from_static("srv-declined");

/// Fields of one hop, whether or not `Connection` names them (RFC 9110, 7.6.1), and those that frame a message:
/// each hop has its own.
const HOP: [HeaderName; 10] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("http2-settings"),
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// The value of a field that is there once and is text.
///
/// ```
/// use dunelink_edge::fields::{KEY, single_text_value};
///
/// let mut headers = http::HeaderMap::new();
/// assert_eq!(single_text_value(&headers, &KEY), None);
/// headers.append(KEY, "5c0f".parse().unwrap());
/// assert_eq!(single_text_value(&headers, &KEY), Some("5c0f"));
/// headers.append(KEY, "5c0f".parse().unwrap());
/// assert_eq!(single_text_value(&headers, &KEY), None);
/// ```
pub fn single_text_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())?.to_str().ok()
}

/// Whether a message holds this field for its last recipient, so that `Connection` must not name it (RFC 9110,
/// 7.6.1). One that does all the same is not heeded there: without its key a keyed request would run twice,
/// without its credentials it would run as someone else's.
///
/// ```
/// use dunelink_edge::fields::is_end_to_end;
/// use http::header;
///
/// assert!(is_end_to_end(&header::AUTHORIZATION) && is_end_to_end(&header::COOKIE));
/// assert!(!is_end_to_end(&header::UPGRADE) && !is_end_to_end(&"x-hop".parse().unwrap()));
/// ```
pub fn is_end_to_end(name: &HeaderName) -> bool {
    const PREFIXES: [&str; 8] =
        ["accept", "content-", "if-", "req-", "srv-", "set-cookie", "access-control-", "x-forwarded-"];
    const NAMES: [HeaderName; 19] = [
        KEY,
        header::AGE,
        header::ALLOW,
        header::AUTHORIZATION,
        header::CACHE_CONTROL,
        header::COOKIE,
        header::DATE,
        header::ETAG,
        header::EXPIRES,
        header::FORWARDED,
        header::HOST,
        header::LAST_MODIFIED,
        header::LOCATION,
        header::ORIGIN,
        header::RANGE,
        header::RETRY_AFTER,
        header::VARY,
        header::VIA,
        header::WWW_AUTHENTICATE,
    ];
    // A length frames the message of one hop.
    *name != header::CONTENT_LENGTH
        && (NAMES.contains(name) || PREFIXES.iter().any(|prefix| name.as_str().starts_with(prefix)))
}

/// Removes what is about one connection and not about the message.
///
/// ```
/// use dunelink_edge::fields::drop_hop_fields;
///
/// let mut headers = http::HeaderMap::new();
/// headers.insert("connection", "keep-alive, x-hop, authorization".parse().unwrap());
/// headers.insert("x-hop", "1".parse().unwrap());
/// headers.insert("authorization", "Bearer 7".parse().unwrap());
/// drop_hop_fields(&mut headers);
/// assert_eq!(headers.keys().map(|name| name.as_str()).collect::<Vec<_>>(), ["authorization"]);
/// ```
pub fn drop_hop_fields(headers: &mut HeaderMap) {
    // Most messages name nothing beyond how their connection ends.
    let usual = |value: &HeaderValue| {
        value.as_bytes().eq_ignore_ascii_case(b"keep-alive")
            || value.as_bytes().eq_ignore_ascii_case(b"close")
    };
    if !headers.get_all(header::CONNECTION).iter().all(usual) {
        let named: Vec<HeaderName> = headers
            .get_all(header::CONNECTION)
            .iter()
            .flat_map(|value| value.as_bytes().split(|octet| *octet == b','))
            .filter_map(|name| HeaderName::from_bytes(name.trim_ascii()).ok())
            .filter(|name| !is_end_to_end(name))
            .collect();
        named.iter().for_each(|name| {
            headers.remove(name);
        });
    }
    HOP.iter().for_each(|name| {
        headers.remove(name);
    });
}

/// Whether some servers take a field's name for that of another: gateways to programs turn every octet that is
/// no letter or digit into `_` (RFC 3875, 4.1.18), so that `Req_Id` and `Req-Id` are one there.
pub(crate) fn is_look_alike(name: &str) -> bool {
    // Of the octets that a name may hold, these are usual.
    if name.bytes().all(|octet| octet.is_ascii_lowercase() || octet == b'-' || octet.is_ascii_digit()) {
        return false;
    }
    let folded: String = name
        .bytes()
        .map(|octet| if octet.is_ascii_alphanumeric() { octet.to_ascii_lowercase() as char } else { '-' })
        .collect();
    HeaderName::from_bytes(folded.as_bytes())
        .is_ok_and(|folded| is_end_to_end(&folded) || HOP.contains(&folded) || is_override(&folded))
}

/// Fields by which some frameworks replace a request's target.
const TARGETS: [&str; 2] = ["x-original-url", "x-rewrite-url"];
/// Fields by which some frameworks replace a request's method.
const METHODS: [&str; 3] = ["x-http-method-override", "x-http-method", "x-method-override"];

/// Whether some frameworks replace the request's target by this field's value.
pub(crate) fn names_target(name: &HeaderName) -> bool {
    TARGETS.contains(&name.as_str())
}

/// Whether some frameworks replace the request's method by this field's value.
pub(crate) fn names_method(name: &HeaderName) -> bool {
    METHODS.contains(&name.as_str())
}

fn is_override(name: &HeaderName) -> bool {
    names_target(name) || names_method(name)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_that_programs_fold_into_ours_are_found() {
        for name in
            ["req_id", "Req.Id", "idempotency_key", "content_length", "transfer_encoding", "x_http_method"]
        {
            assert!(is_look_alike(name), "{name}");
        }
        for name in ["req-id", "authorization", "x_request_id", "x-http-method", "host_"] {
            assert!(!is_look_alike(name), "{name}");
        }
    }

    #[test]
    fn options_of_a_connection_are_read_through_odd_octets() {
        let mut headers = HeaderMap::new();
        headers.append(header::CONNECTION, HeaderValue::from_bytes(b"x-hop, \xff, ,Keep-Alive").unwrap());
        headers.append(header::CONNECTION, HeaderValue::from_static("Req-Id,COOKIE,x-two"));
        for name in ["x-hop", "x-two", "req-id", "cookie", "keep-alive", "content-length", "te"] {
            headers.insert(HeaderName::from_static(name), HeaderValue::from_static("1"));
        }
        drop_hop_fields(&mut headers);
        let mut left: Vec<&str> = headers.keys().map(HeaderName::as_str).collect();
        left.sort_unstable();
        assert_eq!(left, ["cookie", "req-id"]);
    }
}
