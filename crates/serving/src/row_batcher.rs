//! Writes rows in batches, one transaction each.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::Duration,
};

use comfreyturn_ports::{
    CommitOutcome, RowCheck, RowKey, RowWrite, Step, TableError, TableTransaction,
};

use crate::ServingPorts;

/// Result of writing one row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RowOutcome {
    /// The row was written.
    Written,
    /// Its check failed; nothing was written.
    Conflict,
    /// The table could not be reached; nothing was written.
    Unavailable,
    /// It may or may not have been written.
    NoAnswer,
}

struct PendingRow {
    check: RowCheck,
    write: RowWrite,
    reply: flume::Sender<RowOutcome>,
}

/// Collects rows for a short time and writes them in one transaction.
///
/// A row whose check fails does not affect the others: they are written without it.
pub(crate) struct RowBatcher {
    ports: ServingPorts,
    step: Step,
    delay: Duration,
    max_rows: usize,
    pending: RefCell<Vec<PendingRow>>,
    scheduled: Cell<bool>,
}

impl RowBatcher {
    pub(crate) fn new(
        ports: ServingPorts,
        step: Step,
        delay: Duration,
        max_rows: usize,
    ) -> Rc<Self> {
        Rc::new(Self {
            ports,
            step,
            delay,
            max_rows,
            pending: RefCell::default(),
            scheduled: Cell::new(false),
        })
    }

    /// Writes one row if its check holds.
    pub(crate) async fn write(self: &Rc<Self>, check: RowCheck, write: RowWrite) -> RowOutcome {
        let (reply, outcome) = flume::bounded(1);
        self.pending.borrow_mut().push(PendingRow { check, write, reply });
        self.schedule();
        outcome.recv_async().await.unwrap_or(RowOutcome::NoAnswer)
    }

    fn schedule(self: &Rc<Self>) {
        if self.scheduled.replace(true) {
            return;
        }
        let batcher = self.clone();
        self.ports.spawner.spawn(Box::pin(async move {
            batcher.ports.clock.sleep(batcher.delay).await;
            let rows = batcher.take_batch();
            batcher.commit(rows).await;
        }));
    }

    /// Takes rows with distinct keys; the others go into the next batch.
    fn take_batch(self: &Rc<Self>) -> Vec<PendingRow> {
        let pending = self.pending.take();
        let mut keys = BTreeSet::new();
        let mut batch = Vec::new();
        let mut rest = Vec::new();
        for row in pending {
            if batch.len() < self.max_rows && keys.insert(row.check.key.clone()) {
                batch.push(row);
            } else {
                rest.push(row);
            }
        }
        self.scheduled.set(false);
        if !rest.is_empty() {
            self.pending.replace(rest);
            self.schedule();
        }
        batch
    }

    async fn commit(&self, mut rows: Vec<PendingRow>) {
        while !rows.is_empty() {
            match self.ports.table.commit(self.step, transaction(&rows)).await {
                Ok(CommitOutcome::Committed) => return answer(rows, RowOutcome::Written),
                Ok(CommitOutcome::Conflict(keys)) => {
                    let (failed, rest) = split(rows, &keys);
                    if failed.is_empty() {
                        return answer(rest, RowOutcome::NoAnswer);
                    }
                    answer(failed, RowOutcome::Conflict);
                    rows = rest;
                }
                Err(TableError::Unavailable) => return answer(rows, RowOutcome::Unavailable),
                Err(TableError::NoAnswer | TableError::Malformed) => {
                    return answer(rows, RowOutcome::NoAnswer);
                }
            }
        }
    }
}

fn transaction(rows: &[PendingRow]) -> TableTransaction {
    TableTransaction {
        checks: rows.iter().map(|row| row.check.clone()).collect(),
        writes: rows.iter().map(|row| row.write.clone()).collect(),
    }
}

fn split(rows: Vec<PendingRow>, keys: &[RowKey]) -> (Vec<PendingRow>, Vec<PendingRow>) {
    rows.into_iter().partition(|row| keys.contains(&row.check.key))
}

fn answer(rows: Vec<PendingRow>, outcome: RowOutcome) {
    for row in rows {
        let _ = row.reply.send(outcome);
    }
}
