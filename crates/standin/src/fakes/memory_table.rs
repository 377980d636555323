//! In-memory table service.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use async_trait::async_trait;
use comfreyturn_ports::{
    CommitOutcome, RowKey, Step, TableError, TableResult, TableRow, TableStore, TableTransaction,
};
use comfreyturn_types::{NodeId, RowVersion};

use super::{FaultEndpoint, FaultPlan, call_outcome::RequestDelivery};
use crate::TableRows;

/// Most checks and writes of a transaction. Larger ones are refused, as the platforms' stores do.
const MAX_TRANSACTION_ENTRIES: usize = 100;

/// Bits of a row version below the era.
const NUMBER_BITS: u32 = 40;

/// In-memory table service. Clones share the rows.
#[derive(Clone)]
pub struct MemoryTable {
    plan: FaultPlan,
    rows: Rc<RefCell<TableRows>>,

    /// Rises with each restored copy. Nodes see it in the versions of rows.
    era: Rc<Cell<u64>>,
}

/// A copy of a table's rows.
#[derive(Clone)]
pub struct TableCopy(TableRows);

impl MemoryTable {
    /// An empty table.
    pub fn new(plan: &FaultPlan) -> Self {
        Self { plan: plan.clone(), rows: Rc::default(), era: Rc::default() }
    }

    /// The table as a node calls it.
    pub fn for_node(&self, node: &NodeId) -> Rc<dyn TableStore> {
        Rc::new(NodeTable { table: self.clone(), node: node.clone() })
    }

    /// Copies all rows, without faults.
    pub fn copy(&self) -> TableCopy {
        TableCopy(self.rows.borrow().clone())
    }

    /// Restores a copy: what was written since is gone, and versions are given out again, in a new
    /// era.
    pub fn restore(&self, copy: TableCopy) {
        *self.rows.borrow_mut() = copy.0;
        self.era.set(self.era.get() + 1);
    }

    fn with_era(&self, row: TableRow) -> TableRow {
        TableRow { version: RowVersion(self.era.get() << NUMBER_BITS | row.version.0), ..row }
    }

    /// Commits a transaction whose checks are versions as a node sees them.
    fn commit_in_era(&self, mut transaction: TableTransaction) -> CommitOutcome {
        let era = self.era.get();
        for check in &mut transaction.checks {
            let RowVersion(version) = check.version;
            if version != 0 && version >> NUMBER_BITS != era {
                return CommitOutcome::Conflict(vec![check.key.clone()]);
            }
            check.version = RowVersion(version & ((1 << NUMBER_BITS) - 1));
        }
        self.commit(&transaction)
    }

    /// Reads a row, without faults.
    pub fn row(&self, key: &str) -> Option<TableRow> {
        self.rows.borrow().read(&[RowKey::from(key)]).pop().flatten()
    }

    /// Reads rows by prefix, without faults.
    pub fn rows(&self, prefix: &str) -> Vec<(RowKey, TableRow)> {
        self.rows.borrow().scan(prefix)
    }

    /// Commits a transaction, without faults.
    pub fn commit(&self, transaction: &TableTransaction) -> CommitOutcome {
        self.rows.borrow_mut().commit(transaction)
    }
}

/// The table as a node calls it, with faults.
struct NodeTable {
    table: MemoryTable,
    node: NodeId,
}

impl NodeTable {
    async fn call<T>(
        &self,
        step: Step,
        effect: impl Fn(&MemoryTable) -> T + 'static,
    ) -> TableResult<T> {
        let plan = &self.table.plan;
        let outcome = plan.begin_call(step, &self.node, &FaultEndpoint::Table).await;
        if outcome.request == RequestDelivery::Lost {
            plan.wait_for_timeout().await;
            return Err(TableError::NoAnswer);
        }
        if outcome.request == RequestDelivery::NotSent || plan.is_table_down() {
            return Err(TableError::Unavailable);
        }
        let result = effect(&self.table);
        if outcome.is_duplicate {
            let table = self.table.clone();
            plan.repeat_later(move || drop(effect(&table)));
        }
        self.answer(result, outcome.loses_answer).await
    }

    async fn answer<T>(&self, result: T, loses_answer: bool) -> TableResult<T> {
        let plan = &self.table.plan;
        let delay = plan.table_delay();
        if loses_answer || delay >= plan.settings().call_timeout {
            plan.wait_for_timeout().await;
            return Err(TableError::NoAnswer);
        }
        if !delay.is_zero() {
            plan.sleep(delay).await;
        }
        Ok(result)
    }
}

#[async_trait(?Send)]
impl TableStore for NodeTable {
    async fn read(&self, step: Step, keys: &[RowKey]) -> TableResult<Vec<Option<TableRow>>> {
        let keys = keys.to_vec();
        let read = move |table: &MemoryTable| -> Vec<Option<TableRow>> {
            let rows = table.rows.borrow().read(&keys);
            rows.into_iter().map(|row| row.map(|row| table.with_era(row))).collect()
        };
        self.call(step, read).await
    }

    async fn scan(&self, step: Step, prefix: &str) -> TableResult<Vec<(RowKey, TableRow)>> {
        let prefix = prefix.to_owned();
        let scan = move |table: &MemoryTable| -> Vec<(RowKey, TableRow)> {
            let rows = table.rows(&prefix).into_iter();
            rows.map(|(key, row)| (key, table.with_era(row))).collect()
        };
        self.call(step, scan).await
    }

    async fn commit(
        &self,
        step: Step,
        transaction: TableTransaction,
    ) -> TableResult<CommitOutcome> {
        if transaction.checks.len() + transaction.writes.len() > MAX_TRANSACTION_ENTRIES {
            return Err(TableError::Malformed);
        }
        self.call(step, move |table| table.commit_in_era(transaction.clone())).await
    }

    fn era(&self) -> u64 {
        self.table.era.get()
    }
}
