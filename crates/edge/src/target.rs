//! The one reading of a path.
//!
//! A server may resolve dot segments (RFC 3986, 5.2.4), decode percent-encodings once or more often, before
//! or after it splits the path, take `\` for `/`, cut off parameters behind `;`, what stands behind an encoded
//! `?`, `#` or NUL, or blanks and dots at a part's end, merge slashes, fold case, or squeeze characters into an
//! older code page (there, the yen sign is a backslash). Of all those only a dot segment, in whatever
//! disguise, can lead out of the first part once that part itself is plain. So the first part has to be
//! plain, and what any of them could take for a dot segment is turned down; all else goes on as it is.

use crate::fault::Fault;

/// A path that every considered server reads alike.
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

/// What an octet of a path may mean beyond itself.
const PLAIN: u8 = 0;
/// It needs a closer look: `%`, `\`, a control octet or one outside ASCII.
const ODD: u8 = 1;
/// It begins a part.
const SLASH: u8 = 2;
/// Only behind a slash does it need a closer look: what a disguised dot segment can begin with.
const LEADING: u8 = 3;

const KINDS: [u8; 256] = {
    let mut kinds = [ODD; 256];
    let mut octet = 0x21;
    while octet < 0x7f {
        kinds[octet] = PLAIN;
        octet += 1;
    }
    kinds[b'%' as usize] = ODD;
    kinds[b'\\' as usize] = ODD;
    kinds[b'/' as usize] = SLASH;
    kinds[b'.' as usize] = LEADING;
    kinds[b'+' as usize] = LEADING;
    kinds
};

impl<'a> Target<'a> {
    /// Reads a path, without its query.
    ///
    /// # Errors
    ///
    /// It is not a path, or there are servers that could read another class in it.
    pub fn parse(path: &'a str) -> Result<Target<'a>, Fault> {
        let octets = path.as_bytes();
        if octets.first() != Some(&b'/') {
            return Err(Fault::NotAPath);
        }
        // Nearly all paths have nothing to look into.
        let mut before = PLAIN;
        let mut odd = false;
        for octet in octets {
            let kind = KINDS[usize::from(*octet)];
            odd |= kind == ODD || (kind == LEADING && before == SLASH);
            before = kind;
        }
        if odd {
            examine(octets)?;
        }
        let class = path[1..].split('/').next().unwrap_or_default();
        if class.is_empty() && path.len() > 1 {
            return Err(Fault::EmptyFirstSegment);
        }
        if !class.bytes().all(in_class) {
            return Err(Fault::AmbiguousFirstSegment);
        }
        Ok(Target { path, class })
    }

    /// The first part; empty if the path is `/` alone.
    pub fn class(&self) -> &'a str {
        self.class
    }

    /// The last part, if it is another than the first and not empty.
    pub fn last_segment(&self) -> Option<&'a str> {
        let (before, last) = self.path.rsplit_once('/')?;
        Some(last).filter(|last| !before.is_empty() && !last.is_empty())
    }

    /// Whether *every* part is read alike: none is empty but the last, none is encoded where it need not be,
    /// none has an encoded slash or parameters. For hosts that find a request's class in the whole path.
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
    /// There are servers that could read another part somewhere.
    pub fn check_every_segment(&self) -> Result<(), Fault> {
        let path = self.path.as_bytes();
        let impure = path.windows(2).any(|two| two == b"//")
            || path.contains(&b';')
            || path.split(|octet| *octet == b'%').skip(1).any(needless);
        if impure { Err(Fault::AmbiguousSegment) } else { Ok(()) }
    }
}

/// What a class's name may hold: unreserved octets (RFC 3986, 2.3) and those delimiters that no server is
/// known to cut at.
const fn in_class(octet: u8) -> bool {
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

/// Whether a class of this name can be named by a path, and is read alike by all.
///
/// ```
/// use dunelink_edge::target::is_class_name;
///
/// assert!(is_class_name("payslip-view") && !is_class_name("..") && !is_class_name("a;b") && !is_class_name(""));
/// ```
pub fn is_class_name(name: &str) -> bool {
    // Some file systems cut off a dot at the end.
    !name.is_empty() && name.bytes().all(in_class) && !name.ends_with('.')
}

const fn hex(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        b'A'..=b'F' => Some(digit - b'A' + 10),
        _ => None,
    }
}

/// The octet that two digits stand for.
fn octet(high: u8, low: u8) -> Option<u8> {
    Some(hex(high)? << 4 | hex(low)?)
}

/// Whether what stands behind a `%` encodes what need not be encoded (RFC 3986, 6.2.2.2) or a separator, or
/// hides a further encoding.
fn needless(behind: &[u8]) -> bool {
    let [high, low, rest @ ..] = behind else { return true };
    match octet(*high, *low) {
        Some(b'%') => matches!(rest, [a, b, ..] if octet(*a, *b).is_some()),
        Some(b'-' | b'.' | b'_' | b'~' | b'/' | b';' | b'?' | b'#') | None => true,
        Some(octet) => octet.is_ascii_alphanumeric(),
    }
}

/// Looks closely at a path that has something odd.
fn examine(path: &[u8]) -> Result<(), Fault> {
    if !path.is_ascii() {
        return Err(Fault::NonAsciiOctet);
    }
    let mut at = 0;
    while let Some(next) = path[at..].iter().position(|octet| *octet == b'%') {
        at += next + 1;
        if path.get(at..at + 2).is_none_or(|two| octet(two[0], two[1]).is_none()) {
            return Err(Fault::BrokenPercentEncoding);
        }
    }
    let decoded = decode_wholly(path);
    let text = std::str::from_utf8(&decoded).map_err(|_| Fault::InvalidUtf8)?;
    if text.bytes().any(|octet| octet.is_ascii_control()) {
        return Err(Fault::ControlOctet);
    }
    if text.chars().any(becomes_separator) {
        return Err(Fault::SeparatorLookAlike);
    }
    if text.split('/').any(is_dots) {
        return Err(Fault::DotSegment);
    }
    Ok(())
}

/// Decodes until nothing is left to decode: what one pass brings to light, and any further one. A slash or
/// dot that some number of passes brings out is there in the end too, as no pass takes one away.
fn decode_wholly(path: &[u8]) -> Vec<u8> {
    let mut out: Vec<u8> = Vec::with_capacity(path.len());
    for next in path {
        out.push(*next);
        // What was decoded may be the end of a further encoding.
        while let [.., b'%', high, low] = out[..]
            && let Some(decoded) = octet(high, low)
        {
            out.truncate(out.len() - 3);
            out.push(decoded);
        }
    }
    out
}

/// Characters that compatibility normalisation (NFKC) or a best fit into an older code page turns into `\`,
/// `/`, `.`, `%` or `;`, and the backslash itself.
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

/// Whether some server could take this part for `.` or `..`: parameters, an inner query or fragment and blanks
/// are cut off by some; three dots and more have been read as several steps up.
fn is_dots(part: &str) -> bool {
    let name = part.split([';', '?', '#']).next().unwrap_or_default();
    let mut dots = name.chars().filter(|c| !c.is_whitespace() && *c != '+').peekable();
    dots.peek().is_some() && dots.all(|c| c == '.')
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_all_servers_read_alike_goes_on() {
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
    fn what_some_server_could_read_otherwise_is_turned_down() {
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
    fn an_encoding_within_encodings_is_undone_in_one_pass() {
        let nested = format!("/view/%{}2e%2e", "25".repeat(10_000));
        assert_eq!(Target::parse(&nested), Err(Fault::DotSegment));
        assert_eq!(decode_wholly(nested.as_bytes()), b"/view/..");
        assert_eq!(decode_wholly(b"/%%32%65"), b"/.");
    }

    #[test]
    fn a_class_has_a_name_that_a_path_can_hold() {
        for name in ["view", "payslip-view", "a.b", "~x", "v1:view"] {
            assert!(is_class_name(name), "{name}");
        }
        for name in ["", ".", "..", "a.", "a/b", "a b", "a;b", "a%62", "a+b", "給与"] {
            assert!(!is_class_name(name), "{name}");
        }
    }
}
