//! Small simulated fleets for tests of planners.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use comfreyturn_policy::{PlannerAction, PlannerInput, PlannerVm, WantedService};
use comfreyturn_types::{
    FabricDomain, FailureDomain, GroupAssignment, GroupGeneration, GroupId, GroupPhase,
    GroupRecord, Incarnation, ModelBackend, ModelName, ModelVersion, ModelVersionName,
    PlannerWeights, ServiceName, VmId, VmLoad, VmOwner, VmPhase, VmRecord, VmReport, VmRole,
};

/// A planner's input, to which the planner's actions can be applied.
#[derive(Clone)]
pub struct PlannerScene {
    pub input: PlannerInput,
    group_size: u32,
    lost: BTreeSet<VmId>,
    next_name: u32,
}

impl PlannerScene {
    /// Creates a fleet of fabric domains, each in its own failure domain.
    pub fn new(domains: &[(&str, usize)], group_size: u32) -> Self {
        let vms = domains.iter().flat_map(|(name, count)| (0..*count).map(|n| vm(name, n)));
        let mut scene = Self {
            input: PlannerInput {
                now: Instant::now(),
                services: Vec::new(),
                groups: BTreeMap::new(),
                vms: vms.map(|vm| (vm.record.vm.clone(), vm)).collect(),
                whole: BTreeSet::new(),
                weights: PlannerWeights { group_downtime: 1.0, stranded_accelerator: 0.01 },
                new_names: Vec::new(),
            },
            group_size,
            lost: BTreeSet::new(),
            next_name: 0,
        };
        scene.add_names();
        scene
    }

    pub fn declare(&mut self, service: &str, rank: u32, groups: u32) {
        let model = ModelName::from("m");
        let version = ModelVersionName::from("1");
        self.input.services.push(WantedService {
            service: ServiceName::from(service),
            backend: ModelBackend {
                model: model.clone(),
                version: version.clone(),
                adapters: Vec::new(),
                groups,
                rank,
            },
            version: ModelVersion {
                model,
                version,
                vms_per_group: self.group_size,
                weight_bytes: 100_000_000_000,
            },
        });
    }

    /// Adds a whole group.
    pub fn add_group(&mut self, name: &str, service: &str, members: &[&str]) {
        let assignment = GroupAssignment {
            group: GroupId::from(name),
            generation: GroupGeneration(1),
            service: ServiceName::from(service),
            model: ModelName::from("m"),
            version: ModelVersionName::from("1"),
            adapters: Vec::new(),
            members: members.iter().map(|vm| VmId::from(*vm)).collect(),
        };
        let fabric_domain = self.input.vms[&assignment.members[0]].record.fabric_domain.clone();
        self.put(GroupRecord { assignment, fabric_domain, phase: GroupPhase::Active });
        self.settle();
    }

    pub fn pass(&mut self, time: Duration) {
        self.input.now += time;
        for vm in &self.lost {
            self.input.vms.get_mut(vm).unwrap().unresponsive_for += time;
        }
    }

    /// Makes a VM unresponsive.
    pub fn lose(&mut self, vm: &str) {
        self.lost.insert(VmId::from(vm));
        self.input.vms.get_mut(&VmId::from(vm)).unwrap().available = false;
        self.update_whole();
    }

    /// Makes an unresponsive VM respond again, with its state unchanged.
    pub fn resume(&mut self, vm: &str) {
        self.lost.remove(&VmId::from(vm));
        let vm = self.input.vms.get_mut(&VmId::from(vm)).unwrap();
        vm.unresponsive_for = Duration::ZERO;
        vm.available = vm.owner == VmOwner::default();
        self.update_whole();
    }

    pub fn drain(&mut self, vm: &str) {
        let vm = self.input.vms.get_mut(&VmId::from(vm)).unwrap();
        vm.drained = true;
        vm.available = false;
    }

    /// Applies actions, after a check that each is allowed.
    pub fn carry_out(&mut self, actions: &[PlannerAction]) {
        self.check(actions);
        for action in actions.iter().cloned() {
            match action {
                PlannerAction::Form { assignment, fabric_domain } => {
                    let phase = GroupPhase::Active;
                    self.put(GroupRecord { assignment, fabric_domain, phase });
                }
                PlannerAction::Reassign { assignment } => {
                    let record = self.input.groups[&assignment.group].clone();
                    self.put(GroupRecord { assignment, ..record });
                }
                PlannerAction::Retire { group } => {
                    self.input.groups.get_mut(&group).unwrap().phase = GroupPhase::Retiring;
                }
            }
        }
        self.add_names();
        self.update_whole();
    }

    /// Makes responsive members ready.
    pub fn settle(&mut self) {
        for (name, vm) in &mut self.input.vms {
            let place = place_of(&self.input.groups, name, &vm.owner).cloned();
            if !self.lost.contains(name) && place.is_some() {
                vm.report = Some(report(name, VmPhase::Ready, place));
            }
        }
        self.update_whole();
    }

    /// Makes responsive VMs that are in no active group available.
    pub fn free_released(&mut self) {
        for (name, vm) in &mut self.input.vms {
            if !self.lost.contains(name) && place_of(&self.input.groups, name, &vm.owner).is_none()
            {
                vm.owner = VmOwner::default();
                vm.report = Some(report(name, VmPhase::Idle, None));
                vm.available = !vm.drained && !vm.leaving;
            }
        }
        let held: BTreeSet<GroupId> = self
            .input
            .vms
            .values()
            .filter_map(|vm| vm.owner.holder.as_ref().map(|(group, _)| group.clone()))
            .collect();
        self.input
            .groups
            .retain(|name, record| record.phase == GroupPhase::Active || held.contains(name));
        self.update_whole();
    }

    /// Panics if a plan violates an invariant of groups.
    pub fn check(&self, actions: &[PlannerAction]) {
        let mut groups = BTreeSet::new();
        let mut taken = BTreeSet::new();
        for action in actions {
            let (group, newcomers, domain) = match action {
                PlannerAction::Form { assignment, fabric_domain } => {
                    assert_eq!(assignment.generation, GroupGeneration(1));
                    assert!(!self.input.groups.contains_key(&assignment.group));
                    (&assignment.group, assignment.members.clone(), Some(fabric_domain))
                }
                PlannerAction::Reassign { assignment } => {
                    let record = &self.input.groups[&assignment.group];
                    assert_eq!(record.phase, GroupPhase::Active);
                    assert_eq!(assignment.generation, record.assignment.generation.next());
                    assert_eq!(assignment.members.len(), record.assignment.members.len());
                    let old = &record.assignment.members;
                    let members = assignment.members.iter();
                    let newcomers = members.filter(|vm| !old.contains(vm)).cloned().collect();
                    (&assignment.group, newcomers, Some(&record.fabric_domain))
                }
                PlannerAction::Retire { group } => {
                    assert_eq!(self.input.groups[group].phase, GroupPhase::Active);
                    (group, Vec::new(), None)
                }
            };
            assert!(groups.insert(group.clone()), "two actions on {group}");
            for vm in newcomers {
                assert!(self.input.vms[&vm].available, "{vm} is not available");
                assert_eq!(Some(&self.input.vms[&vm].record.fabric_domain), domain);
                assert!(taken.insert(vm.clone()), "{vm} is taken twice");
            }
        }
    }

    fn put(&mut self, record: GroupRecord) {
        let assignment = &record.assignment;
        for name in &assignment.members {
            let vm = self.input.vms.get_mut(name).unwrap();
            vm.owner = VmOwner { holder: Some((assignment.group.clone(), assignment.generation)) };
            vm.available = false;
        }
        self.input.groups.insert(assignment.group.clone(), record);
    }

    fn update_whole(&mut self) {
        let groups = self.input.groups.values();
        let active = groups.filter(|record| record.phase == GroupPhase::Active);
        let whole = active.filter(|record| {
            record.assignment.members.iter().all(|vm| {
                let report = self.input.vms[vm].report.as_ref();
                !self.lost.contains(vm)
                    && report.is_some_and(|report| {
                        report.phase == VmPhase::Ready
                            && report.assignment.as_ref() == Some(&record.assignment)
                    })
            })
        });
        self.input.whole = whole.map(|record| record.assignment.group.clone()).collect();
    }

    fn add_names(&mut self) {
        self.input.new_names.clear();
        for _ in 0..64 {
            self.next_name += 1;
            self.input.new_names.push(GroupId::from(format!("n{:05}", self.next_name)));
        }
    }
}

/// The fabric domains of a plan's new groups.
pub fn formed_in(actions: &[PlannerAction]) -> Vec<String> {
    let formed = actions.iter().filter_map(|action| match action {
        PlannerAction::Form { fabric_domain, .. } => Some(fabric_domain.to_string()),
        _ => None,
    });
    formed.collect()
}

/// The groups that a plan retires.
pub fn retired(actions: &[PlannerAction]) -> Vec<String> {
    let retired = actions.iter().filter_map(|action| match action {
        PlannerAction::Retire { group } => Some(group.to_string()),
        _ => None,
    });
    retired.collect()
}

/// The groups that a plan reassigns, with generation and members.
pub fn reassigned(actions: &[PlannerAction]) -> Vec<(String, u64, Vec<String>)> {
    let assignments = actions.iter().filter_map(|action| match action {
        PlannerAction::Reassign { assignment } => Some(assignment),
        _ => None,
    });
    assignments
        .map(|assignment| {
            let members = assignment.members.iter().map(ToString::to_string).collect();
            (assignment.group.to_string(), assignment.generation.0, members)
        })
        .collect()
}

fn vm(domain: &str, number: usize) -> PlannerVm {
    let name = VmId::from(format!("{domain}-{number}"));
    PlannerVm {
        record: VmRecord {
            vm: name.clone(),
            role: VmRole::Engine { accelerators: 4 },
            address: "127.0.0.1:1".parse().expect("an address"),
            failure_domain: FailureDomain::from(format!("of-{domain}")),
            fabric_domain: FabricDomain::from(domain),
            leaving: false,
        },
        owner: VmOwner::default(),
        report: Some(report(&name, VmPhase::Idle, None)),
        unresponsive_for: Duration::ZERO,
        leaving: false,
        drained: false,
        available: true,
    }
}

fn report(vm: &VmId, phase: VmPhase, assignment: Option<GroupAssignment>) -> VmReport {
    VmReport {
        vm: vm.clone(),
        incarnation: Incarnation(1),
        phase,
        leaving: false,
        assignment,
        fencing: None,
        load: VmLoad::default(),
    }
}

fn place_of<'a>(
    groups: &'a BTreeMap<GroupId, GroupRecord>,
    vm: &VmId,
    owner: &VmOwner,
) -> Option<&'a GroupAssignment> {
    let (group, generation) = owner.holder.as_ref()?;
    let record = groups.get(group)?;
    let held = record.phase == GroupPhase::Active
        && record.assignment.generation == *generation
        && record.assignment.members.contains(vm);
    held.then_some(&record.assignment)
}
