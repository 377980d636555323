//! A planner's input, indexed for its decisions.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use comfreyturn_types::{
    FabricDomain, FailureDomain, GroupId, GroupPhase, GroupRecord, VmId, VmPhase, VmRole,
};

use crate::{
    BrokenGroup, PlannerCosts, PlannerInput, PlannerVm, WantedService,
    planner_memory::PlannerMemory,
};

/// Status of a group. A service with surplus groups keeps those with the lowest status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum GroupStatus {
    /// It serves, and all members stay.
    Whole,
    /// It is not whole, but its members were ready by their last reports and none counts as lost
    /// yet.
    Paused,
    /// No member is lost, but some are not ready yet.
    Loading,
    /// It serves, but a member is drained or leaving.
    Departing,
    /// Members are lost.
    Broken,
}

/// An active group of a declared service.
#[derive(Clone, Debug)]
pub(crate) struct GroupView<'a> {
    pub(crate) record: &'a GroupRecord,
    pub(crate) wanted: &'a WantedService,
    pub(crate) status: GroupStatus,

    /// Members to be replaced.
    pub(crate) lost: Vec<&'a VmId>,

    /// Number of members that load or are about to.
    pub(crate) loading: usize,

    /// Accelerators per member.
    accelerators: f64,

    /// The longest time for which a lost member has been absent.
    absent_for: Duration,
}

impl<'a> GroupView<'a> {
    pub(crate) fn name(&self) -> &'a GroupId {
        &self.record.assignment.group
    }

    /// Number of members that are not lost.
    pub(crate) fn alive(&self) -> usize {
        self.record.assignment.members.len() - self.lost.len()
    }

    pub(crate) fn rank(&self) -> u32 {
        self.wanted.backend.rank
    }

    /// Whether the group runs the version that its service declares.
    pub(crate) fn is_current(&self) -> bool {
        self.wanted.is_current(&self.record.assignment)
    }

    pub(crate) fn has_current_adapters(&self) -> bool {
        self.record.assignment.adapters == self.wanted.backend.adapters
    }

    pub(crate) fn serves(&self) -> bool {
        matches!(self.status, GroupStatus::Whole | GroupStatus::Departing)
    }

    pub(crate) fn is_broken(&self) -> bool {
        self.status == GroupStatus::Broken
    }

    /// Cost inputs of the group with the members that are lost now.
    pub(crate) fn broken(&self) -> BrokenGroup<'a> {
        self.broken_by(self.lost.len())
    }

    /// Cost inputs of the group as if `lost` members were lost.
    pub(crate) fn broken_by(&self, lost: usize) -> BrokenGroup<'a> {
        let members = self.record.assignment.members.len();
        BrokenGroup {
            version: &self.wanted.version,
            held: self.accelerators * members.saturating_sub(lost) as f64,
            full: self.accelerators * members as f64,
            absent_for: self.absent_for,
        }
    }
}

/// The VMs of a fabric domain.
#[derive(Clone, Debug)]
pub(crate) struct DomainPool<'a> {
    pub(crate) name: &'a FabricDomain,
    pub(crate) failure_domain: &'a FailureDomain,

    /// VMs that may be assigned to groups, in order of name.
    pub(crate) available: Vec<&'a VmId>,

    /// Number of VMs that are about to become available.
    pub(crate) upcoming: usize,

    /// Number of VMs in groups.
    pub(crate) held: usize,

    /// The best-ranked group, as an index of [`PlannerView::groups`].
    pub(crate) top_group: Option<usize>,
}

/// The indexed input of one plan.
#[derive(Debug)]
pub(crate) struct PlannerView<'a> {
    pub(crate) input: &'a PlannerInput,

    /// Active groups of declared services, in order of name.
    pub(crate) groups: Vec<GroupView<'a>>,

    /// Active groups of services that are not declared.
    pub(crate) orphans: Vec<&'a GroupId>,

    /// Fabric domains, in order of name.
    pub(crate) pools: Vec<DomainPool<'a>>,

    /// VMs that are about to become available.
    pub(crate) upcoming: Vec<&'a PlannerVm>,
}

impl<'a> PlannerView<'a> {
    pub(crate) fn new(
        input: &'a PlannerInput,
        costs: &PlannerCosts<'_>,
        memory: &PlannerMemory,
    ) -> Self {
        let mut view = Self {
            input,
            groups: Vec::new(),
            orphans: Vec::new(),
            pools: Vec::new(),
            upcoming: Vec::new(),
        };
        let departing = view.add_vms();
        view.add_groups(&departing, costs, memory);
        view.set_top_groups();
        view
    }

    /// The index of a fabric domain's pool, if any of its VMs is listed.
    pub(crate) fn pool_of(&self, domain: &FabricDomain) -> Option<usize> {
        self.pools.binary_search_by(|pool| pool.name.cmp(domain)).ok()
    }

    /// Whether a service has fewer serving groups than declared.
    pub(crate) fn is_short(&self, wanted: &WantedService) -> bool {
        self.serving(wanted) < wanted.backend.groups as usize
    }

    /// Number of groups of a service that serve, of any version.
    pub(crate) fn serving(&self, wanted: &WantedService) -> usize {
        let groups = self.groups.iter().filter(|group| std::ptr::eq(group.wanted, wanted));
        groups.filter(|group| group.serves()).count()
    }

    /// Counts the VMs that are about to become available, except those for which `is_overdue`
    /// holds.
    pub(crate) fn count_upcoming(&mut self, is_overdue: impl Fn(&VmId) -> bool) {
        for vm in std::mem::take(&mut self.upcoming) {
            if is_overdue(&vm.record.vm) {
                continue;
            }
            if let Some(pool) = self.pool_of(&vm.record.fabric_domain) {
                self.pools[pool].upcoming += 1;
                self.upcoming.push(vm);
            }
        }
    }

    /// Sorts the VMs into pools. Returns the members that are drained or leaving, by group.
    fn add_vms(&mut self) -> HashMap<&'a GroupId, Vec<&'a VmId>> {
        let records: HashMap<_, _> = self.input.groups.iter().collect();
        let mut departing: HashMap<&GroupId, Vec<&VmId>> = HashMap::new();
        let mut indexes: BTreeMap<&FabricDomain, usize> = BTreeMap::new();
        let mut index = 0;
        for (name, vm) in &self.input.vms {
            let domain = &vm.record.fabric_domain;
            if self.pools.get(index).is_none_or(|pool| pool.name != domain) {
                index = *indexes.entry(domain).or_insert_with(|| {
                    self.pools.push(DomainPool::new(&vm.record));
                    self.pools.len() - 1
                });
            }
            let pool = &mut self.pools[index];
            let holder = vm.owner.holder.as_ref();
            let group = holder.and_then(|(group, generation)| {
                let record = records.get(group)?;
                let placed = record.phase == GroupPhase::Active
                    && record.assignment.generation == *generation;
                placed.then_some(group)
            });
            let stays = !vm.leaving && !vm.drained;
            match group {
                Some(group) if !stays => departing.entry(group).or_default().push(name),
                Some(_) => {}
                None if vm.available => pool.available.push(name),
                None if stays && vm.unresponsive_for < RECENTLY_SEEN => self.upcoming.push(vm),
                None => {}
            }
            pool.held += usize::from(group.is_some());
        }
        self.pools.sort_unstable_by_key(|pool| pool.name);
        departing
    }

    fn add_groups(
        &mut self,
        departing: &HashMap<&'a GroupId, Vec<&'a VmId>>,
        costs: &PlannerCosts<'_>,
        memory: &PlannerMemory,
    ) {
        let input = self.input;
        let services: HashMap<_, _> =
            input.services.iter().map(|wanted| (&wanted.service, wanted)).collect();
        let mut whole = input.whole.iter().peekable();
        for (name, record) in &input.groups {
            while whole.next_if(|other| *other < name).is_some() {}
            if record.phase != GroupPhase::Active {
                continue;
            }
            let Some(wanted) = services.get(&record.assignment.service) else {
                self.orphans.push(name);
                continue;
            };
            let is_whole = whole.peek().is_some_and(|other| *other == name);
            let group = if is_whole {
                let departing = departing.get(name).cloned().unwrap_or_default();
                serving_group(input, record, wanted, departing)
            } else {
                incomplete_group(input, record, wanted, costs, memory)
            };
            self.groups.push(group);
        }
    }

    fn set_top_groups(&mut self) {
        for index in 0..self.groups.len() {
            let group = &self.groups[index];
            let Some(pool) = self.pool_of(&group.record.fabric_domain) else { continue };
            let top_group = self.pools[pool].top_group;
            if top_group.is_none_or(|top_group| group.rank() < self.groups[top_group].rank()) {
                self.pools[pool].top_group = Some(index);
            }
        }
    }
}

impl<'a> DomainPool<'a> {
    fn new(record: &'a comfreyturn_types::VmRecord) -> Self {
        Self {
            name: &record.fabric_domain,
            failure_domain: &record.failure_domain,
            available: Vec::new(),
            upcoming: 0,
            held: 0,
            top_group: None,
        }
    }

    /// Takes `count` available VMs, or none.
    pub(crate) fn take(&mut self, count: usize) -> Option<Vec<VmId>> {
        if self.available.len() < count {
            return None;
        }
        Some(self.available.drain(..count).cloned().collect())
    }

    /// Reserves VMs for a group that waits for more to become available.
    pub(crate) fn reserve(&mut self, count: usize) {
        let now = count.min(self.available.len());
        self.available.drain(..now);
        self.upcoming = self.upcoming.saturating_sub(count - now);
    }

    /// Number of VMs that are available or about to become so.
    pub(crate) fn expected(&self) -> usize {
        self.available.len() + self.upcoming
    }
}

/// A VM that has been unresponsive for longer is not about to become available.
const RECENTLY_SEEN: Duration = Duration::from_secs(4);

fn serving_group<'a>(
    input: &PlannerInput,
    record: &'a GroupRecord,
    wanted: &'a WantedService,
    departing: Vec<&'a VmId>,
) -> GroupView<'a> {
    let whole = departing.is_empty();
    GroupView {
        record,
        wanted,
        status: if whole { GroupStatus::Whole } else { GroupStatus::Departing },
        lost: departing,
        loading: 0,
        accelerators: accelerators_of(input, record),
        absent_for: Duration::ZERO,
    }
}

fn incomplete_group<'a>(
    input: &'a PlannerInput,
    record: &'a GroupRecord,
    wanted: &'a WantedService,
    costs: &PlannerCosts<'_>,
    memory: &PlannerMemory,
) -> GroupView<'a> {
    let now = input.now;
    let limit = costs.loss_timeout(&wanted.version);
    let members = record.assignment.members.iter().map(|name| (name, input.vms.get(name)));
    let members: Vec<_> = members.collect();
    let is_lost = |vm: &Option<&PlannerVm>| {
        vm.is_none_or(|vm| {
            vm.leaving || vm.drained || memory.observed(now, vm.unresponsive_for) > limit
        })
    };
    let lost: Vec<&VmId> =
        members.iter().filter(|(_, vm)| is_lost(vm)).map(|(name, _)| *name).collect();
    let alive = members.iter().filter(|(_, vm)| !is_lost(vm)).filter_map(|(_, vm)| *vm);
    let ready = alive.clone().filter(|vm| is_ready(vm, record)).count();
    let loading = alive.filter(|vm| is_loading(vm)).count();
    let status = match (lost.is_empty(), ready == members.len()) {
        (false, _) => GroupStatus::Broken,
        (true, true) => GroupStatus::Paused,
        (true, false) => GroupStatus::Loading,
    };
    let absent_for = lost.iter().map(|vm| absence_of(input, memory, vm, record, now)).max();
    GroupView {
        record,
        wanted,
        status,
        lost,
        loading,
        accelerators: accelerators_of(input, record),
        absent_for: absent_for.unwrap_or_default(),
    }
}

/// How long a lost member has been absent. A drained member counts as absent for good.
fn absence_of(
    input: &PlannerInput,
    memory: &PlannerMemory,
    vm: &VmId,
    record: &GroupRecord,
    now: Instant,
) -> Duration {
    let broken_for = memory.broken.age(now, &record.assignment.group);
    match input.vms.get(vm) {
        Some(vm) if vm.drained => Duration::MAX,
        Some(vm) => memory.observed(now, vm.unresponsive_for).max(broken_for),
        None => broken_for,
    }
}

/// Whether the last report of a VM, of any age, says that it is ready in this group.
fn is_ready(vm: &PlannerVm, record: &GroupRecord) -> bool {
    vm.report.as_ref().is_some_and(|report| {
        report.phase == VmPhase::Ready && report.assignment.as_ref() == Some(&record.assignment)
    })
}

/// Whether a member of a group is loading or about to.
fn is_loading(vm: &PlannerVm) -> bool {
    vm.report.as_ref().is_none_or(|report| report.phase != VmPhase::Ready)
}

fn accelerators_of(input: &PlannerInput, record: &GroupRecord) -> f64 {
    let known = record.assignment.members.iter().find_map(|vm| input.vms.get(vm));
    match known.map(|vm| &vm.record.role) {
        Some(VmRole::Engine { accelerators }) => f64::from(*accelerators),
        _ => 1.0,
    }
}
