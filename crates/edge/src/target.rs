//! Validation of the path of a request.
//!
//! Servers may resolve dot segments (RFC 3986, 5.2.4), decode percent-encodings once or repeatedly, before or
//! after splitting the path, treat `\` as `/`, strip parameters after `;`, strip everything after an encoded
//! `?`, `#` or NUL, strip trailing blanks and dots of a segment, merge slashes, ignore case, or convert
//! characters to an older code page (in which the yen sign is a backslash). If the first segment is plain,
//! only a dot segment in one of these forms can change it. Therefore the first segment must be plain, and
//! everything that a server could interpret as a dot segment is rejected; all other paths are accepted
//! unchanged.

use crate::fault::Fault;

/// A path whose first segment all considered servers interpret in the same way.
///
/// ```
/// use dunelink_edge::{Fault, target::Target};
///
/// let target = Target::parse("/view/2026%2F11/7f3a")?;
/// assert_eq!((target.class(), target.last_segment()), ("view", Some("7f3a")));
///
/// assert_eq!(Target::parse("/view/..%2forder/x"), Err(Fault::DotSegment));
/// assert_eq!(Target::parse("/%6frder/x"), Err(Fault::AmbiguousFirstSegment));
/// # Ok::<(), Fault>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target<'a> {
    path: &'a str,
    class: &'a str,
}

/// Octet kind: has no special meaning.
const PLAIN: u8 = 0;
/// Octet kind: requires the full check: `%`, `\`, a control octet or an octet outside ASCII.
const SUSPICIOUS: u8 = 1;
/// Octet kind: begins a segment.
const SLASH: u8 = 2;
/// Octet kind: requires the full check only after a slash, because a disguised dot segment can begin with it.
const SUSPICIOUS_AFTER_SLASH: u8 = 3;

const OCTET_KINDS: [u8; 256] = {
    let mut kinds = [SUSPICIOUS; 256];
    let mut octet = 0x21;
    while octet < 0x7f {
        kinds[octet] = PLAIN;
        octet += 1;
    }
    kinds[b'%' as usize] = SUSPICIOUS;
    kinds[b'\\' as usize] = SUSPICIOUS;
    kinds[b'/' as usize] = SLASH;
    kinds[b'.' as usize] = SUSPICIOUS_AFTER_SLASH;
    kinds[b'+' as usize] = SUSPICIOUS_AFTER_SLASH;
    kinds
};

impl<'a> Target<'a> {
    /// Validates a path without its query.
    ///
    /// # Errors
    ///
    /// It is not a path, or some servers could derive another class from it.
    pub fn parse(path: &'a str) -> Result<Target<'a>, Fault> {
        let octets = path.as_bytes();
        if octets.first() != Some(&b'/') {
            return Err(Fault::NotAPath);
        }
        // Fast path: most paths have no octets that require the full check.
        let mut previous = PLAIN;
        let mut is_suspicious = false;
        for octet in octets {
            let kind = OCTET_KINDS[usize::from(*octet)];
            is_suspicious |= kind == SUSPICIOUS || (kind == SUSPICIOUS_AFTER_SLASH && previous == SLASH);
            previous = kind;
        }
        if is_suspicious {
            check_suspicious_path(octets)?;
        }
        let class = path[1..].split('/').next().unwrap_or_default();
        if class.is_empty() && path.len() > 1 {
            return Err(Fault::EmptyFirstSegment);
        }
        if !class.bytes().all(is_class_octet) {
            return Err(Fault::AmbiguousFirstSegment);
        }
        Ok(Target { path, class })
    }

    /// The first segment, which is the request class; empty if the path is `/`.
    pub fn class(&self) -> &'a str {
        self.class
    }

    /// The last segment; `None` if it is empty or also the first.
    pub fn last_segment(&self) -> Option<&'a str> {
        let (before, last) = self.path.rsplit_once('/')?;
        Some(last).filter(|last| !before.is_empty() && !last.is_empty())
    }

    /// Checks that all servers interpret *every* segment in the same way: only the last may be empty, and
    /// none has an unnecessary percent-encoding, an encoded slash or parameters. For hosts whose request
    /// classes depend on the complete path.
    ///
    /// ```
    /// use dunelink_edge::{Fault, target::Target};
    ///
    /// assert!(Target::parse("/portal/payslips/a%20b")?.check_every_segment().is_ok());
    /// for path in ["/portal//orders", "/portal/%6frders/7", "/portal/payslips%2F7", "/portal/payslips;v=1"] {
    ///     assert_eq!(Target::parse(path)?.check_every_segment(), Err(Fault::AmbiguousSegment), "{path}");
    /// }
    /// # Ok::<(), Fault>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Some servers could interpret a segment differently.
    pub fn check_every_segment(&self) -> Result<(), Fault> {
        let path = self.path.as_bytes();
        let is_ambiguous = path.windows(2).any(|two| two == b"//")
            || path.contains(&b';')
            || path.split(|octet| *octet == b'%').skip(1).any(is_ambiguous_encoding);
        if is_ambiguous { Err(Fault::AmbiguousSegment) } else { Ok(()) }
    }
}

/// Whether a class name may contain this octet: unreserved octets (RFC 3986, 2.3) and the delimiters at which
/// no known server splits or truncates.
const fn is_class_octet(octet: u8) -> bool {
    octet.is_ascii_alphanumeric()
        || matches!(
            octet,
            b'-' | b'.'
                | b'_'
                | b'~'
                | b'!'
                | b'$'
                | b'&'
                | b'\''
                | b'('
                | b')'
                | b'*'
                | b','
                | b'='
                | b':'
                | b'@'
        )
}

/// Whether a path can name a class with this name and all servers interpret it in the same way.
///
/// ```
/// use dunelink_edge::target::is_class_name;
///
/// assert!(is_class_name("payslip-view") && !is_class_name("..") && !is_class_name("a;b") && !is_class_name(""));
/// ```
pub fn is_class_name(name: &str) -> bool {
    // Some file systems strip a trailing dot.
    !name.is_empty() && name.bytes().all(is_class_octet) && !name.ends_with('.')
}

const fn hex_digit(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        b'A'..=b'F' => Some(digit - b'A' + 10),
        _ => None,
    }
}

/// The octet with these two hexadecimal digits; `None` if one is not a digit.
fn decode_octet(high: u8, low: u8) -> Option<u8> {
    Some(hex_digit(high)? << 4 | hex_digit(low)?)
}

/// Whether the text after a `%` encodes an octet that needs no encoding (RFC 3986, 6.2.2.2), a separator, or
/// the `%` of a nested encoding.
fn is_ambiguous_encoding(after_percent: &[u8]) -> bool {
    let [high, low, rest @ ..] = after_percent else { return true };
    match decode_octet(*high, *low) {
        Some(b'%') => matches!(rest, [a, b, ..] if decode_octet(*a, *b).is_some()),
        Some(b'-' | b'.' | b'_' | b'~' | b'/' | b';' | b'?' | b'#') | None => true,
        Some(octet) => octet.is_ascii_alphanumeric(),
    }
}

/// Performs the full check of a path with suspicious octets.
fn check_suspicious_path(path: &[u8]) -> Result<(), Fault> {
    if !path.is_ascii() {
        return Err(Fault::NonAsciiOctet);
    }
    let mut at = 0;
    while let Some(next) = path[at..].iter().position(|octet| *octet == b'%') {
        at += next + 1;
        if path.get(at..at + 2).is_none_or(|two| decode_octet(two[0], two[1]).is_none()) {
            return Err(Fault::BrokenPercentEncoding);
        }
    }
    let decoded = decode_fully(path);
    let text = std::str::from_utf8(&decoded).map_err(|_| Fault::InvalidUtf8)?;
    if text.bytes().any(|octet| octet.is_ascii_control()) {
        return Err(Fault::ControlOctet);
    }
    if text.chars().any(becomes_separator) {
        return Err(Fault::SeparatorLookAlike);
    }
    if text.split('/').any(is_dot_segment) {
        return Err(Fault::DotSegment);
    }
    Ok(())
}

/// Decodes repeatedly, in one pass over the input, until no percent-encoding is left. A slash or dot that
/// appears after some number of decoding passes is also in the final result, because no pass removes one.
fn decode_fully(path: &[u8]) -> Vec<u8> {
    let mut out: Vec<u8> = Vec::with_capacity(path.len());
    for next in path {
        out.push(*next);
        // The decoded octet may complete another percent-encoding.
        while let [.., b'%', high, low] = out[..]
            && let Some(decoded) = decode_octet(high, low)
        {
            out.truncate(out.len() - 3);
            out.push(decoded);
        }
    }
    out
}

/// Whether this is a backslash, or a character that compatibility normalization (NFKC) or a best-fit
/// conversion to an older code page turns into `\`, `/`, `.`, `%` or `;`.
fn becomes_separator(c: char) -> bool {
    matches!(
        c,
        '\\' | '\u{a5}' | '\u{20a9}'                        // yen, won: 0x5c in Japanese and Korean code pages
            | '\u{ff3c}' | '\u{fe68}' | '\u{2216}' | '\u{29f5}' | '\u{29f9}' | '\u{ffe5}' | '\u{ffe6}'
            | '\u{ff0f}' | '\u{2044}' | '\u{2215}' | '\u{29f8}' | '\u{2100}' | '\u{2101}' | '\u{2105}' | '\u{2106}'
            | '\u{ff0e}' | '\u{fe52}' | '\u{2024}'..='\u{2026}' | '\u{fe19}' | '\u{fe30}'
            | '\u{ff05}' | '\u{fe6a}' | '\u{ff1b}' | '\u{fe54}' | '\u{37e}' | '\u{fe14}'
            | '\u{2488}'..='\u{249b}'                       // digits with a full stop
    )
}

/// Whether some servers could interpret this segment as `.` or `..`: some strip parameters, an encoded query
/// or fragment, and blanks; some interpret three or more dots as several parent segments.
fn is_dot_segment(segment: &str) -> bool {
    let name = segment.split([';', '?', '#']).next().unwrap_or_default();
    let mut dots = name.chars().filter(|c| !c.is_whitespace() && *c != '+').peekable();
    dots.peek().is_some() && dots.all(|c| c == '.')
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unambiguous_paths_are_accepted() {
        for (path, class, key) in [
            ("/", "", None),
            ("/view", "view", None),
            ("/view/", "view", None),
            ("/view/7f3a", "view", Some("7f3a")),
            ("/view//7f3a", "view", Some("7f3a")),
            ("/view/.hidden/a..b/c.", "view", Some("c.")),
            ("/view/a;v=1/b;w=2", "view", Some("b;w=2")),
            ("/view/a%2Fb", "view", Some("a%2Fb")),
            ("/view/100%25", "view", Some("100%25")),
            ("/view/%E7%B5%A6%E4%B8%8E", "view", Some("%E7%B5%A6%E4%B8%8E")),
            ("/pay.preview~2/{x}|^\"`", "pay.preview~2", Some("{x}|^\"`")),
            ("/view/+1", "view", Some("+1")),
            ("/view/%3Fq", "view", Some("%3Fq")),
            ("/a:b@c/x", "a:b@c", Some("x")),
        ] {
            let target = Target::parse(path).unwrap();
            assert_eq!((target.class(), target.last_segment()), (class, key), "{path}");
        }
    }

    #[test]
    fn ambiguous_paths_are_rejected() {
        use Fault::*;
        for (path, fault) in [
            ("", NotAPath),
            ("*", NotAPath),
            ("origin.svc:443", NotAPath),
            ("\\view", NotAPath),
            ("/view/..", DotSegment),
            ("/view/../order/x", DotSegment),
            ("/view/./x", DotSegment),
            ("/./order/x", DotSegment),
            ("/../order/x", DotSegment),
            ("/view/%2e%2e/order", DotSegment),
            ("/view/%2E./order", DotSegment),
            ("/view/.%2e/order", DotSegment),
            ("/view/x%2f..%2f..%2forder", DotSegment),
            ("/view/%252e%252e%252forder", DotSegment),
            ("/view/%25252e%25252e/order", DotSegment),
            ("/view/%25%32%65./order", DotSegment),
            ("/view/..;/order", DotSegment),
            ("/view/..;v=1/order", DotSegment),
            ("/view/..%3b/order", DotSegment),
            ("/view/..%3fx/order", DotSegment),
            ("/view/..%23/order", DotSegment),
            ("/view/..%20/order", DotSegment),
            ("/view/+../order", DotSegment),
            ("/view/%C2%A0../order", DotSegment),
            ("/view/.../order", DotSegment),
            ("/view\\..\\order", SeparatorLookAlike),
            ("/view/..%5corder", SeparatorLookAlike),
            ("/view/..%255corder", SeparatorLookAlike),
            ("/view/%C2%A5..", SeparatorLookAlike),
            ("/view/%EF%BC%8E%EF%BC%8E/order", SeparatorLookAlike),
            ("/view/..%EF%BC%8Forder", SeparatorLookAlike),
            ("/view/%E2%80%A5/order", SeparatorLookAlike),
            ("/view/%c0%ae%c0%ae/order", InvalidUtf8),
            ("/view/%c0%afx", InvalidUtf8),
            ("/view/%ed%a0%80", InvalidUtf8),
            ("/view/%E9", InvalidUtf8),
            ("/view/a%00b", ControlOctet),
            ("/view/a%0d%0ab", ControlOctet),
            ("/view/a%7f", ControlOctet),
            ("/view/%2500", ControlOctet),
            ("/view/a\tb", ControlOctet),
            ("/view/%", BrokenPercentEncoding),
            ("/view/%2", BrokenPercentEncoding),
            ("/view/%zz", BrokenPercentEncoding),
            ("/view/%u002e%u002e/order", BrokenPercentEncoding),
            ("/view/é", NonAsciiOctet),
            ("//view/x", EmptyFirstSegment),
            ("//", EmptyFirstSegment),
            ("/%76iew/x", AmbiguousFirstSegment),
            ("/view%20/x", AmbiguousFirstSegment),
            ("/view;a=1/x", AmbiguousFirstSegment),
            ("/;/order/x", AmbiguousFirstSegment),
            ("/view%2f..%2forder", DotSegment),
            ("/view%3f/x", AmbiguousFirstSegment),
            ("/+order/x", AmbiguousFirstSegment),
        ] {
            assert_eq!(Target::parse(path).map(|_| ()), Err(fault), "{path}");
        }
    }

    #[test]
    fn nested_encodings_are_decoded_in_one_pass() {
        let nested = format!("/view/%{}2e%2e", "25".repeat(10_000));
        assert_eq!(Target::parse(&nested), Err(Fault::DotSegment));
        assert_eq!(decode_fully(nested.as_bytes()), b"/view/..");
        assert_eq!(decode_fully(b"/%%32%65"), b"/.");
    }

    #[test]
    fn class_names_are_validated() {
        for name in ["view", "payslip-view", "a.b", "~x", "v1:view"] {
            assert!(is_class_name(name), "{name}");
        }
        for name in ["", ".", "..", "a.", "a/b", "a b", "a;b", "a%62", "a+b", "給与"] {
            assert!(!is_class_name(name), "{name}");
        }
    }
}
