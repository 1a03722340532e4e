//! The one reading of a request's head.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::request::Parts;
use http::uri::Authority;
use http::{Uri, Version};

use crate::fault::Fault;
use crate::fields::{
    COST, DEADLINE, EXTRA, ID, KEY, OWNER, RETRY, drop_hop_fields, is_look_alike, names_method, names_target,
    single_text_value,
};
use crate::target::Target;

/// Fields of which a recipient heeds one: of two, one server goes by the first and another by the last.
const SINGLE: [HeaderName; 11] = [
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

/// Whether a request without `Host` can be taken.
///
/// RFC 9112, 3.2 has it turned down; but a call from within a program has no connection that it came by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostRequirement {
    /// It came over a connection: HTTP/1.1 has to have `Host`.
    Required,
    /// It was made by a program, or a framework has looked at it already.
    Optional,
}

/// Reads a request's head: its target, and the fields that could give it another meaning.
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
/// There are servers that could read it otherwise, or it is not one that HTTP allows.
pub fn validate_head(head: &Parts, hosting: HostRequirement) -> Result<Target<'_>, Fault> {
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
        && SINGLE.iter().any(|name| headers.get_all(name).iter().nth(1).is_some())
    {
        return Err(Fault::RepeatedField);
    }
    if headers.get(OWNER).is_some_and(|value| value.to_str().is_err()) {
        return Err(Fault::NonTextField);
    }
    check_host(head, hosting)?;
    check_framing(headers)?;
    // A client of HTTP/1.0 can't mean it (RFC 9110, 10.1.1).
    let expected = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"100-continue");
    if head.version > Version::HTTP_10 && !headers.get_all(header::EXPECT).iter().all(expected) {
        return Err(Fault::UnsupportedExpectation);
    }
    Ok(target)
}

/// A field by which a framework may take another target or method must name the request's own.
fn check_overrides(head: &Parts, name: &HeaderName) -> Result<(), Fault> {
    let all = |own: &str| head.headers.get_all(name).iter().all(|value| value.as_bytes() == own.as_bytes());
    if names_target(name) && !all(head.uri.path_and_query().map_or("", |own| own.as_str())) {
        return Err(Fault::TargetOverride);
    }
    if names_method(name) && !all(head.method.as_str()) {
        return Err(Fault::MethodOverride);
    }
    Ok(())
}

/// RFC 9112, 3.2 and 3.2.2; RFC 9113, 8.3.1. A target that names another host than `Host` does is turned down,
/// though the one or the other could be passed over.
fn check_host(head: &Parts, hosting: HostRequirement) -> Result<(), Fault> {
    if !matches!(head.uri.scheme_str(), None | Some("http" | "https")) {
        return Err(Fault::UnsupportedScheme);
    }
    let named = head.uri.authority();
    if named.is_some_and(|authority| authority.as_str().contains('@')) {
        return Err(Fault::InvalidHost);
    }
    match (head.headers.get(header::HOST), named) {
        // In HTTP/1.1 an authority in the target does not stand in for it.
        (None, _) if hosting == HostRequirement::Required && head.version == Version::HTTP_11 => {
            Err(Fault::MissingHost)
        }
        (None, _) => Ok(()),
        (Some(host), named) => {
            let host = host.as_bytes();
            let usual = |octet: &u8| {
                octet.is_ascii_lowercase() || octet.is_ascii_digit() || matches!(octet, b'.' | b'-')
            };
            // The target may leave it out, so may the field (RFC 9112, 3.2); a plain name needs no parser.
            if named.is_none() && host.iter().all(usual) {
                return Ok(());
            }
            let host = Authority::try_from(host).map_err(|_| Fault::InvalidHost)?;
            let port = host.as_str().rsplit_once(':').filter(|(_, port)| !port.ends_with(']'));
            if host.as_str().contains('@')
                || port.is_some_and(|(_, port)| !port.bytes().all(|b| b.is_ascii_digit()))
            {
                return Err(Fault::InvalidHost);
            }
            let plain = |authority: &Authority| {
                let port = authority.port_u16().filter(|port| Some(*port) != default_port(&head.uri));
                (authority.host().to_ascii_lowercase(), port)
            };
            match named {
                Some(named) if plain(named) != plain(&host) => Err(Fault::HostMismatch),
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

/// RFC 9112, 6.1 and 6.3.
fn check_framing(headers: &HeaderMap) -> Result<(), Fault> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(first) = codings.next() else { return Ok(()) };
    if !first.as_bytes().eq_ignore_ascii_case(b"chunked") || codings.next().is_some() {
        return Err(Fault::UnsupportedTransferCoding);
    }
    if headers.contains_key(header::CONTENT_LENGTH) {
        return Err(Fault::ConflictingFraming);
    }
    Ok(())
}

/// The fields that go on to a server, of a request that was [`validate_head`]: all but those of one hop, with `Host` if
/// there was none, one `Cookie` (RFC 9113, 8.2.3), and `Via`. The sender of the next hop frames it.
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
        let named = head.uri.authority().and_then(|a| HeaderValue::from_str(a.as_str()).ok());
        head.headers.insert(header::HOST, named.unwrap_or(HeaderValue::from_static(host)));
    }
    if head.version >= Version::HTTP_2 {
        join_cookies(&mut head.headers);
    }
    // The node goes by a pseudonym, as its name is nobody's concern (RFC 9110, 7.6.3).
    let via = match head.version {
        Version::HTTP_10 => "1.0 dunelink",
        Version::HTTP_2 => "2 dunelink",
        Version::HTTP_3 => "3 dunelink",
        _ => "1.1 dunelink",
    };
    head.headers.append(header::VIA, HeaderValue::from_static(via));
}

/// HTTP/2 lets a client split its cookies over fields; HTTP/1.1 has one.
fn join_cookies(headers: &mut HeaderMap) {
    let cookies: Vec<&[u8]> = headers.get_all(header::COOKIE).iter().map(HeaderValue::as_bytes).collect();
    if cookies.len() > 1
        && let Ok(joined) = HeaderValue::from_bytes(&cookies.join(&b"; "[..]))
    {
        headers.insert(header::COOKIE, joined);
    }
}

/// The key of a keyed request, if it is there once, is text and not empty.
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
    fn a_host_is_named_once_and_alike() {
        let (one, two) = (Version::HTTP_11, Version::HTTP_2);
        for (uri, version, host, wrong) in [
            ("/view/1", one, Some("origin.svc"), None),
            ("/view/1", one, Some("origin.svc:8443"), None),
            ("/view/1", one, Some("[::1]:80"), None),
            ("/view/1", one, Some(""), None),
            ("/view/1", one, None, Some(Fault::MissingHost)),
            ("/view/1", Version::HTTP_10, None, None),
            ("/view/1", one, Some("a b"), Some(Fault::InvalidHost)),
            ("/view/1", one, Some("user@origin.svc"), Some(Fault::InvalidHost)),
            ("/view/1", one, Some("origin.svc:eighty"), Some(Fault::InvalidHost)),
            ("/view/1", one, Some("origin.svc/order"), Some(Fault::InvalidHost)),
            ("http://origin.svc/view/1", one, Some("ORIGIN.svc:80"), None),
            ("http://origin.svc/view/1", one, Some("other.svc"), Some(Fault::HostMismatch)),
            ("http://origin.svc/view/1", one, None, Some(Fault::MissingHost)),
            ("http://user@origin.svc/view/1", one, Some("origin.svc"), Some(Fault::InvalidHost)),
            ("ftp://origin.svc/view/1", one, Some("origin.svc"), Some(Fault::UnsupportedScheme)),
            ("https://origin.svc/view/1", two, None, None),
            ("https://origin.svc/view/1", two, Some("origin.svc:443"), None),
            ("https://origin.svc/view/1", two, Some("origin.svc:80"), Some(Fault::HostMismatch)),
        ] {
            let fields: Vec<(&'static str, &[u8])> =
                host.iter().map(|host| ("host", host.as_bytes())).collect();
            assert_eq!(fault(uri, version, &fields), wrong, "{uri} {host:?}");
        }
        assert!(validate_head(&head("/view/1", one, &[]), HostRequirement::Optional).is_ok());
    }

    #[test]
    fn fields_that_give_a_request_another_meaning_are_found() {
        let one = Version::HTTP_11;
        for (fields, wrong) in [
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
            assert_eq!(fault("/view/1", one, &all), wrong, "{fields:?}");
        }
        assert_eq!(fault("/view/1", Version::HTTP_10, &[("expect", b"a-miracle")]), None);
        assert_eq!(fault("/view/1?q=\u{e9}", one, &[("host", b"a")]), Some(Fault::NonAsciiOctet));
    }

    #[test]
    fn what_goes_on_has_one_host_and_one_cookie() {
        let mut head =
            head("https://origin.svc/view/1", Version::HTTP_2, &[("cookie", b"a=1"), ("cookie", b"b=2")]);
        prepare_for_forwarding(&mut head, "other");
        assert_eq!(single_text_value(&head.headers, &header::HOST), Some("origin.svc"));
        assert_eq!(single_text_value(&head.headers, &header::COOKIE), Some("a=1; b=2"));
        assert_eq!(single_text_value(&head.headers, &header::VIA), Some("2 dunelink"));
    }
}
