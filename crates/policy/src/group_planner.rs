//! Which groups there should be, and of which VMs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use comfreyturn_types::{
    FabricDomain, GroupAssignment, GroupId, GroupRecord, ModelBackend, ModelVersion,
    PlannerWeights, ServiceName, VmId, VmOwner, VmRecord, VmReport,
};

/// A model service, as declared.
#[derive(Clone, Debug, PartialEq)]
pub struct WantedService {
    /// The service.
    pub service: ServiceName,

    /// What it runs, how many groups are declared, and its rank.
    pub backend: ModelBackend,

    /// The model version that `backend` names.
    pub version: ModelVersion,
}

/// A VM with a model engine, as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerVm {
    /// The line of the platform's list.
    pub record: VmRecord,

    /// The row, empty if the VM is free.
    pub owner: VmOwner,

    /// The last report, whatever its age.
    pub report: Option<VmReport>,

    /// How long nothing good was heard of it; zero if the newest evidence is a fresh report.
    pub unresponsive_for: Duration,

    /// Whether it is leaving.
    pub leaving: bool,

    /// Whether an operator drained it.
    pub drained: bool,

    /// Whether it may be given to a group now: free, heard of, idle, staying, not drained.
    pub available: bool,
}

/// Everything that a planner decides on.
#[derive(Clone, Debug)]
pub struct PlannerInput {
    /// The present time.
    pub now: Instant,

    /// The model services, in order of rank and name.
    pub services: Vec<WantedService>,

    /// The rows of all groups.
    pub groups: BTreeMap<GroupId, GroupRecord>,

    /// All VMs with engines on the platform's list.
    pub vms: BTreeMap<VmId, PlannerVm>,

    /// Groups that are whole.
    pub whole: BTreeSet<GroupId>,

    /// How downtime is weighed against stranded accelerators.
    pub weights: PlannerWeights,

    /// Names for new groups, more than enough.
    pub new_names: Vec<GroupId>,
}

/// What a planner wants done. The holder of the planner's lease carries it out in transactions
/// that check every row that the action rests on.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannerAction {
    /// Makes a new group of available VMs. Invariant: generation one.
    Form {
        /// The group's place and members.
        assignment: GroupAssignment,
        /// Where its members are.
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

/// Decides on groups.
pub trait GroupPlanner {
    /// Names the next actions. Called each period; what it asked for before may not be done yet.
    fn plan(&mut self, input: &PlannerInput) -> Vec<PlannerAction>;
}
