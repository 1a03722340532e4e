//! What stands on a client's connection, for what HTTP libraries drop before they hand a request on: a
//! fragment, a second `Content-Length`, a `Content-Length` beside `Transfer-Encoding`.

use std::collections::VecDeque;

use crate::fault::Fault;

/// The longest line that is looked at. Libraries give up long before.
const LINE_MOST: usize = 64 * 1024;
/// The most heads that wait to be asked for: as many as fit into what a library reads ahead.
const HEADS_MOST: usize = 8 * 1024;

/// What a request's head holds on the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// Whether the target has a `#`.
    pub fragment: bool,
    /// How many lines state a length.
    pub lengths: usize,
    /// How many lines state a transfer coding.
    pub codings: usize,
}

impl Head {
    /// What could be read otherwise.
    ///
    /// # Errors
    ///
    /// There are servers that could read it otherwise.
    pub fn check(&self) -> Result<(), Fault> {
        match self {
            Head { fragment: true, .. } => Err(Fault::Fragment),
            Head { lengths: 1.., codings: 1.., .. } => Err(Fault::TwoFramings),
            Head { lengths: 2.., .. } => Err(Fault::Lengths),
            _ => Ok(()),
        }
    }
}

/// Where among the bytes the scanner is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum At {
    Head,
    /// So many bytes of a body are still to come.
    Body(u64),
    /// Where the next head begins is not known. It is never asked for: a request in chunks ends its
    /// connection, and so does what is no request.
    Lost,
}

/// Follows the requests on a connection, byte by byte, and tells of each head.
///
/// ```
/// use dunelink_edge::{Fault, wire::Scanner};
///
/// let mut scanner = Scanner::default();
/// scanner.take(b"POST /order/1 HTTP/1.1\r\nContent-Length: 3\r\n\r\nyenGET /view/1#x HTT");
/// assert_eq!(scanner.next_head().map(|head| head.check()), Some(Ok(())));
/// assert!(scanner.next_head().is_none() && scanner.has_begun());
/// scanner.take(b"P/1.1\r\n\r\n");
/// assert_eq!(scanner.next_head().map(|head| head.check()), Some(Err(Fault::Fragment)));
/// ```
#[derive(Debug)]
pub struct Scanner {
    at: At,
    /// What has come of a line that is not whole.
    line: Vec<u8>,
    /// Whether the head's first line is there: empty lines before it are skipped (RFC 9112, 2.2).
    begun: bool,
    head: Head,
    length: u64,
    heads: VecDeque<Head>,
}

impl Default for Scanner {
    fn default() -> Scanner {
        Scanner {
            at: At::Head,
            line: Vec::new(),
            begun: false,
            head: Head::default(),
            length: 0,
            heads: VecDeque::new(),
        }
    }
}

impl Scanner {
    /// Takes in what has come.
    pub fn take(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match self.at {
                At::Lost => return,
                At::Body(left) => {
                    let taken = usize::try_from(left).map_or(bytes.len(), |left| left.min(bytes.len()));
                    bytes = &bytes[taken..];
                    let left = left - taken as u64;
                    self.at = if left == 0 { At::Head } else { At::Body(left) };
                }
                At::Head => {
                    let Some(end) = bytes.iter().position(|octet| *octet == b'\n') else {
                        self.line.extend_from_slice(bytes);
                        if self.line.len() > LINE_MOST {
                            self.lose();
                        }
                        return;
                    };
                    let (line, rest) = bytes.split_at(end);
                    bytes = &rest[1..];
                    if self.line.is_empty() {
                        self.take_line(line);
                    } else {
                        let mut whole = std::mem::take(&mut self.line);
                        whole.extend_from_slice(line);
                        self.take_line(&whole);
                    }
                }
            }
        }
    }

    fn lose(&mut self) {
        (self.at, self.line) = (At::Lost, Vec::new());
    }

    /// A whole line, without its end.
    fn take_line(&mut self, line: &[u8]) {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        match (line.is_empty(), self.begun) {
            (true, false) => {}
            (true, true) => self.end_head(),
            (false, false) => {
                self.begun = true;
                let target = line.split(|octet| *octet == b' ').nth(1);
                self.head.fragment = target.is_some_and(|target| target.contains(&b'#'));
            }
            (false, true) => self.take_field(line),
        }
    }

    fn take_field(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|octet| *octet == b':') else { return self.lose() };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.head.codings += 1;
        } else if name.eq_ignore_ascii_case(b"content-length") {
            self.head.lengths += 1;
            let digits = std::str::from_utf8(value).ok().filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
            match digits.and_then(|digits| digits.parse().ok()) {
                Some(length) => self.length = length,
                None => self.lose(),
            }
        }
    }

    fn end_head(&mut self) {
        let head = std::mem::take(&mut self.head);
        self.at = match head.codings {
            0 if self.length > 0 => At::Body(self.length),
            0 => At::Head,
            _ => At::Lost,
        };
        (self.begun, self.length) = (false, 0);
        if self.heads.len() >= HEADS_MOST {
            return self.lose();
        }
        self.heads.push_back(head);
    }

    /// The head of the next request, in the order in which they came; nothing if there is none, or it could not
    /// be followed.
    pub fn next_head(&mut self) -> Option<Head> {
        self.heads.pop_front()
    }

    /// Whether some of a request has come and some has not.
    pub fn has_begun(&self) -> bool {
        match self.at {
            At::Head => self.begun || !self.line.is_empty(),
            At::Body(_) => true,
            At::Lost => false,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MESSAGES: &[u8] = b"\r\n\r\nPOST /order/1 HTTP/1.1\r\ncontent-LENGTH:\t5 \r\nX: #\r\n\r\na#\r\n\n\
        GET /view/1 HTTP/1.1\nHost: a\n\nGET /view/#1 HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n\
        POST /order/2 HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyen\r\n0\r\n\r\nGET /";

    #[test]
    fn heads_are_told_however_the_bytes_come() {
        let heads = [(false, 1, 0), (false, 0, 0), (true, 2, 0), (false, 1, 1)];
        for size in 1..MESSAGES.len() {
            let mut scanner = Scanner::default();
            MESSAGES.chunks(size).for_each(|bytes| scanner.take(bytes));
            for (fragment, lengths, codings) in heads {
                assert_eq!(scanner.next_head(), Some(Head { fragment, lengths, codings }), "by {size}");
            }
            assert_eq!(scanner.next_head(), None);
        }
    }

    #[test]
    fn a_request_has_begun_until_it_is_whole() {
        let mut scanner = Scanner::default();
        assert!(!scanner.has_begun());
        scanner.take(b"\r\n");
        assert!(!scanner.has_begun());
        scanner.take(b"P");
        assert!(scanner.has_begun());
        scanner.take(b"OST /order/1 HTTP/1.1\r\nContent-Length: 3\r\n\r\nye");
        assert!(scanner.has_begun());
        scanner.take(b"n");
        assert!(!scanner.has_begun());
    }

    #[test]
    fn what_is_no_head_is_not_followed() {
        for bytes in
            [&b"GET / HTTP/1.1\r\nno colon\r\n\r\n"[..], b"GET / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\n"]
        {
            let mut scanner = Scanner::default();
            scanner.take(bytes);
            assert_eq!(scanner.next_head(), None);
        }
        let mut scanner = Scanner::default();
        scanner.take(&vec![b'a'; 2 * LINE_MOST]);
        scanner.take(b"\r\n\r\n");
        assert!(scanner.next_head().is_none() && !scanner.has_begun() && scanner.line.is_empty());
    }
}
