//! The position within an event stream, for streams that are split anywhere.

use dunelink_proxy::upstream::EventBoundary;

fn is_within_event(stream: &str) -> bool {
    let mut boundary = EventBoundary::default();
    boundary.push(stream.as_bytes());
    boundary.is_within_event()
}

#[test]
fn complete_events_end_with_blank_line() {
    for stream in
        ["", "\n", "data: a\n\n", "data: a\r\n\r\n", "data: a\r\r", "data: a\n\r\n", "id: 1\ndata\n\n"]
    {
        assert!(!is_within_event(stream), "{stream:?}");
    }
    for stream in ["d", "data: a", "data: a\n", "data: a\r\n", "data: a\r", "data: a\n\nid: 2\n"] {
        assert!(is_within_event(stream), "{stream:?}");
    }
}

#[test]
fn comments_belong_to_no_event() {
    for stream in [": a", ": a\n", "data: a\n\n: b", ":\n\n"] {
        assert!(!is_within_event(stream), "{stream:?}");
    }
    assert!(is_within_event("data: a\n: b\n"));
    assert!(is_within_event("da: ta"));
}

#[test]
fn position_does_not_depend_on_pieces() {
    bolero::check!().with_type::<(Vec<u8>, u8)>().for_each(|(choices, piece_bytes)| {
        const ALPHABET: &[u8] = b"\r\n:a";
        let stream: Vec<u8> =
            choices.iter().map(|choice| ALPHABET[usize::from(*choice) % ALPHABET.len()]).collect();
        let mut whole = EventBoundary::default();
        whole.push(&stream);
        let mut pieces = EventBoundary::default();
        stream.chunks(usize::from(*piece_bytes).max(1)).for_each(|piece| pieces.push(piece));
        assert_eq!(whole, pieces);
    });
}

/// Compares with a direct reading of the standard: split the stream into lines, look for a field line after the
/// last blank one.
#[test]
fn position_agrees_with_lines_of_the_stream() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|choices| {
        const ALPHABET: &[char] = &['\r', '\n', ':', 'a'];
        let stream: String =
            choices.iter().map(|choice| ALPHABET[usize::from(*choice) % ALPHABET.len()]).collect();
        let normalized = stream.replace("\r\n", "\n").replace('\r', "\n");
        let mut lines: Vec<&str> = normalized.split('\n').collect();
        let unfinished = lines.pop().unwrap_or_default();
        let event = lines.iter().rev().take_while(|line| !line.is_empty());
        let is_field = |line: &str| !line.is_empty() && !line.starts_with(':');
        let expected = event.copied().chain([unfinished]).any(is_field);
        assert_eq!(is_within_event(&stream), expected, "{stream:?}");
    });
}
