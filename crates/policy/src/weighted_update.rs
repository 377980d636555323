//! Updates of serving groups, one at a time: departing members, adapters and versions.

use comfreyturn_types::GroupPhase;

use crate::{WantedService, planner_view::GroupStatus, weighted_draft::WeightedDraft};

impl WeightedDraft<'_> {
    /// Replaces drained and leaving members of serving groups by spares. Without enough spares,
    /// forms another group first; if no fabric domain has the VMs for one, retires the group.
    pub(crate) fn replace_departing(&mut self, wanted: &WantedService) {
        for index in self.current_groups(wanted) {
            let group = &self.view.groups[index];
            let departing = group.status == GroupStatus::Departing && !self.has_action(index);
            if !departing || self.is_changing(wanted) {
                continue;
            }
            let missing = group.lost.len();
            let pool = self.pool_of(index);
            let spare = pool.filter(|pool| self.view.pools[*pool].available.len() >= missing);
            if let Some(pool) = spare {
                if self.may_interrupt(wanted) && self.budget.take(missing) {
                    self.replace_members(index, pool);
                }
            } else if self.form(wanted) {
                self.changed_services.insert(self.service_of(index));
            } else if self.may_interrupt(wanted) && self.choose_pool(wanted).is_none() {
                self.retire(index);
            }
        }
    }

    /// Assigns the declared adapters to a service's groups: at once to those that do not serve, and
    /// to the others one at a time.
    pub(crate) fn change_adapters(&mut self, wanted: &WantedService) {
        for index in self.current_groups(wanted) {
            let group = &self.view.groups[index];
            if group.has_current_adapters() || self.has_action(index) || group.is_broken() {
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
    pub(crate) fn retire_outdated(&mut self, wanted: &WantedService) {
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
        loading
            || releasing
            || self.formed_count(wanted) > 0
            || self.changed_services.contains(&wanted.service)
    }
}
