//! Names of the table's rows.

use comfreyturn_ports::RowKey;
use comfreyturn_types::{CellName, ConfigVersion, GroupId, LeaseScope, OperationId, VmId};

/// Names the rows of one cell.
#[derive(Clone, Debug)]
pub struct RowKeys {
    cell: CellName,
}

impl RowKeys {
    /// Names the rows of `cell`.
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

    /// The current configuration: one row for each thing declared.
    pub fn entities(&self) -> String {
        format!("{}/entity/", self.cell)
    }

    /// One thing declared.
    pub fn entity(&self, path: &str) -> RowKey {
        self.key(&format!("entity/{path}"))
    }

    /// What came of an operation.
    pub fn operation(&self, operation: &OperationId) -> RowKey {
        self.key(&format!("operation/{operation}"))
    }

    /// The newest confirmed change of the roster.
    pub fn roster_confirmed(&self) -> RowKey {
        self.key("roster/confirmed")
    }

    /// Who holds a lease.
    pub fn lease(&self, scope: &LeaseScope) -> RowKey {
        self.key(&format!("lease/{scope}"))
    }

    /// The renewals of a lease.
    pub fn lease_beat(&self, scope: &LeaseScope) -> RowKey {
        self.key(&format!("lease-beat/{scope}"))
    }

    /// All groups.
    pub fn groups(&self) -> String {
        format!("{}/group/", self.cell)
    }

    /// A group.
    pub fn group(&self, group: &GroupId) -> RowKey {
        self.key(&format!("group/{group}"))
    }

    /// All VMs that are held.
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
