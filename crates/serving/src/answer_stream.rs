//! Answers on their way to callers.

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
/// Dropping it says that the caller went away: the request is cancelled, unless it holds a claim.
pub struct AnswerStream {
    first: Option<Result<CompletionEvent>>,
    rest: flume::r#async::RecvStream<'static, Result<CompletionEvent>>,
    _presence: flume::Sender<Infallible>,
}

impl AnswerStream {
    /// Splits an answer between the task that makes it and the caller that takes it.
    pub(crate) fn channel(buffer: usize) -> (AnswerSink, Self) {
        let (sender, receiver) = flume::bounded(buffer);
        let (presence, gone) = flume::bounded(0);
        let stream = Self { first: None, rest: receiver.into_stream(), _presence: presence };
        (AnswerSink { sender, presence: CallerPresence { gone } }, stream)
    }

    /// Awaits the first part; a refusal before it becomes the result.
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

/// Tells whether the caller still awaits its answer.
#[derive(Clone)]
pub(crate) struct CallerPresence {
    gone: flume::Receiver<Infallible>,
}

impl CallerPresence {
    /// A presence for answers that are not streams, with what the caller holds on to.
    pub(crate) fn new() -> (Self, flume::Sender<Infallible>) {
        let (presence, gone) = flume::bounded(0);
        (Self { gone }, presence)
    }

    /// Completes once the caller went away.
    pub(crate) async fn gone(&self) {
        let _ = self.gone.recv_async().await;
    }
}

/// Where the parts of an answer go. Holds back the engine while the caller is slow.
pub(crate) struct AnswerSink {
    sender: flume::Sender<Result<CompletionEvent>>,
    pub(crate) presence: CallerPresence,
}

impl AnswerSink {
    /// Hands a part on, waiting for room; `false` if the caller went away.
    pub(crate) async fn send(&self, part: Result<CompletionEvent>) -> bool {
        self.sender.send_async(part).await.is_ok()
    }
}
