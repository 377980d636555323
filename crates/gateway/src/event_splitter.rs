//! Whole events out of a stream's bytes.

use bytes::{Bytes, BytesMut};

/// The field that names an event.
const ID_FIELD: &[u8] = b"id:";

/// Cuts a stream of server-sent events into whole events, so that nothing after the last whole
/// one reaches a caller when the stream breaks and goes on elsewhere.
#[derive(Debug, Default)]
pub struct EventSplitter {
    input: BytesMut,

    /// Bytes at the start of `input` that hold no end of an event.
    scanned: usize,

    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Takes all whole events that have come, as the bytes that the server sent.
    pub fn take_whole(&mut self) -> Option<Bytes> {
        let mut end = 0;
        let mut from = self.scanned;
        while let Some(next) = event_end(&self.input, from) {
            if let Some(id) = event_id(&self.input[end..next]) {
                self.last_id = Some(id);
            }
            end = next;
            from = next;
        }
        // The blank line that ends an event is at most three bytes: look again at the last ones.
        self.scanned = self.input.len().saturating_sub(end).saturating_sub(3);
        (end > 0).then(|| self.input.split_to(end).freeze())
    }

    /// The id of the last whole event that named one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether bytes of an event without an end have come.
    pub fn has_partial(&self) -> bool {
        !self.input.is_empty()
    }

    /// Drops the bytes of an event without an end.
    pub fn drop_partial(&mut self) {
        self.input.clear();
        self.scanned = 0;
    }
}

/// Where the first event ends that ends at or after `from`.
fn event_end(input: &[u8], from: usize) -> Option<usize> {
    let at = |index: usize| input.get(index).copied();
    (from..input.len()).find_map(|index| match (at(index), at(index + 1), at(index + 2)) {
        (Some(b'\n'), Some(b'\n'), _) => Some(index + 2),
        (Some(b'\n'), Some(b'\r'), Some(b'\n')) => Some(index + 3),
        _ => None,
    })
}

fn event_id(event: &[u8]) -> Option<String> {
    let lines = event.split(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(ID_FIELD)).next_back()?;
    Some(String::from_utf8_lossy(id).trim().to_owned())
}
