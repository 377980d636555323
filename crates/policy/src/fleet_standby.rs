//! Spares that are kept warm for the groups that they would repair.
//!
//! A server joins a group without reading weights if its last group ran the same model; from the
//! weights on its host it takes several times as long. So a spare joins a standby group, which has
//! no other member and is never opened, of the model of the groups beside it.

use std::time::Instant;

use comfreyturn_ports::FleetAction;
use comfreyturn_types::{EngineSpec, FleetServer, GroupId, ModelName, PooledModel, ServerLife};

use crate::{
    FleetPlanner, FleetView,
    fleet_match::{FreePool, REJOIN_TIME},
    fleet_plan::FleetPlan,
    fleet_state::{group_model, group_name},
};

/// Ends the name of a standby group. Builds that know no standby groups find no model by such a
/// name, so they see a free server that is in none of their groups.
const STANDBY_SUFFIX: &str = ".standby";

/// A standby group pays if a join from the host's weights takes at least this many times as long as
/// a join of the model of the last group.
const MIN_WARM_FACTOR: u32 = 2;

/// A standby group that a spare was ordered to join, until the spare reports it.
#[derive(Clone, Debug)]
pub(crate) struct StandbyOrder {
    model: ModelName,
    epoch: u64,
    since: Instant,
}

impl FleetPlanner {
    /// Orders free servers into standby groups. The epoch of each is older than that of any group
    /// that the server is ordered to join later, so a late order can't take it out of that group.
    pub(crate) fn warm_spares(&mut self, now: Instant, view: &FleetView<'_>, plan: &mut FleetPlan) {
        // Loads are short before the first request, and no spare is chosen yet.
        if view.before_traffic {
            self.standbys.clear();
            return;
        }
        self.forget_standbys(now, view, plan);
        let pools = self.pools(view, &plan.held);
        let warm_model = |server| self.warm_model(view, server);
        let chosen =
            pools.iter().flat_map(|pool| pool.spares_to_warm(&view.engine.models, warm_model));
        let orders: Vec<(ServerLife, ModelName)> =
            chosen.map(|(server, model)| (server.life.clone(), model.name.clone())).collect();
        for (life, model) in orders {
            let order = StandbyOrder { model, epoch: self.next_epoch, since: now };
            self.next_epoch += 1;
            self.standbys.insert(life, order);
        }
        for (life, StandbyOrder { model, epoch, .. }) in &self.standbys {
            let action = FleetAction::Join {
                group: standby_name(model, *epoch),
                epoch: *epoch,
                model: model.clone(),
                members: vec![life.vm.clone()],
            };
            plan.order(life, action);
        }
    }

    /// Forgets orders that were carried out or had no effect in time, and those to servers that
    /// belong to a group by now.
    fn forget_standbys(&mut self, now: Instant, view: &FleetView<'_>, plan: &FleetPlan) {
        let timeout = self.settings.form_timeout;
        self.standbys.retain(|life, order| {
            let server = view.servers.iter().find(|server| server.life == *life);
            let is_pending = server.is_some_and(|server| {
                let membership = server.membership.as_ref();
                membership.is_none_or(|membership| membership.epoch < order.epoch)
            });
            let is_recent = now.saturating_duration_since(order.since) < timeout;
            is_pending && is_recent && !plan.held.contains(life)
        });
    }

    /// The model whose groups a free server joins without reading weights, or is about to.
    fn warm_model<'a>(
        &'a self,
        view: &FleetView<'a>,
        server: &'a FleetServer,
    ) -> Option<&'a ModelName> {
        if let Some(order) = self.standbys.get(&server.life) {
            return Some(&order.model);
        }
        let membership = server.membership.as_ref();
        let standby =
            membership.and_then(|membership| standby_model(view.engine, &membership.group));
        standby.map(|model| &model.name).or(server.model.as_ref())
    }
}

impl<'a> FreePool<'a> {
    /// Free servers of the domain that should join a standby group, with its model: one that they
    /// have on their host, that groups of the domain run, and that has the fewest warm spares for
    /// its grouped servers. A spare that is warm for such a model stays so, unless another one is
    /// warm for it too and the new model has none.
    pub(crate) fn spares_to_warm<'b>(
        &self,
        models: &'b [PooledModel],
        warm_model: impl Fn(&'a FleetServer) -> Option<&'b ModelName>,
    ) -> Vec<(&'a FleetServer, &'b PooledModel)>
    where
        'a: 'b,
    {
        let mut idle: Vec<(&'a FleetServer, Option<&'b ModelName>)> =
            self.idle().map(|server| (server, warm_model(server))).collect();
        let mut chosen = Vec::new();
        for position in 0..idle.len() {
            let (server, own) = idle[position];
            let warm =
                |model: &ModelName| idle.iter().filter(|(_, warm)| *warm == Some(model)).count();
            let is_needed = |own: &&ModelName| self.grouped_with(own) > 0 && warm(own) < 2;
            if own.filter(is_needed).is_some() {
                continue;
            }
            let losses_per_spare = |model: &PooledModel| {
                self.grouped_with(&model.name) as f64 / (warm(&model.name) + 1) as f64
            };
            let is_candidate = |model: &&PooledModel| {
                let can_warm = own != Some(&model.name) && server.staged.contains(&model.name);
                let is_wanted =
                    own.is_none_or(|own| self.grouped_with(own) == 0) || warm(&model.name) == 0;
                can_warm && is_wanted && self.grouped_with(&model.name) > 0 && pays(model)
            };
            let best = models
                .iter()
                .filter(is_candidate)
                .max_by(|a, b| losses_per_spare(a).total_cmp(&losses_per_spare(b)));
            if let Some(model) = best {
                idle[position].1 = Some(&model.name);
                chosen.push((server, model));
            }
        }
        chosen
    }
}

/// Whether a warm spare of the model saves time. A group of one would be whole, so it has none.
fn pays(model: &PooledModel) -> bool {
    model.group_size > 1 && model.warm_time >= REJOIN_TIME * MIN_WARM_FACTOR
}

fn standby_name(model: &ModelName, epoch: u64) -> GroupId {
    GroupId::from(format!("{}{STANDBY_SUFFIX}", group_name(model, epoch)))
}

/// Whether this is the name of a standby group.
pub fn is_standby_group(group: &GroupId) -> bool {
    group.as_str().ends_with(STANDBY_SUFFIX)
}

/// The model of a standby group, by its name; `None` for all other groups.
pub fn standby_model<'a>(engine: &'a EngineSpec, group: &GroupId) -> Option<&'a PooledModel> {
    let name = group.as_str().strip_suffix(STANDBY_SUFFIX)?;
    group_model(engine, &GroupId::from(name))
}
