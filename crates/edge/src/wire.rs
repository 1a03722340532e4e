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
pub struct RawHead {
    /// Whether the target has a `#`.
    pub has_fragment: bool,
    /// How many lines state a length.
    pub content_lengths: usize,
    /// How many lines state a transfer coding.
    pub transfer_codings: usize,
}

impl RawHead {
    /// What could be read otherwise.
    ///
    /// # Errors
    ///
    /// There are servers that could read it otherwise.
    pub fn check(&self) -> Result<(), Fault> {
        match self {
            RawHead { has_fragment: true, .. } => Err(Fault::Fragment),
            RawHead { content_lengths: 1.., transfer_codings: 1.., .. } => Err(Fault::ConflictingFraming),
            RawHead { content_lengths: 2.., .. } => Err(Fault::RepeatedContentLength),
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
/// scanner.feed(b"POST /order/1 HTTP/1.1\r\nContent-Length: 3\r\n\r\nyenGET /view/1#x HTT");
/// assert_eq!(scanner.next_head().map(|head| head.check()), Some(Ok(())));
/// assert!(scanner.next_head().is_none() && scanner.is_mid_request());
/// scanner.feed(b"P/1.1\r\n\r\n");
/// assert_eq!(scanner.next_head().map(|head| head.check()), Some(Err(Fault::Fragment)));
/// ```
#[derive(Debug)]
pub struct Scanner {
    at: At,
    /// What has come of a line that is not whole.
    line: Vec<u8>,
    /// Whether the head's first line is there: empty lines before it are skipped (RFC 9112, 2.2).
    begun: bool,
    head: RawHead,
    length: u64,
    heads: VecDeque<RawHead>,
    /// How many requests have come whole.
    whole: u64,
}

impl Default for Scanner {
    fn default() -> Scanner {
        Scanner {
            at: At::Head,
            line: Vec::new(),
            begun: false,
            head: RawHead::default(),
            length: 0,
            heads: VecDeque::new(),
            whole: 0,
        }
    }
}

impl Scanner {
    /// Takes in what has come.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match self.at {
                At::Lost => return,
                At::Body(left) => {
                    let taken = usize::try_from(left).map_or(bytes.len(), |left| left.min(bytes.len()));
                    bytes = &bytes[taken..];
                    let left = left - taken as u64;
                    self.at = if left == 0 { At::Head } else { At::Body(left) };
                    self.whole += u64::from(left == 0);
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
                self.head.has_fragment = target.is_some_and(|target| target.contains(&b'#'));
            }
            (false, true) => self.take_field(line),
        }
    }

    fn take_field(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|octet| *octet == b':') else { return self.lose() };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.head.transfer_codings += 1;
        } else if name.eq_ignore_ascii_case(b"content-length") {
            self.head.content_lengths += 1;
            let digits = std::str::from_utf8(value).ok().filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
            match digits.and_then(|digits| digits.parse().ok()) {
                Some(length) => self.length = length,
                None => self.lose(),
            }
        }
    }

    fn end_head(&mut self) {
        let head = std::mem::take(&mut self.head);
        self.at = match head.transfer_codings {
            0 if self.length > 0 => At::Body(self.length),
            0 => At::Head,
            _ => At::Lost,
        };
        (self.begun, self.length) = (false, 0);
        if self.heads.len() >= HEADS_MOST {
            return self.lose();
        }
        self.whole += u64::from(self.at == At::Head);
        self.heads.push_back(head);
    }

    /// How many requests have come to their last byte, as far as they could be followed.
    pub fn completed_requests(&self) -> u64 {
        self.whole
    }

    /// Whether there is more than the heads that were asked for: another one, or a part of a request.
    pub fn has_pending_input(&self) -> bool {
        !self.heads.is_empty() || self.is_mid_request()
    }

    /// The head of the next request, in the order in which they came; nothing if there is none, or it could not
    /// be followed.
    pub fn next_head(&mut self) -> Option<RawHead> {
        self.heads.pop_front()
    }

    /// Whether some of a request has come and some has not.
    pub fn is_mid_request(&self) -> bool {
        match self.at {
            At::Head => self.begun || !self.line.is_empty(),
            At::Body(_) => true,
            At::Lost => false,
        }
    }
}

#[cfg(test)]
#[path = "wire_tests.rs"]
mod tests;
