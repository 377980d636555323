//! Splitting of a byte stream into complete server-sent events.

use bytes::{Bytes, BytesMut};

use crate::resume_point::EventIds;

/// The field that holds the id of an event.
const ID_FIELD: &[u8] = b"id:";

/// Splits a stream of server-sent events into complete events, so that a caller never receives a
/// partial event when the stream breaks and is resumed at another server.
#[derive(Debug, Default)]
pub struct EventSplitter {
    input: BytesMut,

    /// Bytes at the start of `input` that were searched and contain no end of an event.
    scanned: usize,

    ids: EventIds,
}

impl EventSplitter {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Takes all complete events received so far, byte for byte as the server sent them.
    pub fn take_whole(&mut self) -> Option<Bytes> {
        let mut end = 0;
        let mut from = self.scanned;
        while let Some(next) = event_end(&self.input, from) {
            let event = &self.input[end..next];
            if !is_comment(event) {
                self.ids.push(event_id(event));
            }
            end = next;
            from = next;
        }
        // The blank line that ends an event is at most three bytes long and may be received in
        // parts, so the last three bytes are searched again.
        self.scanned = self.input.len().saturating_sub(end).saturating_sub(3);
        (end > 0).then(|| self.input.split_to(end).freeze())
    }

    /// The ids of all complete events.
    pub fn ids(&self) -> &EventIds {
        &self.ids
    }

    /// Whether the buffer holds a partial event.
    pub fn has_partial(&self) -> bool {
        !self.input.is_empty()
    }

    /// The size of the partial event, in bytes.
    pub fn partial_len(&self) -> usize {
        self.input.len()
    }
}

/// Finds the first end of an event at or after `from`.
fn event_end(input: &[u8], from: usize) -> Option<usize> {
    let at = |index: usize| input.get(index).copied();
    (from..input.len()).find_map(|index| match (at(index), at(index + 1), at(index + 2)) {
        (Some(b'\n'), Some(b'\n'), _) => Some(index + 2),
        (Some(b'\n'), Some(b'\r'), Some(b'\n')) => Some(index + 3),
        _ => None,
    })
}

/// Whether a block has comments only, which are no event.
fn is_comment(block: &[u8]) -> bool {
    let mut lines =
        block.split(|byte| matches!(byte, b'\n' | b'\r')).filter(|line| !line.is_empty());
    lines.all(|line| line.starts_with(b":"))
}

fn event_id(event: &[u8]) -> Option<String> {
    let lines = event.split(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(ID_FIELD)).next_back()?;
    Some(String::from_utf8_lossy(id).trim().to_owned())
}
