//! Forming of new groups of free servers.

use std::{collections::HashMap, time::Instant};

use comfreyturn_types::{FleetGroupRecord, FleetServer, ModelName, PooledModel};

use crate::{
    FleetPlanner, FleetView,
    fleet_match::{FreePool, GroupShortage, choose_members, holds_weights},
    fleet_plan::FleetPlan,
    fleet_planner::{is_usable, member_record},
    fleet_state::group_name,
    fleet_target::{demanded_groups, target_groups},
    planned_group::PlannedGroup,
};

impl FleetPlanner {
    /// Plans new groups. Their members are ordered to join once the rows are written.
    pub(crate) fn form_groups(&mut self, now: Instant, view: &FleetView<'_>, plan: &mut FleetPlan) {
        let targets = self.targets(view);
        loop {
            let pools = self.pools(view, &plan.held);
            let loading = self.loading(view);
            let next = self.next_group(view, &targets, &plan.active, &pools, loading);
            let Some((model, members)) = next else { return };
            self.add_group(now, view, &model.name, &members, plan);
        }
    }

    /// Adds a group of free servers.
    pub(crate) fn add_group(
        &mut self,
        now: Instant,
        view: &FleetView<'_>,
        model: &ModelName,
        members: &[&FleetServer],
        plan: &mut FleetPlan,
    ) {
        let record = FleetGroupRecord {
            group: group_name(model, self.next_epoch),
            service: view.service.clone(),
            epoch: self.next_epoch,
            model: model.clone(),
            members: members.iter().map(|server| member_record(server)).collect(),
        };
        self.next_epoch += 1;
        for server in members.iter().filter(|server| !holds_weights(server, model)) {
            self.staging.insert(server.life.clone(), (model.clone(), now));
            self.load_starts.push(now);
        }
        let group = PlannedGroup {
            is_own: true,
            may_be_open: false,
            ..PlannedGroup::new(record, now, false)
        };
        plan.hold(&group);
        *plan.active.entry(model.clone()).or_default() += 1;
        self.groups.insert(group.record.group.clone(), group);
    }

    pub(crate) fn targets(&self, view: &FleetView<'_>) -> HashMap<ModelName, u32> {
        if view.is_work_measured {
            return demanded_groups(view.engine, view.work, self.settings.utilization);
        }
        let usable = view.servers.iter().filter(|server| is_usable(view, server)).count();
        target_groups(view.engine, view.work, usable, self.settings.spare_share)
    }

    /// The model with the greatest need for a group that can be formed now, with its members.
    fn next_group<'a>(
        &self,
        view: &FleetView<'a>,
        targets: &HashMap<ModelName, u32>,
        active: &HashMap<ModelName, u32>,
        pools: &[FreePool<'a>],
        loading: usize,
    ) -> Option<(&'a PooledModel, Vec<&'a FleetServer>)> {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small number of loads"
        )]
        let limit =
            (f64::from(view.engine.loads_at_once) * self.settings.first_load_factor) as usize;
        let free_loads = if loading == 0 { usize::MAX } else { limit.saturating_sub(loading) };
        let shortage = GroupShortage { view, targets, active };
        let mut models: Vec<&PooledModel> = view.engine.models.iter().collect();
        models.sort_by(|a, b| shortage.need(&b.name).total_cmp(&shortage.need(&a.name)));
        // The members of a group of the model, and whether the weight store has places for their loads.
        // With a reserve share, each domain keeps that share of its servers free.
        let choose = |model: &PooledModel, reserve_share: Option<f64>| {
            let has_room = |pool: &&FreePool<'a>| {
                reserve_share.is_none_or(|share| pool.has_room(model, share))
                    && shortage.leaves_room(pool, pools, model)
            };
            let roomy: Vec<FreePool<'a>> = pools.iter().filter(has_room).cloned().collect();
            let members = choose_members(&roomy, model)?;
            let loads = members.iter().filter(|server| !holds_weights(server, &model.name));
            let loads = loads.count();
            (loads == 0 || view.before_traffic).then_some((members, loads <= free_loads))
        };
        for model in models.iter().filter(|model| shortage.is_short(&model.name)) {
            match choose(model, None) {
                Some((members, true)) => return Some((model, members)),
                // Models with smaller groups would take the next places at the weight store.
                Some((_, false)) => return None,
                None => {}
            }
        }
        // Domains that can hold no group of the models that lack one, but have more free servers
        // than they need as spares, serve other models.
        models.into_iter().find_map(|model| {
            let (members, _) =
                choose(model, Some(self.settings.spare_share)).filter(|(_, may_load)| *may_load)?;
            Some((model, members))
        })
    }
}
