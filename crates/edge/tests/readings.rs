//! What is not turned down is read alike by every server that was considered. The servers here are written
//! without a look at the crate's own code: each is a pipeline of what some product or framework does.

use dunelink_edge::fields::{ID, KEY};
use dunelink_edge::request::{HostRequirement, validate_head};
use dunelink_edge::target::Target;
use http::header::{HOST, HeaderName, HeaderValue};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::RngSeed;

/// What a server does to a path before it looks for the handler.
#[derive(Clone, Copy, Debug)]
struct Server {
    /// How often it decodes.
    decodes: usize,
    /// It also decodes `%u002e`, and reads overlong UTF-8 (older IIS).
    lenient: bool,
    /// It squeezes characters into an older code page (Windows), or normalises them (NFKC).
    best_fit: bool,
    /// `\` is `/` (IIS, WHATWG URLs).
    backslash: bool,
    /// It cuts off `;…` in each part, before or after decoding (servlet containers).
    parameters: [bool; 2],
    /// It resolves dot segments before decoding, after each decoding, at the end (RFC 3986, 5.2.4).
    dots: [bool; 3],
    /// It ends at NUL (C strings), or at an encoded `?` or `#`.
    cuts: bool,
    /// It drops control octets (WHATWG URLs).
    drops: bool,
    /// It drops blanks and dots at a part's end (Windows), `+` being a blank.
    trims: bool,
    /// It takes `//` for `/` (nginx).
    merges: bool,
    /// Case does not matter to it (IIS, some routers).
    folds: bool,
}

fn digit(octet: Option<&u8>) -> Option<u8> {
    char::from(*octet?).to_digit(16).map(|digit| digit as u8)
}

fn decode(path: &[u8], lenient: bool) -> Vec<u8> {
    let mut out = Vec::new();
    let mut at = 0;
    while let Some(octet) = path.get(at) {
        let wide = || Some(digit(path.get(at + 4))? << 4 | digit(path.get(at + 5))?);
        let pair = || Some(digit(path.get(at + 1))? << 4 | digit(path.get(at + 2))?);
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
        for (long, short) in [(&b"\xc0\xae"[..], b'.'), (b"\xc0\xaf", b'/'), (b"\xe0\x80\xae", b'.')] {
            while let Some(at) = out.windows(long.len()).position(|octets| octets == long) {
                out.splice(at..at + long.len(), [short]);
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

fn by_part(path: &[u8], change: impl Fn(&[u8]) -> Vec<u8>) -> Vec<u8> {
    path.split(|octet| *octet == b'/').map(change).collect::<Vec<_>>().join(&b'/')
}

fn resolve(path: &[u8]) -> Vec<u8> {
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
    /// The first part of the path, as this server sees it.
    fn class(&self, path: &str) -> String {
        let parameters = |path: &[u8]| {
            by_part(path, |part| part.split(|octet| *octet == b';').next().unwrap_or_default().to_vec())
        };
        let mut path = path.as_bytes().to_vec();
        if self.parameters[0] {
            path = parameters(&path);
        }
        if self.dots[0] {
            path = resolve(&path);
        }
        for _ in 0..self.decodes {
            path = decode(&path, self.lenient);
            if self.dots[1] {
                path = resolve(&path);
            }
        }
        if self.best_fit {
            path = best_fit(&path);
        }
        if self.backslash {
            path.iter_mut().filter(|octet| **octet == b'\\').for_each(|octet| *octet = b'/');
        }
        if self.cuts
            && let Some(end) = path.iter().position(|octet| b"\0?#".contains(octet))
        {
            path.truncate(end);
        }
        if self.drops {
            path.retain(|octet| !octet.is_ascii_control());
        }
        if self.parameters[1] {
            path = parameters(&path);
        }
        if self.trims {
            path = by_part(&path, |part| match part {
                b"." | b".." => part.to_vec(),
                part => {
                    let end =
                        part.iter().rposition(|octet| !b" .+".contains(octet)).map_or(0, |last| last + 1);
                    // What is nothing but dots and blanks is a step up, as far as it has dots.
                    match (end, part.iter().filter(|octet| **octet == b'.').count()) {
                        (0, dots @ 1..) => vec![b'.'; dots.min(2)],
                        _ => part[..end].to_vec(),
                    }
                }
            });
        }
        if self.merges {
            path.dedup_by(|a, b| *a == b'/' && *b == b'/');
        }
        if self.dots[2] {
            path = resolve(&path);
        }
        if self.folds {
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
        backslash: b[2],
        parameters: [b[3], b[4]],
        dots: [b[5], b[6], b[7]],
        cuts: b[8],
        drops: b[9],
        trims: b[10],
        merges: b[11],
        folds: b[12],
    })
}

/// What paths that mean harm are made of.
const PIECES: [&str; 48] = [
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
    let made = vec(select(PIECES.to_vec()), 0..9).prop_map(|pieces| pieces.concat());
    let any = "[ -~]{0,24}";
    (select(vec!["/view/", "/view", "/order/", "/", ""]), prop_oneof![8 => made, 1 => any])
        .prop_map(|(begin, rest)| format!("{begin}{rest}"))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 30_000, rng_seed: RngSeed::Fixed(15), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_class_is_the_same_to_every_server_or_the_request_is_turned_down(path in path(), server in server()) {
        if let Ok(target) = Target::parse(&path) && ["view", "order"].contains(&target.class()) {
            prop_assert_eq!(server.class(&path), target.class(), "{}", path);
        }
    }

    #[test]
    fn a_plain_path_is_decoded_and_resolved_to_itself(path in path(), server in server()) {
        if let Ok(target) = Target::parse(&path) && target.check_every_segment().is_ok() {
            let parts = |path: &str| path.split('/').map(str::to_string).collect::<Vec<_>>();
            let resolved = String::from_utf8(resolve(path.as_bytes())).unwrap();
            prop_assert_eq!(parts(&resolved), parts(&path));
            let decoded = decode(path.as_bytes(), server.lenient);
            let slashes = |octets: &[u8]| octets.iter().filter(|octet| **octet == b'/').count();
            prop_assert_eq!(slashes(&decoded), slashes(path.as_bytes()));
        }
    }

    #[test]
    fn a_field_is_the_same_to_every_server_or_the_request_is_turned_down(
        fields in vec((select(NAMES.to_vec()), select(vec!["a", "b", "a.b:1", "a, b"])), 0..5)
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
            let own: Vec<&str> = head.headers.get_all(&name).iter().map(|v| v.to_str().unwrap()).collect();
            // A program behind a gateway knows `-` and `_` as one, in capitals; some know every odd octet as one.
            let folded = |given: &str| -> String {
                given.chars().map(|c| if c.is_ascii_alphanumeric() { c.to_ascii_uppercase() } else { '_' }).collect()
            };
            let alike: Vec<&str> =
                fields.iter().filter(|(n, _)| folded(n) == folded(name.as_str())).map(|(_, v)| *v).collect();
            let readings = [alike.first().copied(), alike.last().copied()];
            prop_assert!(readings.iter().all(|reading| *reading == own.first().copied()), "{:?}", fields);
            prop_assert!(alike.len() <= 1 && own.len() <= 1, "{:?}", fields);
        }
    }
}

const NAMES: [&str; 14] = [
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

/// The property above can fail: the reading that went before it, the first part as it stands, does.
#[test]
fn the_first_part_as_it_stands_is_not_what_servers_see() {
    let plain = Server {
        decodes: 0,
        lenient: false,
        best_fit: false,
        backslash: false,
        parameters: [false; 2],
        dots: [false; 3],
        cuts: false,
        drops: false,
        trims: false,
        merges: false,
        folds: false,
    };
    for (path, server) in [
        ("/view/../order/x", Server { dots: [true, false, false], ..plain }),
        ("/view/%2e%2e/order/x", Server { decodes: 1, dots: [false, true, false], ..plain }),
        ("/view/%252e%252e/order/x", Server { decodes: 2, dots: [false, false, true], ..plain }),
        ("/view/..;/order/x", Server { parameters: [true, false], dots: [true, false, false], ..plain }),
        ("/view/..\\order", Server { backslash: true, dots: [false, false, true], ..plain }),
        (
            "/view/%c0%ae%c0%ae/order",
            Server { decodes: 1, lenient: true, dots: [false, false, true], ..plain },
        ),
        (
            "/view/..%c2%a5order",
            Server { decodes: 1, best_fit: true, backslash: true, dots: [false, false, true], ..plain },
        ),
        ("/view/.. /order", Server { trims: true, dots: [false, false, true], ..plain }),
        ("//order/x", Server { merges: true, ..plain }),
    ] {
        assert_eq!(server.class(path), "order", "{path}");
        assert_ne!(path.split('/').nth(1), Some("order"));
        assert!(Target::parse(path).is_err(), "{path}");
    }
}
