//! Backend transport whose first attempt meets a server that falls silent for a while and goes on.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use async_trait::async_trait;
use comfreyturn_ports::{
    BackendError, BackendResult, BackendTransport, CompletionAttempt, CompletionStream,
    PlainRequest, PlainResponse, Step,
};
use comfreyturn_types::{StreamId, VmId};
use futures_util::{FutureExt, StreamExt, future::pending, stream};
use strum::EnumIter;

use super::{World, plain_vms, vm_address};

/// When a server falls silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter)]
pub enum SilentFrom {
    /// Before it reads the request.
    Request,
    /// Before its response.
    Response,
    /// After three tokens.
    Token,
}

/// What becomes of later calls: resumptions of the stream, or attempts elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter)]
pub enum LaterCalls {
    Work,
    /// The server answers that it doesn't know the stream, or doesn't start the request.
    Refused,
    /// The server answers with an error.
    Failed,
    /// The server never answers.
    Silent,
}

/// A server that falls silent, and what else goes wrong meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    pub from: SilentFrom,
    pub duration: Duration,
    pub resumes: LaterCalls,
    pub others: LaterCalls,
}

/// Makes the server of the first attempt silent.
pub struct SilentBackends {
    pub world: Rc<World>,
    pub inner: Rc<dyn BackendTransport>,
    pub silence: Silence,
    pub attempts: Cell<u32>,
}

impl SilentBackends {
    fn is_first(&self) -> bool {
        self.attempts.replace(self.attempts.get() + 1) == 0
    }

    /// Waits until the server goes on; it answers no polls meanwhile unless it resumes streams.
    fn wait(&self, vms: Vec<VmId>) -> impl Future<Output = ()> + 'static {
        let (world, silence) = (self.world.clone(), self.silence);
        async move {
            if silence.resumes != LaterCalls::Work {
                world.silent_vms.borrow_mut().extend(vms);
            }
            world.sleep(silence.duration).await;
            world.silent_vms.borrow_mut().clear();
        }
    }

    fn members(&self, address: SocketAddr) -> Vec<VmId> {
        let groups = self.world.groups.borrow();
        let members = groups.iter().flat_map(|group| group.members.clone()).chain(plain_vms());
        members.filter(|vm| vm_address(vm) == address).collect()
    }
}

#[async_trait(?Send)]
impl BackendTransport for SilentBackends {
    async fn complete(
        &self,
        step: Step,
        address: SocketAddr,
        attempt: &CompletionAttempt,
    ) -> BackendResult<CompletionStream> {
        if !self.is_first() {
            return match self.silence.others {
                LaterCalls::Work => self.inner.complete(step, address, attempt).await,
                LaterCalls::Refused => Err(BackendError::NotStarted { retry_after: None }),
                LaterCalls::Failed => Err(BackendError::Rejected { status: 500 }),
                LaterCalls::Silent => pending().await,
            };
        }
        let wait = self.wait(self.members(address));
        match self.silence.from {
            SilentFrom::Request => {
                wait.await;
                self.inner.complete(step, address, attempt).await
            }
            SilentFrom::Response => {
                let opened = self.inner.complete(step, address, attempt).await;
                wait.await;
                opened
            }
            SilentFrom::Token => {
                let events = self.inner.complete(step, address, attempt).await?;
                let state = (events, 0, Some(wait.boxed_local()));
                let events = stream::unfold(state, |(mut events, count, mut wait)| async move {
                    if count == 3
                        && let Some(wait) = wait.take()
                    {
                        wait.await;
                    }
                    let event = events.next().await?;
                    Some((event, (events, count + 1, wait)))
                });
                Ok(events.boxed_local())
            }
        }
    }

    async fn resume(
        &self,
        step: Step,
        address: SocketAddr,
        stream: &StreamId,
        position: u32,
    ) -> BackendResult<CompletionStream> {
        match self.silence.resumes {
            LaterCalls::Work => self.inner.resume(step, address, stream, position).await,
            LaterCalls::Refused => Err(BackendError::UnknownStream),
            LaterCalls::Failed => Err(BackendError::Rejected { status: 500 }),
            LaterCalls::Silent => pending().await,
        }
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
        if self.is_first() {
            let answer = self.inner.call(step, address, request).await;
            self.wait(self.members(address)).await;
            return answer;
        }
        match self.silence.others {
            LaterCalls::Work => self.inner.call(step, address, request).await,
            LaterCalls::Refused => Err(BackendError::NotStarted { retry_after: None }),
            LaterCalls::Failed => Err(BackendError::Broken),
            LaterCalls::Silent => pending().await,
        }
    }
}
