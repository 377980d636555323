//! Staging of weights on free servers before a group needs them.

use std::{
    collections::{HashMap, HashSet},
    time::Instant,
};

use comfreyturn_ports::FleetAction;
use comfreyturn_types::{MemberPhase, ModelName, ServerLife};

use crate::{
    FleetPlanner, FleetView,
    fleet_match::{FreePool, GroupShortage, LoadChoice, PoolServer, pool_servers},
    fleet_plan::FleetPlan,
    fleet_planner::{is_usable, membership_model},
    fleet_state::member_phase,
};

impl FleetPlanner {
    /// Orders loads in advance, within the rates of the weight store.
    pub(crate) fn stage_weights(
        &mut self,
        now: Instant,
        view: &FleetView<'_>,
        plan: &mut FleetPlan,
    ) {
        let targets = self.targets(view);
        if view.before_traffic && self.awaits_group(view, &targets, plan) {
            return;
        }
        while view.before_traffic || self.may_load(view) {
            let shortage = GroupShortage { view, targets: &targets, active: &plan.active };
            let pools = self.pools(view, &plan.held);
            let choices = pools.iter().filter_map(|pool| pool.best_load(&shortage));
            let best = choices.max_by(|a, b| a.score.total_cmp(&b.score));
            let Some(LoadChoice { server, model, .. }) = best else { return };
            self.staging.insert(server.life.clone(), (model.clone(), now));
            self.load_starts.push(now);
            plan.order(&server.life, FleetAction::Stage { model });
        }
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
        pool_servers(free, grouped.into_iter())
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
