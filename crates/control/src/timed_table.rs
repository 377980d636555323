//! The table service, with a timeout on every call.

use std::{future::Future, rc::Rc, time::Duration};

use comfreyturn_ports::{
    Clock, CommitOutcome, RowKey, Step, TableError, TableResult, TableRow, TableStore,
    TableTransaction,
};
use futures_util::future::{Either, select};

/// The table service, with a timeout on every call.
#[derive(Clone)]
pub struct TimedTable {
    table: Rc<dyn TableStore>,
    clock: Rc<dyn Clock>,
    limit: Duration,
}

impl TimedTable {
    /// Wraps `table` with a timeout of `limit` on each call.
    pub fn new(table: Rc<dyn TableStore>, clock: Rc<dyn Clock>, limit: Duration) -> Self {
        Self { table, clock, limit }
    }

    /// The clock that measures the timeouts.
    #[inline]
    pub fn clock(&self) -> &Rc<dyn Clock> {
        &self.clock
    }

    /// The era of the table's contents; see [`TableStore::era`].
    #[inline]
    pub fn era(&self) -> u64 {
        self.table.era()
    }

    /// Reads rows.
    ///
    /// # Errors
    ///
    /// As [`TableStore::read`], and [`TableError::Unavailable`] after a timeout.
    pub async fn read(&self, step: Step, keys: &[RowKey]) -> TableResult<Vec<Option<TableRow>>> {
        let rows = within(&*self.clock, self.limit, self.table.read(step, keys)).await;
        let rows = rows.ok_or(TableError::Unavailable)??;
        if rows.len() != keys.len() {
            return Err(TableError::Malformed);
        }
        Ok(rows)
    }

    /// Reads all rows under a prefix.
    ///
    /// # Errors
    ///
    /// As [`TableStore::scan`], and [`TableError::Unavailable`] after a timeout.
    pub async fn scan(&self, step: Step, prefix: &str) -> TableResult<Vec<(RowKey, TableRow)>> {
        let rows = within(&*self.clock, self.limit, self.table.scan(step, prefix)).await;
        rows.ok_or(TableError::Unavailable)?
    }

    /// Commits a transaction. The result of a call that times out is unknown.
    ///
    /// # Errors
    ///
    /// As [`TableStore::commit`], and [`TableError::NoAnswer`] after a timeout or a malformed
    /// answer.
    pub async fn commit(
        &self,
        step: Step,
        transaction: TableTransaction,
    ) -> TableResult<CommitOutcome> {
        let outcome = within(&*self.clock, self.limit, self.table.commit(step, transaction)).await;
        match outcome.ok_or(TableError::NoAnswer)? {
            Err(TableError::Malformed) => Err(TableError::NoAnswer),
            outcome => outcome,
        }
    }
}

/// Runs a call. Drops it and returns `None` if it takes longer than `limit`.
pub(crate) async fn within<T>(
    clock: &dyn Clock,
    limit: Duration,
    call: impl Future<Output = T>,
) -> Option<T> {
    let call = std::pin::pin!(call);
    match select(call, clock.sleep(limit)).await {
        Either::Left((value, _)) => Some(value),
        Either::Right(_) => None,
    }
}
