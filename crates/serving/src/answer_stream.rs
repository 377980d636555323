//! Streams of answers to callers.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use comfreyturn_ports::CompletionEvent;
use futures_util::{Stream, StreamExt};

use crate::Result;

/// The answer to a completion. Each position comes once and in order. An `Err` ends the stream.
///
/// Dropping the stream cancels the request, unless it holds a claim.
pub struct AnswerStream {
    first: Option<Result<CompletionEvent>>,
    rest: flume::r#async::RecvStream<'static, Result<CompletionEvent>>,
    _presence: flume::Sender<Infallible>,
}

impl AnswerStream {
    /// Creates the sending and the receiving end of an answer that buffers `buffer` parts.
    pub(crate) fn channel(buffer: usize) -> (AnswerSink, Self) {
        let (sender, receiver) = flume::bounded(buffer);
        let (presence, gone) = flume::bounded(0);
        let stream = Self { first: None, rest: receiver.into_stream(), _presence: presence };
        (AnswerSink { sender, presence: CallerPresence { gone } }, stream)
    }

    /// Waits for the first part; a refusal in its place becomes the result.
    pub(crate) async fn started(mut self) -> Result<Self> {
        match self.rest.next().await {
            Some(Err(refusal)) => Err(refusal),
            first => {
                self.first = first;
                Ok(self)
            }
        }
    }
}

impl Stream for AnswerStream {
    type Item = Result<CompletionEvent>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(first));
        }
        self.rest.poll_next_unpin(context)
    }
}

/// Detects that the caller disconnected.
#[derive(Clone)]
pub(crate) struct CallerPresence {
    gone: flume::Receiver<Infallible>,
}

impl CallerPresence {
    /// Creates a presence for answers that are not streams. The caller is present until the
    /// returned sender is dropped.
    pub(crate) fn new() -> (Self, flume::Sender<Infallible>) {
        let (presence, gone) = flume::bounded(0);
        (Self { gone }, presence)
    }

    /// Completes when the caller has disconnected.
    pub(crate) async fn gone(&self) {
        let _ = self.gone.recv_async().await;
    }
}

/// The sending end of an answer. Applies backpressure to the engine while the caller is slow.
pub(crate) struct AnswerSink {
    sender: flume::Sender<Result<CompletionEvent>>,
    pub(crate) presence: CallerPresence,
}

impl AnswerSink {
    /// Sends a part, waiting while the buffer is full; `false` if the caller disconnected.
    pub(crate) async fn send(&self, part: Result<CompletionEvent>) -> bool {
        self.sender.send_async(part).await.is_ok()
    }
}
