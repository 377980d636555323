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
    pub(crate) async fn save(&self, lease: &HeldLease, changes: &RowChanges) -> TableResult<()> {
        let mut writes = Vec::with_capacity(changes.len());
        for record in &changes.written {
            let value = serde_json::to_string(record).map_err(|_| TableError::Malformed)?;
            writes.push(RowWrite { key: self.keys.group(&record.group), value: Some(value) });
        }
        let removed = changes.removed.iter();
        writes.extend(removed.map(|group| RowWrite { key: self.keys.group(group), value: None }));
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

/// Most changes of rows in one transaction. Stores take 100 entries, one of which is the check of
/// the lease, and 1 MB.
const CHANGES_PER_TRANSACTION: usize = 64;

/// Changes of the rows of groups.
#[derive(Default)]
pub(crate) struct RowChanges {
    pub(crate) written: Vec<FleetGroupRecord>,

    /// Groups that were dissolved.
    pub(crate) removed: Vec<GroupId>,
}

impl RowChanges {
    pub(crate) fn len(&self) -> usize {
        self.written.len() + self.removed.len()
    }

    /// Splits the changes into parts for one transaction each. Removals come first: servers of a
    /// dissolved group may be members of a new one, and no two rows may list them.
    pub(crate) fn into_parts(self) -> Vec<RowChanges> {
        if self.len() <= CHANGES_PER_TRANSACTION {
            return vec![self];
        }
        let removed = self.removed.chunks(CHANGES_PER_TRANSACTION);
        let removed = removed.map(|part| RowChanges { removed: part.to_vec(), ..Self::default() });
        let written = self.written.chunks(CHANGES_PER_TRANSACTION);
        let written = written.map(|part| RowChanges { written: part.to_vec(), ..Self::default() });
        removed.chain(written).collect()
    }
}
