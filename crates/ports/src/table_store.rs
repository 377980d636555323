//! The platform's transactional table service.

use std::sync::Arc;

use async_trait::async_trait;
use comfreyturn_types::RowVersion;
use serde::{Deserialize, Serialize};

use crate::Step;

/// Error of a call of the table service.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum TableError {
    /// The service was not reached or refused the call; nothing was written.
    #[display("table service unavailable")]
    Unavailable,

    /// No response arrived; a write may or may not have taken effect.
    #[display("no response from the table service")]
    NoAnswer,

    /// The response is malformed.
    #[display("malformed response from the table service")]
    Malformed,
}

/// Result of a call of the table service.
pub type TableResult<T, E = TableError> = std::result::Result<T, E>;

/// The key of a row.
pub type RowKey = Arc<str>;

/// A row as read from the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Increases with each change of the row. Invariant: at least one, and never reused for the
    /// same key.
    pub version: RowVersion,

    /// The content, as JSON text.
    pub value: String,
}

/// A condition of a transaction: the row has this version, or is absent if the version is zero.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCheck {
    /// The row.
    pub key: RowKey,

    /// The version that it must have.
    pub version: RowVersion,
}

/// A change of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// The row.
    pub key: RowKey,

    /// The new content, or `None` to delete the row.
    pub value: Option<String>,
}

/// Writes that take effect atomically, if all checks hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// The conditions.
    pub checks: Vec<RowCheck>,

    /// The writes.
    pub writes: Vec<RowWrite>,
}

/// The outcome of a transaction that got a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommitOutcome {
    /// All writes took effect.
    Committed,

    /// Nothing was written; these rows failed their check.
    Conflict(Vec<RowKey>),
}

/// The table service. It handles several hundred writes and two thousand reads per second, and has
/// outages.
#[async_trait(?Send)]
pub trait TableStore {
    /// Reads rows from one consistent snapshot, in the order of `keys`.
    async fn read(&self, step: Step, keys: &[RowKey]) -> TableResult<Vec<Option<TableRow>>>;

    /// Reads all rows whose key starts with `prefix` from one consistent snapshot, in key order.
    async fn scan(&self, step: Step, prefix: &str) -> TableResult<Vec<(RowKey, TableRow)>>;

    /// Applies the writes if all checks hold. After [`TableError::NoAnswer`] the writes may have
    /// taken effect: the rows must be read back first.
    async fn commit(&self, step: Step, transaction: TableTransaction)
    -> TableResult<CommitOutcome>;

    /// The era of the table's contents, as its last answer told: it rises each time the table is
    /// restored from an older copy, and rows written since that copy are gone. Zero if unknown.
    /// Versions of rows of different eras are never equal.
    fn era(&self) -> u64 {
        0
    }
}
