//! How long VMs have been idle, and how long no member has stood in a group's earlier generation.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use comfreyturn_policy::{EVIDENCE_LIFETIME, GroupTable};
use comfreyturn_types::{GroupAssignment, GroupGeneration, GroupId, VmId};

/// Remembers since when things have been as they are, without a gap.
///
/// Nodes may use evidence for [`EVIDENCE_LIFETIME`] after it stopped being true. Only after that
/// long a quiet may a VM serve in another group, or a group with other members.
#[derive(Clone, Debug, Default)]
pub(crate) struct QuietWatch {
    idle: BTreeMap<VmId, Instant>,
    heard: BTreeMap<VmId, Instant>,
    settled: BTreeMap<(GroupId, GroupGeneration), Instant>,
    open: BTreeSet<(GroupId, GroupGeneration)>,
}

impl QuietWatch {
    /// Takes in what is known now. Must be called often, as a gap is not seen otherwise.
    pub(crate) fn update<'a>(
        &mut self,
        now: Instant,
        table: &GroupTable,
        active: impl IntoIterator<Item = &'a GroupAssignment>,
    ) {
        for vm in table.records().keys() {
            self.update_vm(now, table, vm);
        }
        self.idle.retain(|vm, _| table.records().contains_key(vm));
        self.heard.retain(|vm, _| table.records().contains_key(vm));
        let mut present = BTreeSet::new();
        for assignment in active {
            present.insert((assignment.group.clone(), assignment.generation));
            self.update_group(now, table, assignment);
        }
        self.settled.retain(|key, _| present.contains(key));
        self.open.retain(|key| present.contains(key));
    }

    /// Whether a VM has held no place for `quiet`.
    pub(crate) fn is_idle(&self, now: Instant, vm: &VmId, quiet: Duration) -> bool {
        self.idle.get(vm).is_some_and(|since| now.saturating_duration_since(*since) >= quiet)
    }

    /// How long ago a VM was last heard.
    pub(crate) fn silent_for(&self, now: Instant, vm: &VmId) -> Duration {
        self.heard.get(vm).map(|at| now.saturating_duration_since(*at)).unwrap_or_default()
    }

    /// Whether members that are new to a group may be ordered into it.
    pub(crate) fn admits_newcomers(&self, assignment: &GroupAssignment) -> bool {
        self.open.contains(&(assignment.group.clone(), assignment.generation))
    }

    fn update_vm(&mut self, now: Instant, table: &GroupTable, vm: &VmId) {
        let report = table.fresh_report(now, vm);
        if report.is_some() {
            self.heard.insert(vm.clone(), now);
        } else {
            self.heard.entry(vm.clone()).or_insert(now);
        }
        if report.is_some_and(|report| report.assignment.is_none()) {
            self.idle.entry(vm.clone()).or_insert(now);
        } else {
            self.idle.remove(vm);
        }
    }

    fn update_group(&mut self, now: Instant, table: &GroupTable, assignment: &GroupAssignment) {
        let key = (assignment.group.clone(), assignment.generation);
        if assignment.generation == GroupGeneration(1) {
            self.open.insert(key);
            return;
        }
        if !assignment.members.iter().all(|vm| has_moved_on(now, table, vm, assignment)) {
            self.settled.remove(&key);
            return;
        }
        let since = *self.settled.entry(key.clone()).or_insert(now);
        if now.saturating_duration_since(since) > EVIDENCE_LIFETIME {
            self.open.insert(key);
        }
    }
}

/// Whether a VM is freshly heard not to stand in an earlier generation of a group.
fn has_moved_on(now: Instant, table: &GroupTable, vm: &VmId, assignment: &GroupAssignment) -> bool {
    table
        .fresh_report(now, vm)
        .is_some_and(|report| !stands_before(report.assignment.as_ref(), assignment))
}

/// Whether `place` is in an earlier generation of the group of `assignment`.
pub(crate) fn stands_before(place: Option<&GroupAssignment>, assignment: &GroupAssignment) -> bool {
    place.is_some_and(|place| {
        place.group == assignment.group && place.generation < assignment.generation
    })
}
