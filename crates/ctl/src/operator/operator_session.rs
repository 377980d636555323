//! Calls of one node's operator service.

use std::{net::SocketAddr, time::Duration};

use comfreyturn_adapters::GrpcChannel;
use comfreyturn_proto::operator::{
    ApplyRequest, ListReply, ListRequest, Rollout, StatusReply, StatusRequest, WatchRequest,
    apply_reply::Result as ApplyOutcome, operator_client::OperatorClient,
};
use compio::time::timeout;
use tonic::{Response, Status, Streaming};

use crate::{CallFailure, CtlError, Result};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout for one answer, and for each message of a watch. Long, because a node answers a change
/// after a majority has accepted it.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// A connection to one node.
pub(crate) struct OperatorSession {
    address: SocketAddr,
    client: OperatorClient<GrpcChannel>,
}

impl OperatorSession {
    /// Connects to a node.
    pub(crate) async fn connect(address: SocketAddr) -> Result<Self> {
        let channel = GrpcChannel::connect(address, CONNECT_TIMEOUT).await;
        let channel = channel.map_err(|_| CtlError::Unreachable { address })?;
        Ok(Self { address, client: OperatorClient::new(channel) })
    }

    /// Submits changes.
    pub(crate) async fn apply(&mut self, request: ApplyRequest) -> Result<ApplyOutcome> {
        let address = self.address;
        let reply = answer(address, self.client.apply(request)).await?;
        reply.result.ok_or(CtlError::NoAnswer { address, status: CallFailure::Empty })
    }

    /// Requests the declared configuration.
    pub(crate) async fn list(&mut self) -> Result<ListReply> {
        answer(self.address, self.client.list(ListRequest {})).await
    }

    /// Requests the status of nodes, groups and VMs.
    pub(crate) async fn status(&mut self) -> Result<StatusReply> {
        answer(self.address, self.client.status(StatusRequest {})).await
    }

    /// Watches the rollout of a version.
    pub(crate) async fn watch(&mut self, version: u64) -> Result<RolloutStream> {
        let watching = self.client.watch(WatchRequest { version });
        let stream = answer(self.address, watching).await?;
        Ok(RolloutStream { address: self.address, stream })
    }
}

/// The rollout states of a version.
pub(crate) struct RolloutStream {
    address: SocketAddr,
    stream: Streaming<Rollout>,
}

impl RolloutStream {
    /// Waits for the next state; `None` after the last one.
    pub(crate) async fn next(&mut self) -> Result<Option<Rollout>> {
        let next = timeout(CALL_TIMEOUT, self.stream.message()).await;
        let next = next.map_err(|_| no_answer(self.address, CallFailure::Timeout))?;
        next.map_err(|status| no_answer(self.address, failure(&status)))
    }
}

async fn answer<T>(
    address: SocketAddr,
    call: impl Future<Output = Result<Response<T>, Status>>,
) -> Result<T> {
    let answer = timeout(CALL_TIMEOUT, call).await;
    let answer = answer.map_err(|_| no_answer(address, CallFailure::Timeout))?;
    let answer = answer.map_err(|status| no_answer(address, failure(&status)))?;
    Ok(answer.into_inner())
}

fn no_answer(address: SocketAddr, status: CallFailure) -> CtlError {
    CtlError::NoAnswer { address, status }
}

fn failure(status: &Status) -> CallFailure {
    CallFailure::Status { code: status.code(), message: status.message().to_owned() }
}
