//! Tracks how long VMs have been idle, and for how long no member of a group has been in an earlier
//! generation of it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use comfreyturn_policy::{EVIDENCE_LIFETIME, GroupTable};
use comfreyturn_types::{GroupAssignment, GroupGeneration, GroupId, VmId};

/// Tracks since when VMs have been idle and groups have been settled without interruption.
///
/// Nodes may use evidence for up to [`EVIDENCE_LIFETIME`] after it became outdated. Only after that
/// time may a VM serve in another group, or a group serve with other members.
#[derive(Clone, Debug, Default)]
pub(crate) struct QuiescenceTracker {
    /// VMs whose fresh report shows no assignment, with the time since when.
    idle_since: BTreeMap<VmId, Instant>,
    /// When each VM last had a fresh report, or was first listed if it has had none.
    last_seen: BTreeMap<VmId, Instant>,
    /// Groups whose members have all left earlier generations, with the time since when.
    settled_since: BTreeMap<(GroupId, GroupGeneration), Instant>,
    /// Groups that were settled for long enough that new members may be ordered into them.
    admitting: BTreeSet<(GroupId, GroupGeneration)>,
}

impl QuiescenceTracker {
    /// Updates the tracker from the current evidence. Must be called often, as an interruption
    /// between two calls is not noticed.
    pub(crate) fn update<'a>(
        &mut self,
        now: Instant,
        table: &GroupTable,
        active: impl IntoIterator<Item = &'a GroupAssignment>,
    ) {
        for vm in table.records().keys() {
            self.update_vm(now, table, vm);
        }
        self.idle_since.retain(|vm, _| table.records().contains_key(vm));
        self.last_seen.retain(|vm, _| table.records().contains_key(vm));
        let mut present = BTreeSet::new();
        for assignment in active {
            present.insert((assignment.group.clone(), assignment.generation));
            self.update_group(now, table, assignment);
        }
        self.settled_since.retain(|key, _| present.contains(key));
        self.admitting.retain(|key| present.contains(key));
    }

    /// Whether a VM has had no assignment for at least `min_idle`.
    pub(crate) fn is_idle(&self, now: Instant, vm: &VmId, min_idle: Duration) -> bool {
        self.idle_since
            .get(vm)
            .is_some_and(|since| now.saturating_duration_since(*since) >= min_idle)
    }

    /// The time since the last fresh report of a VM.
    pub(crate) fn last_seen_age(&self, now: Instant, vm: &VmId) -> Duration {
        self.last_seen.get(vm).map(|at| now.saturating_duration_since(*at)).unwrap_or_default()
    }

    /// Whether new members may be ordered into a group.
    pub(crate) fn admits_new_members(&self, assignment: &GroupAssignment) -> bool {
        self.admitting.contains(&(assignment.group.clone(), assignment.generation))
    }

    fn update_vm(&mut self, now: Instant, table: &GroupTable, vm: &VmId) {
        let report = table.fresh_report(now, vm);
        if report.is_some() {
            self.last_seen.insert(vm.clone(), now);
        } else {
            self.last_seen.entry(vm.clone()).or_insert(now);
        }
        if report.is_some_and(|report| report.assignment.is_none()) {
            self.idle_since.entry(vm.clone()).or_insert(now);
        } else {
            self.idle_since.remove(vm);
        }
    }

    fn update_group(&mut self, now: Instant, table: &GroupTable, assignment: &GroupAssignment) {
        let key = (assignment.group.clone(), assignment.generation);
        if assignment.generation == GroupGeneration(1) {
            self.admitting.insert(key);
            return;
        }
        if !assignment.members.iter().all(|vm| has_left_earlier(now, table, vm, assignment)) {
            self.settled_since.remove(&key);
            return;
        }
        let since = *self.settled_since.entry(key.clone()).or_insert(now);
        if now.saturating_duration_since(since) > EVIDENCE_LIFETIME {
            self.admitting.insert(key);
        }
    }
}

/// Whether a fresh report of a VM shows that it is not in an earlier generation of a group.
fn has_left_earlier(
    now: Instant,
    table: &GroupTable,
    vm: &VmId,
    assignment: &GroupAssignment,
) -> bool {
    table
        .fresh_report(now, vm)
        .is_some_and(|report| !is_earlier_generation(report.assignment.as_ref(), assignment))
}

/// Whether `reported` is an earlier generation of the group of `assignment`.
pub(crate) fn is_earlier_generation(
    reported: Option<&GroupAssignment>,
    assignment: &GroupAssignment,
) -> bool {
    reported.is_some_and(|reported| {
        reported.group == assignment.group && reported.generation < assignment.generation
    })
}
