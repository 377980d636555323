//! JSON answers to completion requests.

use std::{future::poll_fn, task::Poll};

use bytes::Bytes;
use comfreyturn_ports::CompletionEvent;
use comfreyturn_serving::{AnswerStream, Refusal};
use comfreyturn_types::{RefusalReason, RequestId, RequestOutcome, ServiceName};
use futures_util::{StreamExt, stream};
use http::{HeaderValue, Response, StatusCode, header};
use serde_json::{Value, json};

use super::{
    answer_body::{AnswerBody, CutAnswer, json_answer, streamed_body},
    completion_body::CompletionShape,
    completion_chunk::CompletionChunk,
    error_answer::ErrorAnswer,
};

/// The last event of a stream that is complete.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Formats a completion as a JSON body or as server-sent events.
#[derive(Clone, Debug)]
pub struct CompletionFormat {
    /// The endpoint that was called.
    pub shape: CompletionShape,

    /// The request's ID.
    pub request: RequestId,

    /// The service, called `model` on the wire.
    pub service: ServiceName,
}

/// Progress of a streamed answer.
enum StreamState {
    Open(CompletionFormat, AnswerStream),
    /// The failure was sent.
    Failed,
    Ended,
}

impl CompletionFormat {
    /// Streams the answer as server-sent events. A failure after the first token is sent as an
    /// event, and the body is cut off after it, so that it doesn't look complete.
    pub fn streamed(self, answer: AnswerStream) -> Response<AnswerBody> {
        let parts = stream::unfold(StreamState::Open(self, answer), |state| async move {
            let (format, mut answer) = match state {
                StreamState::Open(format, answer) => (format, answer),
                StreamState::Failed => {
                    flush().await;
                    return Some((Err(CutAnswer), StreamState::Ended));
                }
                StreamState::Ended => return None,
            };
            match answer.next().await {
                Some(Ok(CompletionEvent::Token(token))) => {
                    let event = format.event(Some(&token.text), None);
                    Some((Ok(event), StreamState::Open(format, answer)))
                }
                Some(Ok(CompletionEvent::Finished { reason })) => {
                    let mut last = format.event(None, Some(&reason)).to_vec();
                    last.extend_from_slice(DONE_EVENT);
                    Some((Ok(Bytes::from(last)), StreamState::Ended))
                }
                Some(Err(refusal)) => Some((Ok(error_event(refusal)), StreamState::Failed)),
                None => Some((Err(CutAnswer), StreamState::Ended)),
            }
        });
        let mut response = Response::new(streamed_body(parts));
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        response
    }

    /// Collects the answer and returns it as one body.
    ///
    /// # Errors
    /// The refusal that ended the stream. The tokens received until then are discarded.
    pub async fn whole(self, mut answer: AnswerStream) -> Result<Response<AnswerBody>, Refusal> {
        let mut text = String::new();
        let mut tokens = 0u32;
        while let Some(event) = answer.next().await {
            match event? {
                CompletionEvent::Token(token) => {
                    text.push_str(&token.text);
                    tokens += 1;
                }
                CompletionEvent::Finished { reason } => {
                    return Ok(json_answer(StatusCode::OK, &self.body(&text, tokens, &reason)));
                }
            }
        }
        Err(Refusal {
            outcome: RequestOutcome::Unknown,
            reason: RefusalReason::BackendLost,
            retry_after: None,
            other_addresses: Vec::new(),
        })
    }

    fn event(&self, text: Option<&str>, finish: Option<&str>) -> Bytes {
        CompletionChunk::new(self.shape, &self.request, &self.service, text, finish).to_event()
    }

    fn body(&self, text: &str, tokens: u32, finish: &str) -> Value {
        let (object, choice) = match self.shape {
            CompletionShape::Text => {
                ("text_completion", json!({"index": 0, "text": text, "finish_reason": finish}))
            }
            CompletionShape::Chat => {
                let message = json!({"role": "assistant", "content": text});
                let choice = json!({"index": 0, "message": message, "finish_reason": finish});
                ("chat.completion", choice)
            }
        };
        json!({
            "id": self.request,
            "object": object,
            "model": self.service,
            "choices": [choice],
            "usage": {"completion_tokens": tokens},
        })
    }
}

fn error_event(refusal: Refusal) -> Bytes {
    let text = serde_json::to_string(&ErrorAnswer::from(refusal)).unwrap_or_default();
    Bytes::from(format!("data: {text}\n\n"))
}

/// Returns control to the connection once, which sends what it holds before it asks for more.
async fn flush() {
    let mut is_flushed = false;
    poll_fn(|context| {
        if std::mem::replace(&mut is_flushed, true) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
