//! Nodes, groups and VMs as one node sees them.

use comfreyturn_proto::operator::{GroupStatus, NodeStatus, StatusReply, VmStatus};
use serde::Serialize;

use crate::TextTable;

/// Nodes, groups and VMs as one node sees them, as JSON.
#[derive(Serialize)]
pub(crate) struct StatusView {
    version: u64,
    node: String,
    planner_holder: String,
    nodes: Vec<NodeView>,
    groups: Vec<GroupView>,
    vms: Vec<VmView>,
}

#[derive(Serialize)]
struct NodeView {
    node: String,
    failure_domain: String,
    caller_address: String,
    operator_address: String,
    known_version: u64,
    reachable: bool,
    leaving: bool,
}

#[derive(Serialize)]
struct GroupView {
    group: String,
    service: String,
    generation: u64,
    members: Vec<String>,
    serving: bool,
    reason: String,
}

#[derive(Serialize)]
struct VmView {
    vm: String,
    role: String,
    phase: String,
    group: String,
    leaving: bool,
    fresh: bool,
    failure_domain: String,
    fabric_domain: String,
}

impl From<StatusReply> for StatusView {
    fn from(reply: StatusReply) -> Self {
        Self {
            version: reply.version,
            node: reply.node,
            planner_holder: reply.planner_holder,
            nodes: reply.nodes.into_iter().map(NodeView::from).collect(),
            groups: reply.groups.into_iter().map(GroupView::from).collect(),
            vms: reply.vms.into_iter().map(VmView::from).collect(),
        }
    }
}

impl From<NodeStatus> for NodeView {
    fn from(node: NodeStatus) -> Self {
        Self {
            node: node.node,
            failure_domain: node.failure_domain,
            caller_address: node.caller_address,
            operator_address: node.operator_address,
            known_version: node.known_version,
            reachable: node.reachable,
            leaving: node.leaving,
        }
    }
}

impl From<GroupStatus> for GroupView {
    fn from(group: GroupStatus) -> Self {
        Self {
            group: group.group,
            service: group.service,
            generation: group.generation,
            members: group.members,
            serving: group.serving,
            reason: group.reason,
        }
    }
}

impl From<VmStatus> for VmView {
    fn from(vm: VmStatus) -> Self {
        Self {
            vm: vm.vm,
            role: vm.role,
            phase: vm.phase,
            group: vm.group,
            leaving: vm.leaving,
            fresh: vm.fresh,
            failure_domain: vm.failure_domain,
            fabric_domain: vm.fabric_domain,
        }
    }
}

impl StatusView {
    /// Number of groups of a service that serve.
    pub(crate) fn serving_groups(&self, service: &str) -> usize {
        self.groups.iter().filter(|group| group.serving && group.service == service).count()
    }

    /// Number of plain backend servers that are ready.
    pub(crate) fn ready_plain_servers(&self) -> usize {
        let ready = |vm: &&VmView| vm.role == "plain" && vm.fresh && vm.phase == "ready";
        self.vms.iter().filter(ready).count()
    }

    /// Number of nodes that are reachable and know the newest version.
    pub(crate) fn ready_nodes(&self) -> usize {
        let ready = |node: &&NodeView| node.reachable && node.known_version >= self.version;
        self.nodes.iter().filter(ready).count()
    }

    /// The view as text tables.
    pub(crate) fn text(&self) -> String {
        let planner = match self.planner_holder.as_str() {
            "" => "none",
            holder => holder,
        };
        let head = format!("seen by {}, version {}, planner {planner}", self.node, self.version);
        let (nodes, groups, vms) = (self.node_table(), self.group_table(), self.vm_table());
        format!("{head}\n\n{nodes}\n{groups}\n{vms}")
    }

    fn node_table(&self) -> TextTable {
        let mut table =
            TextTable::new(["NODE", "STATE", "VERSION", "FAILURE DOMAIN", "CALLERS", "OPERATORS"]);
        for node in &self.nodes {
            let state = match (node.reachable, node.leaving) {
                (false, _) => "not reached",
                (true, true) => "leaving",
                (true, false) => "in use",
            };
            table.push([
                node.node.clone(),
                state.to_owned(),
                node.known_version.to_string(),
                node.failure_domain.clone(),
                node.caller_address.clone(),
                node.operator_address.clone(),
            ]);
        }
        table
    }

    fn group_table(&self) -> TextTable {
        let mut table = TextTable::new(["GROUP", "SERVICE", "GENERATION", "STATE", "MEMBERS"]);
        for group in &self.groups {
            let state = match group.serving {
                true => "serving",
                false => group.reason.as_str(),
            };
            table.push([
                group.group.clone(),
                group.service.clone(),
                group.generation.to_string(),
                state.to_owned(),
                group.members.join(","),
            ]);
        }
        table
    }

    fn vm_table(&self) -> TextTable {
        let mut table = TextTable::new([
            "VM",
            "ROLE",
            "PHASE",
            "STATE",
            "GROUP",
            "FAILURE DOMAIN",
            "FABRIC DOMAIN",
        ]);
        for vm in &self.vms {
            let state = match (vm.fresh, vm.leaving) {
                (false, _) => "not heard",
                (true, true) => "leaving",
                (true, false) => "in use",
            };
            table.push([
                vm.vm.clone(),
                vm.role.clone(),
                vm.phase.clone(),
                state.to_owned(),
                vm.group.clone(),
                vm.failure_domain.clone(),
                vm.fabric_domain.clone(),
            ]);
        }
        table
    }
}
