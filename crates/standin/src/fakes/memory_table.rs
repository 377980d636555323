//! The table service in memory.

use std::{cell::RefCell, rc::Rc};

use async_trait::async_trait;
use comfreyturn_ports::{
    CommitOutcome, RowKey, Step, TableError, TableResult, TableRow, TableStore, TableTransaction,
};
use comfreyturn_types::NodeId;

use super::{FaultEndpoint, FaultPlan, call_fate::RequestFate};
use crate::TableRows;

/// The table service in memory. Clones share the rows.
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

    /// Reads a row, past all faults.
    pub fn row(&self, key: &str) -> Option<TableRow> {
        self.rows.borrow().read(&[RowKey::from(key)]).pop().flatten()
    }

    /// Reads rows by prefix, past all faults.
    pub fn rows(&self, prefix: &str) -> Vec<(RowKey, TableRow)> {
        self.rows.borrow().scan(prefix)
    }

    /// Commits, past all faults.
    pub fn commit(&self, transaction: &TableTransaction) -> CommitOutcome {
        self.rows.borrow_mut().commit(transaction)
    }
}

/// The table as a node calls it.
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
        let fate = plan.pass(step, &self.node, &FaultEndpoint::Table).await;
        if fate.request == RequestFate::Vanishes {
            plan.wait_in_vain().await;
            return Err(TableError::NoAnswer);
        }
        if fate.request == RequestFate::NotSent || plan.is_table_down() {
            return Err(TableError::Unavailable);
        }
        let result = effect(&self.table);
        if fate.is_duplicate {
            let table = self.table.clone();
            plan.repeat_late(move || drop(effect(&table)));
        }
        self.answer(result, fate.loses_answer).await
    }

    async fn answer<T>(&self, result: T, loses_answer: bool) -> TableResult<T> {
        let plan = &self.table.plan;
        let delay = plan.table_delay();
        if loses_answer || delay >= plan.settings().call_timeout {
            plan.wait_in_vain().await;
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
