//! Forming of new groups, and the choice of their fabric domains.

use crate::{
    PlannerAction, WantedService, planner_view::DomainPool, weighted_draft::WeightedDraft,
};

impl WeightedDraft<'_> {
    /// Forms the groups that a service lacks.
    pub(crate) fn form_groups(&mut self, wanted: &WantedService) {
        let groups = self.current_groups(wanted);
        let kept =
            groups.iter().filter(|index| !self.has_action(**index) || self.is_reassigned(**index));
        let formed = self.formed_count(wanted);
        let lacking = (wanted.backend.groups as usize).saturating_sub(kept.count() + formed);
        for _ in 0..lacking {
            if !self.form(wanted) {
                return;
            }
        }
    }

    /// Forms one group if some fabric domain has enough VMs and the load budget enough slots.
    /// Returns whether it did.
    pub(crate) fn form(&mut self, wanted: &WantedService) -> bool {
        let size = wanted.version.vms_per_group as usize;
        let Some(pool) = self.choose_pool(wanted) else { return false };
        let Some(group) = self.new_names.as_slice().first() else { return false };
        if !self.budget.take(size) {
            return false;
        }
        let Some(members) = self.view.pools[pool].take(size) else { return false };
        self.new_names.next();
        let assignment = wanted.first_assignment(group.clone(), members);
        let fabric_domain = self.view.pools[pool].name.clone();
        self.actions.push(PlannerAction::Form { assignment, fabric_domain });
        true
    }

    /// Chooses the fabric domain for a new group. In order of priority: it keeps a spare, its
    /// failure domain has the fewest groups of the service, it has the fewest itself, and it has
    /// the most available VMs left.
    pub(crate) fn choose_pool(&self, wanted: &WantedService) -> Option<usize> {
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
        let groups = groups.into_iter().filter(|index| !self.has_action(*index));
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
}
