//! Backend transport that corrupts, truncates or stalls streams.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use async_trait::async_trait;
use comfreyturn_ports::{
    BackendResult, BackendTransport, CompletionAttempt, CompletionEvent, CompletionStream,
    PlainRequest, PlainResponse, Step,
};
use comfreyturn_types::StreamId;
use futures_util::{StreamExt, stream};

/// How a stream is corrupted.
#[derive(Clone, Copy, Debug)]
pub enum Mangle {
    /// Each token comes twice.
    Repeat,
    /// This token is left out.
    LeaveOut(u32),
    /// The answer ends with the reason `length` after this many tokens.
    EndEarly(u32),
    /// The stream stalls after this many tokens; the connection stays open.
    Stall(u32),
}

/// Corrupts the stream of the first attempt; resumed streams are correct.
pub struct MangledBackends {
    pub inner: Rc<dyn BackendTransport>,
    pub mangle: Cell<Option<Mangle>>,
}

fn mangle_event(mangle: Mangle, event: CompletionEvent) -> Vec<CompletionEvent> {
    let CompletionEvent::Token(token) = &event else {
        return vec![event];
    };
    match mangle {
        Mangle::Repeat => vec![event.clone(), event],
        Mangle::LeaveOut(position) if token.position == position => Vec::new(),
        Mangle::EndEarly(position) if token.position >= position => {
            vec![CompletionEvent::Finished { reason: "length".to_owned() }]
        }
        _ => vec![event],
    }
}

#[async_trait(?Send)]
impl BackendTransport for MangledBackends {
    async fn complete(
        &self,
        step: Step,
        address: SocketAddr,
        attempt: &CompletionAttempt,
    ) -> BackendResult<CompletionStream> {
        let inner = self.inner.complete(step, address, attempt).await?;
        let Some(mangle) = self.mangle.take() else {
            return Ok(inner);
        };
        if let Mangle::Stall(tokens) = mangle {
            let tokens = usize::try_from(tokens).expect("a small number");
            return Ok(inner.take(tokens).chain(stream::pending()).boxed_local());
        }
        let mangled = inner.flat_map(move |event| {
            let events = match event {
                Ok(event) => mangle_event(mangle, event).into_iter().map(Ok).collect(),
                Err(error) => vec![Err(error)],
            };
            stream::iter(events)
        });
        Ok(mangled.boxed_local())
    }

    async fn resume(
        &self,
        step: Step,
        address: SocketAddr,
        stream: &StreamId,
        position: u32,
    ) -> BackendResult<CompletionStream> {
        self.inner.resume(step, address, stream, position).await
    }

    async fn cancel(
        &self,
        step: Step,
        address: SocketAddr,
        stream: &StreamId,
    ) -> BackendResult<()> {
        self.inner.cancel(step, address, stream).await
    }

    async fn call(
        &self,
        step: Step,
        address: SocketAddr,
        request: &PlainRequest,
    ) -> BackendResult<PlainResponse> {
        self.inner.call(step, address, request).await
    }
}
