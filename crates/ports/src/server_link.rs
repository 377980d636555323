//! Requests that are handed on to backend servers byte for byte.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use comfreyturn_types::{CustomerName, RequestId, ServerLife};
use http::{HeaderMap, Method, StatusCode};

/// Why a request has no answer of the backend server.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    derive_more::Display,
    derive_more::Error,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum LinkError {
    /// No byte of the request was written.
    #[display("server not reached")]
    NotSent,

    /// The server, or whoever has its address now, says that the request did not run.
    #[display("the server did not run the request")]
    NotRun,

    /// The connection broke, or the answer did not come in time; the request may have run.
    #[display("no answer, or only a part of it")]
    Broken,

    /// What came is no answer to this request; the request may have run.
    #[display("the answer belongs to no request")]
    Foreign,
}

/// Result of a request to a backend server.
pub type LinkResult<T, E = LinkError> = std::result::Result<T, E>;

/// A request to one backend server.
#[derive(Clone, Debug)]
pub struct ServerCall {
    /// The caller's name for its request.
    pub request: RequestId,

    /// The server that must run it; no other one may.
    pub life: ServerLife,

    /// Where the server listens.
    pub address: SocketAddr,

    /// The method.
    pub method: Method,

    /// Path and query, as the caller wrote them.
    pub target: String,

    /// The caller's headers that concern more than its own connection.
    pub headers: HeaderMap,

    /// The body.
    pub body: Bytes,

    /// How long the caller will still wait.
    pub time_left: Duration,

    /// Whose key the caller showed.
    pub customer: Option<CustomerName>,

    /// Rank among the requests at the server, 0 first.
    pub priority: Option<u8>,

    /// The last event that the caller has, if the stream is to go on after it.
    pub resume_after: Option<String>,
}

/// Sends requests to backend servers.
#[async_trait(?Send)]
pub trait ServerLink {
    /// Sends a request and awaits the head of its answer. Dropping the call, or the answer,
    /// closes the connection, which tells the server to stop.
    async fn send(&self, call: &ServerCall) -> LinkResult<Box<dyn ServerAnswer>>;
}

/// An answer whose head has arrived, and which was proven to be the server's own answer to the
/// request.
#[async_trait(?Send)]
pub trait ServerAnswer {
    /// The status.
    fn status(&self) -> StatusCode;

    /// The headers that concern more than the server's connection.
    fn headers(&self) -> &HeaderMap;

    /// The next bytes of the body; `None` at its proper end.
    async fn chunk(&mut self) -> LinkResult<Option<Bytes>>;
}
