//! Keys of the table's rows.

use comfreyturn_ports::RowKey;
use comfreyturn_types::{CellName, ConfigVersion, GroupId, LeaseScope, OperationId, VmId};

/// Builds the keys of one cell's rows.
#[derive(Clone, Debug)]
pub struct RowKeys {
    cell: CellName,
}

impl RowKeys {
    /// Creates the keys of `cell`.
    pub fn new(cell: CellName) -> Self {
        Self { cell }
    }

    /// The newest version of the configuration log.
    pub fn head(&self) -> RowKey {
        self.key("config/head")
    }

    /// An entry of the configuration log.
    pub fn entry(&self, version: ConfigVersion) -> RowKey {
        self.key(&format!("config/{:020}", version.0))
    }

    /// The prefix of the current configuration, which has one row for each declared entity.
    pub fn entities(&self) -> String {
        format!("{}/entity/", self.cell)
    }

    /// One declared entity.
    pub fn entity(&self, path: &str) -> RowKey {
        self.key(&format!("entity/{path}"))
    }

    /// The result of an operation.
    pub fn operation(&self, operation: &OperationId) -> RowKey {
        self.key(&format!("operation/{operation}"))
    }

    /// The version of the newest confirmed roster change.
    pub fn roster_confirmed(&self) -> RowKey {
        self.key("roster/confirmed")
    }

    /// The holder of a lease.
    pub fn lease(&self, scope: &LeaseScope) -> RowKey {
        self.key(&format!("lease/{scope}"))
    }

    /// The renewals of a lease.
    pub fn lease_renewal(&self, scope: &LeaseScope) -> RowKey {
        self.key(&format!("lease-beat/{scope}"))
    }

    /// The prefix of all groups.
    pub fn groups(&self) -> String {
        format!("{}/group/", self.cell)
    }

    /// A group.
    pub fn group(&self, group: &GroupId) -> RowKey {
        self.key(&format!("group/{group}"))
    }

    /// The prefix of all VMs that are assigned to a group.
    pub fn vms(&self) -> String {
        format!("{}/vm/", self.cell)
    }

    /// A VM.
    pub fn vm(&self, vm: &VmId) -> RowKey {
        self.key(&format!("vm/{vm}"))
    }

    fn key(&self, path: &str) -> RowKey {
        RowKey::from(format!("{}/{path}", self.cell))
    }
}
