//! Requests to backend servers.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use comfreyturn_types::{GroupGeneration, GroupId, StreamId};
use futures_util::stream::LocalBoxStream;
use serde::{Deserialize, Serialize};

use crate::Step;

/// Error of a request to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum BackendError {
    /// No byte of the request was written.
    #[display("backend server not reached")]
    NotSent,

    /// The backend server reports that it did not start the request.
    #[display("backend server did not start the request")]
    NotStarted {
        /// Time to wait before a retry, if the backend server states one.
        retry_after: Option<Duration>,
    },

    /// The connection broke after the request was sent.
    #[display("connection to the backend server broke")]
    Broken,

    /// The backend server ran the request and responded with an error.
    #[display("backend server responded with status {status}")]
    Rejected {
        /// The HTTP status.
        status: u16,
    },

    /// The stream is not known to the engine.
    #[display("stream not known to the engine")]
    UnknownStream,
}

/// Result of a request to a backend server.
pub type BackendResult<T, E = BackendError> = std::result::Result<T, E>;

/// One attempt to run a completion, sent to the first VM of a group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionAttempt {
    /// Identifies the stream at the engine. Invariant: unique among all attempts.
    pub stream: StreamId,

    /// The group that must run it.
    pub group: GroupId,

    /// The generation of the group that must run it.
    pub generation: GroupGeneration,

    /// The prompt as text.
    pub prompt: String,

    /// Output that the caller received from earlier attempts; generation continues after it.
    pub delivered: Vec<String>,

    /// Maximum number of tokens to generate, counted from the start of the answer.
    pub max_tokens: u32,

    /// Requests with a lower value are scheduled first.
    pub priority: u32,

    /// Further generation parameters, forwarded unchanged.
    pub parameters: serde_json::Map<String, serde_json::Value>,
}

/// One token of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionToken {
    /// Position in the answer, from zero. Positions never repeat within a stream.
    pub position: u32,

    /// The text.
    pub text: String,
}

/// A part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CompletionEvent {
    /// One token.
    Token(CompletionToken),

    /// The answer is complete.
    Finished {
        /// Why generation ended (`stop` or `length`).
        reason: String,
    },
}

/// The parts of an answer. An error ends the stream; an end without
/// [`CompletionEvent::Finished`] is [`BackendError::Broken`].
pub type CompletionStream = LocalBoxStream<'static, BackendResult<CompletionEvent>>;

/// A request to a plain service, forwarded as received.
#[derive(Clone, Debug)]
pub struct PlainRequest {
    /// Method, path and headers, without hop-by-hop headers.
    pub head: http::request::Parts,

    /// The whole body.
    pub body: Bytes,
}

/// A complete response of a plain service.
#[derive(Clone, Debug)]
pub struct PlainResponse {
    /// The HTTP status.
    pub status: http::StatusCode,

    /// Headers, without hop-by-hop headers.
    pub headers: http::HeaderMap,

    /// The whole body.
    pub body: Bytes,
}

/// Requests to backend servers.
#[async_trait(?Send)]
pub trait BackendTransport {
    /// Starts a completion. Dropping the stream closes the connection but does not cancel the
    /// completion.
    async fn complete(
        &self,
        step: Step,
        address: SocketAddr,
        attempt: &CompletionAttempt,
    ) -> BackendResult<CompletionStream>;

    /// Resumes a stream from a position after its connection broke.
    async fn resume(
        &self,
        step: Step,
        address: SocketAddr,
        stream: &StreamId,
        position: u32,
    ) -> BackendResult<CompletionStream>;

    /// Cancels a stream.
    async fn cancel(&self, step: Step, address: SocketAddr, stream: &StreamId)
    -> BackendResult<()>;

    /// Calls a plain service.
    async fn call(
        &self,
        step: Step,
        address: SocketAddr,
        request: &PlainRequest,
    ) -> BackendResult<PlainResponse>;
}
