//! Checks that groups serve only while all their VMs are present, and that no VM serves in two
//! groups at once.

use std::collections::BTreeMap;

use comfreyturn_types::{GroupAssignment, GroupGeneration, GroupId, VmId};

use super::{CheckSettings, PlaceReport, PromiseViolation, RunRecords};
use crate::ExecutionRecord;

/// A group in one generation.
type GroupKey = (GroupId, GroupGeneration);

/// When a group ran a request.
#[derive(Clone, Copy)]
struct ServingSpan {
    from_ms: u64,
    to_ms: u64,
}

/// The reported places of VMs, in order of time.
struct PlaceTimeline<'a> {
    reports: BTreeMap<&'a VmId, Vec<&'a PlaceReport>>,
    members: BTreeMap<GroupKey, Vec<VmId>>,
}

impl<'a> PlaceTimeline<'a> {
    fn new(records: &'a RunRecords) -> Self {
        let mut reports: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for report in &records.places {
            reports.entry(&report.vm).or_default().push(report);
        }
        for reports in reports.values_mut() {
            reports.sort_by_key(|report| report.at_ms);
        }
        let assignments = records.places.iter().filter_map(|report| report.assignment.as_ref());
        let members = assignments.map(|place| (key_of(place), place.members.clone())).collect();
        Self { reports, members }
    }

    /// The members of a group; only the VM that ran the request, if no VM reported the group.
    fn members(&self, execution: &ExecutionRecord) -> Vec<VmId> {
        let key = (execution.group.clone(), execution.generation);
        self.members.get(&key).cloned().unwrap_or_else(|| vec![execution.vm.clone()])
    }

    /// When a VM's absence from a group exceeded the limit while the group served. An absence is
    /// measured from its beginning, even if that is before the span.
    fn overdue(
        &self,
        vm: &VmId,
        key: &GroupKey,
        span: ServingSpan,
        allowed_ms: u64,
    ) -> Option<u64> {
        // A VM counts as absent until its first report.
        let mut absent_since = Some(0);
        let reports = self.reports.get(vm).map_or(&[][..], Vec::as_slice);
        for report in reports.iter().filter(|report| report.at_ms < span.to_ms) {
            let is_present = report.assignment.as_ref().is_some_and(|place| key_of(place) == *key);
            if is_present {
                let overdue = overdue_at(absent_since, report.at_ms, span, allowed_ms);
                if overdue.is_some() {
                    return overdue;
                }
                absent_since = None;
            } else {
                absent_since = absent_since.or(Some(report.at_ms));
            }
        }
        overdue_at(absent_since, span.to_ms, span, allowed_ms)
    }
}

/// When an absence exceeded the limit while the group served.
fn overdue_at(
    absent_since: Option<u64>,
    until_ms: u64,
    span: ServingSpan,
    allowed_ms: u64,
) -> Option<u64> {
    let too_long_at = absent_since? + allowed_ms;
    let at_ms = too_long_at.max(span.from_ms);
    (at_ms < until_ms).then_some(at_ms)
}

/// Groups that served without one of their VMs.
pub(super) fn absent_members(
    records: &RunRecords,
    settings: &CheckSettings,
) -> Vec<PromiseViolation> {
    let timeline = PlaceTimeline::new(records);
    let mut violations = Vec::new();
    for execution in &records.executions {
        let Some(span) = serving_span(execution) else {
            continue;
        };
        let key = (execution.group.clone(), execution.generation);
        for vm in timeline.members(execution) {
            if let Some(at_ms) = timeline.overdue(&vm, &key, span, settings.absence_ms) {
                let (group, generation) = key.clone();
                violations.push(PromiseViolation::AbsentMember { group, generation, vm, at_ms });
            }
        }
    }
    violations
}

/// VMs that served in two groups at once.
pub(super) fn shared_vms(records: &RunRecords, settings: &CheckSettings) -> Vec<PromiseViolation> {
    let timeline = PlaceTimeline::new(records);
    let mut spans: BTreeMap<VmId, Vec<(ServingSpan, GroupKey)>> = BTreeMap::new();
    for execution in &records.executions {
        let Some(span) = serving_span(execution) else {
            continue;
        };
        for vm in timeline.members(execution) {
            let key = (execution.group.clone(), execution.generation);
            spans.entry(vm).or_default().push((span, key));
        }
    }
    spans
        .into_iter()
        .filter_map(|(vm, spans)| first_overlap(vm, spans, settings.absence_ms))
        .collect()
}

fn first_overlap(
    vm: VmId,
    mut spans: Vec<(ServingSpan, GroupKey)>,
    allowed_ms: u64,
) -> Option<PromiseViolation> {
    spans.sort_by_key(|(span, _)| span.from_ms);
    let mut open: BTreeMap<GroupKey, u64> = BTreeMap::new();
    for (span, key) in spans {
        let at_ms = span.from_ms + allowed_ms;
        let other = open
            .iter()
            .find(|(other, until_ms)| **other != key && at_ms < span.to_ms.min(**until_ms));
        if let Some((other, _)) = other {
            let (first, second) = (other.0.clone(), key.0);
            return Some(PromiseViolation::SharedVm { vm, first, second, at_ms });
        }
        let until_ms = open.entry(key).or_default();
        *until_ms = span.to_ms.max(*until_ms);
    }
    None
}

/// When a request ran, if it did. A run without a recorded end counts as one millisecond.
fn serving_span(execution: &ExecutionRecord) -> Option<ServingSpan> {
    let from_ms = execution.started_ms?;
    let to_ms = execution.ended_ms.unwrap_or(from_ms).max(from_ms + 1);
    Some(ServingSpan { from_ms, to_ms })
}

fn key_of(assignment: &GroupAssignment) -> GroupKey {
    (assignment.group.clone(), assignment.generation)
}
