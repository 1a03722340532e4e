//! The scanner against what stands on the wire.

use super::*;

const MESSAGES: &[u8] = b"\r\n\r\nPOST /order/1 HTTP/1.1\r\ncontent-LENGTH:\t5 \r\nX: #\r\n\r\na#\r\n\n\
    GET /view/1 HTTP/1.1\nHost: a\n\nGET /view/#1 HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n\
    POST /order/2 HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyen\r\n0\r\n\r\nGET /";

#[test]
fn heads_are_told_however_the_bytes_come() {
    let heads = [(false, 1, 0), (false, 0, 0), (true, 2, 0), (false, 1, 1)];
    for size in 1..MESSAGES.len() {
        let mut scanner = Scanner::default();
        MESSAGES.chunks(size).for_each(|bytes| scanner.feed(bytes));
        for (has_fragment, content_lengths, transfer_codings) in heads {
            assert_eq!(
                scanner.next_head(),
                Some(RawHead { has_fragment, content_lengths, transfer_codings }),
                "by {size}"
            );
        }
        assert_eq!(scanner.next_head(), None);
    }
}

#[test]
fn a_request_has_begun_until_it_is_whole() {
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
fn what_has_come_whole_is_counted_however_the_bytes_come() {
    for size in 1..MESSAGES.len() {
        let mut scanner = Scanner::default();
        MESSAGES.chunks(size).for_each(|bytes| scanner.feed(bytes));
        // The one in chunks is not followed to its end.
        assert_eq!((scanner.completed_requests(), scanner.has_pending_input()), (3, true), "by {size}");
    }
}

#[test]
fn what_is_no_head_is_not_followed() {
    for bytes in
        [&b"GET / HTTP/1.1\r\nno colon\r\n\r\n"[..], b"GET / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\n"]
    {
        let mut scanner = Scanner::default();
        scanner.feed(bytes);
        assert_eq!(scanner.next_head(), None);
    }
    let mut scanner = Scanner::default();
    scanner.feed(&vec![b'a'; 2 * LINE_MOST]);
    scanner.feed(b"\r\n\r\n");
    assert!(scanner.next_head().is_none() && !scanner.is_mid_request() && scanner.line.is_empty());
}
