//! The output of one stream, which readers can read from any position.

use std::{
    cell::RefCell,
    rc::Rc,
    task::{Context, Poll, Waker},
    time::{Duration, Instant},
};

use comfreyturn_ports::CompletionToken;
use futures_util::{StreamExt, stream};
use serde::Serialize;

use crate::http_server::{BodyStream, DropConnection, event_frame};

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// The answer is complete. Holds the finish reason.
    Finished(&'static str),
    /// The group broke or the engine got another place. Readers lose their connection.
    Broken,
    /// It was cancelled, or not read for the retention time. Readers lose their connection.
    Cancelled,
}

/// The output of one stream, which readers can read from any position.
pub(crate) struct StreamLog {
    /// The position of the first token.
    first: u32,
    state: RefCell<LogState>,
}

struct LogState {
    tokens: Vec<String>,
    end: Option<StreamEnd>,
    wakers: Vec<Waker>,
    readers: u32,
    unread_since: Instant,
}

/// The next item of a reader.
enum LogItem {
    Token(CompletionToken),
    End(StreamEnd),
}

#[derive(Serialize)]
struct FinishedEvent {
    finished: &'static str,
}

impl StreamLog {
    /// A stream without output.
    pub(crate) fn new(now: Instant, first: u32) -> Self {
        let state = LogState {
            tokens: Vec::new(),
            end: None,
            wakers: Vec::new(),
            readers: 0,
            unread_since: now,
        };
        Self { first, state: RefCell::new(state) }
    }

    /// The position of the first token.
    pub(crate) fn first(&self) -> u32 {
        self.first
    }

    /// Adds a token.
    pub(crate) fn push(&self, token: String) {
        self.change(|state| state.tokens.push(token));
    }

    /// Ends the stream. Does nothing if it has already ended.
    pub(crate) fn finish(&self, end: StreamEnd) {
        self.change(|state| {
            state.end.get_or_insert(end);
        });
    }

    /// How the stream ended; `None` while it runs.
    pub(crate) fn end(&self) -> Option<StreamEnd> {
        self.state.borrow().end
    }

    /// Whether no reader was connected for at least `duration`.
    pub(crate) fn unread_for(&self, now: Instant, duration: Duration) -> bool {
        let state = self.state.borrow();
        state.readers == 0 && now.saturating_duration_since(state.unread_since) >= duration
    }

    /// The events from `position` on.
    pub(crate) fn events(self: &Rc<Self>, position: u32) -> BodyStream {
        let reader = LogReader::new(self.clone(), position);
        stream::unfold(Some(reader), |reader| async move {
            let mut reader = reader?;
            match reader.next().await {
                LogItem::Token(token) => Some((event_frame(&token), Some(reader))),
                LogItem::End(StreamEnd::Finished(finished)) => {
                    Some((event_frame(&FinishedEvent { finished }), None))
                }
                LogItem::End(_) => Some((Err(DropConnection), None)),
            }
        })
        .boxed_local()
    }

    fn change(&self, change: impl FnOnce(&mut LogState)) {
        let wakers = {
            let mut state = self.state.borrow_mut();
            change(&mut state);
            std::mem::take(&mut state.wakers)
        };
        wakers.into_iter().for_each(Waker::wake);
    }

    fn poll_item(&self, context: &Context<'_>, position: u32) -> Poll<LogItem> {
        let mut state = self.state.borrow_mut();
        if let Some(end @ (StreamEnd::Broken | StreamEnd::Cancelled)) = state.end {
            return Poll::Ready(LogItem::End(end));
        }
        let index = usize::try_from(position - self.first).unwrap_or(usize::MAX);
        if let Some(text) = state.tokens.get(index) {
            let token = CompletionToken { position, text: text.clone() };
            return Poll::Ready(LogItem::Token(token));
        }
        if let Some(end) = state.end {
            return Poll::Ready(LogItem::End(end));
        }
        state.wakers.push(context.waker().clone());
        Poll::Pending
    }
}

/// One reader of a stream.
struct LogReader {
    log: Rc<StreamLog>,

    /// The next position to read. Invariant: at least the log's first position.
    position: u32,
}

impl LogReader {
    fn new(log: Rc<StreamLog>, position: u32) -> Self {
        log.state.borrow_mut().readers += 1;
        let position = position.max(log.first);
        Self { log, position }
    }

    async fn next(&mut self) -> LogItem {
        let item = std::future::poll_fn(|context| self.log.poll_item(context, self.position)).await;
        self.position += 1;
        item
    }
}

impl Drop for LogReader {
    fn drop(&mut self) {
        let mut state = self.log.state.borrow_mut();
        state.readers -= 1;
        state.unread_since = Instant::now();
    }
}
