//! A scanner for the raw bytes of a client connection. It detects what HTTP libraries drop before they pass
//! on a request: a fragment, a second `Content-Length`, and a `Content-Length` together with
//! `Transfer-Encoding`.

use std::collections::VecDeque;

use crate::fault::Fault;

/// Maximum length of a line. HTTP libraries have lower limits.
const MAX_LINE_BYTES: usize = 64 * 1024;
/// Maximum number of heads waiting for [`Scanner::next_head`]: as many as fit into the read-ahead of an HTTP
/// library.
const MAX_PENDING_HEADS: usize = 8 * 1024;

/// Properties of the raw head of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RawHead {
    /// Whether the target contains a `#`.
    pub has_fragment: bool,
    /// Number of `Content-Length` lines.
    pub content_lengths: usize,
    /// Number of `Transfer-Encoding` lines.
    pub transfer_codings: usize,
}

impl RawHead {
    /// Checks that the head is unambiguous.
    ///
    /// # Errors
    ///
    /// Some servers could interpret the head differently.
    pub fn check(&self) -> Result<(), Fault> {
        match self {
            RawHead { has_fragment: true, .. } => Err(Fault::Fragment),
            RawHead { content_lengths: 1.., transfer_codings: 1.., .. } => Err(Fault::ConflictingFraming),
            RawHead { content_lengths: 2.., .. } => Err(Fault::RepeatedContentLength),
            _ => Ok(()),
        }
    }
}

/// Position of the scanner within the messages of the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ScanState {
    /// In a head, or before one.
    Head,
    /// In a body, with this number of bytes remaining.
    Body(u64),
    /// The beginning of the next head is unknown. It is never needed: a chunked request ends its
    /// connection, and so does an invalid request.
    Untracked,
}

/// Tracks the requests on a connection and records the properties of each head.
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
    state: ScanState,
    /// The received part of an incomplete line.
    partial_line: Vec<u8>,
    /// Whether the first line of the current head was received: empty lines before it are skipped (RFC 9112,
    /// 2.2).
    in_head: bool,
    /// The current head.
    head: RawHead,
    /// `Content-Length` of the current head; 0 without one.
    body_length: u64,
    /// Complete heads that were not yet taken by [`Scanner::next_head`].
    pending_heads: VecDeque<RawHead>,
    /// Number of requests received completely.
    completed_requests: u64,
}

impl Default for Scanner {
    fn default() -> Scanner {
        Scanner {
            state: ScanState::Head,
            partial_line: Vec::new(),
            in_head: false,
            head: RawHead::default(),
            body_length: 0,
            pending_heads: VecDeque::new(),
            completed_requests: 0,
        }
    }
}

impl Scanner {
    /// Processes received bytes.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match self.state {
                ScanState::Untracked => return,
                ScanState::Body(remaining) => {
                    let consumed = usize::try_from(remaining)
                        .map_or(bytes.len(), |remaining| remaining.min(bytes.len()));
                    bytes = &bytes[consumed..];
                    let remaining = remaining - consumed as u64;
                    self.state = if remaining == 0 { ScanState::Head } else { ScanState::Body(remaining) };
                    self.completed_requests += u64::from(remaining == 0);
                }
                ScanState::Head => {
                    let Some(end) = bytes.iter().position(|octet| *octet == b'\n') else {
                        self.partial_line.extend_from_slice(bytes);
                        if self.partial_line.len() > MAX_LINE_BYTES {
                            self.stop_tracking();
                        }
                        return;
                    };
                    let (line, rest) = bytes.split_at(end);
                    bytes = &rest[1..];
                    if self.partial_line.is_empty() {
                        self.process_line(line);
                    } else {
                        let mut line_bytes = std::mem::take(&mut self.partial_line);
                        line_bytes.extend_from_slice(line);
                        self.process_line(&line_bytes);
                    }
                }
            }
        }
    }

    fn stop_tracking(&mut self) {
        (self.state, self.partial_line) = (ScanState::Untracked, Vec::new());
    }

    /// Processes a complete line without its line feed.
    fn process_line(&mut self, line: &[u8]) {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        match (line.is_empty(), self.in_head) {
            (true, false) => {}
            (true, true) => self.finish_head(),
            (false, false) => {
                self.in_head = true;
                let target = line.split(|octet| *octet == b' ').nth(1);
                self.head.has_fragment = target.is_some_and(|target| target.contains(&b'#'));
            }
            (false, true) => self.process_field(line),
        }
    }

    fn process_field(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|octet| *octet == b':') else { return self.stop_tracking() };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.head.transfer_codings += 1;
        } else if name.eq_ignore_ascii_case(b"content-length") {
            self.head.content_lengths += 1;
            let digits = std::str::from_utf8(value).ok().filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
            match digits.and_then(|digits| digits.parse().ok()) {
                Some(length) => self.body_length = length,
                None => self.stop_tracking(),
            }
        }
    }

    fn finish_head(&mut self) {
        let head = std::mem::take(&mut self.head);
        self.state = match head.transfer_codings {
            0 if self.body_length > 0 => ScanState::Body(self.body_length),
            0 => ScanState::Head,
            _ => ScanState::Untracked,
        };
        (self.in_head, self.body_length) = (false, 0);
        if self.pending_heads.len() >= MAX_PENDING_HEADS {
            return self.stop_tracking();
        }
        self.completed_requests += u64::from(self.state == ScanState::Head);
        self.pending_heads.push_back(head);
    }

    /// Number of requests received completely, as far as the scanner could track them.
    pub fn completed_requests(&self) -> u64 {
        self.completed_requests
    }

    /// Whether there is input beyond the heads that were taken: another head, or a part of a request.
    pub fn has_pending_input(&self) -> bool {
        !self.pending_heads.is_empty() || self.is_mid_request()
    }

    /// Takes the head of the next request, in the order of arrival; `None` if there is none, or it could not
    /// be tracked.
    pub fn next_head(&mut self) -> Option<RawHead> {
        self.pending_heads.pop_front()
    }

    /// Whether a request was received partially.
    pub fn is_mid_request(&self) -> bool {
        match self.state {
            ScanState::Head => self.in_head || !self.partial_line.is_empty(),
            ScanState::Body(_) => true,
            ScanState::Untracked => false,
        }
    }
}

#[cfg(test)]
#[path = "wire_tests.rs"]
mod tests;
