//! Validation of request heads, and their preparation for forwarding.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::request::Parts;
use http::uri::Authority;
use http::{Uri, Version};

use crate::fault::Fault;
use crate::fields::{
    COST, DEADLINE, EXTRA, ID, KEY, OWNER, RETRY, drop_hop_fields, is_look_alike, overrides_method,
    overrides_target, single_text_value,
};
use crate::target::Target;

/// Fields of which recipients use one value: if there are two, some servers use the first and others the
/// last.
const SINGLETON_FIELDS: [HeaderName; 11] = [
    ID,
    KEY,
    OWNER,
    DEADLINE,
    COST,
    RETRY,
    EXTRA,
    header::AUTHORIZATION,
    header::CONTENT_TYPE,
    header::HOST,
    header::CONTENT_LENGTH,
];

/// Whether an HTTP/1.1 request must have a `Host` field.
///
/// RFC 9112, 3.2 requires it, but a request created within the process did not arrive over a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostRequirement {
    /// The request arrived over a connection: HTTP/1.1 requires `Host`.
    Required,
    /// The request was created within the process, or a framework has already validated it.
    Optional,
}

/// Validates a request head: its target, and the fields that could change its interpretation. Returns the
/// parsed target.
///
/// ```
/// use dunelink_edge::Fault;
/// use dunelink_edge::request::{HostRequirement, validate_head};
///
/// let (head, ()) = http::Request::get("/view/7f3a").header("host", "origin.svc").body(())?.into_parts();
/// assert_eq!(validate_head(&head, HostRequirement::Required)?.class(), "view");
///
/// let twice = http::Request::get("/view/7f3a").header("host", "a").header("host", "b").body(())?;
/// assert_eq!(validate_head(&twice.into_parts().0, HostRequirement::Required), Err(Fault::RepeatedField));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
///
/// # Errors
///
/// Some servers could interpret the head differently, or HTTP does not allow it.
pub fn validate_head(head: &Parts, host_requirement: HostRequirement) -> Result<Target<'_>, Fault> {
    if head.uri.query().is_some_and(|query| !query.is_ascii()) {
        return Err(Fault::NonAsciiOctet);
    }
    let target = Target::parse(head.uri.path())?;
    let headers = &head.headers;
    for name in headers.keys() {
        if is_look_alike(name.as_str()) {
            return Err(Fault::LookAlikeField);
        }
        if name.as_str().starts_with("x-") {
            check_overrides(head, name)?;
        }
    }
    if headers.keys_len() != headers.len()
        && SINGLETON_FIELDS.iter().any(|name| headers.get_all(name).iter().nth(1).is_some())
    {
        return Err(Fault::RepeatedField);
    }
    if headers.get(OWNER).is_some_and(|value| value.to_str().is_err()) {
        return Err(Fault::NonTextField);
    }
    check_host(head, host_requirement)?;
    check_framing(headers)?;
    // `Expect` in HTTP/1.0 is ignored (RFC 9110, 10.1.1).
    let is_supported = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"100-continue");
    if head.version > Version::HTTP_10 && !headers.get_all(header::EXPECT).iter().all(is_supported) {
        return Err(Fault::UnsupportedExpectation);
    }
    Ok(target)
}

/// A field with which a framework may replace target or method must have the request's own target or method
/// as value.
fn check_overrides(head: &Parts, name: &HeaderName) -> Result<(), Fault> {
    let all_equal =
        |own: &str| head.headers.get_all(name).iter().all(|value| value.as_bytes() == own.as_bytes());
    if overrides_target(name) && !all_equal(head.uri.path_and_query().map_or("", |own| own.as_str())) {
        return Err(Fault::TargetOverride);
    }
    if overrides_method(name) && !all_equal(head.method.as_str()) {
        return Err(Fault::MethodOverride);
    }
    Ok(())
}

/// Checks `Host` and the authority of the target (RFC 9112, 3.2 and 3.2.2; RFC 9113, 8.3.1). A request with
/// two different hosts is rejected, although the RFCs allow a recipient to ignore one of them.
fn check_host(head: &Parts, host_requirement: HostRequirement) -> Result<(), Fault> {
    if !matches!(head.uri.scheme_str(), None | Some("http" | "https")) {
        return Err(Fault::UnsupportedScheme);
    }
    let authority = head.uri.authority();
    if authority.is_some_and(|authority| authority.as_str().contains('@')) {
        return Err(Fault::InvalidHost);
    }
    match (head.headers.get(header::HOST), authority) {
        // In HTTP/1.1 an authority in the target does not replace `Host`.
        (None, _) if host_requirement == HostRequirement::Required && head.version == Version::HTTP_11 => {
            Err(Fault::MissingHost)
        }
        (None, _) => Ok(()),
        (Some(host), authority) => {
            let host = host.as_bytes();
            let is_plain = |octet: &u8| {
                octet.is_ascii_lowercase() || octet.is_ascii_digit() || matches!(octet, b'.' | b'-')
            };
            // `Host` may be empty (RFC 9112, 3.2); a plain host name needs no parsing.
            if authority.is_none() && host.iter().all(is_plain) {
                return Ok(());
            }
            let host = Authority::try_from(host).map_err(|_| Fault::InvalidHost)?;
            let port = host.as_str().rsplit_once(':').filter(|(_, port)| !port.ends_with(']'));
            if host.as_str().contains('@')
                || port.is_some_and(|(_, port)| !port.bytes().all(|b| b.is_ascii_digit()))
            {
                return Err(Fault::InvalidHost);
            }
            let normalize = |authority: &Authority| {
                let port = authority.port_u16().filter(|port| Some(*port) != default_port(&head.uri));
                (authority.host().to_ascii_lowercase(), port)
            };
            match authority {
                Some(authority) if normalize(authority) != normalize(&host) => Err(Fault::HostMismatch),
                _ => Ok(()),
            }
        }
    }
}

fn default_port(uri: &Uri) -> Option<u16> {
    match uri.scheme_str() {
        Some("http") => Some(80),
        Some("https") => Some(443),
        _ => None,
    }
}

/// Checks that the head states the end of the body in one way (RFC 9112, 6.1 and 6.3).
fn check_framing(headers: &HeaderMap) -> Result<(), Fault> {
    let mut transfer_codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(first) = transfer_codings.next() else { return Ok(()) };
    if !first.as_bytes().eq_ignore_ascii_case(b"chunked") || transfer_codings.next().is_some() {
        return Err(Fault::UnsupportedTransferCoding);
    }
    if headers.contains_key(header::CONTENT_LENGTH) {
        return Err(Fault::ConflictingFraming);
    }
    Ok(())
}

/// Prepares a head that [`validate_head`] accepted for forwarding to a server: removes the hop-by-hop fields,
/// adds `Host` if it is missing, joins `Cookie` fields into one (RFC 9113, 8.2.3) and adds `Via`. The client
/// of the next hop adds the framing.
///
/// ```
/// use dunelink_edge::request::prepare_for_forwarding;
///
/// let request = http::Request::get("/view/7f3a").header("te", "trailers").header("x-note", "1").body(())?;
/// let (mut head, ()) = request.into_parts();
/// prepare_for_forwarding(&mut head, "origin.svc");
/// assert!(head.headers["host"] == "origin.svc" && head.headers["via"] == "1.1 dunelink");
/// assert!(!head.headers.contains_key("te") && head.headers["x-note"] == "1");
/// # Ok::<(), http::Error>(())
/// ```
pub fn prepare_for_forwarding(head: &mut Parts, host: &'static str) {
    drop_hop_fields(&mut head.headers);
    if !head.headers.contains_key(header::HOST) {
        let authority = head.uri.authority().and_then(|a| HeaderValue::from_str(a.as_str()).ok());
        head.headers.insert(header::HOST, authority.unwrap_or(HeaderValue::from_static(host)));
    }
    if head.version >= Version::HTTP_2 {
        join_cookies(&mut head.headers);
    }
    // A pseudonym, so that the node's name is not disclosed (RFC 9110, 7.6.3).
    let via = match head.version {
        Version::HTTP_10 => "1.0 dunelink",
        Version::HTTP_2 => "2 dunelink",
        Version::HTTP_3 => "3 dunelink",
        _ => "1.1 dunelink",
    };
    head.headers.append(header::VIA, HeaderValue::from_static(via));
}

/// HTTP/2 clients may split cookies over several fields; HTTP/1.1 allows one.
fn join_cookies(headers: &mut HeaderMap) {
    let cookies: Vec<&[u8]> = headers.get_all(header::COOKIE).iter().map(HeaderValue::as_bytes).collect();
    if cookies.len() > 1
        && let Ok(joined) = HeaderValue::from_bytes(&cookies.join(&b"; "[..]))
    {
        headers.insert(header::COOKIE, joined);
    }
}

/// The idempotency key; `None` if the field is missing, repeated, empty or not text.
pub fn key(headers: &HeaderMap) -> Option<&str> {
    single_text_value(headers, &KEY).filter(|key| !key.is_empty())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn head(uri: &str, version: Version, fields: &[(&'static str, &[u8])]) -> Parts {
        let (mut head, ()) = http::Request::get(uri).version(version).body(()).unwrap().into_parts();
        for (name, value) in fields {
            head.headers.append(HeaderName::from_static(name), HeaderValue::from_bytes(value).unwrap());
        }
        head
    }

    fn fault(uri: &str, version: Version, fields: &[(&'static str, &[u8])]) -> Option<Fault> {
        validate_head(&head(uri, version, fields), HostRequirement::Required).err()
    }

    #[test]
    fn host_must_be_valid_and_match_the_target() {
        let (http1, http2) = (Version::HTTP_11, Version::HTTP_2);
        for (uri, version, host, expected) in [
            ("/view/1", http1, Some("origin.svc"), None),
            ("/view/1", http1, Some("origin.svc:8443"), None),
            ("/view/1", http1, Some("[::1]:80"), None),
            ("/view/1", http1, Some(""), None),
            ("/view/1", http1, None, Some(Fault::MissingHost)),
            ("/view/1", Version::HTTP_10, None, None),
            ("/view/1", http1, Some("a b"), Some(Fault::InvalidHost)),
            ("/view/1", http1, Some("user@origin.svc"), Some(Fault::InvalidHost)),
            ("/view/1", http1, Some("origin.svc:eighty"), Some(Fault::InvalidHost)),
            ("/view/1", http1, Some("origin.svc/order"), Some(Fault::InvalidHost)),
            ("http://origin.svc/view/1", http1, Some("ORIGIN.svc:80"), None),
            ("http://origin.svc/view/1", http1, Some("other.svc"), Some(Fault::HostMismatch)),
            ("http://origin.svc/view/1", http1, None, Some(Fault::MissingHost)),
            ("http://user@origin.svc/view/1", http1, Some("origin.svc"), Some(Fault::InvalidHost)),
            ("ftp://origin.svc/view/1", http1, Some("origin.svc"), Some(Fault::UnsupportedScheme)),
            ("https://origin.svc/view/1", http2, None, None),
            ("https://origin.svc/view/1", http2, Some("origin.svc:443"), None),
            ("https://origin.svc/view/1", http2, Some("origin.svc:80"), Some(Fault::HostMismatch)),
        ] {
            let fields: Vec<(&'static str, &[u8])> =
                host.iter().map(|host| ("host", host.as_bytes())).collect();
            assert_eq!(fault(uri, version, &fields), expected, "{uri} {host:?}");
        }
        assert!(validate_head(&head("/view/1", http1, &[]), HostRequirement::Optional).is_ok());
    }

    #[test]
    fn ambiguous_fields_are_rejected() {
        let http1 = Version::HTTP_11;
        for (fields, expected) in [
            (&[("req-owner", &b"acme"[..]), ("x-original-url", b"/view/1")][..], None),
            (&[("x-original-url", b"/order/1")], Some(Fault::TargetOverride)),
            (&[("x-rewrite-url", b"/order/1")], Some(Fault::TargetOverride)),
            (&[("x-http-method-override", b"POST")], Some(Fault::MethodOverride)),
            (&[("x-http-method", b"GET")], None),
            (&[("req-owner", b"acme"), ("req-owner", b"other")], Some(Fault::RepeatedField)),
            (&[("idempotency-key", b"1"), ("idempotency-key", b"1")], Some(Fault::RepeatedField)),
            (&[("authorization", b"a"), ("authorization", b"b")], Some(Fault::RepeatedField)),
            (&[("accept", b"a"), ("accept", b"b")], None),
            (&[("req_owner", b"other")], Some(Fault::LookAlikeField)),
            (&[("req-owner", b"\xe9")], Some(Fault::NonTextField)),
            (&[("transfer-encoding", b"chunked")], None),
            (&[("transfer-encoding", b"chunked, chunked")], Some(Fault::UnsupportedTransferCoding)),
            (
                &[("transfer-encoding", b"chunked"), ("transfer-encoding", b"chunked")],
                Some(Fault::UnsupportedTransferCoding),
            ),
            (&[("transfer-encoding", b"identity")], Some(Fault::UnsupportedTransferCoding)),
            (&[("transfer-encoding", b"gzip, chunked")], Some(Fault::UnsupportedTransferCoding)),
            (&[("transfer-encoding", b"chunked"), ("content-length", b"3")], Some(Fault::ConflictingFraming)),
            (&[("expect", b"100-Continue")], None),
            (&[("expect", b"a-miracle")], Some(Fault::UnsupportedExpectation)),
        ] {
            let mut all = vec![("host", &b"origin.svc"[..])];
            all.extend(fields);
            assert_eq!(fault("/view/1", http1, &all), expected, "{fields:?}");
        }
        assert_eq!(fault("/view/1", Version::HTTP_10, &[("expect", b"a-miracle")]), None);
        assert_eq!(fault("/view/1?q=\u{e9}", http1, &[("host", b"a")]), Some(Fault::NonAsciiOctet));
    }

    #[test]
    fn forwarded_head_has_one_host_and_one_cookie() {
        let mut head =
            head("https://origin.svc/view/1", Version::HTTP_2, &[("cookie", b"a=1"), ("cookie", b"b=2")]);
        prepare_for_forwarding(&mut head, "other");
        assert_eq!(single_text_value(&head.headers, &header::HOST), Some("origin.svc"));
        assert_eq!(single_text_value(&head.headers, &header::COOKIE), Some("a=1; b=2"));
        assert_eq!(single_text_value(&head.headers, &header::VIA), Some("2 dunelink"));
    }
}
