//! Decodes server-sent events.

use bytes::{Buf, BytesMut};

/// The largest event, in bytes.
const EVENT_LIMIT: usize = 1024 * 1024;

const DATA_FIELD: &[u8] = b"data";

/// The bytes received are not a valid event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum EventError {
    /// An event is larger than the limit.
    #[display("event too large")]
    TooLarge,

    /// An event is not UTF-8.
    #[display("event is not UTF-8")]
    NotText,
}

/// Result of decoding events.
pub type EventResult<T, E = EventError> = std::result::Result<T, E>;

/// Extracts the data of server-sent events from bytes that arrive in chunks of any size. Fields
/// other than `data`, and comments, are skipped.
#[derive(Debug, Default)]
pub struct EventDecoder {
    /// Bytes that are not decoded yet.
    input: BytesMut,

    /// Length of the prefix of `input` that contains no line end.
    scanned: usize,

    /// The data of the event whose end has not arrived yet.
    data: Option<Vec<u8>>,
}

impl EventDecoder {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Returns the data of the next complete event; `None` until more bytes are added.
    ///
    /// # Errors
    ///
    /// Fails if an event is too large or not UTF-8. The rest of the stream cannot be decoded then.
    pub fn next_event(&mut self) -> EventResult<Option<String>> {
        while let Some(line) = self.next_line() {
            if line.is_empty() {
                if let Some(data) = self.data.take() {
                    return String::from_utf8(data).map(Some).map_err(|_| EventError::NotText);
                }
                continue;
            }
            self.add_field(&line)?;
        }
        if self.input.len() > EVENT_LIMIT {
            return Err(EventError::TooLarge);
        }
        Ok(None)
    }

    fn next_line(&mut self) -> Option<BytesMut> {
        let rest = &self.input[self.scanned..];
        let Some(end) = rest.iter().position(|byte| *byte == b'\n') else {
            self.scanned = self.input.len();
            return None;
        };
        let mut line = self.input.split_to(self.scanned + end);
        self.input.advance(1);
        self.scanned = 0;
        if line.last() == Some(&b'\r') {
            line.truncate(line.len() - 1);
        }
        Some(line)
    }

    fn add_field(&mut self, line: &[u8]) -> EventResult<()> {
        let colon = line.iter().position(|byte| *byte == b':').unwrap_or(line.len());
        let (name, value) = line.split_at(colon);
        if name != DATA_FIELD {
            return Ok(());
        }
        let value = value.strip_prefix(b":").unwrap_or(value);
        let value = value.strip_prefix(b" ").unwrap_or(value);
        let data = match &mut self.data {
            Some(data) => {
                data.push(b'\n');
                data
            }
            None => self.data.insert(Vec::new()),
        };
        if data.len() + value.len() > EVENT_LIMIT {
            return Err(EventError::TooLarge);
        }
        data.extend_from_slice(value);
        Ok(())
    }
}
