//! The rows of the table service, in memory.

use std::collections::BTreeMap;

use comfreyturn_ports::{CommitOutcome, RowCheck, RowKey, RowWrite, TableRow, TableTransaction};
use comfreyturn_types::RowVersion;

/// The rows of the table service, in memory.
#[derive(Clone, Debug, Default)]
pub struct TableRows {
    /// The existing rows.
    rows: BTreeMap<RowKey, TableRow>,

    /// The last version of each key. Kept when a row is deleted, so that versions never repeat.
    versions: BTreeMap<RowKey, RowVersion>,
}

impl TableRows {
    /// Reads rows in the order of `keys`.
    pub fn read(&self, keys: &[RowKey]) -> Vec<Option<TableRow>> {
        keys.iter().map(|key| self.rows.get(key).cloned()).collect()
    }

    /// Reads all rows whose key starts with `prefix`, in key order.
    pub fn scan(&self, prefix: &str) -> Vec<(RowKey, TableRow)> {
        self.rows
            .range(RowKey::from(prefix)..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, row)| (key.clone(), row.clone()))
            .collect()
    }

    /// Applies all writes if all checks hold, and none otherwise.
    pub fn commit(&mut self, transaction: &TableTransaction) -> CommitOutcome {
        let failed = self.failed_checks(&transaction.checks);
        if !failed.is_empty() {
            return CommitOutcome::Conflict(failed);
        }
        for write in &transaction.writes {
            self.write(write);
        }
        CommitOutcome::Committed
    }

    fn failed_checks(&self, checks: &[RowCheck]) -> Vec<RowKey> {
        checks
            .iter()
            .filter(|check| self.version(&check.key) != check.version)
            .map(|check| check.key.clone())
            .collect()
    }

    fn version(&self, key: &RowKey) -> RowVersion {
        self.rows.get(key).map_or(RowVersion::default(), |row| row.version)
    }

    fn write(&mut self, write: &RowWrite) {
        let last = self.versions.entry(write.key.clone()).or_default();
        *last = last.next();
        match &write.value {
            Some(value) => {
                let row = TableRow { version: *last, value: value.clone() };
                self.rows.insert(write.key.clone(), row);
            }
            None => {
                self.rows.remove(&write.key);
            }
        }
    }
}
