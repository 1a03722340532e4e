//! The header fields of the protocol, and the hop-by-hop fields.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Request id, unique among the requests in flight.
pub const ID: HeaderName = HeaderName::from_static("req-id");
/// Idempotency key: makes it safe to send a keyed request more than once.
pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Time for which the client waits for the response, in seconds, with decimals.
pub const DEADLINE: HeaderName = HeaderName::from_static("req-deadline");
/// Name of the tenant.
pub const OWNER: HeaderName = HeaderName::from_static("req-owner");
/// Estimated processing time, in microseconds.
pub const COST: HeaderName = HeaderName::from_static("req-cost");
/// Marks a request as a retry by the client.
pub const RETRY: HeaderName = HeaderName::from_static("req-retry");
/// Additional numeric properties of a request.
pub const EXTRA: HeaderName = HeaderName::from_static("req-extra");
/// Response field with which a server states that it has not executed the request.
pub const DECLINED: HeaderName = HeaderName::from_static("srv-declined");

/// Hop-by-hop fields, whether or not `Connection` names them (RFC 9110, 7.6.1), and the fields that frame a
/// message, because each hop frames it separately.
const HOP_BY_HOP_FIELDS: [HeaderName; 10] = [
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

/// The value of a field that occurs exactly once and is text.
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

/// Whether this field is meant for the final recipient, so that `Connection` must not name it (RFC 9110,
/// 7.6.1). If `Connection` names it nevertheless, the field is kept: without its key a keyed request could be
/// executed twice, and without its credentials a request could be executed for another user.
///
/// ```
/// use dunelink_edge::fields::is_end_to_end;
/// use http::header;
///
/// assert!(is_end_to_end(&header::AUTHORIZATION) && is_end_to_end(&header::COOKIE));
/// assert!(!is_end_to_end(&header::UPGRADE) && !is_end_to_end(&"x-hop".parse().unwrap()));
/// ```
pub fn is_end_to_end(name: &HeaderName) -> bool {
    const END_TO_END_PREFIXES: [&str; 8] =
        ["accept", "content-", "if-", "req-", "srv-", "set-cookie", "access-control-", "x-forwarded-"];
    const END_TO_END_NAMES: [HeaderName; 19] = [
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
    // `Content-Length` frames the message on one hop.
    *name != header::CONTENT_LENGTH
        && (END_TO_END_NAMES.contains(name)
            || END_TO_END_PREFIXES.iter().any(|prefix| name.as_str().starts_with(prefix)))
}

/// Removes the hop-by-hop fields: those that concern one connection and not the message.
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
    // Fast path: most messages name no fields in `Connection`.
    let names_no_field = |value: &HeaderValue| {
        value.as_bytes().eq_ignore_ascii_case(b"keep-alive")
            || value.as_bytes().eq_ignore_ascii_case(b"close")
    };
    if !headers.get_all(header::CONNECTION).iter().all(names_no_field) {
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
    HOP_BY_HOP_FIELDS.iter().for_each(|name| {
        headers.remove(name);
    });
}

/// Whether some servers mistake this field name for a known one: CGI gateways turn every octet that is
/// not a letter or digit into `_` (RFC 3875, 4.1.18), so that `Req_Id` and `Req-Id` become equal.
pub(crate) fn is_look_alike(name: &str) -> bool {
    // Fast path: names of only these octets are unchanged by the folding.
    if name.bytes().all(|octet| octet.is_ascii_lowercase() || octet == b'-' || octet.is_ascii_digit()) {
        return false;
    }
    let folded: String = name
        .bytes()
        .map(|octet| if octet.is_ascii_alphanumeric() { octet.to_ascii_lowercase() as char } else { '-' })
        .collect();
    HeaderName::from_bytes(folded.as_bytes()).is_ok_and(|folded| {
        is_end_to_end(&folded) || HOP_BY_HOP_FIELDS.contains(&folded) || is_override_field(&folded)
    })
}

/// Fields with which some frameworks replace the target of a request.
const TARGET_OVERRIDE_FIELDS: [&str; 2] = ["x-original-url", "x-rewrite-url"];
/// Fields with which some frameworks replace the method of a request.
const METHOD_OVERRIDE_FIELDS: [&str; 3] = ["x-http-method-override", "x-http-method", "x-method-override"];

/// Whether some frameworks replace the request's target with the value of this field.
pub(crate) fn overrides_target(name: &HeaderName) -> bool {
    TARGET_OVERRIDE_FIELDS.contains(&name.as_str())
}

/// Whether some frameworks replace the request's method with the value of this field.
pub(crate) fn overrides_method(name: &HeaderName) -> bool {
    METHOD_OVERRIDE_FIELDS.contains(&name.as_str())
}

fn is_override_field(name: &HeaderName) -> bool {
    overrides_target(name) || overrides_method(name)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn look_alike_names_are_detected() {
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
    fn connection_options_with_invalid_octets_are_parsed() {
        let mut headers = HeaderMap::new();
        headers.append(header::CONNECTION, HeaderValue::from_bytes(b"x-hop, \xff, ,Keep-Alive").unwrap());
        headers.append(header::CONNECTION, HeaderValue::from_static("Req-Id,COOKIE,x-two"));
        for name in ["x-hop", "x-two", "req-id", "cookie", "keep-alive", "content-length", "te"] {
            headers.insert(HeaderName::from_static(name), HeaderValue::from_static("1"));
        }
        drop_hop_fields(&mut headers);
        let mut remaining: Vec<&str> = headers.keys().map(HeaderName::as_str).collect();
        remaining.sort_unstable();
        assert_eq!(remaining, ["cookie", "req-id"]);
    }
}
