//! Client of the stand-in servers and of nodes, for tests and tools.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    EventStream, StandinError, StandinResult,
    http_client::{call, json_request, read_json, start_call},
};

/// Default time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Client of one server, with one connection per call.
#[derive(Clone, Debug)]
pub struct ServerClient {
    /// The server.
    pub address: SocketAddr,

    /// Time limit of a call. For an event stream it applies only until the head of the answer.
    pub timeout: Duration,

    /// Headers to add to each call.
    pub headers: Vec<(HeaderName, HeaderValue)>,
}

impl ServerClient {
    /// A client with the default time limit and without further headers.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, timeout: CALL_TIMEOUT, headers: Vec::new() }
    }

    /// Sends a `GET` request, and decodes the JSON answer.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> StandinResult<T> {
        self.json(Method::GET, path, &()).await
    }

    /// Sends a `POST` request with a JSON body, and decodes the JSON answer. An empty answer
    /// decodes as `()`.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        content: &impl Serialize,
    ) -> StandinResult<T> {
        self.json(Method::POST, path, content).await
    }

    /// Sends a request with a JSON body, and returns the status and the undecoded body.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        content: &impl Serialize,
    ) -> StandinResult<(StatusCode, Bytes)> {
        call(self.address, self.request(method, path, content), self.timeout).await
    }

    /// Sends a request with a JSON body, and returns the answer as a stream of events.
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
