//! The ports, with a timeout on every call.

use std::{future::Future, time::Duration};

use comfreyturn_ports::{
    CommitOutcome, EngineError, EngineOrder, EngineResult, PeerAnswer, PeerError, PeerNotice,
    PeerQuestion, PeerReply, PeerResult, RowKey, Step, TableResult, TableRow, TableTransaction,
};
use comfreyturn_types::{RosterMember, VmRecord, VmReport};

use crate::{ControlPorts, ControlSettings, TimedTable, timed_table::within};

/// The ports, with a timeout on every call.
#[derive(Clone)]
pub(crate) struct TimedPorts {
    pub(crate) ports: ControlPorts,
    pub(crate) table: TimedTable,
    settings: ControlSettings,
}

impl TimedPorts {
    pub(crate) fn new(ports: ControlPorts, settings: ControlSettings) -> Self {
        let table =
            TimedTable::new(ports.table.clone(), ports.clock.clone(), settings.table_timeout);
        Self { ports, table, settings }
    }

    /// Reads rows.
    pub(crate) async fn read(
        &self,
        step: Step,
        keys: &[RowKey],
    ) -> TableResult<Vec<Option<TableRow>>> {
        self.table.read(step, keys).await
    }

    /// Reads all rows under a prefix.
    pub(crate) async fn scan(
        &self,
        step: Step,
        prefix: &str,
    ) -> TableResult<Vec<(RowKey, TableRow)>> {
        self.table.scan(step, prefix).await
    }

    /// Commits a transaction. The result of a call that times out is unknown.
    pub(crate) async fn commit(
        &self,
        step: Step,
        transaction: TableTransaction,
    ) -> TableResult<CommitOutcome> {
        self.table.commit(step, transaction).await
    }

    /// Sends a request to a peer and waits for the reply.
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

    /// Sends a request to a peer and returns only the answer, without the peer's identity and
    /// uptime.
    pub(crate) async fn exchange(
        &self,
        step: Step,
        peer: &RosterMember,
        question: PeerQuestion,
    ) -> PeerResult<PeerAnswer> {
        Ok(self.ask(step, peer, question).await?.answer)
    }

    /// Sends a notice to a peer. Errors are only logged.
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

    /// Sends an order to an engine.
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

    /// Waits for a duration.
    pub(crate) async fn sleep(&self, duration: Duration) {
        self.ports.clock.sleep(duration).await;
    }

    /// Runs a call. Drops it and returns `None` if it takes longer than `limit`.
    pub(crate) async fn within<T>(
        &self,
        limit: Duration,
        call: impl Future<Output = T>,
    ) -> Option<T> {
        within(&*self.ports.clock, limit, call).await
    }
}
