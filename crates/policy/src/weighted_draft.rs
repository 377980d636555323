//! A weighted plan under construction: its state, the order of its steps, and its actions.

use std::collections::BTreeSet;

use comfreyturn_types::{FabricDomain, GroupId, ServiceName, VmId};

use crate::{
    LoadBudget, PlannerAction, PlannerCosts, WantedService, WeightedPlannerSettings,
    planner_memory::PlannerMemory,
    planner_view::{GroupStatus, PlannerView},
};

/// Builds a plan step by step. VMs and load slots taken by one step are not available to later
/// ones.
///
/// The steps are in files of their own: what is done about groups that lost members in
/// `weighted_repair`, new groups in `weighted_forming`, and changes of serving groups in
/// `weighted_update`. Only the retirement of surplus groups is here.
pub(crate) struct WeightedDraft<'a> {
    pub(crate) view: PlannerView<'a>,
    pub(crate) costs: PlannerCosts<'a>,
    pub(crate) settings: &'a WeightedPlannerSettings,
    pub(crate) memory: &'a PlannerMemory,
    pub(crate) budget: LoadBudget,
    pub(crate) new_names: std::slice::Iter<'a, GroupId>,

    /// Groups on which this plan acts. Invariant: each has one action.
    groups_with_action: BTreeSet<&'a GroupId>,

    /// Broken groups that wait for VMs to become available.
    pub(crate) waiting_groups: BTreeSet<&'a GroupId>,

    /// Services whose groups this plan changes.
    pub(crate) changed_services: BTreeSet<&'a ServiceName>,

    pub(crate) actions: Vec<PlannerAction>,
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
            groups_with_action: BTreeSet::new(),
            waiting_groups: BTreeSet::new(),
            changed_services: BTreeSet::new(),
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
    // Actions

    pub(crate) fn reassign(&mut self, index: usize, members: Vec<VmId>) {
        let group = &self.view.groups[index];
        let assignment = group.wanted.next_assignment(&group.record.assignment, members);
        self.mark_changed(index);
        self.actions.push(PlannerAction::Reassign { assignment });
    }

    pub(crate) fn retire(&mut self, index: usize) {
        if self.has_action(index) {
            return;
        }
        self.mark_changed(index);
        let group = self.view.groups[index].name().clone();
        self.actions.push(PlannerAction::Retire { group });
    }

    /// Retires a group so that its remaining members become available.
    pub(crate) fn release(&mut self, index: usize, pool: usize) {
        self.view.pools[pool].upcoming += self.view.groups[index].alive();
        self.retire(index);
    }

    fn mark_changed(&mut self, index: usize) {
        let name = self.view.groups[index].name();
        let service = self.service_of(index);
        self.groups_with_action.insert(name);
        self.changed_services.insert(service);
    }

    // -----------------------------------------------------------------------------------------
    // Look-ups

    pub(crate) fn has_action(&self, index: usize) -> bool {
        self.groups_with_action.contains(self.view.groups[index].name())
    }

    /// Whether this plan reassigns a group rather than retiring it.
    pub(crate) fn is_reassigned(&self, index: usize) -> bool {
        let name = self.view.groups[index].name();
        self.actions.iter().any(|action| {
            matches!(action, PlannerAction::Reassign { assignment } if assignment.group == *name)
        })
    }

    pub(crate) fn serves(&self, index: usize) -> bool {
        self.view.groups[index].serves()
    }

    pub(crate) fn service_of(&self, index: usize) -> &'a ServiceName {
        &self.view.groups[index].record.assignment.service
    }

    pub(crate) fn pool_of(&self, index: usize) -> Option<usize> {
        let domain: &FabricDomain = &self.view.groups[index].record.fabric_domain;
        self.view.pool_of(domain)
    }

    pub(crate) fn current_groups(&self, wanted: &WantedService) -> Vec<usize> {
        let groups = self.view.groups.iter().enumerate();
        groups
            .filter(|(_, group)| std::ptr::eq(group.wanted, wanted) && group.is_current())
            .map(|(index, _)| index)
            .collect()
    }

    /// Number of groups of a service that this plan forms.
    pub(crate) fn formed_count(&self, wanted: &WantedService) -> usize {
        let formed = self.actions.iter().filter(|action| {
            matches!(action, PlannerAction::Form { assignment, .. }
                if assignment.service == wanted.service)
        });
        formed.count()
    }
}
