//! The platform's list of VMs.

use async_trait::async_trait;
use comfreyturn_types::VmRecord;

use crate::Step;

/// The list could not be read.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the platform's list of VMs cannot be read")]
pub struct DirectoryError;

/// Result of reading the list.
pub type DirectoryResult<T, E = DirectoryError> = std::result::Result<T, E>;

/// The platform's list of live and leaving VMs, which may be out of date.
#[async_trait(?Send)]
pub trait VmDirectory {
    /// Reads the complete list.
    async fn list(&self, step: Step) -> DirectoryResult<Vec<VmRecord>>;
}
