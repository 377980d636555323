//! Requests that are forwarded to backend servers unchanged.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use comfreyturn_types::{CustomerName, RequestId, RequestRate, ServerLife};
use http::{HeaderMap, Method, StatusCode};

/// Why a request got no response from the backend server.
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

    /// The server, or another process that now has its address, reports that the request did not
    /// run.
    #[display("the server did not run the request")]
    NotRun,

    /// The connection broke, or the response did not arrive in time; the request may have run.
    #[display("no response, or an incomplete one")]
    Broken,

    /// The response does not belong to this request; the request may have run.
    #[display("the response does not belong to the request")]
    Foreign,
}

/// Result of a request to a backend server.
pub type LinkResult<T, E = LinkError> = std::result::Result<T, E>;

/// A request to one backend server.
#[derive(Clone, Debug)]
pub struct ServerCall {
    /// The request's id.
    pub request: RequestId,

    /// The only server, and run of it, that may run the request.
    pub life: ServerLife,

    /// The address that the server listens on.
    pub address: SocketAddr,

    /// The method.
    pub method: Method,

    /// Path and query, as the caller sent them.
    pub target: String,

    /// The caller's end-to-end headers.
    pub headers: HeaderMap,

    /// The body.
    pub body: Bytes,

    /// Time left until the caller's deadline.
    pub time_left: Duration,

    /// The customer whose key the caller sent.
    pub customer: Option<CustomerName>,

    /// Priority among the requests at the server; 0 is the highest.
    pub priority: Option<u8>,

    /// Another node that passes the request on, if this node has no path to the server: where it
    /// accepts tunnels.
    pub helper: Option<SocketAddr>,

    /// The last event that the caller received, if the stream is to be resumed after it.
    pub resume_after: Option<String>,
}

/// What a server asks of the nodes. Each of its responses says it anew.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// The rate of requests that it takes from all nodes together; `None` for any rate.
    pub rate_limit: Option<RequestRate>,

    /// How long the server wants nothing from this node; `None` if it asks for no wait. A later
    /// response ends no wait.
    pub wait: Option<Duration>,

    /// For how long the server still tolerates only a low rate of requests; `None` if it does not
    /// say.
    pub cold_left: Option<Duration>,

    /// Whether the server is leaving: it wants nothing new from any node, for the rest of its
    /// lifetime.
    pub is_leaving: bool,

    /// Whether the response turns the request away. Such a response that names no rate limit says
    /// nothing about one: it may come from a part of the server that knows of none.
    pub is_refusal: bool,
}

/// What came of a request to a server.
pub struct ServerReply {
    /// What the server asks of the nodes; `None` if it said nothing about that.
    pub notice: Option<ServerNotice>,

    /// The response, or why there is none.
    pub answer: LinkResult<Box<dyn ServerAnswer>>,
}

impl From<LinkError> for ServerReply {
    fn from(error: LinkError) -> Self {
        Self { notice: None, answer: Err(error) }
    }
}

/// Sends requests to backend servers.
#[async_trait(?Send)]
pub trait ServerLink {
    /// Sends a request and awaits the head of the response. Dropping the call or the response
    /// closes the connection, which makes the server stop.
    async fn send(&self, call: &ServerCall) -> ServerReply;
}

/// A response whose head has arrived. It was verified to be the response of this server to this
/// request.
#[async_trait(?Send)]
pub trait ServerAnswer {
    /// The status.
    fn status(&self) -> StatusCode;

    /// The end-to-end headers.
    fn headers(&self) -> &HeaderMap;

    /// Whether the response says where its body ends, by a length or by chunks. Otherwise a broken
    /// connection may look like the regular end.
    fn is_delimited(&self) -> bool;

    /// The next bytes of the body; `None` at its regular end.
    async fn chunk(&mut self) -> LinkResult<Option<Bytes>>;
}
