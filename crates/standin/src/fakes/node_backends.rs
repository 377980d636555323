//! Backend servers in memory, as a node calls them.

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
    call_fate::{CallFate, RequestFate},
};
use crate::{ExecutionEnd, PlainEcho};

/// The backend servers as a node calls them.
#[derive(Clone)]
pub(super) struct NodeBackends {
    pub(super) backends: MemoryBackends,
    pub(super) node: NodeId,
}

impl NodeBackends {
    async fn pass(&self, step: Step, address: SocketAddr) -> BackendResult<CallFate> {
        let plan = &self.backends.plan;
        let fate = plan.pass(step, &self.node, &FaultEndpoint::Address(address)).await;
        match fate.request {
            RequestFate::Arrives => Ok(fate),
            RequestFate::NotSent => Err(BackendError::NotSent),
            RequestFate::Vanishes => {
                plan.wait_in_vain().await;
                Err(BackendError::Broken)
            }
        }
    }

    /// Waits where the answer is late or lost.
    async fn end_call(&self, fate: CallFate) -> BackendResult<()> {
        let plan = &self.backends.plan;
        if fate.loses_answer {
            plan.wait_in_vain().await;
            return Err(BackendError::Broken);
        }
        if fate.is_duplicate {
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
        let fate = self.pass(step, address).await?;
        let now = self.backends.now();
        let crash_delay = self.backends.with_live(address, |backend| {
            backend.start(now, attempt)?;
            let is_marked = backend.is_marked(&attempt.prompt);
            Ok(is_marked.then_some(backend.settings.first_token_delay))
        })?;
        if let Some(delay) = crash_delay {
            self.backends.end_later(address, delay);
        }
        self.end_call(fate).await?;
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
        let fate = self.pass(step, address).await?;
        self.backends.with_live(address, |backend| match backend.run_mut(stream) {
            Some(run) if run.stop.is_none() && run.first() <= position => Ok(()),
            _ => Err(BackendError::UnknownStream),
        })?;
        self.end_call(fate).await?;
        Ok(self.events(address, stream, position))
    }

    async fn cancel(
        &self,
        step: Step,
        address: SocketAddr,
        stream: &StreamId,
    ) -> BackendResult<()> {
        let fate = self.pass(step, address).await?;
        let now = self.backends.now();
        self.backends.with_live(address, |backend| {
            let run = backend.run_mut(stream).ok_or(BackendError::UnknownStream)?;
            run.cut_short(now, ExecutionEnd::Cancelled);
            Ok(())
        })?;
        self.end_call(fate).await
    }

    async fn call(
        &self,
        step: Step,
        address: SocketAddr,
        request: &PlainRequest,
    ) -> BackendResult<PlainResponse> {
        let fate = self.pass(step, address).await?;
        let now = self.backends.now();
        let body = String::from_utf8_lossy(&request.body);
        let (echo, delay, is_marked) = self.backends.with_live(address, |backend| {
            let echo = backend.start_plain(now, request)?;
            Ok((echo, backend.settings.plain_delay, backend.is_marked(&body)))
        })?;
        let incarnation = self.backends.incarnation(address);
        if is_marked {
            self.backends.end_later(address, delay / 2);
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
        self.end_call(fate).await?;
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
        let fate = self.transport.pass(Step::RequestStream, self.address).await;
        let fate = fate.map_err(|_| BackendError::Broken)?;
        self.transport.end_call(fate).await?;
        let backends = &self.transport.backends;
        backends.event(self.address, &self.stream, self.position).await
    }
}
