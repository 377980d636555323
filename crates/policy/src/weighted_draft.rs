//! Construction of a weighted plan.

use std::collections::BTreeSet;

use comfreyturn_types::{
    FabricDomain, GroupAssignment, GroupGeneration, GroupId, GroupPhase, ServiceName, VmId,
};

use crate::{
    LoadBudget, PlannerAction, PlannerCosts, WantedService, WeightedPlannerSettings,
    planner_memory::PlannerMemory,
    planner_view::{DomainPool, GroupStatus, GroupView, PlannerView},
};

/// Builds a plan step by step. VMs and load slots taken by one step are not available to later
/// ones.
pub(crate) struct WeightedDraft<'a> {
    view: PlannerView<'a>,
    costs: PlannerCosts<'a>,
    settings: &'a WeightedPlannerSettings,
    memory: &'a PlannerMemory,
    budget: LoadBudget,
    new_names: std::slice::Iter<'a, GroupId>,

    /// Groups on which this plan acts. Invariant: each has one action.
    touched: BTreeSet<&'a GroupId>,

    /// Broken groups that wait for VMs to become available.
    waiting: BTreeSet<&'a GroupId>,

    /// Services whose groups this plan changes.
    changed: BTreeSet<&'a ServiceName>,

    actions: Vec<PlannerAction>,
}

impl<'a> WeightedDraft<'a> {
    pub(crate) fn new(
        view: PlannerView<'a>,
        costs: PlannerCosts<'a>,
        settings: &'a WeightedPlannerSettings,
        memory: &'a PlannerMemory,
    ) -> Self {
        let loading = view.groups.iter().map(|group| group.loading).sum();
        Self {
            new_names: view.input.new_names.iter(),
            budget: LoadBudget::new(settings.load_slots(), loading),
            view,
            costs,
            settings,
            memory,
            touched: BTreeSet::new(),
            waiting: BTreeSet::new(),
            changed: BTreeSet::new(),
            actions: Vec::new(),
        }
    }

    pub(crate) fn plan(mut self) -> Vec<PlannerAction> {
        let services: Vec<&WantedService> = self.view.input.services.iter().collect();
        self.retire_orphans();
        services.iter().for_each(|wanted| self.retire_surplus(wanted));
        self.repair_groups();
        for wanted in &services {
            self.rebuild_groups(wanted);
            self.form_groups(wanted);
        }
        services.iter().for_each(|wanted| self.resolve_broken(wanted));
        for wanted in &services {
            self.replace_departing(wanted);
            self.change_adapters(wanted);
            self.retire_outdated(wanted);
        }
        self.actions
    }

    // -----------------------------------------------------------------------------------------
    // Surplus groups

    /// Retires groups of services that are no longer declared.
    fn retire_orphans(&mut self) {
        for group in std::mem::take(&mut self.view.orphans) {
            self.actions.push(PlannerAction::Retire { group: group.clone() });
        }
    }

    /// Retires the groups of a service beyond the declared number, the least useful first.
    fn retire_surplus(&mut self, wanted: &WantedService) {
        let mut groups = self.current_groups(wanted);
        groups.sort_by_key(|index| {
            let group = &self.view.groups[*index];
            (group.status, group.lost.len(), group.loading, group.name())
        });
        let declared = wanted.backend.groups as usize;
        let serving = groups.iter().take(declared).filter(|index| self.serves(**index)).count();
        for index in groups.into_iter().skip(declared) {
            let departing = self.view.groups[index].status == GroupStatus::Departing;
            if !departing || serving == declared {
                self.retire(index);
            }
        }
    }

    // -----------------------------------------------------------------------------------------
    // Lost members

    /// Repairs broken groups with VMs of their fabric domains, in order of downtime saved per byte.
    fn repair_groups(&mut self) {
        let mut broken: Vec<usize> = (0..self.view.groups.len())
            .filter(|index| self.view.groups[*index].is_broken())
            .filter(|index| self.view.groups[*index].is_current())
            .collect();
        broken.sort_by_key(|index| {
            let group = &self.view.groups[*index];
            (load_bytes(group), group.rank(), group.name())
        });
        for (position, index) in broken.iter().enumerate() {
            if !self.is_touched(*index) && self.view.groups[*index].alive() > 0 {
                self.repair(*index, &broken[position + 1..]);
            }
        }
    }

    /// Replaces a group's lost members, or arranges for VMs to become available for that. `others`
    /// are broken groups whose repair saves less downtime per byte.
    fn repair(&mut self, index: usize, others: &[usize]) {
        let missing = self.view.groups[index].lost.len();
        let Some(pool) = self.pool_of(index) else { return };
        let available = self.view.pools[pool].available.len();
        if available >= missing && self.budget.take(missing) {
            self.replace(index, pool);
            return;
        }
        if self.view.pools[pool].expected() < missing {
            self.merge(index, pool, others);
        }
        if self.view.pools[pool].expected() >= missing {
            self.view.pools[pool].reserve(missing);
            self.waiting.insert(self.view.groups[index].name());
        }
    }

    /// Dissolves another broken group of the fabric domain if its members suffice to repair this
    /// one.
    fn merge(&mut self, index: usize, pool: usize, others: &[usize]) {
        let shortfall = self.view.groups[index].lost.len() - self.view.pools[pool].expected();
        let domain = &self.view.groups[index].record.fabric_domain;
        let donor = others.iter().rev().copied().find(|other| {
            let group = &self.view.groups[*other];
            group.record.fabric_domain == *domain
                && group.alive() >= shortfall
                && !self.is_touched(*other)
                && !self.waiting.contains(group.name())
        });
        if let Some(donor) = donor {
            self.release(donor, pool);
        }
    }

    /// Replaces lost members by available VMs.
    fn replace(&mut self, index: usize, pool: usize) {
        let lost = self.view.groups[index].lost.clone();
        let Some(spares) = self.view.pools[pool].take(lost.len()) else { return };
        let mut spares = spares.into_iter();
        let members = self.view.groups[index].record.assignment.members.iter();
        let members = members
            .map(|vm| if lost.contains(&vm) { spares.next() } else { None }.unwrap_or(vm.clone()))
            .collect();
        self.reassign(index, members);
    }

    // -----------------------------------------------------------------------------------------
    // New groups

    /// Rebuilds broken groups elsewhere if that costs less than waiting for their lost members.
    fn rebuild_groups(&mut self, wanted: &WantedService) {
        for index in self.current_groups(wanted) {
            let group = &self.view.groups[index];
            let unhandled = group.is_broken() && !self.is_touched(index);
            if !unhandled || self.waiting.contains(group.name()) {
                continue;
            }
            let broken = group.broken();
            let rebuild = self.costs.rebuild_cost(&broken, self.budget.loading());
            if rebuild < self.costs.hold_cost(&broken) && self.form(wanted) {
                self.retire(index);
            }
        }
    }

    /// Forms the groups that a service lacks.
    fn form_groups(&mut self, wanted: &WantedService) {
        let groups = self.current_groups(wanted);
        let kept = groups.iter().filter(|index| !self.is_touched(**index) || self.stays(**index));
        let formed = self.formed(wanted);
        let lacking = (wanted.backend.groups as usize).saturating_sub(kept.count() + formed);
        for _ in 0..lacking {
            if !self.form(wanted) {
                return;
            }
        }
    }

    /// Forms one group if some fabric domain has enough VMs and the load budget enough slots.
    /// Returns whether it did.
    fn form(&mut self, wanted: &WantedService) -> bool {
        let size = wanted.version.vms_per_group as usize;
        let Some(pool) = self.choose_pool(wanted) else { return false };
        let Some(group) = self.new_names.as_slice().first() else { return false };
        if !self.budget.take(size) {
            return false;
        }
        let Some(members) = self.view.pools[pool].take(size) else { return false };
        self.new_names.next();
        let assignment = GroupAssignment {
            group: group.clone(),
            generation: GroupGeneration(1),
            service: wanted.service.clone(),
            model: wanted.backend.model.clone(),
            version: wanted.backend.version.clone(),
            adapters: wanted.backend.adapters.clone(),
            members,
        };
        let fabric_domain = self.view.pools[pool].name.clone();
        self.actions.push(PlannerAction::Form { assignment, fabric_domain });
        true
    }

    /// Chooses the fabric domain for a new group. In order of priority: it keeps a spare, its
    /// failure domain has the fewest groups of the service, it has the fewest itself, and it has
    /// the most available VMs left.
    fn choose_pool(&self, wanted: &WantedService) -> Option<usize> {
        let size = wanted.version.vms_per_group as usize;
        let occupied_pools = self.group_pools(wanted);
        let fits = (0..self.view.pools.len()).filter(|pool| {
            let pool = &self.view.pools[*pool];
            pool.available.len() >= size && !self.keeps_spare(pool, wanted)
        });
        fits.min_by_key(|index| {
            let pool = &self.view.pools[*index];
            let left = pool.available.len() - size;
            let in_same_failure_domain =
                |other: &&usize| self.view.pools[**other].failure_domain == pool.failure_domain;
            let in_failure_domain = occupied_pools.iter().filter(in_same_failure_domain).count();
            let in_fabric_domain = occupied_pools.iter().filter(|other| *other == index).count();
            (left == 0, in_failure_domain, in_fabric_domain, usize::MAX - left)
        })
    }

    /// Whether the last available VMs of a fabric domain should stay spares for a higher-ranked
    /// group.
    fn keeps_spare(&self, pool: &DomainPool<'_>, wanted: &WantedService) -> bool {
        let size = wanted.version.vms_per_group as usize;
        let Some(top_group) = pool.top_group.filter(|_| pool.available.len() == size) else {
            return false;
        };
        let top_group = &self.view.groups[top_group];
        let protects = top_group.rank() < wanted.backend.rank;
        protects && self.costs.should_keep_spare(&top_group.broken_by(1), pool.held)
    }

    /// The pools in which a service has groups, once for each group.
    fn group_pools(&self, wanted: &WantedService) -> Vec<usize> {
        let groups = self.current_groups(wanted);
        let groups = groups.into_iter().filter(|index| !self.is_touched(*index));
        let existing = groups.filter_map(|index| self.pool_of(index));
        let formed = self.actions.iter().filter_map(|action| match action {
            PlannerAction::Form { assignment, fabric_domain }
                if assignment.service == wanted.service =>
            {
                self.view.pool_of(fabric_domain)
            }
            _ => None,
        });
        existing.chain(formed).collect()
    }

    // -----------------------------------------------------------------------------------------
    // Broken groups that can't be repaired

    /// Repairs the remaining broken groups with members of lower-ranked groups, holds them as long
    /// as that costs less, or retires them.
    fn resolve_broken(&mut self, wanted: &WantedService) {
        for index in self.current_groups(wanted) {
            let group = &self.view.groups[index];
            let unhandled = group.is_broken() && !self.is_touched(index);
            if !unhandled || self.waiting.contains(group.name()) {
                continue;
            }
            if self.preempt_lower(index) {
                continue;
            }
            if !self.may_hold(index) {
                self.retire(index);
            }
        }
    }

    /// Whether a broken group may be held longer: some member is still listed and may return, and
    /// holding costs less than retiring.
    fn may_hold(&self, index: usize) -> bool {
        let group = &self.view.groups[index];
        let input = self.view.input;
        let listed = group.record.assignment.members.iter().any(|vm| input.vms.contains_key(vm));
        let held_for = self.memory.broken.age(input.now, group.name());
        let loading = self.budget.loading();
        listed && self.costs.should_hold(&group.broken(), held_for, loading)
    }

    /// Dissolves a lower-ranked group of the fabric domain to repair a broken one if that costs
    /// less. Returns whether it did.
    fn preempt_lower(&mut self, index: usize) -> bool {
        let group = &self.view.groups[index];
        let Some(pool) = self.pool_of(index).filter(|_| group.alive() > 0) else { return false };
        let Some(shortfall) = group.lost.len().checked_sub(self.view.pools[pool].expected()) else {
            return false;
        };
        let donors = (0..self.view.groups.len()).filter(|other| {
            let donor = &self.view.groups[*other];
            donor.record.fabric_domain == group.record.fabric_domain
                && donor.rank() > group.rank()
                && donor.alive() >= shortfall
                && !self.is_touched(*other)
                && !self.waiting.contains(donor.name())
        });
        let donor = donors.max_by_key(|other| {
            let donor = &self.view.groups[*other];
            (donor.rank(), donor.status)
        });
        let Some(donor) = donor else { return false };
        if !self.costs.should_preempt(&group.broken()) {
            return false;
        }
        let missing = group.lost.len();
        self.waiting.insert(group.name());
        self.release(donor, pool);
        self.view.pools[pool].reserve(missing);
        true
    }

    // -----------------------------------------------------------------------------------------
    // Changes of serving groups

    /// Replaces drained and leaving members of serving groups by spares. Without enough spares,
    /// forms another group first; if no fabric domain has the VMs for one, retires the group.
    fn replace_departing(&mut self, wanted: &WantedService) {
        for index in self.current_groups(wanted) {
            let group = &self.view.groups[index];
            let departing = group.status == GroupStatus::Departing && !self.is_touched(index);
            if !departing || self.is_changing(wanted) {
                continue;
            }
            let missing = group.lost.len();
            let pool = self.pool_of(index);
            let spare = pool.filter(|pool| self.view.pools[*pool].available.len() >= missing);
            if let Some(pool) = spare {
                if self.may_interrupt(wanted) && self.budget.take(missing) {
                    self.replace(index, pool);
                }
            } else if self.form(wanted) {
                self.changed.insert(self.service_of(index));
            } else if self.may_interrupt(wanted) && self.choose_pool(wanted).is_none() {
                self.retire(index);
            }
        }
    }

    /// Assigns the declared adapters to a service's groups: at once to those that do not serve, and
    /// to the others one at a time.
    fn change_adapters(&mut self, wanted: &WantedService) {
        for index in self.current_groups(wanted) {
            let group = &self.view.groups[index];
            if group.has_current_adapters() || self.is_touched(index) || group.is_broken() {
                continue;
            }
            let loading = group.status == GroupStatus::Loading;
            if loading || (!self.is_changing(wanted) && self.may_interrupt(wanted)) {
                let members = group.record.assignment.members.clone();
                self.reassign(index, members);
            }
        }
    }

    /// Retires groups of another version: at once those that do not serve, the others one at a
    /// time, and all of them once the declared number of current groups serves.
    fn retire_outdated(&mut self, wanted: &WantedService) {
        let current = self.current_groups(wanted);
        let serving = current.iter().filter(|index| self.serves(**index)).count();
        let replaced = serving >= wanted.backend.groups as usize;
        for index in 0..self.view.groups.len() {
            let group = &self.view.groups[index];
            if !std::ptr::eq(group.wanted, wanted) || group.is_current() {
                continue;
            }
            let not_serving = matches!(group.status, GroupStatus::Loading | GroupStatus::Broken);
            let is_next = group.serves() && !self.is_changing(wanted) && self.may_interrupt(wanted);
            if replaced || not_serving || is_next {
                self.retire(index);
            }
        }
    }

    /// Whether a serving group may be interrupted: the declared number of groups serves, or the
    /// service has been short for so long that no further group is expected.
    fn may_interrupt(&self, wanted: &WantedService) -> bool {
        let shortage_age = self.memory.short.age(self.view.input.now, &wanted.service);
        !self.view.is_short(wanted) || shortage_age >= self.settings.max_shortage
    }

    /// Whether some group of a service is loading, being formed or changed, or releasing its VMs.
    fn is_changing(&self, wanted: &WantedService) -> bool {
        let groups = self.view.groups.iter();
        let mut groups = groups.filter(|group| std::ptr::eq(group.wanted, wanted));
        let loading = groups.any(|group| group.status == GroupStatus::Loading);
        let releasing = self.view.upcoming.iter().any(|vm| {
            let holder = vm.owner.holder.as_ref();
            let record = holder.and_then(|(group, _)| self.view.input.groups.get(group));
            record.is_some_and(|record| {
                record.phase == GroupPhase::Retiring && record.assignment.service == wanted.service
            })
        });
        loading || releasing || self.formed(wanted) > 0 || self.changed.contains(&wanted.service)
    }

    // -----------------------------------------------------------------------------------------
    // Actions

    fn reassign(&mut self, index: usize, members: Vec<VmId>) {
        let group = &self.view.groups[index];
        let assignment = GroupAssignment {
            generation: group.record.assignment.generation.next(),
            adapters: group.wanted.backend.adapters.clone(),
            members,
            ..group.record.assignment.clone()
        };
        self.touch(index);
        self.actions.push(PlannerAction::Reassign { assignment });
    }

    fn retire(&mut self, index: usize) {
        if self.is_touched(index) {
            return;
        }
        self.touch(index);
        let group = self.view.groups[index].name().clone();
        self.actions.push(PlannerAction::Retire { group });
    }

    /// Retires a group so that its remaining members become available.
    fn release(&mut self, index: usize, pool: usize) {
        self.view.pools[pool].upcoming += self.view.groups[index].alive();
        self.retire(index);
    }

    fn touch(&mut self, index: usize) {
        let name = self.view.groups[index].name();
        let service = self.service_of(index);
        self.touched.insert(name);
        self.changed.insert(service);
    }

    // -----------------------------------------------------------------------------------------
    // Look-ups

    fn is_touched(&self, index: usize) -> bool {
        self.touched.contains(self.view.groups[index].name())
    }

    /// Whether this plan reassigns a group rather than retiring it.
    fn stays(&self, index: usize) -> bool {
        let name = self.view.groups[index].name();
        self.actions.iter().any(|action| {
            matches!(action, PlannerAction::Reassign { assignment } if assignment.group == *name)
        })
    }

    fn serves(&self, index: usize) -> bool {
        self.view.groups[index].serves()
    }

    fn service_of(&self, index: usize) -> &'a ServiceName {
        &self.view.groups[index].record.assignment.service
    }

    fn pool_of(&self, index: usize) -> Option<usize> {
        let domain: &FabricDomain = &self.view.groups[index].record.fabric_domain;
        self.view.pool_of(domain)
    }

    fn current_groups(&self, wanted: &WantedService) -> Vec<usize> {
        let groups = self.view.groups.iter().enumerate();
        groups
            .filter(|(_, group)| std::ptr::eq(group.wanted, wanted) && group.is_current())
            .map(|(index, _)| index)
            .collect()
    }

    /// Number of groups of a service that this plan forms.
    fn formed(&self, wanted: &WantedService) -> usize {
        let formed = self.actions.iter().filter(|action| {
            matches!(action, PlannerAction::Form { assignment, .. }
                if assignment.service == wanted.service)
        });
        formed.count()
    }
}

/// Bytes to load to repair a group.
fn load_bytes(group: &GroupView<'_>) -> u64 {
    group.wanted.version.weight_bytes.saturating_mul(group.lost.len() as u64)
}
