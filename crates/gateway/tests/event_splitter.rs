//! Complete events are split from a byte stream regardless of how the bytes are chunked.

use comfreyturn_gateway::EventSplitter;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nweights: 3\nid: 3\ndata: c\n\n";

/// Splits the stream when it is received in pieces of `size` bytes.
fn split(size: usize) -> (Vec<u8>, Option<String>, bool) {
    let mut splitter = EventSplitter::default();
    let mut out = Vec::new();
    for piece in STREAM.chunks(size) {
        splitter.push(piece);
        while let Some(events) = splitter.take_whole() {
            out.extend_from_slice(&events);
        }
    }
    (out, splitter.last_id().map(str::to_owned), splitter.has_partial())
}

#[test]
fn bytes_pass_unchanged_in_pieces_of_any_size() {
    for size in 1..=STREAM.len() {
        let (out, last_id, has_partial) = split(size);
        assert_eq!(out, STREAM, "pieces of {size}");
        assert_eq!(last_id.as_deref(), Some("3"));
        assert!(!has_partial);
    }
}

#[test]
fn partial_event_is_held_back() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n");
    assert_eq!(splitter.take_whole().as_deref(), Some(&b"id: 1\ndata: a\n\n"[..]));
    assert_eq!(splitter.take_whole(), None);
    assert_eq!(splitter.last_id(), Some("1"));
    assert!(splitter.has_partial());
    splitter.drop_partial();
    assert!(!splitter.has_partial());
}

#[test]
fn stream_continues_after_the_partial_event_was_dropped() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    splitter.take_whole();
    splitter.drop_partial();
    splitter.push(b"id: 2\ndata: b\n\n");
    assert_eq!(splitter.take_whole().as_deref(), Some(&b"id: 2\ndata: b\n\n"[..]));
    assert_eq!(splitter.last_id(), Some("2"));
}
