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
    (out, splitter.ids().last().map(str::to_owned), splitter.has_partial())
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
    assert_eq!(splitter.ids().last(), Some("1"));
    assert!(splitter.has_partial());
    assert_eq!(splitter.partial_len(), "id: 2\ndata: b\n".len());
}

#[test]
fn event_without_id_has_no_point_to_resume_at() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\n");
    splitter.take_whole();
    assert_eq!(splitter.ids().last(), Some("1"));
    splitter.push(b"data: b\n\n");
    splitter.take_whole();
    assert_eq!(splitter.ids().last(), None);
    splitter.push(b"id: 3\n\n");
    splitter.take_whole();
    assert_eq!(splitter.ids().last(), Some("3"));
}
