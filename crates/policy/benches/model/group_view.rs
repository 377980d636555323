//! The nodes' view of the groups.

use std::time::Instant;

use comfreyturn_policy::WholeGroup;
use comfreyturn_types::{
    FabricDomain, FailureDomain, GroupAssignment, GroupGeneration, GroupId, ModelName,
    ModelVersionName, ServiceName, VmId, VmLoad, VmRecord, VmRole,
};

use super::model_settings::ModelSettings;

/// A group without load.
pub fn new_group(group: usize, settings: &ModelSettings, load_at: Instant) -> WholeGroup {
    let head = VmRecord {
        vm: VmId::from(format!("vm-{group}")),
        role: VmRole::Engine { accelerators: 4 },
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: FailureDomain::from("fd-1"),
        fabric_domain: FabricDomain::from("fabric-1"),
        leaving: false,
    };
    let assignment = GroupAssignment {
        group: group_id(group),
        generation: GroupGeneration(1),
        service: service(),
        model: ModelName::from("m"),
        version: ModelVersionName::from("1"),
        adapters: Vec::new(),
        members: vec![head.vm.clone()],
    };
    let load = VmLoad { capacity: settings.engine.slots, ..Default::default() };
    WholeGroup { assignment, head, load, load_at }
}

/// The only service of a run.
pub fn service() -> ServiceName {
    ServiceName::from("assistant")
}

/// The id of the group at a position.
pub fn group_id(group: usize) -> GroupId {
    GroupId::from(format!("g{group}"))
}

/// The position of the group with an id.
pub fn group_index(id: &GroupId) -> usize {
    id.as_str().trim_start_matches('g').parse().expect("made by group_id")
}
