//! Attempts of a completion whose request was sent, with the connections that read their streams.

use std::{
    future::poll_fn,
    task::{Context, Poll, ready},
    time::Instant,
};

use comfreyturn_ports::{BackendResult, CompletionEvent, CompletionStream};
use futures_util::{
    StreamExt, TryFutureExt, TryStreamExt,
    stream::{LocalBoxStream, SelectAll, iter},
};

use crate::completion_place::Placement;

/// What a connection to an engine delivers.
pub(crate) enum StreamPart {
    /// The engine answers; its events follow.
    Opened,
    Event(CompletionEvent),
}

/// The parts that one connection delivers. An error ends it.
pub(crate) type PartStream = LocalBoxStream<'static, BackendResult<StreamPart>>;

/// The parts of a stream, beginning with the opening of its connection.
pub(crate) fn part_stream(
    opening: impl Future<Output = BackendResult<CompletionStream>> + 'static,
) -> PartStream {
    let parts = opening
        .map_ok(|events| iter([Ok(StreamPart::Opened)]).chain(events.map_ok(StreamPart::Event)));
    parts.try_flatten_stream().boxed_local()
}

/// The connections that read the stream of one attempt. All deliver the same tokens.
#[derive(Default)]
pub(crate) struct AttemptStreams {
    streams: SelectAll<PartStream>,
    was_opened: bool,
}

impl AttemptStreams {
    pub(crate) fn push(&mut self, stream: PartStream) {
        self.streams.push(stream);
    }

    pub(crate) fn clear(&mut self) {
        self.streams.clear();
    }

    /// Whether all connections have ended.
    pub(crate) fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Whether the engine answered on a connection.
    pub(crate) fn was_opened(&self) -> bool {
        self.was_opened
    }

    /// The next part, `None` once all connections have ended; as an error, a silent attempt that
    /// goes on first.
    pub(crate) async fn next_or(
        &mut self,
        silent: &mut SilentAttempts,
    ) -> Result<Option<BackendResult<StreamPart>>, Box<OpenAttempt>> {
        poll_fn(|context| {
            if let Poll::Ready(part) = self.poll_part(context) {
                return Poll::Ready(Ok(part));
            }
            match silent.poll_next(context) {
                Poll::Ready(Some(attempt)) => Poll::Ready(Err(attempt)),
                Poll::Ready(None) | Poll::Pending => Poll::Pending,
            }
        })
        .await
    }

    fn poll_part(&mut self, context: &mut Context<'_>) -> Poll<Option<BackendResult<StreamPart>>> {
        let part = ready!(self.streams.poll_next_unpin(context));
        self.was_opened |= matches!(part, Some(Ok(_)));
        Poll::Ready(part)
    }

    /// Waits for an event without taking it; `None` once all connections have ended.
    fn poll_event(&mut self, context: &mut Context<'_>) -> Poll<Option<()>> {
        loop {
            match ready!(self.poll_part(context)) {
                Some(Ok(part @ StreamPart::Event(_))) => {
                    let rest = std::mem::take(&mut self.streams);
                    self.streams.push(iter([Ok(part)]).chain(rest).boxed_local());
                    return Poll::Ready(Some(()));
                }
                Some(Ok(StreamPart::Opened) | Err(_)) => {}
                None => return Poll::Ready(None),
            }
        }
    }
}

/// An attempt whose request was sent.
pub(crate) struct OpenAttempt {
    pub(crate) placement: Placement,
    pub(crate) dispatched_at: Instant,
    /// Whether bytes of the request may have reached a backend server before this attempt.
    pub(crate) sent_before: bool,
    pub(crate) streams: AttemptStreams,
}

/// Attempts that fell silent. They run on until another attempt has answered.
#[derive(Default)]
pub(crate) struct SilentAttempts {
    attempts: Vec<OpenAttempt>,
}

impl SilentAttempts {
    pub(crate) fn push(&mut self, attempt: Box<OpenAttempt>) {
        self.attempts.push(*attempt);
    }

    pub(crate) fn take_all(&mut self) -> Vec<OpenAttempt> {
        std::mem::take(&mut self.attempts)
    }

    /// Waits for an attempt that goes on, and takes it; `None` once the connections of all have
    /// ended.
    pub(crate) async fn next(&mut self) -> Option<Box<OpenAttempt>> {
        poll_fn(|context| self.poll_next(context)).await
    }

    /// Completes `work`, or returns the attempt that goes on first as an error.
    pub(crate) async fn or<T>(
        &mut self,
        work: impl Future<Output = T>,
    ) -> Result<T, Box<OpenAttempt>> {
        let mut work = std::pin::pin!(work);
        poll_fn(|context| {
            if let Poll::Ready(Some(attempt)) = self.poll_next(context) {
                return Poll::Ready(Err(attempt));
            }
            work.as_mut().poll(context).map(Ok)
        })
        .await
    }

    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<Box<OpenAttempt>>> {
        let mut index = 0;
        while let Some(attempt) = self.attempts.get_mut(index) {
            match attempt.streams.poll_event(context) {
                Poll::Ready(Some(())) => {
                    let attempt = self.attempts.swap_remove(index);
                    return Poll::Ready(Some(Box::new(attempt)));
                }
                Poll::Ready(None) => drop(self.attempts.swap_remove(index)),
                Poll::Pending => index += 1,
            }
        }
        if self.attempts.is_empty() { Poll::Ready(None) } else { Poll::Pending }
    }
}
