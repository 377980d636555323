//! The VMs and declared services of a fleet.

use std::time::Duration;

use comfreyturn_policy::{PlannerVm, WantedService};
use comfreyturn_types::{
    FabricDomain, FailureDomain, ModelBackend, ModelName, ModelVersion, ModelVersionName,
    ServiceName, VmId, VmOwner, VmRecord, VmRole,
};

/// The shape of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Name shown in tables.
    pub name: &'static str,

    /// Number of VMs.
    pub vms: usize,

    /// Failure domains, all of about the same size.
    pub failure_domains: usize,

    /// VMs per fabric domain; the last one of a failure domain may have fewer.
    pub fabric_size: usize,

    /// VMs per group.
    pub group_size: u32,

    /// Groups declared for each service, in order of rank.
    pub declared: Vec<u32>,

    /// Bytes per second that the weight store serves.
    pub store_bytes_per_second: u64,

    /// Virtual time between two plans; also the quiet period of a released VM.
    pub tick: Duration,

    /// When the first failure domain is lost for an hour, if it is.
    pub domain_loss_at: Option<Duration>,

    /// Time replayed.
    pub length: Duration,
}

/// VMs per rack.
const RACK_SIZE: usize = 16;

/// Accelerators per VM.
pub const VM_ACCELERATORS: u32 = 4;

/// Bytes of weights that one VM loads.
const WEIGHT_BYTES: u64 = 100_000_000_000;

impl FleetPlan {
    /// The failure domain of a VM.
    pub fn failure_domain_of(&self, vm: usize) -> usize {
        vm * self.failure_domains / self.vms
    }

    /// The fabric domain of a VM, unique over the fleet.
    pub fn fabric_domain_of(&self, vm: usize) -> usize {
        self.place(vm, self.fabric_size)
    }

    /// The rack of a VM, unique over the fleet.
    pub fn rack_of(&self, vm: usize) -> usize {
        self.place(vm, RACK_SIZE)
    }

    /// The VMs of each scope.
    pub fn members(&self, scope_of: impl Fn(&Self, usize) -> usize) -> Vec<Vec<usize>> {
        let mut scopes = std::collections::BTreeMap::<usize, Vec<usize>>::new();
        (0..self.vms).for_each(|vm| scopes.entry(scope_of(self, vm)).or_default().push(vm));
        scopes.into_values().collect()
    }

    /// A VM as a planner sees it before its first use.
    pub fn vm(&self, vm: usize) -> PlannerVm {
        let record = VmRecord {
            vm: VmId::from(format!("vm-{vm:05}")),
            role: VmRole::Engine { accelerators: VM_ACCELERATORS },
            address: "127.0.0.1:1".parse().expect("an address"),
            failure_domain: FailureDomain::from(format!("fd-{:02}", self.failure_domain_of(vm))),
            fabric_domain: FabricDomain::from(format!("fabric-{:06}", self.fabric_domain_of(vm))),
            leaving: false,
        };
        PlannerVm {
            record,
            owner: VmOwner::default(),
            report: None,
            unresponsive_for: Duration::ZERO,
            leaving: false,
            drained: false,
            available: true,
        }
    }

    /// The declared services, in order of rank.
    pub fn services(&self) -> Vec<WantedService> {
        let declared = self.declared.iter().zip(0..);
        declared.map(|(groups, rank)| self.service(*groups, rank)).collect()
    }

    fn service(&self, groups: u32, rank: u32) -> WantedService {
        let model = ModelName::from(format!("model-{rank}"));
        let version = ModelVersionName::from("1");
        let backend = ModelBackend {
            model: model.clone(),
            version: version.clone(),
            adapters: Vec::new(),
            groups,
            rank,
        };
        let version = ModelVersion {
            model,
            version,
            vms_per_group: self.group_size,
            weight_bytes: WEIGHT_BYTES,
        };
        WantedService { service: ServiceName::from(format!("service-{rank}")), backend, version }
    }

    fn place(&self, vm: usize, size: usize) -> usize {
        let domain = self.failure_domain_of(vm);
        let first = (domain * self.vms).div_ceil(self.failure_domains);
        domain * 1_000 + (vm - first) / size
    }
}
