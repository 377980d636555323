//! Groups and VMs as the table's rows hold them.

use std::collections::BTreeMap;

use comfreyturn_ports::{
    CommitOutcome, RowCheck, RowKey, RowWrite, Step, TableResult, TableRow, TableTransaction,
};
use comfreyturn_types::{
    GroupAssignment, GroupId, GroupPhase, GroupRecord, RowVersion, VmId, VmOwner,
};

use crate::{
    RowKeys,
    config_store::{parse, write},
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
    /// The group that a VM's row names.
    pub(crate) fn owner(&self, vm: &VmId) -> VmOwner {
        self.owners.get(vm).map(|(_, owner)| owner.clone()).unwrap_or_default()
    }

    /// The place that the rows give to a VM: in an active group, at its present generation.
    pub(crate) fn place(&self, vm: &VmId) -> Option<&GroupAssignment> {
        let (group, generation) = self.owners.get(vm)?.1.holder.as_ref()?;
        let (_, record) = self.groups.get(group)?;
        let assignment = &record.assignment;
        let held = record.phase == GroupPhase::Active
            && assignment.generation == *generation
            && assignment.members.contains(vm);
        held.then_some(assignment)
    }

    /// Whether some VM's row names a group.
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

    /// Reads all rows. The holder of the lease is the only one that writes them, and each write
    /// checks the rows that it rests on, so two reads at two points in time do no harm.
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

    /// Writes a group and the rows of its members, under the lease that `lease` checks.
    pub(crate) async fn put_group(
        &self,
        lease: RowCheck,
        rows: &GroupRows,
        record: &GroupRecord,
    ) -> TableResult<CommitOutcome> {
        let assignment = &record.assignment;
        let group = self.keys.group(&assignment.group);
        let owner = VmOwner { holder: Some((assignment.group.clone(), assignment.generation)) };
        let mut checks = vec![lease, self.group_check(rows, &assignment.group)];
        let mut writes = vec![write(group, record)];
        for vm in &assignment.members {
            checks.push(self.vm_check(rows, vm));
            writes.push(write(self.keys.vm(vm), &owner));
        }
        self.ports.commit(Step::GroupCommit, TableTransaction { checks, writes }).await
    }

    /// Writes a group's record alone.
    pub(crate) async fn put_record(
        &self,
        lease: RowCheck,
        rows: &GroupRows,
        record: &GroupRecord,
    ) -> TableResult<CommitOutcome> {
        let group = &record.assignment.group;
        let checks = vec![lease, self.group_check(rows, group)];
        let writes = vec![write(self.keys.group(group), record)];
        self.ports.commit(Step::GroupCommit, TableTransaction { checks, writes }).await
    }

    /// Deletes the row of a VM, which makes it free.
    pub(crate) async fn free_vm(
        &self,
        lease: RowCheck,
        rows: &GroupRows,
        vm: &VmId,
    ) -> TableResult<CommitOutcome> {
        let checks = vec![lease, self.vm_check(rows, vm)];
        let writes = vec![RowWrite { key: self.keys.vm(vm), value: None }];
        self.ports.commit(Step::GroupCommit, TableTransaction { checks, writes }).await
    }

    /// Deletes the row of a group that holds no VM.
    pub(crate) async fn delete_group(
        &self,
        lease: RowCheck,
        rows: &GroupRows,
        group: &GroupId,
    ) -> TableResult<CommitOutcome> {
        let checks = vec![lease, self.group_check(rows, group)];
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
