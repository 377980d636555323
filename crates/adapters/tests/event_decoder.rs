//! Events split at any position and with any line ends.

use comfreyturn_adapters::{EventDecoder, EventError};

const MEBIBYTE: usize = 1024 * 1024;

/// The events of `text`, decoded in pieces of `size` bytes.
fn decode(text: &[u8], size: usize) -> Result<Vec<String>, EventError> {
    let mut decoder = EventDecoder::default();
    let mut events = Vec::new();
    for piece in text.chunks(size) {
        decoder.push(piece);
        while let Some(event) = decoder.next_event()? {
            events.push(event);
        }
    }
    Ok(events)
}

#[test]
fn piece_sizes_and_line_ends_make_no_difference() {
    let text = ": comment\r\nevent: x\r\ndata: one\r\n\r\ndata:two\ndata:  three\n\n\nid: 4\n\ndata: è\n\n";
    for size in 1..text.len() {
        let events = decode(text.as_bytes(), size).unwrap();
        assert_eq!(events, ["one", "two\n three", "è"], "pieces of {size}");
    }
}

#[test]
fn incomplete_event_is_not_returned() {
    assert_eq!(decode(b"data: cut", 3).unwrap(), [""; 0]);
    assert_eq!(decode(b"data: cut\n", 3).unwrap(), [""; 0]);
}

#[test]
fn oversized_and_non_utf8_events_are_refused() {
    let line = [b"data: ".to_vec(), vec![b'x'; 2 * MEBIBYTE]].concat();
    assert_eq!(decode(&line, 64 * 1024), Err(EventError::TooLarge));
    let lines = b"data: 0123456789\n".repeat(MEBIBYTE / 8);
    assert_eq!(decode(&lines, 64 * 1024), Err(EventError::TooLarge));
    assert_eq!(decode(b"data: \xff\n\n", 4), Err(EventError::NotText));
}
