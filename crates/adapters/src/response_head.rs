//! Which heads are those of a response, and reading of one that is passed on as bytes.

use std::ops::RangeInclusive;

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header::TRANSFER_ENCODING};

/// The statuses of final responses.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// The only transfer coding that is understood.
const CHUNKED: &[u8] = b"chunked";

/// A head beyond this size is not read, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// The most headers of a head that is read.
const MAX_HEADERS: usize = 100;

/// The status and the headers of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status.
    pub status: StatusCode,

    /// The headers.
    pub headers: HeaderMap,
}

impl ResponseHead {
    /// Whether a response to a request follows. `101 Switching Protocols` is none: no request asks
    /// for another protocol.
    fn is_final(&self) -> bool {
        is_final_head(self.status, &self.headers)
    }

    /// Whether the head of another response follows.
    fn is_interim(&self) -> bool {
        self.status.is_informational() && self.status != StatusCode::SWITCHING_PROTOCOLS
    }
}

/// Whether this is the head of a final response whose body can be read: with a status that HTTP
/// defines, and with no transfer coding but one of chunks.
pub(crate) fn is_final_head(status: StatusCode, headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let is_chunked = |coding: &HeaderValue| coding.as_bytes().eq_ignore_ascii_case(CHUNKED);
    let is_understood = codings.next().is_none_or(is_chunked) && codings.next().is_none();
    FINAL_STATUSES.contains(&status.as_u16()) && is_understood
}

/// Collects the bytes of a connection until they hold the head of its first final response.
#[derive(Debug, Default)]
pub(crate) struct HeadReader {
    bytes: Vec<u8>,

    /// Whether the head was read, or can't be.
    is_done: bool,
}

impl HeadReader {
    /// Takes the next bytes; returns the head once it is complete.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<ResponseHead> {
        if self.is_done {
            return None;
        }
        self.bytes.extend_from_slice(bytes);
        loop {
            let (length, head) = match read_head(&self.bytes) {
                Some(Parsed::Head { length, head }) => (length, head),
                Some(Parsed::Partial) if self.bytes.len() <= MAX_HEAD_BYTES => return None,
                Some(Parsed::Partial) | None => {
                    self.finish();
                    return None;
                }
            };
            if !head.is_interim() {
                self.finish();
                return head.is_final().then_some(head);
            }
            self.bytes.drain(..length);
        }
    }

    fn finish(&mut self) {
        self.is_done = true;
        self.bytes = Vec::new();
    }
}

enum Parsed {
    Partial,
    Head { length: usize, head: ResponseHead },
}

/// Reads a head; `None` if the bytes are none.
fn read_head(bytes: &[u8]) -> Option<Parsed> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(bytes).ok()? {
        httparse::Status::Partial => return Some(Parsed::Partial),
        httparse::Status::Complete(length) => length,
    };
    let status = StatusCode::from_u16(response.code?).ok()?;
    let mut map = HeaderMap::new();
    for header in response.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        map.append(name, HeaderValue::from_bytes(header.value).ok()?);
    }
    Some(Parsed::Head { length, head: ResponseHead { status, headers: map } })
}
