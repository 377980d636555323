//! In-memory table service.

use std::{cell::RefCell, rc::Rc};

use async_trait::async_trait;
use comfreyturn_ports::{
    CommitOutcome, RowKey, Step, TableError, TableResult, TableRow, TableStore, TableTransaction,
};
use comfreyturn_types::NodeId;

use super::{FaultEndpoint, FaultPlan, call_outcome::RequestDelivery};
use crate::TableRows;

/// In-memory table service. Clones share the rows.
#[derive(Clone)]
pub struct MemoryTable {
    plan: FaultPlan,
    rows: Rc<RefCell<TableRows>>,
}

impl MemoryTable {
    /// An empty table.
    pub fn new(plan: &FaultPlan) -> Self {
        Self { plan: plan.clone(), rows: Rc::default() }
    }

    /// The table as a node calls it.
    pub fn for_node(&self, node: &NodeId) -> Rc<dyn TableStore> {
        Rc::new(NodeTable { table: self.clone(), node: node.clone() })
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
        self.call(step, move |table| table.rows.borrow().read(&keys)).await
    }

    async fn scan(&self, step: Step, prefix: &str) -> TableResult<Vec<(RowKey, TableRow)>> {
        let prefix = prefix.to_owned();
        self.call(step, move |table| table.rows(&prefix)).await
    }

    async fn commit(
        &self,
        step: Step,
        transaction: TableTransaction,
    ) -> TableResult<CommitOutcome> {
        self.call(step, move |table| table.commit(&transaction)).await
    }
}
