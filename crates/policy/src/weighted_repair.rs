//! What is done about groups that lost members: repair, rebuild elsewhere, preempt, hold or retire.

use crate::{
    WantedService, group_planner::replace_lost, planner_view::GroupView,
    weighted_draft::WeightedDraft,
};

impl WeightedDraft<'_> {
    /// Repairs broken groups with VMs of their fabric domains, in order of downtime saved per byte.
    pub(crate) fn repair_groups(&mut self) {
        let mut broken: Vec<usize> = (0..self.view.groups.len())
            .filter(|index| self.view.groups[*index].is_broken())
            .filter(|index| self.view.groups[*index].is_current())
            .collect();
        broken.sort_by_key(|index| {
            let group = &self.view.groups[*index];
            (repair_bytes(group), group.rank(), group.name())
        });
        for (position, index) in broken.iter().enumerate() {
            if !self.has_action(*index) && self.view.groups[*index].alive() > 0 {
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
            self.replace_members(index, pool);
            return;
        }
        if self.view.pools[pool].expected() < missing {
            self.dissolve_donor(index, pool, others);
        }
        if self.view.pools[pool].expected() >= missing {
            self.view.pools[pool].reserve(missing);
            self.waiting_groups.insert(self.view.groups[index].name());
        }
    }

    /// Dissolves another broken group of the fabric domain if its members suffice to repair this
    /// one.
    fn dissolve_donor(&mut self, index: usize, pool: usize, others: &[usize]) {
        let shortfall = self.view.groups[index].lost.len() - self.view.pools[pool].expected();
        let domain = &self.view.groups[index].record.fabric_domain;
        let donor = others.iter().rev().copied().find(|other| {
            let group = &self.view.groups[*other];
            group.record.fabric_domain == *domain
                && group.alive() >= shortfall
                && !self.has_action(*other)
                && !self.waiting_groups.contains(group.name())
        });
        if let Some(donor) = donor {
            self.release(donor, pool);
        }
    }

    /// Replaces lost members by available VMs.
    pub(crate) fn replace_members(&mut self, index: usize, pool: usize) {
        let missing = self.view.groups[index].lost.len();
        let Some(spares) = self.view.pools[pool].take(missing) else { return };
        let group = &self.view.groups[index];
        let members = replace_lost(&group.record.assignment.members, &group.lost, spares);
        self.reassign(index, members);
    }

    /// Rebuilds broken groups elsewhere if that costs less than waiting for their lost members.
    pub(crate) fn rebuild_groups(&mut self, wanted: &WantedService) {
        for index in self.current_groups(wanted) {
            if !self.is_unresolved(index) {
                continue;
            }
            let broken = self.view.groups[index].broken();
            let rebuild = self.costs.rebuild_cost(&broken, self.budget.loading());
            if rebuild < self.costs.hold_cost(&broken) && self.form(wanted) {
                self.retire(index);
            }
        }
    }

    /// Repairs the remaining broken groups with members of lower-ranked groups, holds them as long
    /// as that costs less, or retires them.
    pub(crate) fn resolve_broken(&mut self, wanted: &WantedService) {
        for index in self.current_groups(wanted) {
            if !self.is_unresolved(index) || self.preempt_lower(index) {
                continue;
            }
            if !self.may_hold(index) {
                self.retire(index);
            }
        }
    }

    /// Whether a group is broken, and the plan neither acts on it nor has it wait for VMs.
    fn is_unresolved(&self, index: usize) -> bool {
        let group = &self.view.groups[index];
        group.is_broken() && !self.has_action(index) && !self.waiting_groups.contains(group.name())
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
                && !self.has_action(*other)
                && !self.waiting_groups.contains(donor.name())
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
        self.waiting_groups.insert(group.name());
        self.release(donor, pool);
        self.view.pools[pool].reserve(missing);
        true
    }
}

/// Bytes to load to repair a group.
fn repair_bytes(group: &GroupView<'_>) -> u64 {
    group.wanted.version.weight_bytes.saturating_mul(group.lost.len() as u64)
}
