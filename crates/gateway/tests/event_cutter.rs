//! Whole events out of a stream's bytes, however these are cut.

use comfreyturn_gateway::EventCutter;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nweights: 3\nid: 3\ndata: c\n\n";

/// Feeds the stream in pieces of `size` bytes.
fn cut(size: usize) -> (Vec<u8>, Option<String>, bool) {
    let mut cutter = EventCutter::default();
    let mut out = Vec::new();
    for piece in STREAM.chunks(size) {
        cutter.push(piece);
        while let Some(events) = cutter.take_whole() {
            out.extend_from_slice(&events);
        }
    }
    (out, cutter.last_id().map(str::to_owned), cutter.has_rest())
}

#[test]
fn bytes_pass_unchanged_in_pieces_of_any_size() {
    for size in 1..=STREAM.len() {
        let (out, last_id, has_rest) = cut(size);
        assert_eq!(out, STREAM, "pieces of {size}");
        assert_eq!(last_id.as_deref(), Some("3"));
        assert!(!has_rest);
    }
}

#[test]
fn event_without_an_end_is_kept_back() {
    let mut cutter = EventCutter::default();
    cutter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n");
    assert_eq!(cutter.take_whole().as_deref(), Some(&b"id: 1\ndata: a\n\n"[..]));
    assert_eq!(cutter.take_whole(), None);
    assert_eq!(cutter.last_id(), Some("1"));
    assert!(cutter.has_rest());
    cutter.drop_rest();
    assert!(!cutter.has_rest());
}

#[test]
fn stream_goes_on_after_the_rest_was_dropped() {
    let mut cutter = EventCutter::default();
    cutter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    cutter.take_whole();
    cutter.drop_rest();
    cutter.push(b"id: 2\ndata: b\n\n");
    assert_eq!(cutter.take_whole().as_deref(), Some(&b"id: 2\ndata: b\n\n"[..]));
    assert_eq!(cutter.last_id(), Some("2"));
}
