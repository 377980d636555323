//! A table that checks that every write of groups and VMs is fenced.

use std::{cell::RefCell, rc::Rc};

use async_trait::async_trait;
use comfreyturn_ports::{
    CommitOutcome, RowKey, Step, TableResult, TableRow, TableStore, TableTransaction,
};
use comfreyturn_standin::fakes::MemoryTable;
use comfreyturn_types::{Incarnation, NodeId};

pub const LEASE_KEY: &str = "cell-1/lease/planner";

/// The table as one run of a node accesses it. Each write of groups or VMs must check the lease's
/// row at a version in which this run is the holder. The table then refuses the write once another
/// run holds the lease.
pub struct FencedTable {
    pub inner: Rc<dyn TableStore>,
    pub rows: MemoryTable,
    pub run: (NodeId, Incarnation),
    pub violations: Rc<RefCell<Vec<String>>>,
}

impl FencedTable {
    fn check_fence(&self, transaction: &TableTransaction) {
        let needs_lease = |key: &str| key.contains("/group/") || key.contains("/vm/");
        if !transaction.writes.iter().any(|write| needs_lease(&write.key)) {
            return;
        }
        let check = transaction.checks.iter().find(|check| &*check.key == LEASE_KEY);
        let row = self.rows.row(LEASE_KEY);
        let run = serde_json::to_string(&self.run).unwrap();
        let is_fenced = match (check, row) {
            (Some(check), Some(row)) => check.version != row.version || row.value.contains(&run),
            _ => false,
        };
        if !is_fenced {
            self.violations.borrow_mut().push(format!("{run} wrote groups without the lease"));
        }
    }
}

#[async_trait(?Send)]
impl TableStore for FencedTable {
    async fn read(&self, step: Step, keys: &[RowKey]) -> TableResult<Vec<Option<TableRow>>> {
        self.inner.read(step, keys).await
    }

    async fn scan(&self, step: Step, prefix: &str) -> TableResult<Vec<(RowKey, TableRow)>> {
        self.inner.scan(step, prefix).await
    }

    async fn commit(
        &self,
        step: Step,
        transaction: TableTransaction,
    ) -> TableResult<CommitOutcome> {
        self.check_fence(&transaction);
        self.inner.commit(step, transaction).await
    }
}
