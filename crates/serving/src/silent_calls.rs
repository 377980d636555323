//! Calls of plain services that go on at backend servers that fell silent.

use std::{
    cell::RefCell,
    future::poll_fn,
    task::{Context, Poll, ready},
};

use comfreyturn_ports::{BackendResult, PlainResponse};
use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};

type PendingCall = LocalBoxFuture<'static, BackendResult<PlainResponse>>;

/// Calls to backend servers that fell silent. They go on until another one has been answered.
#[derive(Default)]
pub(crate) struct SilentCalls {
    calls: RefCell<FuturesUnordered<PendingCall>>,
}

impl SilentCalls {
    /// Adds a call; holds `placement` until its end.
    pub(crate) fn push<T: 'static>(&self, call: PendingCall, placement: T) {
        let call = call.inspect(move |_| drop(placement));
        self.calls.borrow_mut().push(call.boxed_local());
    }

    /// The first complete response; never completes if there is none.
    pub(crate) async fn response(&self) -> PlainResponse {
        poll_fn(|context| match self.poll_response(context) {
            Poll::Ready(Some(response)) => Poll::Ready(response),
            Poll::Ready(None) | Poll::Pending => Poll::Pending,
        })
        .await
    }

    /// The next complete response; `None` once all calls have failed.
    pub(crate) async fn last_response(&self) -> Option<PlainResponse> {
        poll_fn(|context| self.poll_response(context)).await
    }

    fn poll_response(&self, context: &mut Context<'_>) -> Poll<Option<PlainResponse>> {
        loop {
            match ready!(self.calls.borrow_mut().poll_next_unpin(context)) {
                Some(Ok(response)) => return Poll::Ready(Some(response)),
                Some(Err(_)) => {}
                None => return Poll::Ready(None),
            }
        }
    }
}
