//! Staging of weights on free servers before a group needs them.

use std::{
    collections::{HashMap, HashSet},
    time::Instant,
};

use comfreyturn_ports::FleetAction;
use comfreyturn_types::{FleetServer, MemberPhase, ModelName, ServerLife};

use crate::{
    FleetPlanner, FleetView,
    fleet_match::{FreePool, GroupShortage, LoadChoice, PoolServer, pool_servers},
    fleet_plan::FleetPlan,
    fleet_planner::{is_usable, membership_model},
    fleet_state::member_phase,
    planned_group::{FleetIndex, GroupHealth},
};

impl FleetPlanner {
    /// Orders loads in advance, within the rates of the weight store.
    pub(crate) fn stage_weights(
        &mut self,
        now: Instant,
        index: &FleetIndex<'_>,
        plan: &mut FleetPlan,
    ) {
        let view = index.view;
        let targets = self.targets(view);
        if view.before_traffic && self.awaits_group(view, &targets, plan) {
            return;
        }
        while view.before_traffic || self.may_load(view) {
            let shortage = GroupShortage { view, targets: &targets, active: &plan.active };
            let pools = self.pools(view, &plan.held);
            let choices = pools.iter().filter_map(|pool| pool.best_load(&shortage));
            let best = choices.max_by(|a, b| a.score.total_cmp(&b.score));
            let Some(LoadChoice { server, model, .. }) = best else { break };
            self.stage(now, server, model, plan);
        }
        // Under traffic the few places at the weight store are left to spares.
        if !view.before_traffic {
            return;
        }
        for (server, model) in self.second_loads(now, index, &targets, plan) {
            if !self.may_load(view) {
                return;
            }
            self.stage(now, server, model, plan);
        }
    }

    fn stage(
        &mut self,
        now: Instant,
        server: &FleetServer,
        model: ModelName,
        plan: &mut FleetPlan,
    ) {
        self.staging.insert(server.life.clone(), (model.clone(), now));
        self.load_starts.push(now);
        plan.order(&server.life, FleetAction::Stage { model });
    }

    /// Weights of a second model for members of serving groups.
    ///
    /// A member joins a group of its own model again without weights on its host, so the host has
    /// room for those of a model with larger groups, and the server can serve either. A server that
    /// restarts has only what its host keeps, so half of each group stays as it is.
    fn second_loads<'a>(
        &self,
        now: Instant,
        index: &FleetIndex<'a>,
        targets: &HashMap<ModelName, u32>,
        plan: &FleetPlan,
    ) -> Vec<(&'a FleetServer, ModelName)> {
        let view = index.view;
        let shortage = GroupShortage { view, targets, active: &plan.active };
        let mut loads = Vec::new();
        for group in self.groups.values() {
            let is_stable = !group.yielding
                && !group.is_evacuated(view)
                && !group.is_awaited(view)
                && group.health(now, index, &self.settings) == GroupHealth::Serving;
            let model = shortage.second_model(&group.record.model);
            let Some(model) = model.filter(|_| is_stable) else { continue };
            let kept = group.record.members.len().div_ceil(2);
            let servers = group.lives().skip(kept).filter_map(|life| index.find(life));
            let lacks = |server: &&FleetServer| {
                !server.staged.contains(&model.name) && !self.staging.contains_key(&server.life)
            };
            loads.extend(servers.filter(lacks).map(|server| (server, model)));
        }
        loads.into_iter().map(|(server, model)| (server, model.name.clone())).collect()
    }

    /// Whether a model lacks a group that some domain has room for. Groups take the loads of the
    /// weight store before spares do.
    fn awaits_group(
        &self,
        view: &FleetView<'_>,
        targets: &HashMap<ModelName, u32>,
        plan: &FleetPlan,
    ) -> bool {
        let shortage = GroupShortage { view, targets, active: &plan.active };
        let pools = self.pools(view, &plan.held);
        let models = view.engine.models.iter();
        models
            .filter(|model| shortage.is_short(&model.name))
            .any(|model| pools.iter().any(|pool| pool.has_room(model, 0.0)))
    }

    /// Whether one more load stays within the rates of the weight store.
    fn may_load(&self, view: &FleetView<'_>) -> bool {
        let starts = self.load_starts.len() as f64 + 1.0;
        let has_place = self.loading(view) < view.engine.loads_at_once as usize;
        has_place && starts <= view.engine.loads_per_second
    }

    /// Free servers by fabric domain.
    pub(crate) fn pools<'a>(
        &self,
        view: &FleetView<'a>,
        held: &HashSet<ServerLife>,
    ) -> Vec<FreePool<'a>> {
        let usable = view.servers.iter().copied().filter(|server| is_usable(view, server));
        let (grouped, free): (Vec<_>, Vec<_>) =
            usable.partition(|server| held.contains(&server.life));
        let free = free.into_iter().map(|server| PoolServer {
            server,
            loading: self.staging.get(&server.life).map(|(model, _)| model.clone()),
        });
        let groups = self.groups.values().filter(|group| !group.dissolving);
        let models: HashMap<&ServerLife, &ModelName> = groups
            .flat_map(|group| group.lives().map(|life| (life, &group.record.model)))
            .collect();
        let grouped = grouped.into_iter().map(|server| {
            let model = models.get(&server.life).copied().or(server.model.as_ref());
            (server, model.cloned())
        });
        pool_servers(free, grouped)
    }

    /// Number of servers that are loading weights.
    pub(crate) fn loading(&self, view: &FleetView<'_>) -> usize {
        let joining = view.servers.iter().filter(|server| {
            let staged =
                membership_model(view, server).is_none_or(|model| server.staged.contains(model));
            member_phase(server) == Some(MemberPhase::Joining)
                && !staged
                && !self.staging.contains_key(&server.life)
        });
        self.staging.len() + joining.count()
    }
}
