//! The status of nodes, groups and VMs that a node reports to operators.

use std::time::Instant;

use comfreyturn_policy::GroupDefect;
use comfreyturn_types::{
    ConfigVersion, FabricDomain, FailureDomain, GroupAssignment, GroupId, GroupPhase, NodeId,
    RosterMember, VmPhase, VmRole,
};

use crate::NodeControl;

/// The status of a node, as observed by another node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeStatus {
    /// The node.
    pub member: RosterMember,

    /// The version that it last reported.
    pub known_version: Option<ConfigVersion>,

    /// Whether it answered recently.
    pub reachable: bool,

    /// Whether it is leaving.
    pub leaving: bool,
}

/// The status of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupStatus {
    /// The model version and the members that the group should have.
    pub assignment: GroupAssignment,

    /// The phase in its row, if this node has read the row.
    pub phase: Option<GroupPhase>,

    /// Why it does not serve; `None` if it serves.
    pub defect: Option<GroupDefect>,
}

/// The status of a VM, as observed by a node.
#[derive(Clone, Debug, PartialEq)]
pub struct VmStatus {
    /// The VM.
    pub vm: comfreyturn_types::VmId,

    /// Whether it is an entry VM, an engine or a plain backend server.
    pub role: VmRole,

    /// The phase that it last reported.
    pub phase: Option<VmPhase>,

    /// The group in its last report.
    pub group: Option<GroupId>,

    /// Whether it is leaving.
    pub leaving: bool,

    /// Whether the last report is recent.
    pub fresh: bool,

    /// The failure domain: VMs that can fail together.
    pub failure_domain: FailureDomain,

    /// The fabric domain: VMs that share a fast interconnect.
    pub fabric_domain: FabricDomain,
}

impl NodeControl {
    /// The versions that the roster's members last reported. `None` for members that did not answer
    /// recently.
    pub fn known_versions(&self, now: Instant) -> Vec<(NodeId, Option<ConfigVersion>)> {
        let nodes = self.node_status(now).into_iter();
        nodes.map(|n| (n.member.node, n.known_version.filter(|_| n.reachable))).collect()
    }

    /// The status of the roster's members.
    pub fn node_status(&self, now: Instant) -> Vec<NodeStatus> {
        let state = self.log.state();
        let members = state.roster.current.members.values();
        members.map(|member| self.member_status(now, member)).collect()
    }

    /// The status of all groups in reports or rows. Rows take precedence over reports.
    pub fn group_status(&self, now: Instant) -> Vec<GroupStatus> {
        let table = self.table.borrow();
        let rows = self.planner_state.rows.borrow().clone();
        let mut groups: std::collections::BTreeMap<GroupId, GroupStatus> = Default::default();
        let reported = table.all_evidence().values();
        let reported = reported.filter_map(|evidence| evidence.report.as_ref()?.assignment.clone());
        let recorded = rows.groups.values().map(|(_, record)| record);
        for assignment in reported {
            let newer = groups
                .get(&assignment.group)
                .is_none_or(|known| known.assignment.generation < assignment.generation);
            if newer {
                let defect = table.defect(now, &assignment);
                let status = GroupStatus { phase: None, defect, assignment };
                groups.insert(status.assignment.group.clone(), status);
            }
        }
        for record in recorded {
            let assignment = record.assignment.clone();
            let defect = table.defect(now, &assignment);
            let status = GroupStatus { phase: Some(record.phase), defect, assignment };
            groups.insert(status.assignment.group.clone(), status);
        }
        groups.into_values().collect()
    }

    /// The status of all VMs on the platform's list.
    pub fn vm_status(&self, now: Instant) -> Vec<VmStatus> {
        let table = self.table.borrow();
        let records = table.records().values();
        let status = records.map(|record| {
            let evidence = table.evidence(&record.vm);
            let report = evidence.and_then(|evidence| evidence.report.as_ref());
            VmStatus {
                vm: record.vm.clone(),
                role: record.role.clone(),
                phase: report.map(|report| report.phase),
                group: report.and_then(|r| r.assignment.as_ref()).map(|a| a.group.clone()),
                leaving: table.is_leaving(&record.vm),
                fresh: table.fresh_report(now, &record.vm).is_some(),
                failure_domain: record.failure_domain.clone(),
                fabric_domain: record.fabric_domain.clone(),
            }
        });
        status.collect()
    }

    /// The node that held the planner's lease when this node last read the row.
    pub fn planner_holder(&self) -> Option<NodeId> {
        self.lease.holder().map(|(node, _)| node)
    }

    fn member_status(&self, now: Instant, member: &RosterMember) -> NodeStatus {
        let run = (member.node.clone(), member.incarnation);
        if run == self.run() {
            return NodeStatus {
                member: member.clone(),
                known_version: Some(self.log.version()),
                reachable: true,
                leaving: self.leaving.get(),
            };
        }
        let peers = self.peers.borrow();
        let peer = peers.get(&run);
        NodeStatus {
            member: member.clone(),
            known_version: peer.and_then(|peer| peer.asked_at.map(|_| peer.config)),
            reachable: peer.is_some_and(|peer| peer.is_responsive(now)),
            leaving: peer.is_some_and(|peer| peer.leaving),
        }
    }
}
