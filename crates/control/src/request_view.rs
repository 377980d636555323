//! The state of groups, backend servers and peers that request handling reads.

use std::time::Instant;

use comfreyturn_types::{
    GroupAssignment, GroupGeneration, GroupId, NodeId, RosterMember, VmId, VmReport,
};

use crate::NodeControl;

impl NodeControl {
    /// This run of this node.
    pub fn member(&self) -> &RosterMember {
        &self.member
    }

    /// Whether a node has announced that it is leaving.
    pub fn is_peer_leaving(&self, node: &NodeId) -> bool {
        let peers = self.peers.borrow();
        peers.iter().any(|((name, _), peer)| name == node && peer.leaving)
    }

    /// Whether this generation of a group is whole, according to fresh reports of its members.
    pub fn is_group_whole(
        &self,
        now: Instant,
        group: &GroupId,
        generation: GroupGeneration,
    ) -> bool {
        let table = self.table.borrow();
        let matches = |assignment: &&GroupAssignment| {
            assignment.group == *group && assignment.generation == generation
        };
        let mut reports = table.all_evidence().values().filter_map(|e| e.report.as_ref());
        let assignment = reports.find_map(|report| report.assignment.as_ref().filter(matches));
        assignment.is_some_and(|assignment| table.defect(now, assignment).is_none())
    }

    /// The newest report of a backend server, however old; `None` if its last poll failed.
    pub fn newest_report(&self, vm: &VmId) -> Option<VmReport> {
        self.table.borrow().evidence(vm)?.report.clone()
    }

    /// The newest report of a backend server, if its poll was sent at `asked_at` or later.
    pub fn report_since(&self, vm: &VmId, asked_at: Instant) -> Option<VmReport> {
        let table = self.table.borrow();
        let evidence = table.evidence(vm).filter(|evidence| evidence.polled_at >= asked_at)?;
        evidence.report.clone()
    }

    /// Records that a request found a backend server lost, and polls the server to verify.
    pub fn report_lost(&self, vm: &VmId) {
        self.record_loss(vm.clone());
    }
}
