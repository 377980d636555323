//! Replies to operators' list, watch and status calls.

use std::{rc::Rc, time::Instant};

use comfreyturn_control::NodeControl;
use comfreyturn_policy::ConfigState;
use comfreyturn_proto::operator::{
    GroupStatus, ListReply, NodeRollout, NodeStatus, Rollout, StatusReply, VmStatus,
};
use comfreyturn_types::ConfigVersion;

/// The declared configuration.
pub fn list_reply(config: &ConfigState) -> ListReply {
    ListReply {
        version: config.version.0,
        services: config.services.values().map(Into::into).collect(),
        model_versions: config.model_versions.values().map(Into::into).collect(),
        adapters: config.adapters.values().map(Into::into).collect(),
        customers: config.customers.values().map(Into::into).collect(),
        planner_weights: Some((&config.planner_weights).into()),
        drained_vms: config.drained_vms.iter().map(ToString::to_string).collect(),
        drained_nodes: config.drained_nodes.iter().map(ToString::to_string).collect(),
    }
}

/// The version that each node knows, and whether `version` is in force on all of them.
pub fn rollout(control: &Rc<NodeControl>, now: Instant, version: ConfigVersion) -> Rollout {
    let known = control.known_versions(now);
    let in_force = |known: &Option<ConfigVersion>| known.is_some_and(|known| known >= version);
    Rollout {
        version: version.0,
        in_force_everywhere: known.iter().all(|(_, known)| in_force(known)),
        nodes: known
            .iter()
            .map(|(node, known)| NodeRollout {
                node: node.to_string(),
                known_version: known.unwrap_or_default().0,
                reachable: known.is_some(),
            })
            .collect(),
    }
}

/// Groups, nodes and VMs, as this node sees them.
pub fn status_reply(control: &Rc<NodeControl>, now: Instant) -> StatusReply {
    StatusReply {
        version: control.config().version.0,
        node: control.member().node.to_string(),
        nodes: node_statuses(control, now),
        groups: group_statuses(control, now),
        vms: vm_statuses(control, now),
        planner_holder: control.planner_holder().map(|node| node.to_string()).unwrap_or_default(),
    }
}

fn node_statuses(control: &Rc<NodeControl>, now: Instant) -> Vec<NodeStatus> {
    let config = control.config();
    let status = |status: comfreyturn_control::NodeStatus| NodeStatus {
        leaving: status.leaving || config.drained_nodes.contains(&status.member.node),
        node: status.member.node.to_string(),
        failure_domain: status.member.failure_domain.to_string(),
        caller_address: status.member.caller_address.to_string(),
        operator_address: status.member.operator_address.to_string(),
        known_version: status.known_version.unwrap_or_default().0,
        reachable: status.reachable,
    };
    control.node_status(now).into_iter().map(status).collect()
}

fn group_statuses(control: &Rc<NodeControl>, now: Instant) -> Vec<GroupStatus> {
    let status = |status: comfreyturn_control::GroupStatus| GroupStatus {
        group: status.assignment.group.to_string(),
        service: status.assignment.service.to_string(),
        generation: status.assignment.generation.0,
        members: status.assignment.members.iter().map(ToString::to_string).collect(),
        serving: status.defect.is_none(),
        reason: status.defect.map(|defect| defect.to_string()).unwrap_or_default(),
    };
    control.group_status(now).into_iter().map(status).collect()
}

fn vm_statuses(control: &Rc<NodeControl>, now: Instant) -> Vec<VmStatus> {
    let status = |status: comfreyturn_control::VmStatus| VmStatus {
        vm: status.vm.to_string(),
        role: status.role.to_string(),
        phase: status.phase.map(|phase| phase.to_string()).unwrap_or_default(),
        group: status.group.map(|group| group.to_string()).unwrap_or_default(),
        leaving: status.leaving,
        fresh: status.fresh,
        failure_domain: status.failure_domain.to_string(),
        fabric_domain: status.fabric_domain.to_string(),
    };
    control.vm_status(now).into_iter().map(status).collect()
}
