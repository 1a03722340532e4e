//! Compares the crate with two other parsers: `url` (WHATWG URLs, which resolve dot segments and treat
//! backslashes as slashes) and `httparse` (the ends of heads and bodies). Shared by the fuzz targets and the
//! replay of their corpora.

use dunelink_edge::request::{HostRequirement, prepare_for_forwarding, validate_head};
use dunelink_edge::target::Target;
use dunelink_edge::wire::{RawHead, Scanner};

/// Checks that the first and last segments of an accepted path equal those that a browser derives from it.
pub(crate) fn check_target(path: &str) {
    let Ok(target) = Target::parse(path) else { return };
    let Ok(url) = url::Url::parse(&format!("http://origin.svc{path}")) else { return };
    assert_eq!(url.host_str(), Some("origin.svc"));
    let mut parts = url.path_segments().unwrap();
    // A class contains no octets that browsers encode; `?` and `#` end a path before it is parsed.
    if !path.contains(['?', '#']) && !target.class().is_empty() {
        assert_eq!(parts.next(), Some(target.class()), "{path}");
        let last = path.rsplit('/').next().unwrap();
        if last.bytes().all(|octet| octet.is_ascii_alphanumeric() || b"-._~%".contains(&octet)) {
            assert_eq!(url.path().rsplit('/').next(), Some(last), "{path}");
        }
    }
    if target.check_every_segment().is_ok() {
        assert_eq!(url.path().split('/').count(), path.split(['?', '#']).next().unwrap().split('/').count());
    }
}

/// The heads that `httparse` finds in these bytes, with the corresponding requests.
pub(crate) fn heads(mut bytes: &[u8]) -> Vec<(RawHead, http::Request<()>)> {
    let mut found = Vec::new();
    loop {
        let mut fields = [httparse::EMPTY_HEADER; 100];
        let mut request = httparse::Request::new(&mut fields);
        let Ok(httparse::Status::Complete(size)) = request.parse(bytes) else { return found };
        bytes = &bytes[size..];
        let count_fields =
            |name: &str| request.headers.iter().filter(|f| f.name.eq_ignore_ascii_case(name)).count();
        let head = RawHead {
            has_fragment: request.path.unwrap().contains('#'),
            content_lengths: count_fields("content-length"),
            transfer_codings: count_fields("transfer-encoding"),
        };
        let mut builder = http::Request::builder().method(request.method.unwrap()).uri(request.path.unwrap());
        let mut length = Some(0_u64);
        for field in &*request.headers {
            if field.name.eq_ignore_ascii_case("content-length") {
                let text =
                    std::str::from_utf8(field.value).ok().filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
                length = length.and(text.and_then(|text| text.parse().ok()));
            }
            builder = builder.header(field.name, field.value);
        }
        // Neither parser continues after an invalid length.
        let Some(length) = length else { return found };
        match builder.body(()) {
            Ok(request) => found.push((head, request)),
            Err(_) => found.push((head, http::Request::new(()))),
        }
        match usize::try_from(length) {
            Ok(length) if head.transfer_codings == 0 && length <= bytes.len() => bytes = &bytes[length..],
            _ => return found,
        }
    }
}

/// Checks that heads end where `httparse` finds their ends, however the bytes are split, and that an accepted
/// request is forwarded with one host and without hop-by-hop fields.
pub(crate) fn check_message(bytes: &[u8]) {
    let chunk_size = bytes.first().map_or(1, |first| usize::from(*first % 32) + 1);
    let (mut whole, mut chunked) = (Scanner::default(), Scanner::default());
    whole.feed(bytes);
    bytes.chunks(chunk_size).for_each(|chunk| chunked.feed(chunk));
    for (head, request) in heads(bytes) {
        assert_eq!((whole.next_head(), chunked.next_head()), (Some(head), Some(head)));
        let (mut parts, ()) = request.into_parts();
        let Ok(target) = validate_head(&parts, HostRequirement::Required) else { continue };
        assert!(parts.uri.path().starts_with('/') && !target.class().contains(['%', ';', '\\']));
        check_target(parts.uri.path());
        let key = parts.headers.get("idempotency-key").cloned();
        prepare_for_forwarding(&mut parts, "origin.svc");
        let count = |name: &'static str| parts.headers.get_all(name).iter().count();
        assert_eq!((count("host"), count("connection"), count("transfer-encoding")), (1, 0, 0));
        assert_eq!(count("content-length") + count("te") + count("upgrade"), 0);
        assert_eq!(parts.headers.get("idempotency-key"), key.as_ref());
        assert!(parts.headers.get_all("via").iter().any(|via| via == "1.1 dunelink"));
    }
}
