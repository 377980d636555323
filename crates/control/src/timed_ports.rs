//! The ports, with a limit on the time of every call.

use std::{future::Future, time::Duration};

use comfreyturn_ports::{
    CommitOutcome, EngineError, EngineOrder, EngineResult, PeerAnswer, PeerError, PeerNotice,
    PeerQuestion, PeerReply, PeerResult, RowKey, Step, TableError, TableResult, TableRow,
    TableTransaction,
};
use comfreyturn_types::{RosterMember, VmRecord, VmReport};
use futures_util::future::{Either, select};

use crate::{ControlPorts, ControlSettings};

/// The ports, with a limit on the time of every call.
#[derive(Clone)]
pub(crate) struct TimedPorts {
    pub(crate) ports: ControlPorts,
    settings: ControlSettings,
}

impl TimedPorts {
    pub(crate) fn new(ports: ControlPorts, settings: ControlSettings) -> Self {
        Self { ports, settings }
    }

    /// Reads rows.
    pub(crate) async fn read(
        &self,
        step: Step,
        keys: &[RowKey],
    ) -> TableResult<Vec<Option<TableRow>>> {
        let call = self.ports.table.read(step, keys);
        let rows = self.within(self.settings.table_timeout, call).await;
        let rows = rows.ok_or(TableError::Unavailable)??;
        if rows.len() != keys.len() {
            return Err(TableError::Malformed);
        }
        Ok(rows)
    }

    /// Reads all rows under a prefix.
    pub(crate) async fn scan(
        &self,
        step: Step,
        prefix: &str,
    ) -> TableResult<Vec<(RowKey, TableRow)>> {
        let call = self.ports.table.scan(step, prefix);
        let rows = self.within(self.settings.table_timeout, call).await;
        rows.ok_or(TableError::Unavailable)?
    }

    /// Writes. A call that takes too long has an unknown result.
    pub(crate) async fn commit(
        &self,
        step: Step,
        transaction: TableTransaction,
    ) -> TableResult<CommitOutcome> {
        let call = self.ports.table.commit(step, transaction);
        let outcome = self.within(self.settings.table_timeout, call).await;
        match outcome.ok_or(TableError::NoAnswer)? {
            Err(TableError::Malformed) => Err(TableError::NoAnswer),
            outcome => outcome,
        }
    }

    /// Asks a peer.
    pub(crate) async fn ask(
        &self,
        step: Step,
        peer: &RosterMember,
        question: PeerQuestion,
    ) -> PeerResult<PeerReply> {
        let call = self.ports.peers.ask(step, peer, question);
        let reply = self.within(self.settings.peer_timeout, call).await;
        reply.ok_or(PeerError::Unreachable)?
    }

    /// Asks a peer for log entries, or tells it some, and returns the answer alone.
    pub(crate) async fn exchange(
        &self,
        step: Step,
        peer: &RosterMember,
        question: PeerQuestion,
    ) -> PeerResult<PeerAnswer> {
        Ok(self.ask(step, peer, question).await?.answer)
    }

    /// Tells a peer. Nobody waits for the result.
    pub(crate) async fn notify(&self, step: Step, peer: &RosterMember, notice: PeerNotice) {
        let call = self.ports.peers.notify(step, peer, notice);
        if let Some(Err(error)) = self.within(self.settings.peer_timeout, call).await {
            log::debug!("peers: notice to {} failed: {error}.", peer.node);
        }
    }

    /// Polls a backend server.
    pub(crate) async fn report(&self, step: Step, record: &VmRecord) -> EngineResult<VmReport> {
        let call = self.ports.engines.report(step, record);
        let report = self.within(self.settings.poll_timeout, call).await;
        let report = report.ok_or(EngineError::NoAnswer)??;
        if report.vm != record.vm {
            return Err(EngineError::Malformed);
        }
        Ok(report)
    }

    /// Orders an engine.
    pub(crate) async fn order(
        &self,
        step: Step,
        record: &VmRecord,
        order: &EngineOrder,
    ) -> EngineResult<()> {
        let call = self.ports.engines.order(step, record, order);
        let done = self.within(self.settings.order_lifetime, call).await;
        done.ok_or(EngineError::NoAnswer)?
    }

    /// Waits.
    pub(crate) async fn sleep(&self, duration: Duration) {
        self.ports.clock.sleep(duration).await;
    }

    /// Drops a call that takes longer than `limit`.
    pub(crate) async fn within<T>(
        &self,
        limit: Duration,
        call: impl Future<Output = T>,
    ) -> Option<T> {
        let call = std::pin::pin!(call);
        match select(call, self.ports.clock.sleep(limit)).await {
            Either::Left((value, _)) => Some(value),
            Either::Right(_) => None,
        }
    }
}
