//! The platform's transactional table service.

use std::sync::Arc;

use async_trait::async_trait;
use comfreyturn_types::RowVersion;
use serde::{Deserialize, Serialize};

use crate::Step;

/// What went wrong in a call of the table service.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum TableError {
    /// The service was not reached or refused to work; nothing was written.
    #[display("table service unavailable")]
    Unavailable,

    /// No answer came; a write may or may not have taken effect.
    #[display("no answer from the table service")]
    NoAnswer,

    /// The service answered with something that is no answer.
    #[display("malformed answer from the table service")]
    Malformed,
}

/// Result of a call of the table service.
pub type TableResult<T, E = TableError> = std::result::Result<T, E>;

/// The name of a row.
pub type RowKey = Arc<str>;

/// A row as read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Counts the changes of the row. Invariant: at least one, and never reused for the same key.
    pub version: RowVersion,

    /// The content, as JSON text.
    pub value: String,
}

/// A condition of a transaction: the row is at this version, or absent where the version is zero.
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

/// Writes that take effect together, if all checks hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// What must hold.
    pub checks: Vec<RowCheck>,

    /// What is written.
    pub writes: Vec<RowWrite>,
}

/// What became of a transaction that was answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommitOutcome {
    /// All writes took effect.
    Committed,

    /// Nothing was written; these rows failed their check.
    Conflict(Vec<RowKey>),
}

/// The table service: several hundred writes and two thousand reads a second, with outages.
#[async_trait(?Send)]
pub trait TableStore {
    /// Reads rows, all at one point in time, in the order of `keys`.
    async fn read(&self, step: Step, keys: &[RowKey]) -> TableResult<Vec<Option<TableRow>>>;

    /// Reads all rows whose key starts with `prefix`, all at one point in time, in key order.
    async fn scan(&self, step: Step, prefix: &str) -> TableResult<Vec<(RowKey, TableRow)>>;

    /// Writes, if all checks hold. After [`TableError::NoAnswer`] the writes may have taken
    /// effect: read back before anything else.
    async fn commit(&self, step: Step, transaction: TableTransaction)
    -> TableResult<CommitOutcome>;
}
