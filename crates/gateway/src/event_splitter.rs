//! Splitting of a byte stream into complete server-sent events.

use bytes::{Bytes, BytesMut};

use crate::resume_point::EventIds;

/// The field that holds the id of an event.
const ID_FIELD: &[u8] = b"id:";

/// The fields of events. A block without any of them is no event.
const FIELDS: [&[u8]; 4] = [ID_FIELD, b"data:", b"event:", b"retry:"];

/// Splits a stream of server-sent events into complete events, so that a caller never receives a
/// partial event when the stream breaks and is resumed at another server.
#[derive(Debug, Default)]
pub struct EventSplitter {
    input: BytesMut,

    /// Bytes at the start of `input` that were searched and contain no end of an event.
    scanned: usize,

    ids: EventIds,

    /// Whether `input` begins with a block that is no event.
    is_foreign: bool,
}

impl EventSplitter {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Takes all complete events received so far, byte for byte as the server sent them.
    pub fn take_whole(&mut self) -> Option<Bytes> {
        if self.is_foreign {
            return None;
        }
        let mut end = 0;
        let mut from = self.scanned;
        while let Some(next) = event_end(&self.input, from) {
            let block = &self.input[end..next];
            if has_field(block) {
                self.ids.push(event_id(block));
            } else if !is_comment(block) {
                self.is_foreign = true;
                break;
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

    /// Whether a block that is no event follows the complete events.
    pub fn is_foreign(&self) -> bool {
        self.is_foreign
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

/// The lines of a block that are not empty.
fn lines(block: &[u8]) -> impl Iterator<Item = &[u8]> {
    block.split(|byte| matches!(byte, b'\n' | b'\r')).filter(|line| !line.is_empty())
}

fn has_field(block: &[u8]) -> bool {
    lines(block).any(|line| FIELDS.iter().any(|field| line.starts_with(field)))
}

/// Whether a block has comments only, which are no event.
fn is_comment(block: &[u8]) -> bool {
    lines(block).all(|line| line.starts_with(b":"))
}

fn event_id(event: &[u8]) -> Option<String> {
    let lines = event.split(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(ID_FIELD)).next_back()?;
    Some(String::from_utf8_lossy(id).trim().to_owned())
}
