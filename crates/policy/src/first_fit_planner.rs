//! The baseline planner: takes the first VMs that fit.

use std::{collections::BTreeSet, time::Duration};

use comfreyturn_types::{FabricDomain, GroupId, GroupPhase, GroupRecord, VmId};

use crate::{
    GroupPlanner, PlannerAction, PlannerInput, PlannerVm, WantedService,
    group_planner::replace_lost,
};

/// Settings of a [`FirstFitPlanner`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstFitSettings {
    /// How long a member may be unresponsive before it is replaced.
    pub loss_timeout: Duration,
}

impl Default for FirstFitSettings {
    fn default() -> Self {
        Self { loss_timeout: Duration::from_secs(5) }
    }
}

/// Plans services in order of rank and places each new group in the first fabric domain with enough
/// available VMs. Replaces a lost member by an available VM of its fabric domain; if there is none,
/// retires the group.
#[derive(Clone, Debug, Default)]
pub struct FirstFitPlanner {
    settings: FirstFitSettings,
}

impl FirstFitPlanner {
    /// A planner with these settings.
    pub fn new(settings: FirstFitSettings) -> Self {
        Self { settings }
    }
}

impl GroupPlanner for FirstFitPlanner {
    fn plan(&mut self, input: &PlannerInput) -> Vec<PlannerAction> {
        let mut draft = PlanDraft::new(input, self.settings.loss_timeout);
        draft.retire_orphans();
        for wanted in &input.services {
            draft.plan_service(wanted);
        }
        draft.actions
    }
}

/// A plan under construction.
struct PlanDraft<'a> {
    input: &'a PlannerInput,
    loss_timeout: Duration,
    available: BTreeSet<VmId>,
    new_names: std::slice::Iter<'a, GroupId>,
    actions: Vec<PlannerAction>,
}

impl<'a> PlanDraft<'a> {
    fn new(input: &'a PlannerInput, loss_timeout: Duration) -> Self {
        let available = input.vms.iter().filter(|(_, vm)| vm.available);
        Self {
            input,
            loss_timeout,
            available: available.map(|(name, _)| name.clone()).collect(),
            new_names: input.new_names.iter(),
            actions: Vec::new(),
        }
    }

    /// Retires groups of services that are no longer declared.
    fn retire_orphans(&mut self) {
        for record in self.active_groups() {
            let service = &record.assignment.service;
            if !self.input.services.iter().any(|wanted| wanted.service == *service) {
                self.retire(&record.assignment.group);
            }
        }
    }

    fn plan_service(&mut self, wanted: &WantedService) {
        let mut kept = 0;
        let groups: Vec<&GroupRecord> = self
            .active_groups()
            .into_iter()
            .filter(|record| record.assignment.service == wanted.service)
            .collect();
        let (current, outdated): (Vec<_>, Vec<_>) =
            groups.into_iter().partition(|record| wanted.is_current(&record.assignment));
        for record in current {
            if kept < wanted.backend.groups && self.keep(record, wanted) {
                kept += 1;
            } else {
                self.retire(&record.assignment.group);
            }
        }
        while kept < wanted.backend.groups && self.form(wanted) {
            kept += 1;
        }
        self.retire_outdated(wanted, &outdated, kept);
    }

    /// Retires groups of another version one at a time, and all that remain once enough groups of
    /// the declared version are whole. Outdated groups that aren't whole go before those that
    /// serve.
    fn retire_outdated(&mut self, wanted: &WantedService, outdated: &[&GroupRecord], kept: u32) {
        let whole = |record: &&GroupRecord| self.input.whole.contains(&record.assignment.group);
        let current_whole = self
            .active_groups()
            .iter()
            .filter(|record| record.assignment.service == wanted.service)
            .filter(|record| wanted.is_current(&record.assignment))
            .filter(|record| self.input.whole.contains(&record.assignment.group))
            .count();
        let all_serve = current_whole >= wanted.backend.groups as usize;
        let has_incomplete = kept as usize > current_whole;
        let (serving, broken): (Vec<&GroupRecord>, Vec<&GroupRecord>) =
            outdated.iter().copied().partition(whole);
        let retired: Vec<GroupId> = if all_serve {
            outdated.iter().map(|record| record.assignment.group.clone()).collect()
        } else if !broken.is_empty() {
            broken.iter().map(|record| record.assignment.group.clone()).collect()
        } else if has_incomplete || self.is_retiring(wanted) {
            Vec::new()
        } else {
            serving.first().map(|record| record.assignment.group.clone()).into_iter().collect()
        };
        for group in retired {
            self.retire(&group);
        }
    }

    /// Replaces a group's lost members, or changes its adapters. Returns whether the group stays.
    fn keep(&mut self, record: &GroupRecord, wanted: &WantedService) -> bool {
        let members = &record.assignment.members;
        let lost: Vec<&VmId> = members.iter().filter(|vm| self.is_lost(vm)).collect();
        let same_adapters = record.assignment.adapters == wanted.backend.adapters;
        if lost.is_empty() && (same_adapters || !self.may_interrupt(record)) {
            return true;
        }
        if lost.len() == members.len() {
            return false;
        }
        let spares = self.take(&record.fabric_domain, lost.len());
        let Some(spares) = spares else {
            return false;
        };
        let members = replace_lost(members, &lost, spares);
        let assignment = wanted.next_assignment(&record.assignment, members);
        self.actions.push(PlannerAction::Reassign { assignment });
        true
    }

    /// Forms a group if some fabric domain has enough available VMs. Returns whether it did.
    fn form(&mut self, wanted: &WantedService) -> bool {
        let size = wanted.version.vms_per_group as usize;
        let domains: BTreeSet<FabricDomain> =
            self.input.vms.values().map(|vm| vm.record.fabric_domain.clone()).collect();
        for domain in domains {
            let Some(members) = self.take(&domain, size) else { continue };
            let Some(group) = self.new_names.next() else { return false };
            let assignment = wanted.first_assignment(group.clone(), members);
            self.actions.push(PlannerAction::Form { assignment, fabric_domain: domain });
            return true;
        }
        false
    }

    /// Takes `count` available VMs of a fabric domain, or none.
    fn take(&mut self, domain: &FabricDomain, count: usize) -> Option<Vec<VmId>> {
        let in_domain = |vm: &&VmId| {
            self.input.vms.get(*vm).is_some_and(|vm| vm.record.fabric_domain == *domain)
        };
        let taken: Vec<VmId> =
            self.available.iter().filter(in_domain).take(count).cloned().collect();
        if taken.len() < count {
            return None;
        }
        for vm in &taken {
            self.available.remove(vm);
        }
        Some(taken)
    }

    fn retire(&mut self, group: &GroupId) {
        self.actions.push(PlannerAction::Retire { group: group.clone() });
    }

    /// Whether a serving group may be interrupted to change its adapters: all other groups of its
    /// service must be whole, and none of them may be changed by this plan.
    fn may_interrupt(&self, record: &GroupRecord) -> bool {
        let service = &record.assignment.service;
        let others_whole = self
            .active_groups()
            .iter()
            .map(|other| &other.assignment)
            .filter(|other| other.service == *service && other.group != record.assignment.group)
            .all(|other| self.input.whole.contains(&other.group));
        let in_change = self.actions.iter().any(|action| {
            matches!(action, PlannerAction::Reassign { assignment } if assignment.service == *service)
        });
        others_whole && !in_change
    }

    fn is_lost(&self, vm: &VmId) -> bool {
        self.input.vms.get(vm).is_none_or(|vm: &PlannerVm| {
            vm.leaving || vm.drained || vm.unresponsive_for > self.loss_timeout
        })
    }

    fn is_retiring(&self, wanted: &WantedService) -> bool {
        self.input.groups.values().any(|record| {
            record.phase == GroupPhase::Retiring && record.assignment.service == wanted.service
        })
    }

    fn active_groups(&self) -> Vec<&'a GroupRecord> {
        let groups = self.input.groups.values();
        groups.filter(|record| record.phase == GroupPhase::Active).collect()
    }
}
