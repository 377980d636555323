//! Interface of planners, which decide which groups exist and which VMs belong to them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use comfreyturn_types::{
    FabricDomain, GroupAssignment, GroupGeneration, GroupId, GroupRecord, ModelBackend,
    ModelVersion, PlannerWeights, ServiceName, VmId, VmOwner, VmRecord, VmReport,
};

/// A model service, as declared in the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct WantedService {
    /// The service.
    pub service: ServiceName,

    /// What it runs, how many groups are declared, and its rank.
    pub backend: ModelBackend,

    /// The model version that `backend` names.
    pub version: ModelVersion,
}

impl WantedService {
    /// Whether a group has the model, version and size that the service declares.
    pub(crate) fn is_current(&self, assignment: &GroupAssignment) -> bool {
        assignment.model == self.backend.model
            && assignment.version == self.backend.version
            && assignment.members.len() == self.version.vms_per_group as usize
    }

    /// The first assignment of a new group.
    pub(crate) fn first_assignment(&self, group: GroupId, members: Vec<VmId>) -> GroupAssignment {
        GroupAssignment {
            group,
            generation: GroupGeneration(1),
            service: self.service.clone(),
            model: self.backend.model.clone(),
            version: self.backend.version.clone(),
            adapters: self.backend.adapters.clone(),
            members,
        }
    }

    /// The assignment that follows another one of the same group, with the declared adapters.
    pub(crate) fn next_assignment(
        &self,
        assignment: &GroupAssignment,
        members: Vec<VmId>,
    ) -> GroupAssignment {
        GroupAssignment {
            generation: assignment.generation.next(),
            adapters: self.backend.adapters.clone(),
            members,
            ..assignment.clone()
        }
    }
}

/// The members of a group after its lost ones were replaced by spares, in the same places.
/// A lost member without a spare stays.
pub(crate) fn replace_lost(members: &[VmId], lost: &[&VmId], spares: Vec<VmId>) -> Vec<VmId> {
    let mut spares = spares.into_iter();
    members
        .iter()
        .map(|vm| if lost.contains(&vm) { spares.next() } else { None }.unwrap_or(vm.clone()))
        .collect()
}

/// A VM with a model engine, as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerVm {
    /// Its record on the platform's list.
    pub record: VmRecord,

    /// Its ownership row, empty if the VM is free.
    pub owner: VmOwner,

    /// Its last report, of any age.
    pub report: Option<VmReport>,

    /// How long the VM has been unresponsive; zero if the newest evidence is a fresh report.
    pub unresponsive_for: Duration,

    /// Whether it is leaving.
    pub leaving: bool,

    /// Whether an operator drained it.
    pub drained: bool,

    /// Whether it may be assigned to a group now: it is free, responsive and idle, and neither
    /// leaving nor drained.
    pub available: bool,
}

/// Input of a plan.
#[derive(Clone, Debug)]
pub struct PlannerInput {
    /// The current time.
    pub now: Instant,

    /// The model services, in order of rank and name.
    pub services: Vec<WantedService>,

    /// The rows of all groups.
    pub groups: BTreeMap<GroupId, GroupRecord>,

    /// All VMs with engines on the platform's list.
    pub vms: BTreeMap<VmId, PlannerVm>,

    /// Groups that are whole.
    pub whole: BTreeSet<GroupId>,

    /// Weights of group downtime and stranded accelerators.
    pub weights: PlannerWeights,

    /// Unused names for new groups; more than any single plan uses.
    pub new_names: Vec<GroupId>,
}

/// A change that a planner requests. The holder of the planner's lease carries it out in
/// transactions that check every row that the action depends on.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannerAction {
    /// Forms a new group of available VMs. Invariant: the generation is one.
    Form {
        /// The group's assignment.
        assignment: GroupAssignment,
        /// The fabric domain of its members.
        fabric_domain: FabricDomain,
    },

    /// Gives a group other members, or other adapters. Invariant: the generation is one more than
    /// the group's, and new members are available.
    Reassign {
        /// The group's new assignment.
        assignment: GroupAssignment,
    },

    /// Dissolves a group: its VMs are released and become free after the quiet period.
    Retire {
        /// The group.
        group: GroupId,
    },
}

/// Plans groups.
pub trait GroupPlanner {
    /// Returns the next actions. Called once per period; earlier actions may still be in progress.
    fn plan(&mut self, input: &PlannerInput) -> Vec<PlannerAction>;
}
