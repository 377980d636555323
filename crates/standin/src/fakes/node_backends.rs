//! In-memory backend servers, as a node calls them.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use comfreyturn_ports::{
    BackendError, BackendResult, BackendTransport, CompletionAttempt, CompletionEvent,
    CompletionStream, PlainRequest, PlainResponse, Step,
};
use comfreyturn_types::{NodeId, StreamId};
use futures_util::{StreamExt, stream};
use http::{HeaderMap, StatusCode};

use super::{
    FaultEndpoint, MemoryBackends,
    call_outcome::{CallOutcome, RequestDelivery},
};
use crate::{ExecutionEnd, PlainEcho};

/// The backend servers as a node calls them, with faults.
#[derive(Clone)]
pub(super) struct NodeBackends {
    pub(super) backends: MemoryBackends,
    pub(super) node: NodeId,
}

impl NodeBackends {
    async fn begin_call(&self, step: Step, address: SocketAddr) -> BackendResult<CallOutcome> {
        let plan = &self.backends.plan;
        let outcome = plan.begin_call(step, &self.node, &FaultEndpoint::Address(address)).await;
        match outcome.request {
            RequestDelivery::Delivered => Ok(outcome),
            RequestDelivery::NotSent => Err(BackendError::NotSent),
            RequestDelivery::Lost => {
                plan.wait_for_timeout().await;
                Err(BackendError::Broken)
            }
        }
    }

    /// Delays the answer to a duplicated call, and fails after the call timeout if the answer is
    /// lost.
    async fn finish_call(&self, outcome: CallOutcome) -> BackendResult<()> {
        let plan = &self.backends.plan;
        if outcome.loses_answer {
            plan.wait_for_timeout().await;
            return Err(BackendError::Broken);
        }
        if outcome.is_duplicate {
            plan.sleep(plan.settings().duplicate_delay).await;
        }
        Ok(())
    }

    fn events(&self, address: SocketAddr, stream: &StreamId, position: u32) -> CompletionStream {
        let reader = EventReader {
            transport: self.clone(),
            address,
            stream: stream.clone(),
            position,
            is_over: false,
        };
        stream::unfold(reader, EventReader::next).boxed_local()
    }
}

#[async_trait(?Send)]
impl BackendTransport for NodeBackends {
    async fn complete(
        &self,
        step: Step,
        address: SocketAddr,
        attempt: &CompletionAttempt,
    ) -> BackendResult<CompletionStream> {
        let outcome = self.begin_call(step, address).await?;
        let now = self.backends.now();
        let crash_delay = self.backends.with_live(address, |backend| {
            backend.start(now, attempt)?;
            let is_marked = backend.is_marked(&attempt.prompt);
            Ok(is_marked.then_some(backend.settings.first_token_delay))
        })?;
        if let Some(delay) = crash_delay {
            self.backends.kill_later(address, delay);
        }
        self.finish_call(outcome).await?;
        let first = u32::try_from(attempt.delivered.len()).unwrap_or(u32::MAX);
        Ok(self.events(address, &attempt.stream, first))
    }

    async fn resume(
        &self,
        step: Step,
        address: SocketAddr,
        stream: &StreamId,
        position: u32,
    ) -> BackendResult<CompletionStream> {
        let outcome = self.begin_call(step, address).await?;
        self.backends.with_live(address, |backend| match backend.run_mut(stream) {
            Some(run) if run.stop.is_none() && run.first() <= position => Ok(()),
            _ => Err(BackendError::UnknownStream),
        })?;
        self.finish_call(outcome).await?;
        Ok(self.events(address, stream, position))
    }

    async fn cancel(
        &self,
        step: Step,
        address: SocketAddr,
        stream: &StreamId,
    ) -> BackendResult<()> {
        let outcome = self.begin_call(step, address).await?;
        let now = self.backends.now();
        self.backends.with_live(address, |backend| {
            let run = backend.run_mut(stream).ok_or(BackendError::UnknownStream)?;
            run.cut_short(now, ExecutionEnd::Cancelled);
            Ok(())
        })?;
        self.finish_call(outcome).await
    }

    async fn call(
        &self,
        step: Step,
        address: SocketAddr,
        request: &PlainRequest,
    ) -> BackendResult<PlainResponse> {
        let outcome = self.begin_call(step, address).await?;
        let now = self.backends.now();
        let body = String::from_utf8_lossy(&request.body);
        let (echo, delay, is_marked) = self.backends.with_live(address, |backend| {
            let echo = backend.start_plain(now, request)?;
            Ok((echo, backend.settings.plain_delay, backend.is_marked(&body)))
        })?;
        let incarnation = self.backends.incarnation(address);
        if is_marked {
            self.backends.kill_later(address, delay / 2);
        }
        self.backends.plan.sleep(delay).await;
        let is_same = self.backends.incarnation(address) == incarnation;
        let is_whole = self.backends.with_live(address, |backend| {
            let run = backend.plains.iter().find(|run| run.record.execution == echo.execution);
            Ok(run.is_some_and(|run| run.stop.is_none()))
        });
        if !is_same || is_whole != Ok(true) {
            return Err(BackendError::Broken);
        }
        self.finish_call(outcome).await?;
        plain_response(&echo)
    }
}

fn plain_response(echo: &PlainEcho) -> BackendResult<PlainResponse> {
    let body = serde_json::to_vec(echo).map_err(|_| BackendError::Broken)?;
    Ok(PlainResponse { status: StatusCode::OK, headers: HeaderMap::new(), body: Bytes::from(body) })
}

/// Reads a stream event by event.
struct EventReader {
    transport: NodeBackends,
    address: SocketAddr,
    stream: StreamId,
    position: u32,
    is_over: bool,
}

impl EventReader {
    async fn next(mut self) -> Option<(BackendResult<CompletionEvent>, Self)> {
        if self.is_over {
            return None;
        }
        let event = self.read().await;
        self.is_over = !matches!(event, Ok(CompletionEvent::Token(_)));
        self.position += 1;
        Some((event, self))
    }

    async fn read(&self) -> BackendResult<CompletionEvent> {
        let outcome = self.transport.begin_call(Step::RequestStream, self.address).await;
        let outcome = outcome.map_err(|_| BackendError::Broken)?;
        self.transport.finish_call(outcome).await?;
        let backends = &self.transport.backends;
        backends.event(self.address, &self.stream, self.position).await
    }
}
