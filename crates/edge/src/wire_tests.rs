//! Tests of the scanner with raw messages, split at every possible size.

use super::*;

const MESSAGES: &[u8] = b"\r\n\r\nPOST /order/1 HTTP/1.1\r\ncontent-LENGTH:\t5 \r\nX: #\r\n\r\na#\r\n\n\
    GET /view/1 HTTP/1.1\nHost: a\n\nGET /view/#1 HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n\
    POST /order/2 HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyen\r\n0\r\n\r\nGET /";

#[test]
fn heads_do_not_depend_on_chunk_size() {
    let heads = [(false, 1, 0), (false, 0, 0), (true, 2, 0), (false, 1, 1)];
    for size in 1..MESSAGES.len() {
        let mut scanner = Scanner::default();
        MESSAGES.chunks(size).for_each(|bytes| scanner.feed(bytes));
        for (has_fragment, content_lengths, transfer_codings) in heads {
            assert_eq!(
                scanner.next_head(),
                Some(RawHead { has_fragment, content_lengths, transfer_codings }),
                "chunk size {size}"
            );
        }
        assert_eq!(scanner.next_head(), None);
    }
}

#[test]
fn partial_request_is_mid_request() {
    let mut scanner = Scanner::default();
    assert!(!scanner.is_mid_request());
    scanner.feed(b"\r\n");
    assert!(!scanner.is_mid_request());
    scanner.feed(b"P");
    assert!(scanner.is_mid_request());
    scanner.feed(b"OST /order/1 HTTP/1.1\r\nContent-Length: 3\r\n\r\nye");
    assert!(scanner.is_mid_request());
    scanner.feed(b"n");
    assert!(!scanner.is_mid_request());
}

#[test]
fn completed_requests_do_not_depend_on_chunk_size() {
    for size in 1..MESSAGES.len() {
        let mut scanner = Scanner::default();
        MESSAGES.chunks(size).for_each(|bytes| scanner.feed(bytes));
        // The scanner does not track the end of the chunked request.
        assert_eq!(
            (scanner.completed_requests(), scanner.has_pending_input()),
            (3, true),
            "chunk size {size}"
        );
    }
}

#[test]
fn invalid_head_is_not_tracked() {
    for bytes in
        [&b"GET / HTTP/1.1\r\nno colon\r\n\r\n"[..], b"GET / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\n"]
    {
        let mut scanner = Scanner::default();
        scanner.feed(bytes);
        assert_eq!(scanner.next_head(), None);
    }
    let mut scanner = Scanner::default();
    scanner.feed(&vec![b'a'; 2 * MAX_LINE_BYTES]);
    scanner.feed(b"\r\n\r\n");
    assert!(scanner.next_head().is_none() && !scanner.is_mid_request() && scanner.partial_line.is_empty());
}
