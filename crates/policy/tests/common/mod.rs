//! Builds groups for tests.

use std::time::Instant;

use comfreyturn_policy::WholeGroup;
use comfreyturn_types::{
    FabricDomain, FailureDomain, GroupAssignment, GroupGeneration, GroupId, ModelName,
    ModelVersionName, ServiceName, VmId, VmLoad, VmRecord, VmRole,
};

pub fn group(name: &str, load: VmLoad, load_at: Instant) -> WholeGroup {
    let head = VmRecord {
        vm: VmId::from(format!("vm-{name}")),
        role: VmRole::Engine { accelerators: 8 },
        address: "127.0.0.1:1".parse().expect("an address"),
        failure_domain: FailureDomain::from("fd-1"),
        fabric_domain: FabricDomain::from("fabric-1"),
        leaving: false,
    };
    let assignment = GroupAssignment {
        group: GroupId::from(name),
        generation: GroupGeneration(1),
        service: ServiceName::from("assistant"),
        model: ModelName::from("m"),
        version: ModelVersionName::from("1"),
        adapters: Vec::new(),
        members: vec![head.vm.clone()],
    };
    WholeGroup { assignment, head, load, load_at }
}

pub fn groups(count: usize, load_at: Instant) -> Vec<WholeGroup> {
    let load = VmLoad { capacity: 16, ..Default::default() };
    (0..count).map(|index| group(&format!("g{index}"), load, load_at)).collect()
}
