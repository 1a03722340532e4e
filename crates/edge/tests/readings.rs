//! Checks that all considered servers interpret every accepted request in the same way. The server models are
//! independent of the crate's code: each is a pipeline of steps that some product or framework performs.

use dunelink_edge::fields::{ID, KEY};
use dunelink_edge::request::{HostRequirement, validate_head};
use dunelink_edge::target::Target;
use http::header::{HOST, HeaderName, HeaderValue};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::RngSeed;

/// The transformations that a server applies to a path before it selects the handler.
#[derive(Clone, Copy, Debug)]
struct Server {
    /// Number of percent-decoding passes.
    decodes: usize,
    /// Also decodes `%u002e` and overlong UTF-8 (older IIS).
    lenient: bool,
    /// Converts characters to an older code page (Windows), or normalizes them (NFKC).
    best_fit: bool,
    /// Treats `\` as `/` (IIS, WHATWG URLs).
    backslash_is_slash: bool,
    /// Strips `;…` from each segment, before and after decoding respectively (servlet containers).
    strips_parameters: [bool; 2],
    /// Resolves dot segments before decoding, after each decoding pass, and at the end, respectively (RFC
    /// 3986, 5.2.4).
    resolves_dots: [bool; 3],
    /// Truncates at NUL (C strings), or at an encoded `?` or `#`.
    truncates: bool,
    /// Removes control octets (WHATWG URLs).
    removes_controls: bool,
    /// Strips trailing blanks, `+` and dots from each segment (Windows).
    trims_segments: bool,
    /// Merges `//` into `/` (nginx).
    merges_slashes: bool,
    /// Ignores case (IIS, some routers).
    ignores_case: bool,
}

fn hex_digit(octet: Option<&u8>) -> Option<u8> {
    char::from(*octet?).to_digit(16).map(|digit| digit as u8)
}

fn decode(path: &[u8], lenient: bool) -> Vec<u8> {
    let mut out = Vec::new();
    let mut at = 0;
    while let Some(octet) = path.get(at) {
        let wide = || Some(hex_digit(path.get(at + 4))? << 4 | hex_digit(path.get(at + 5))?);
        let pair = || Some(hex_digit(path.get(at + 1))? << 4 | hex_digit(path.get(at + 2))?);
        if lenient && path[at..].starts_with(b"%u00") && wide().is_some() {
            out.extend(wide());
            at += 6;
        } else if *octet == b'%' && pair().is_some() {
            out.extend(pair());
            at += 3;
        } else {
            out.push(*octet);
            at += 1;
        }
    }
    if lenient {
        for (overlong, octet) in [(&b"\xc0\xae"[..], b'.'), (b"\xc0\xaf", b'/'), (b"\xe0\x80\xae", b'.')] {
            while let Some(at) = out.windows(overlong.len()).position(|octets| octets == overlong) {
                out.splice(at..at + overlong.len(), [octet]);
            }
        }
    }
    out
}

fn best_fit(path: &[u8]) -> Vec<u8> {
    let mut text = String::from_utf8_lossy(path).into_owned();
    for (from, to) in
        [("¥", "\\"), ("／", "/"), ("．", "."), ("＼", "\\"), ("‥", ".."), ("；", ";"), ("⁄", "/")]
    {
        text = text.replace(from, to);
    }
    text.into_bytes()
}

fn map_segments(path: &[u8], change: impl Fn(&[u8]) -> Vec<u8>) -> Vec<u8> {
    path.split(|octet| *octet == b'/').map(change).collect::<Vec<_>>().join(&b'/')
}

fn resolve_dot_segments(path: &[u8]) -> Vec<u8> {
    let mut kept: Vec<&[u8]> = Vec::new();
    for part in path.split(|octet| *octet == b'/').skip(1) {
        match part {
            b"." => {}
            b".." => drop(kept.pop()),
            part => kept.push(part),
        }
    }
    [&b"/"[..], &kept.join(&b'/')].concat()
}

impl Server {
    /// The first segment of the path from this server's point of view.
    fn class(&self, path: &str) -> String {
        let strip_parameters = |path: &[u8]| {
            map_segments(path, |part| part.split(|octet| *octet == b';').next().unwrap_or_default().to_vec())
        };
        let mut path = path.as_bytes().to_vec();
        if self.strips_parameters[0] {
            path = strip_parameters(&path);
        }
        if self.resolves_dots[0] {
            path = resolve_dot_segments(&path);
        }
        for _ in 0..self.decodes {
            path = decode(&path, self.lenient);
            if self.resolves_dots[1] {
                path = resolve_dot_segments(&path);
            }
        }
        if self.best_fit {
            path = best_fit(&path);
        }
        if self.backslash_is_slash {
            path.iter_mut().filter(|octet| **octet == b'\\').for_each(|octet| *octet = b'/');
        }
        if self.truncates
            && let Some(end) = path.iter().position(|octet| b"\0?#".contains(octet))
        {
            path.truncate(end);
        }
        if self.removes_controls {
            path.retain(|octet| !octet.is_ascii_control());
        }
        if self.strips_parameters[1] {
            path = strip_parameters(&path);
        }
        if self.trims_segments {
            path = map_segments(&path, |part| match part {
                b"." | b".." => part.to_vec(),
                part => {
                    let end =
                        part.iter().rposition(|octet| !b" .+".contains(octet)).map_or(0, |last| last + 1);
                    // A segment of only dots and blanks is `.` or `..` if it has dots.
                    match (end, part.iter().filter(|octet| **octet == b'.').count()) {
                        (0, dots @ 1..) => vec![b'.'; dots.min(2)],
                        _ => part[..end].to_vec(),
                    }
                }
            });
        }
        if self.merges_slashes {
            path.dedup_by(|a, b| *a == b'/' && *b == b'/');
        }
        if self.resolves_dots[2] {
            path = resolve_dot_segments(&path);
        }
        if self.ignores_case {
            path.make_ascii_lowercase();
        }
        String::from_utf8_lossy(path.split(|octet| *octet == b'/').nth(1).unwrap_or_default()).into_owned()
    }
}

fn server() -> impl Strategy<Value = Server> {
    (0..4_usize, any::<[bool; 13]>()).prop_map(|(decodes, b)| Server {
        decodes,
        lenient: b[0],
        best_fit: b[1],
        backslash_is_slash: b[2],
        strips_parameters: [b[3], b[4]],
        resolves_dots: [b[5], b[6], b[7]],
        truncates: b[8],
        removes_controls: b[9],
        trims_segments: b[10],
        merges_slashes: b[11],
        ignores_case: b[12],
    })
}

/// Fragments of malicious paths.
const PATH_FRAGMENTS: [&str; 48] = [
    "view",
    "%32",
    "%65",
    "order",
    "VIEW",
    "Order",
    "x",
    "7f3a",
    "/",
    "/",
    "/",
    "//",
    "..",
    ".",
    "...",
    "%2e",
    "%2E",
    "%2f",
    "%2F",
    "%5c",
    "\\",
    ";",
    "%3b",
    "a=1",
    "%25",
    "2e",
    "2f",
    "5c",
    "%",
    "%00",
    "%09",
    "%0a",
    "%20",
    "+",
    "%c0%ae",
    "%c0%af",
    "%e0%80%ae",
    "%ef%bc%8f",
    "%ef%bc%8e",
    "%c2%a5",
    "%e2%80%a5",
    "%3f",
    "%23",
    "%u002e",
    "%6f",
    "%76",
    "u002e",
    "é",
];

fn path() -> impl Strategy<Value = String> {
    let malicious = vec(select(PATH_FRAGMENTS.to_vec()), 0..9).prop_map(|pieces| pieces.concat());
    let arbitrary = "[ -~]{0,24}";
    (select(vec!["/view/", "/view", "/order/", "/", ""]), prop_oneof![8 => malicious, 1 => arbitrary])
        .prop_map(|(prefix, rest)| format!("{prefix}{rest}"))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 30_000, rng_seed: RngSeed::Fixed(15), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn accepted_class_is_the_same_for_every_server(path in path(), server in server()) {
        if let Ok(target) = Target::parse(&path) && ["view", "order"].contains(&target.class()) {
            prop_assert_eq!(server.class(&path), target.class(), "{}", path);
        }
    }

    #[test]
    fn checked_path_keeps_its_segments(path in path(), server in server()) {
        if let Ok(target) = Target::parse(&path) && target.check_every_segment().is_ok() {
            let parts = |path: &str| path.split('/').map(str::to_string).collect::<Vec<_>>();
            let resolved = String::from_utf8(resolve_dot_segments(path.as_bytes())).unwrap();
            prop_assert_eq!(parts(&resolved), parts(&path));
            let decoded = decode(path.as_bytes(), server.lenient);
            let slashes = |octets: &[u8]| octets.iter().filter(|octet| **octet == b'/').count();
            prop_assert_eq!(slashes(&decoded), slashes(path.as_bytes()));
        }
    }

    #[test]
    fn accepted_fields_are_the_same_for_every_server(
        fields in vec((select(FIELD_NAMES.to_vec()), select(vec!["a", "b", "a.b:1", "a, b"])), 0..5)
    ) {
        let mut request = http::Request::get("/view/7f3a").body(()).unwrap();
        for (name, value) in &fields {
            let name = HeaderName::from_bytes(name.as_bytes()).unwrap();
            request.headers_mut().append(name, HeaderValue::from_static(value));
        }
        let (head, ()) = request.into_parts();
        if validate_head(&head, HostRequirement::Required).is_err() {
            return Ok(());
        }
        for name in [ID, KEY, HOST] {
            let values: Vec<&str> = head.headers.get_all(&name).iter().map(|v| v.to_str().unwrap()).collect();
            // CGI gateways map `-` to `_` and names to upper case; some map every non-alphanumeric octet to
            // `_`.
            let folded = |given: &str| -> String {
                given.chars().map(|c| if c.is_ascii_alphanumeric() { c.to_ascii_uppercase() } else { '_' }).collect()
            };
            let matching_values: Vec<&str> =
                fields.iter().filter(|(n, _)| folded(n) == folded(name.as_str())).map(|(_, v)| *v).collect();
            let interpretations = [matching_values.first().copied(), matching_values.last().copied()];
            prop_assert!(interpretations.iter().all(|value| *value == values.first().copied()), "{:?}", fields);
            prop_assert!(matching_values.len() <= 1 && values.len() <= 1, "{:?}", fields);
        }
    }
}

const FIELD_NAMES: [&str; 14] = [
    "Req-Id",
    "REQ-ID",
    "req_id",
    "Req.Id",
    "Req-Id_",
    "Idempotency-Key",
    "idempotency_key",
    "IDEMPOTENCY_Key",
    "Idempotency.Key",
    "Host",
    "host",
    "HOST",
    "X-Host",
    "X_Note",
];

/// Shows that the property can fail: the raw first segment of a path violates it.
#[test]
fn raw_first_segment_differs_between_servers() {
    let plain = Server {
        decodes: 0,
        lenient: false,
        best_fit: false,
        backslash_is_slash: false,
        strips_parameters: [false; 2],
        resolves_dots: [false; 3],
        truncates: false,
        removes_controls: false,
        trims_segments: false,
        merges_slashes: false,
        ignores_case: false,
    };
    for (path, server) in [
        ("/view/../order/x", Server { resolves_dots: [true, false, false], ..plain }),
        ("/view/%2e%2e/order/x", Server { decodes: 1, resolves_dots: [false, true, false], ..plain }),
        ("/view/%252e%252e/order/x", Server { decodes: 2, resolves_dots: [false, false, true], ..plain }),
        (
            "/view/..;/order/x",
            Server { strips_parameters: [true, false], resolves_dots: [true, false, false], ..plain },
        ),
        (
            "/view/..\\order",
            Server { backslash_is_slash: true, resolves_dots: [false, false, true], ..plain },
        ),
        (
            "/view/%c0%ae%c0%ae/order",
            Server { decodes: 1, lenient: true, resolves_dots: [false, false, true], ..plain },
        ),
        (
            "/view/..%c2%a5order",
            Server {
                decodes: 1,
                best_fit: true,
                backslash_is_slash: true,
                resolves_dots: [false, false, true],
                ..plain
            },
        ),
        ("/view/.. /order", Server { trims_segments: true, resolves_dots: [false, false, true], ..plain }),
        ("//order/x", Server { merges_slashes: true, ..plain }),
    ] {
        assert_eq!(server.class(path), "order", "{path}");
        assert_ne!(path.split('/').nth(1), Some("order"));
        assert!(Target::parse(path).is_err(), "{path}");
    }
}
