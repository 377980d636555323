//! Evidence on backend servers, and which groups it shows to be whole.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use comfreyturn_types::{
    GroupAssignment, GroupId, Incarnation, ServiceName, VmId, VmPhase, VmRecord, VmReport, VmRole,
};

use crate::WholeGroup;

/// How long a report is valid, counted from when its poll was sent.
pub const EVIDENCE_LIFETIME: Duration = Duration::from_secs(3);

/// The newest evidence on a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct VmEvidence {
    /// When the poll was sent, or when the notice of the loss was received.
    pub polled_at: Instant,

    /// The report, or `None` if the poll failed.
    pub report: Option<VmReport>,
}

/// Why a group does not serve.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum GroupDefect {
    /// A member is not on the platform's list.
    #[display("{_0} is not on the platform's list")]
    Unlisted(VmId),
    /// There is no recent report of a member.
    #[display("no recent report of {_0}")]
    Stale(VmId),
    /// A member was lost.
    #[display("{_0} was lost")]
    Lost(VmId),
    /// A member is leaving.
    #[display("{_0} is leaving")]
    Leaving(VmId),
    /// A member has another assignment, or none.
    #[display("{_0} holds another place")]
    Elsewhere(VmId),
    /// A member is not ready.
    #[display("{_0} is not ready")]
    NotReady(VmId),
}

/// Evidence on all backend servers.
///
/// A group is whole only if the newest evidence of every member is at most [`EVIDENCE_LIFETIME`] old
/// and reports the same group, generation and members, and the member is ready and not leaving. As
/// only the newest evidence of each VM counts, no VM is in two whole groups.
#[derive(Clone, Debug, Default)]
pub struct GroupTable {
    records: BTreeMap<VmId, VmRecord>,
    evidence: BTreeMap<VmId, VmEvidence>,
    leaving: BTreeSet<(VmId, Incarnation)>,
}

impl GroupTable {
    /// Sets the platform's list and drops evidence on VMs that are not on it.
    pub fn set_records(&mut self, records: impl IntoIterator<Item = VmRecord>) {
        self.records = records.into_iter().map(|record| (record.vm.clone(), record)).collect();
        self.evidence.retain(|vm, _| self.records.contains_key(vm));
        self.leaving.retain(|(vm, _)| self.records.contains_key(vm));
    }

    /// The platform's list.
    pub fn records(&self) -> &BTreeMap<VmId, VmRecord> {
        &self.records
    }

    /// Records the outcome of a poll that was sent at `polled_at`. If it is older than the known
    /// evidence, only an announcement of leaving is recorded, since that is final. An outcome with
    /// a `polled_at` in the future is ignored.
    pub fn observe(
        &mut self,
        now: Instant,
        polled_at: Instant,
        vm: &VmId,
        report: Option<VmReport>,
    ) {
        if polled_at > now {
            return;
        }
        if let Some(report) = &report
            && report.leaving
        {
            self.observe_leaving(vm, report.incarnation);
        }
        let newer = self.evidence.get(vm).is_none_or(|known| known.polled_at <= polled_at);
        if newer {
            self.evidence.insert(vm.clone(), VmEvidence { polled_at, report });
        }
    }

    /// Records that a VM was lost. Valid until a poll sent later succeeds.
    pub fn observe_lost(&mut self, now: Instant, vm: &VmId) {
        self.observe(now, now, vm, None);
    }

    /// Records that this incarnation of a backend server is leaving, which is final.
    pub fn observe_leaving(&mut self, vm: &VmId, incarnation: Incarnation) {
        self.leaving.insert((vm.clone(), incarnation));
    }

    /// Drops all evidence, as after a jump of the clock. Announcements of leaving are kept.
    pub fn clear_evidence(&mut self) {
        self.evidence.clear();
    }

    /// The newest evidence on a VM, of any age.
    pub fn evidence(&self, vm: &VmId) -> Option<&VmEvidence> {
        self.evidence.get(vm)
    }

    /// The newest evidence on all VMs, of any age.
    pub fn all_evidence(&self) -> &BTreeMap<VmId, VmEvidence> {
        &self.evidence
    }

    /// A VM's report, if it is recent and the last poll did not fail.
    pub fn fresh_report(&self, now: Instant, vm: &VmId) -> Option<&VmReport> {
        let evidence = self.evidence.get(vm)?;
        if now.saturating_duration_since(evidence.polled_at) > EVIDENCE_LIFETIME {
            return None;
        }
        evidence.report.as_ref()
    }

    /// Whether a VM is leaving, by the platform's list or by an announcement of its newest known
    /// incarnation.
    pub fn is_leaving(&self, vm: &VmId) -> bool {
        let listed = self.records.get(vm).is_some_and(|record| record.leaving);
        let reported = self
            .evidence
            .get(vm)
            .and_then(|evidence| evidence.report.as_ref())
            .is_some_and(|report| self.leaving.contains(&(vm.clone(), report.incarnation)));
        listed || reported
    }

    /// Why a group does not serve, or `None` if it does.
    pub fn defect(&self, now: Instant, assignment: &GroupAssignment) -> Option<GroupDefect> {
        assignment.members.iter().find_map(|vm| self.member_defect(now, vm, assignment))
    }

    /// The whole groups of a service.
    pub fn whole_groups(&self, now: Instant, service: &ServiceName) -> Vec<WholeGroup> {
        let mut groups: BTreeMap<&GroupId, WholeGroup> = BTreeMap::new();
        for vm in self.evidence.keys() {
            let assignment = self.fresh_report(now, vm).and_then(|r| r.assignment.as_ref());
            let Some(assignment) = assignment else { continue };
            let is_head = assignment.members.first() == Some(vm);
            if !is_head || assignment.service != *service {
                continue;
            }
            if let Some(group) = self.whole_group(now, assignment) {
                groups.insert(&assignment.group, group);
            }
        }
        groups.into_values().collect()
    }

    /// The plain backend servers of a service that accept requests.
    pub fn plain_backends(&self, now: Instant, service: &ServiceName) -> Vec<VmRecord> {
        self.records
            .values()
            .filter(|record| matches!(&record.role, VmRole::Plain { service: s } if s == service))
            .filter(|record| self.fresh_report(now, &record.vm).is_some())
            .filter(|record| !self.is_leaving(&record.vm))
            .cloned()
            .collect()
    }

    fn whole_group(&self, now: Instant, assignment: &GroupAssignment) -> Option<WholeGroup> {
        if self.defect(now, assignment).is_some() {
            return None;
        }
        let head = self.records.get(assignment.members.first()?)?.clone();
        let evidence = self.evidence.get(&head.vm)?;
        let load = evidence.report.as_ref()?.load;
        let load_at = evidence.polled_at.checked_sub(load.age).unwrap_or(evidence.polled_at);
        Some(WholeGroup { assignment: assignment.clone(), head, load, load_at })
    }

    fn member_defect(
        &self,
        now: Instant,
        vm: &VmId,
        assignment: &GroupAssignment,
    ) -> Option<GroupDefect> {
        if !self.records.contains_key(vm) {
            return Some(GroupDefect::Unlisted(vm.clone()));
        }
        let Some(report) = self.fresh_report(now, vm) else {
            let lost = self.evidence.get(vm).is_some_and(|evidence| evidence.report.is_none());
            let defect = if lost { GroupDefect::Lost } else { GroupDefect::Stale };
            return Some(defect(vm.clone()));
        };
        if self.is_leaving(vm) {
            return Some(GroupDefect::Leaving(vm.clone()));
        }
        if report.assignment.as_ref() != Some(assignment) {
            return Some(GroupDefect::Elsewhere(vm.clone()));
        }
        if report.phase != VmPhase::Ready {
            return Some(GroupDefect::NotReady(vm.clone()));
        }
        None
    }
}
