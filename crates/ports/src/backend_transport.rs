//! Requests to backend servers.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use comfreyturn_types::{GroupGeneration, GroupId, StreamId};
use futures_util::stream::LocalBoxStream;
use serde::{Deserialize, Serialize};

use crate::Step;

/// What went wrong with a request to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum BackendError {
    /// No byte of the request was written.
    #[display("backend server not reached")]
    NotSent,

    /// The backend server says that it did not start the request.
    #[display("backend server did not start the request")]
    NotStarted {
        /// When to come back, if it says so.
        retry_after: Option<Duration>,
    },

    /// The connection broke after the request was sent.
    #[display("connection to the backend server broke")]
    Broken,

    /// The backend server ran the request and answered with an error.
    #[display("backend server answered with status {status}")]
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

/// One attempt of a completion at a group's first VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionAttempt {
    /// Names the stream at the engine. Invariant: no two attempts share one.
    pub stream: StreamId,

    /// The group that must run it.
    pub group: GroupId,

    /// The generation that must run it.
    pub generation: GroupGeneration,

    /// The prompt as text.
    pub prompt: String,

    /// Output that the caller already holds from earlier attempts; generation goes on after it.
    pub delivered: Vec<String>,

    /// Tokens to generate at most, counted from the start of the answer.
    pub max_tokens: u32,

    /// Lower is sooner.
    pub priority: u32,

    /// Further generation parameters, handed on as they came.
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

    /// The answer is whole.
    Finished {
        /// Why generation ended (`stop` or `length`).
        reason: String,
    },
}

/// The parts of an answer. An error ends the stream; an end without
/// [`CompletionEvent::Finished`] is [`BackendError::Broken`].
pub type CompletionStream = LocalBoxStream<'static, BackendResult<CompletionEvent>>;

/// A request to a plain service, handed on as it came.
#[derive(Clone, Debug)]
pub struct PlainRequest {
    /// Method, path and headers, without hop-by-hop headers.
    pub head: http::request::Parts,

    /// The whole body.
    pub body: Bytes,
}

/// A whole answer of a plain service.
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
    /// Starts a completion. Dropping the stream closes the connection but does not cancel.
    async fn complete(
        &self,
        step: Step,
        address: SocketAddr,
        attempt: &CompletionAttempt,
    ) -> BackendResult<CompletionStream>;

    /// Resumes a stream from a position, in place of a connection that broke.
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
