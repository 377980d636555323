//! The rows of groups in the table service.

use std::rc::Rc;

use comfreyturn_control::{LeaseKeeper, RowKeys, TimedTable};
use comfreyturn_policy::HeldLease;
use comfreyturn_ports::{CommitOutcome, RowWrite, Step, TableError, TableResult, TableTransaction};
use comfreyturn_types::{FleetGroupRecord, GroupId};

/// The rows of groups, written under the lease of the fleet.
pub(crate) struct GroupRows {
    table: TimedTable,
    keys: RowKeys,
    lease: Rc<LeaseKeeper>,
}

impl GroupRows {
    pub(crate) fn new(table: TimedTable, keys: RowKeys, lease: Rc<LeaseKeeper>) -> Self {
        Self { table, keys, lease }
    }

    /// The era of the table's contents.
    pub(crate) fn era(&self) -> u64 {
        self.table.era()
    }

    /// Reads all groups that were ordered and not dissolved. Rows that can't be parsed are logged
    /// and skipped.
    pub(crate) async fn load(&self) -> TableResult<Vec<FleetGroupRecord>> {
        let rows = self.table.scan(Step::GroupReadRows, &self.keys.groups()).await?;
        let mut records = Vec::with_capacity(rows.len());
        for (key, row) in rows {
            match serde_json::from_str::<FleetGroupRecord>(&row.value) {
                Ok(record) if !record.members.is_empty() => records.push(record),
                Ok(_) => log::warn!(row:% = key; "fleet: row of a group without members."),
                Err(error) => {
                    log::warn!(row:% = key, cause:% = error; "fleet: malformed row of a group.")
                }
            }
        }
        Ok(records)
    }

    /// Writes and removes rows in one transaction, if this node still holds the lease.
    pub(crate) async fn save(
        &self,
        lease: &HeldLease,
        written: &[FleetGroupRecord],
        removed: &[GroupId],
    ) -> TableResult<()> {
        let mut writes = Vec::with_capacity(written.len() + removed.len());
        for record in written {
            let value = serde_json::to_string(record).map_err(|_| TableError::Malformed)?;
            writes.push(RowWrite { key: self.keys.group(&record.group), value: Some(value) });
        }
        writes.extend(
            removed.iter().map(|group| RowWrite { key: self.keys.group(group), value: None }),
        );
        let transaction = TableTransaction { checks: vec![self.lease.check(lease)], writes };
        match self.table.commit(Step::GroupCommit, transaction).await? {
            CommitOutcome::Committed => Ok(()),
            CommitOutcome::Conflict(_) => {
                log::warn!("fleet: rows not written, the lease was taken over.");
                self.lease.forget();
                Err(TableError::Unavailable)
            }
        }
    }
}
