//! Calling servers from tests and tools.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    EventStream, StandinError, StandinResult,
    http_client::{call, json_request, read_json, start_call},
};

/// Time limit of a call, unless set otherwise.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Calls a server, one connection a call.
#[derive(Clone, Debug)]
pub struct ServerClient {
    /// The server.
    pub address: SocketAddr,

    /// Time limit of a call; of a stream, up to its head.
    pub timeout: Duration,

    /// Headers that go with each call.
    pub headers: Vec<(HeaderName, HeaderValue)>,
}

impl ServerClient {
    /// Calls the server at this address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, timeout: CALL_TIMEOUT, headers: Vec::new() }
    }

    /// Reads JSON.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> StandinResult<T> {
        self.json(Method::GET, path, &()).await
    }

    /// Sends JSON, and reads JSON. An empty answer reads as `()`.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        content: &impl Serialize,
    ) -> StandinResult<T> {
        self.json(Method::POST, path, content).await
    }

    /// Sends JSON, and gives the answer as it is.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        content: &impl Serialize,
    ) -> StandinResult<(StatusCode, Bytes)> {
        call(self.address, self.request(method, path, content), self.timeout).await
    }

    /// Sends JSON, and gives the answer event by event.
    pub async fn events(
        &self,
        method: Method,
        path: &str,
        content: &impl Serialize,
    ) -> StandinResult<EventStream> {
        let started = start_call(self.address, self.request(method, path, content));
        let started = compio::time::timeout(self.timeout, started).await;
        let started = started.map_err(|_| StandinError::NoAnswer { address: self.address })?;
        Ok(EventStream::new(self.address, started?))
    }

    async fn json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        content: &impl Serialize,
    ) -> StandinResult<T> {
        let answer = self.send(method, path, content).await?;
        read_json(self.address, answer)
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        content: &impl Serialize,
    ) -> Request<Full<Bytes>> {
        let mut request = json_request(self.address, method, path, content);
        request.headers_mut().extend(self.headers.iter().cloned());
        request
    }
}
