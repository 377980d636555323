//! A simulated fleet whose VMs follow the rows, planned by a planner.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use comfreyturn_policy::{GroupPlanner, PlannerAction, PlannerInput, WantedService};
use comfreyturn_types::{
    GroupAssignment, GroupId, GroupPhase, GroupRecord, Incarnation, PlannerWeights, VmId, VmLoad,
    VmOwner, VmPhase, VmReport,
};

use super::{FleetFault, FleetPlan, VM_ACCELERATORS};

/// Bytes per second that one VM loads at most.
pub const VM_BYTES_PER_SECOND: u64 = 1_000_000_000;

/// Number of names for new groups in each plan.
const NEW_NAMES: usize = 64;

/// Measurements of a replay.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplaySummary {
    /// Seconds, summed over all groups that were declared and did not serve.
    pub missing_group_secs: f64,

    /// The part of `missing_group_secs` of the service that ranks first.
    pub first_rank_secs: f64,

    /// Seconds, summed over all accelerators held by groups that did not serve.
    pub stranded_accelerator_secs: f64,

    /// Seconds, summed over all accelerators that no group held.
    pub spare_accelerator_secs: f64,

    /// Number of loads that began.
    pub loads: u64,

    /// Number of groups retired.
    pub retired: u64,

    /// Number of plans made.
    pub plans: u64,

    /// Time spent in planning.
    pub plan_time: Duration,

    /// Time replayed.
    pub length: Duration,
}

impl ReplaySummary {
    /// Missing-group hours per day.
    pub fn missing_group_hours(&self) -> f64 {
        self.per_day(self.missing_group_secs) / 3_600.0
    }

    /// Stranded-accelerator hours per day.
    pub fn stranded_accelerator_hours(&self) -> f64 {
        self.per_day(self.stranded_accelerator_secs) / 3_600.0
    }

    /// Mean time of a plan, in microseconds.
    pub fn plan_micros(&self) -> f64 {
        self.plan_time.as_secs_f64() * 1e6 / self.plans.max(1) as f64
    }

    fn per_day(&self, secs: f64) -> f64 {
        secs * 86_400.0 / self.length.as_secs_f64()
    }
}

impl std::fmt::Display for ReplaySummary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "missing {:8.2} group-h/day (first rank {:7.2})  stranded {:9.1} acc-h/day  spare {:9.0} acc-h/day  \
             loads {:6.0}/day  retired {:5.0}/day  plan {:6.0} us",
            self.missing_group_hours(),
            self.per_day(self.first_rank_secs) / 3_600.0,
            self.stranded_accelerator_hours(),
            self.per_day(self.spare_accelerator_secs) / 3_600.0,
            self.per_day(self.loads as f64),
            self.per_day(self.retired as f64),
            self.plan_micros(),
        )
    }
}

/// The state of a VM's engine.
#[derive(Clone, Debug, Default)]
struct ReplayVm {
    down_until: Option<Duration>,
    down_since: Duration,
    bytes_left: f64,
}

/// A fleet in virtual time.
pub struct ReplayFleet {
    plan: FleetPlan,
    start: Instant,
    now: Duration,
    input: PlannerInput,
    vms: Vec<ReplayVm>,
    indexes: BTreeMap<VmId, usize>,
    names: Vec<VmId>,
    down: BTreeSet<usize>,
    loading: BTreeSet<usize>,

    /// VMs whose engine may differ from the rows.
    unsettled: BTreeSet<usize>,

    /// Active groups that may not be whole.
    unconfirmed: BTreeSet<GroupId>,

    /// Number of whole groups of each service.
    serving: BTreeMap<String, u32>,
    next_name: u64,
    warm: bool,
    plan_was_empty: bool,
    summary: ReplaySummary,
}

impl ReplayFleet {
    /// A fleet without groups.
    pub fn new(plan: &FleetPlan, weights: PlannerWeights) -> Self {
        let start = Instant::now();
        let vms: BTreeMap<_, _> =
            (0..plan.vms).map(|vm| plan.vm(vm)).map(|vm| (vm.record.vm.clone(), vm)).collect();
        let names: Vec<VmId> = vms.keys().cloned().collect();
        let input = PlannerInput {
            now: start,
            services: plan.services(),
            groups: BTreeMap::new(),
            vms,
            whole: BTreeSet::new(),
            weights,
            new_names: Vec::new(),
        };
        let mut fleet = Self {
            plan: plan.clone(),
            start,
            now: Duration::ZERO,
            input,
            vms: vec![ReplayVm::default(); plan.vms],
            indexes: names.iter().cloned().zip(0..).collect(),
            names,
            down: BTreeSet::new(),
            loading: BTreeSet::new(),
            unsettled: (0..plan.vms).collect(),
            unconfirmed: BTreeSet::new(),
            serving: BTreeMap::new(),
            next_name: 0,
            warm: false,
            plan_was_empty: false,
            summary: ReplaySummary::default(),
        };
        fleet.settle_vms();
        fleet
    }

    /// Forms the groups that the planner requests, with loads that take no time. Nothing is
    /// measured.
    pub fn warm_up(&mut self, planner: &mut dyn GroupPlanner) {
        while !(self.plan_was_empty && self.unconfirmed.is_empty()) {
            self.tick(planner);
        }
        self.summary = ReplaySummary::default();
        self.warm = true;
    }

    /// Replays faults.
    pub fn replay(
        &mut self,
        planner: &mut dyn GroupPlanner,
        faults: &[FleetFault],
        length: Duration,
    ) -> ReplaySummary {
        let begin = self.now;
        let mut faults = faults.iter().peekable();
        while self.now < begin + length {
            while let Some(fault) = faults.next_if(|fault| begin + fault.at <= self.now) {
                self.lose(fault);
            }
            self.tick(planner);
        }
        self.summary.length = length;
        self.summary
    }

    fn tick(&mut self, planner: &mut dyn GroupPlanner) {
        self.now += self.plan.tick;
        self.input.now = self.start + self.now;
        self.return_vms();
        self.settle_vms();
        self.load_weights();
        self.update_whole();
        self.measure();
        let idle = self.down.is_empty() && self.unsettled.is_empty() && self.missing() == 0;
        if !(idle && self.plan_was_empty) {
            self.plan(planner);
        }
    }

    // -----------------------------------------------------------------------------------------
    // VMs

    fn lose(&mut self, fault: &FleetFault) {
        for index in fault.vms.iter().copied() {
            let vm = &mut self.vms[index];
            if vm.down_until.is_none() {
                vm.down_since = self.now;
            }
            vm.down_until = vm.down_until.max(Some(self.now + fault.away));
            vm.bytes_left = 0.0;
            self.loading.remove(&index);
            self.unsettled.remove(&index);
            self.down.insert(index);
            let Some(vm) = self.input.vms.get_mut(&self.names[index]) else { continue };
            vm.available = false;
            if let Some((group, _)) = &vm.owner.holder {
                self.unconfirmed.insert(group.clone());
            }
        }
    }

    fn return_vms(&mut self) {
        for index in self.down.clone() {
            let state = &mut self.vms[index];
            let Some(vm) = self.input.vms.get_mut(&self.names[index]) else { continue };
            if state.down_until.is_some_and(|until| until > self.now) {
                vm.unresponsive_for = self.now.saturating_sub(state.down_since);
                continue;
            }
            state.down_until = None;
            vm.unresponsive_for = Duration::ZERO;
            vm.report = Some(report(&vm.record.vm, VmPhase::Idle, None));
            self.down.remove(&index);
            self.unsettled.insert(index);
        }
    }

    /// Brings engines in line with the rows, and frees the rows of idle VMs.
    fn settle_vms(&mut self) {
        let load_bytes = self.load_bytes();
        for index in std::mem::take(&mut self.unsettled) {
            let name = self.names[index].clone();
            let place = self.place(&name).cloned();
            let Some(vm) = self.input.vms.get_mut(&name) else { continue };
            let held = vm.report.as_ref().and_then(|report| report.assignment.as_ref());
            let Some(place) = place else {
                if held.is_none() && vm.report.is_some() {
                    vm.owner = VmOwner::default();
                    vm.available = true;
                } else {
                    vm.report = Some(report(&name, VmPhase::Idle, None));
                    self.vms[index].bytes_left = 0.0;
                    self.loading.remove(&index);
                    self.unsettled.insert(index);
                }
                continue;
            };
            if held == Some(&place) {
                continue;
            }
            let phase = vm.report.as_ref().map(|report| report.phase);
            let resumed = held.is_some_and(|held| held.group == place.group);
            let phase = phase.filter(|_| resumed).unwrap_or(VmPhase::Loading);
            if !resumed {
                self.vms[index].bytes_left = load_bytes;
                self.loading.insert(index);
                self.summary.loads += 1;
            }
            vm.report = Some(report(&name, phase, Some(place)));
        }
    }

    fn load_bytes(&self) -> f64 {
        let bytes = self.input.services.first().map(|wanted| wanted.version.weight_bytes);
        if self.warm { bytes.unwrap_or_default() as f64 } else { 0.0 }
    }

    /// Advances loads. All loading VMs share the weight store's rate.
    fn load_weights(&mut self) {
        let share = self.plan.store_bytes_per_second as f64 / self.loading.len().max(1) as f64;
        let bytes = share.min(VM_BYTES_PER_SECOND as f64) * self.plan.tick.as_secs_f64();
        for index in self.loading.clone() {
            let state = &mut self.vms[index];
            state.bytes_left -= bytes;
            if state.bytes_left > 0.0 {
                continue;
            }
            self.loading.remove(&index);
            let vm = self.input.vms.get_mut(&self.names[index]);
            if let Some(report) = vm.and_then(|vm| vm.report.as_mut()) {
                report.phase = VmPhase::Ready;
            }
        }
    }

    fn place(&self, vm: &VmId) -> Option<&GroupAssignment> {
        let (group, generation) = self.input.vms.get(vm)?.owner.holder.as_ref()?;
        let record = self.input.groups.get(group)?;
        let held = record.phase == GroupPhase::Active
            && record.assignment.generation == *generation
            && record.assignment.members.contains(vm);
        held.then_some(&record.assignment)
    }

    // -----------------------------------------------------------------------------------------
    // Groups

    fn update_whole(&mut self) {
        for group in self.unconfirmed.clone() {
            let record = self.input.groups.get(&group);
            let active = record.filter(|record| record.phase == GroupPhase::Active);
            let whole = active.is_some_and(|record| self.is_whole(&record.assignment));
            if whole || active.is_none() {
                self.unconfirmed.remove(&group);
            }
            self.set_whole(&group, whole);
        }
    }

    fn set_whole(&mut self, group: &GroupId, whole: bool) {
        let Some(record) = self.input.groups.get(group) else { return };
        let service = record.assignment.service.as_str();
        if whole && self.input.whole.insert(group.clone()) {
            *self.serving.entry(service.to_owned()).or_default() += 1;
        } else if !whole && self.input.whole.remove(group) {
            self.serving.entry(service.to_owned()).and_modify(|count| *count -= 1);
        }
    }

    fn is_whole(&self, assignment: &GroupAssignment) -> bool {
        assignment.members.iter().all(|vm| {
            let up = self.indexes.get(vm).is_some_and(|index| !self.down.contains(index));
            let report = self.input.vms.get(vm).and_then(|vm| vm.report.as_ref());
            up && report.is_some_and(|report| {
                report.phase == VmPhase::Ready && report.assignment.as_ref() == Some(assignment)
            })
        })
    }

    /// Number of groups that a service lacks.
    fn lacking(&self, wanted: &WantedService) -> u32 {
        let serving = self.serving.get(wanted.service.as_str()).copied();
        wanted.backend.groups.saturating_sub(serving.unwrap_or_default())
    }

    fn missing(&self) -> u32 {
        self.input.services.iter().map(|wanted| self.lacking(wanted)).sum()
    }

    fn measure(&mut self) {
        let tick = self.plan.tick.as_secs_f64();
        let stranded: usize = self
            .unconfirmed
            .iter()
            .filter_map(|group| self.input.groups.get(group))
            .map(|record| {
                let members = record.assignment.members.iter();
                members.filter(|vm| !self.down.contains(&self.indexes[*vm])).count()
            })
            .sum();
        let held: usize = self
            .input
            .whole
            .iter()
            .filter_map(|group| self.input.groups.get(group))
            .map(|record| record.assignment.members.len())
            .sum();
        let spare = self.plan.vms - self.down.len() - held.min(self.plan.vms - self.down.len());
        let accelerators = f64::from(VM_ACCELERATORS);
        self.summary.missing_group_secs += f64::from(self.missing()) * tick;
        let first = self.input.services.first().map(|wanted| self.lacking(wanted));
        self.summary.first_rank_secs += f64::from(first.unwrap_or_default()) * tick;
        self.summary.stranded_accelerator_secs += stranded as f64 * accelerators * tick;
        self.summary.spare_accelerator_secs +=
            spare.saturating_sub(stranded) as f64 * accelerators * tick;
    }

    // -----------------------------------------------------------------------------------------
    // Plans

    fn plan(&mut self, planner: &mut dyn GroupPlanner) {
        while self.input.new_names.len() < NEW_NAMES {
            self.next_name += 1;
            self.input.new_names.push(GroupId::from(format!("g-{:07}", self.next_name)));
        }
        let begin = Instant::now();
        let actions = planner.plan(&self.input);
        self.summary.plan_time += begin.elapsed();
        self.summary.plans += 1;
        self.plan_was_empty = actions.is_empty();
        actions.into_iter().for_each(|action| self.carry_out(action));
    }

    fn carry_out(&mut self, action: PlannerAction) {
        match action {
            PlannerAction::Form { assignment, fabric_domain } => {
                self.input.new_names.retain(|name| *name != assignment.group);
                let phase = GroupPhase::Active;
                self.put(GroupRecord { assignment, fabric_domain, phase });
            }
            PlannerAction::Reassign { assignment } => {
                let Some(record) = self.input.groups.get(&assignment.group) else { return };
                let record = GroupRecord { assignment, ..record.clone() };
                self.unsettle(&record.assignment.group);
                self.put(record);
            }
            PlannerAction::Retire { group } => {
                self.summary.retired += 1;
                self.unsettle(&group);
                self.set_whole(&group, false);
                self.unconfirmed.remove(&group);
                self.input.groups.remove(&group);
            }
        }
    }

    fn put(&mut self, record: GroupRecord) {
        let assignment = &record.assignment;
        let group = assignment.group.clone();
        for vm in &assignment.members {
            let Some(vm) = self.input.vms.get_mut(vm) else { continue };
            vm.owner = VmOwner { holder: Some((group.clone(), assignment.generation)) };
            vm.available = false;
        }
        self.input.groups.insert(group.clone(), record);
        self.unsettle(&group);
        self.set_whole(&group, false);
        self.unconfirmed.insert(group);
    }

    fn unsettle(&mut self, group: &GroupId) {
        let Some(record) = self.input.groups.get(group) else { return };
        let members = record.assignment.members.iter().map(|vm| self.indexes[vm]);
        self.unsettled.extend(members.filter(|vm| !self.down.contains(vm)));
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
