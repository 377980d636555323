//! Bodies of answers.

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;
use send_wrapper::SendWrapper;
use serde::Serialize;

/// A streamed body ended early. Its connection, or HTTP/2 stream, is broken off.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
#[display("answer ended early")]
pub struct CutAnswer;

/// The body of an answer, whole or streamed.
pub type AnswerBody = UnsyncBoxBody<Bytes, CutAnswer>;

/// A body that is sent in one piece.
pub fn whole_body(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A streamed body. `SendWrapper` panics if it is used on another thread; all connections of a
/// node stay on one thread.
pub fn streamed_body(parts: impl Stream<Item = Result<Bytes, CutAnswer>> + 'static) -> AnswerBody {
    let frames = parts.map(|part| part.map(Frame::data));
    StreamBody::new(SendWrapper::new(Box::pin(frames))).boxed_unsync()
}

/// An answer with a JSON body.
pub fn json_answer(status: StatusCode, value: &impl Serialize) -> Response<AnswerBody> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(whole_body(text));
    *answer.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}
