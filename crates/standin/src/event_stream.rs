//! Reader of server-sent events.

use std::net::SocketAddr;

use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;

use crate::{StandinError, StandinResult, http_client::HttpCall};

/// An answer that is read event by event. Dropping it closes the connection.
pub struct EventStream {
    address: SocketAddr,
    call: HttpCall,
    buffer: Vec<u8>,
}

impl EventStream {
    pub(crate) fn new(address: SocketAddr, call: HttpCall) -> Self {
        Self { address, call, buffer: Vec::new() }
    }

    /// The HTTP status.
    pub fn status(&self) -> StatusCode {
        self.call.response.status()
    }

    /// The HTTP headers.
    pub fn headers(&self) -> &HeaderMap {
        self.call.response.headers()
    }

    /// The data of the next event; `None` at the end of the answer.
    pub async fn next(&mut self) -> StandinResult<Option<String>> {
        loop {
            while let Some(line) = self.take_line()? {
                if let Some(data) = line.strip_prefix("data:") {
                    return Ok(Some(data.trim_start().to_owned()));
                }
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    /// The rest of the answer as bytes, without splitting it into events.
    pub async fn rest(mut self) -> StandinResult<Vec<u8>> {
        while self.fill().await? {}
        Ok(self.buffer)
    }

    fn take_line(&mut self) -> StandinResult<Option<String>> {
        let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') else {
            return Ok(None);
        };
        let line = self.buffer.drain(..=end).collect();
        let line: String = String::from_utf8(line)
            .map_err(|_| StandinError::Malformed { address: self.address })?;
        Ok(Some(line.trim_end().to_owned()))
    }

    /// Reads more bytes into the buffer. Returns `false` at the end of the answer.
    async fn fill(&mut self) -> StandinResult<bool> {
        let Some(frame) = self.call.response.body_mut().frame().await else {
            return Ok(false);
        };
        let frame = frame.map_err(|_| StandinError::NoAnswer { address: self.address })?;
        if let Ok(data) = frame.into_data() {
            self.buffer.extend_from_slice(&data);
        }
        Ok(true)
    }
}
