//! The rows of the table that store groups and VMs.

use std::collections::BTreeMap;

use comfreyturn_ports::{
    CommitOutcome, RowCheck, RowKey, RowWrite, Step, TableResult, TableRow, TableTransaction,
};
use comfreyturn_types::{
    GroupAssignment, GroupId, GroupPhase, GroupRecord, RowVersion, VmId, VmOwner,
};

use crate::{
    RowKeys,
    config_store::{parse, row_write},
    timed_ports::TimedPorts,
};

/// All rows of groups and VMs, with the versions that writes check.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupRows {
    /// Groups.
    pub(crate) groups: BTreeMap<GroupId, (RowVersion, GroupRecord)>,

    /// VMs that have a row.
    pub(crate) owners: BTreeMap<VmId, (RowVersion, VmOwner)>,
}

impl GroupRows {
    /// The group in a VM's row.
    pub(crate) fn owner(&self, vm: &VmId) -> VmOwner {
        self.owners.get(vm).map(|(_, owner)| owner.clone()).unwrap_or_default()
    }

    /// The assignment that the rows record for a VM: an active group, at its current generation.
    pub(crate) fn recorded_assignment(&self, vm: &VmId) -> Option<&GroupAssignment> {
        let (group, generation) = self.owners.get(vm)?.1.holder.as_ref()?;
        let (_, record) = self.groups.get(group)?;
        let assignment = &record.assignment;
        let is_current = record.phase == GroupPhase::Active
            && assignment.generation == *generation
            && assignment.members.contains(vm);
        is_current.then_some(assignment)
    }

    /// Whether the row of any VM refers to a group.
    pub(crate) fn holds_vms(&self, group: &GroupId) -> bool {
        self.owners
            .values()
            .any(|(_, owner)| owner.holder.as_ref().is_some_and(|(holder, _)| holder == group))
    }
}

/// Reads and writes the rows of groups and VMs.
pub(crate) struct GroupStore {
    ports: TimedPorts,
    keys: RowKeys,
}

impl GroupStore {
    pub(crate) fn new(ports: TimedPorts, keys: RowKeys) -> Self {
        Self { ports, keys }
    }

    /// Reads all rows. Groups and VMs are read at different points in time. This is safe because
    /// only the holder of the lease writes them, and each write checks the rows that it depends on.
    pub(crate) async fn load(&self, step: Step) -> TableResult<GroupRows> {
        let mut rows = GroupRows::default();
        let prefix = self.keys.groups();
        for (key, row) in self.ports.scan(step, &prefix).await? {
            rows.groups.insert(name_of(&key, &prefix).into(), versioned(&row)?);
        }
        let prefix = self.keys.vms();
        for (key, row) in self.ports.scan(step, &prefix).await? {
            rows.owners.insert(name_of(&key, &prefix).into(), versioned(&row)?);
        }
        Ok(rows)
    }

    /// Writes a group and the rows of its members, under the lease of `lease_check`.
    pub(crate) async fn put_group(
        &self,
        lease_check: RowCheck,
        rows: &GroupRows,
        record: &GroupRecord,
    ) -> TableResult<CommitOutcome> {
        let assignment = &record.assignment;
        let group = self.keys.group(&assignment.group);
        let owner = VmOwner { holder: Some((assignment.group.clone(), assignment.generation)) };
        let mut checks = vec![lease_check, self.group_check(rows, &assignment.group)];
        let mut writes = vec![row_write(group, record)];
        for vm in &assignment.members {
            checks.push(self.vm_check(rows, vm));
            writes.push(row_write(self.keys.vm(vm), &owner));
        }
        self.ports.commit(Step::GroupCommit, TableTransaction { checks, writes }).await
    }

    /// Writes a group's record alone.
    pub(crate) async fn put_record(
        &self,
        lease_check: RowCheck,
        rows: &GroupRows,
        record: &GroupRecord,
    ) -> TableResult<CommitOutcome> {
        let group = &record.assignment.group;
        let checks = vec![lease_check, self.group_check(rows, group)];
        let writes = vec![row_write(self.keys.group(group), record)];
        self.ports.commit(Step::GroupCommit, TableTransaction { checks, writes }).await
    }

    /// Deletes the row of a VM, which makes it free.
    pub(crate) async fn free_vm(
        &self,
        lease_check: RowCheck,
        rows: &GroupRows,
        vm: &VmId,
    ) -> TableResult<CommitOutcome> {
        let checks = vec![lease_check, self.vm_check(rows, vm)];
        let writes = vec![RowWrite { key: self.keys.vm(vm), value: None }];
        self.ports.commit(Step::GroupCommit, TableTransaction { checks, writes }).await
    }

    /// Deletes the row of a group that holds no VM.
    pub(crate) async fn delete_group(
        &self,
        lease_check: RowCheck,
        rows: &GroupRows,
        group: &GroupId,
    ) -> TableResult<CommitOutcome> {
        let checks = vec![lease_check, self.group_check(rows, group)];
        let writes = vec![RowWrite { key: self.keys.group(group), value: None }];
        self.ports.commit(Step::GroupCommit, TableTransaction { checks, writes }).await
    }

    fn group_check(&self, rows: &GroupRows, group: &GroupId) -> RowCheck {
        let version = rows.groups.get(group).map(|(version, _)| *version).unwrap_or_default();
        RowCheck { key: self.keys.group(group), version }
    }

    fn vm_check(&self, rows: &GroupRows, vm: &VmId) -> RowCheck {
        let version = rows.owners.get(vm).map(|(version, _)| *version).unwrap_or_default();
        RowCheck { key: self.keys.vm(vm), version }
    }
}

fn versioned<T: serde::de::DeserializeOwned>(row: &TableRow) -> TableResult<(RowVersion, T)> {
    Ok((row.version, parse(&row.value)?))
}

fn name_of<'a>(key: &'a RowKey, prefix: &str) -> &'a str {
    key.strip_prefix(prefix).unwrap_or(key)
}
