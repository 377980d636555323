//! Reads the event stream of a completion.

use std::time::Duration;

use comfreyturn_ports::{
    BackendError, BackendResult, CompletionEvent, CompletionStream, CompletionToken,
};
use compio::time::timeout;
use futures_util::{StreamExt, stream};
use serde::Deserialize;

use crate::{EventDecoder, HttpAnswer};

/// Time for an engine to end the response after its last event. It may take a connection that is
/// closed before for a caller that is gone.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads events from a response. Dropping it closes the connection.
pub(crate) struct CompletionReader {
    answer: HttpAnswer,
    decoder: EventDecoder,
    idle_timeout: Duration,
}

/// An event as sent by an engine: either a token, or only `finished`.
#[derive(Deserialize)]
struct EventBody {
    finished: Option<String>,
    position: Option<u32>,
    text: Option<String>,
}

impl CompletionReader {
    /// Creates a reader that reports a broken stream if nothing arrives for `idle_timeout`.
    pub(crate) fn new(answer: HttpAnswer, idle_timeout: Duration) -> Self {
        Self { answer, decoder: EventDecoder::default(), idle_timeout }
    }

    /// The events as a stream that ends after the first error or [`CompletionEvent::Finished`].
    pub(crate) fn into_stream(self) -> CompletionStream {
        stream::unfold(Some(self), Self::advance).boxed_local()
    }

    async fn advance(
        state: Option<Self>,
    ) -> Option<(BackendResult<CompletionEvent>, Option<Self>)> {
        let mut reader = state?;
        match reader.next_event().await {
            Ok(event @ CompletionEvent::Token(_)) => Some((Ok(event), Some(reader))),
            Ok(event @ CompletionEvent::Finished { .. }) => {
                reader.read_rest();
                Some((Ok(event), None))
            }
            Err(error) => Some((Err(error), None)),
        }
    }

    async fn next_event(&mut self) -> BackendResult<CompletionEvent> {
        loop {
            let event = self.decoder.next_event().map_err(|_| BackendError::Broken)?;
            if let Some(data) = event {
                return parse_event(&data);
            }
            let reading = timeout(self.idle_timeout, self.answer.chunk()).await;
            let Ok(Ok(Some(bytes))) = reading else { return Err(BackendError::Broken) };
            self.decoder.push(&bytes);
        }
    }

    /// Reads the rest of the response in the background.
    fn read_rest(self) {
        let draining = async move {
            if let Err(error) = self.answer.whole(END_TIMEOUT).await {
                log::debug!("backend: response has no proper end: {error}.");
            }
        };
        compio::runtime::spawn(draining).detach();
    }
}

fn parse_event(data: &str) -> BackendResult<CompletionEvent> {
    match serde_json::from_str(data) {
        Ok(EventBody { finished: Some(reason), .. }) => Ok(CompletionEvent::Finished { reason }),
        Ok(EventBody { position: Some(position), text: Some(text), .. }) => {
            Ok(CompletionEvent::Token(CompletionToken { position, text }))
        }
        _ => Err(BackendError::Broken),
    }
}
