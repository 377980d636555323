//! Which free servers go together.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use comfreyturn_types::{FabricDomain, FleetServer, ModelName, PooledModel};

use crate::{FleetView, fleet_planner::by_need};

/// The free servers of one fabric domain.
#[derive(Clone, Debug)]
pub(crate) struct DomainPool<'a> {
    servers: Vec<&'a FleetServer>,
}

/// Sorts free servers by fabric domain. Servers without one are alone.
pub(crate) fn pool_servers<'a>(free: impl Iterator<Item = &'a FleetServer>) -> Vec<DomainPool<'a>> {
    let mut domains: BTreeMap<Option<&FabricDomain>, Vec<&'a FleetServer>> = BTreeMap::new();
    for server in free {
        domains.entry(server.fabric_domain.as_ref()).or_default().push(server);
    }
    domains
        .into_values()
        .map(|mut servers| {
            servers.sort_by(|a, b| a.life.cmp(&b.life));
            DomainPool { servers }
        })
        .collect()
}

/// The members of a new group of a model: from the domain where they are ready soonest, and among
/// equals from the one with the most servers free.
pub(crate) fn best_pool<'a>(
    pools: &[DomainPool<'a>],
    model: &PooledModel,
) -> Option<Vec<&'a FleetServer>> {
    let size = model.group_size as usize;
    let candidates = pools.iter().filter_map(|pool| Some((pool, pool.soonest(model, size)?)));
    let best = candidates.min_by_key(|(pool, members)| {
        let ready = members.iter().map(|server| join_time(server, model)).max();
        (ready, std::cmp::Reverse(pool.servers.len()))
    });
    best.map(|(_, members)| members)
}

/// Time of a join of the model that a server was in a group for last.
const REJOIN_TIME: Duration = Duration::from_millis(200);

/// How long a server takes to join a group of the model.
fn join_time(server: &FleetServer, model: &PooledModel) -> Duration {
    let staged = server.staged.contains(&model.name);
    if staged && server.model.as_ref() == Some(&model.name) {
        REJOIN_TIME
    } else if staged {
        model.warm_time
    } else {
        model.load_time
    }
}

impl<'a> DomainPool<'a> {
    fn soonest(&self, model: &PooledModel, size: usize) -> Option<Vec<&'a FleetServer>> {
        if size == 0 || self.servers.len() < size {
            return None;
        }
        let mut servers = self.servers.clone();
        servers.sort_by_key(|server| join_time(server, model));
        servers.truncate(size);
        Some(servers)
    }

    /// Servers of the domain that should load weights, with the model.
    ///
    /// First comes a model that lacks groups and could have one here. Else a server without any
    /// weights gets those of the largest model that the domain has no spare for, since the loss
    /// of one member strands the most servers there.
    pub(crate) fn wanted_weights(
        &self,
        view: &FleetView<'a>,
        targets: &HashMap<ModelName, u32>,
        active: &HashMap<ModelName, u32>,
    ) -> Vec<(&'a FleetServer, ModelName)> {
        let lacking = by_need(view, active).into_iter().find(|model| {
            let wanted = targets.get(&model.name).copied().unwrap_or_default();
            let there = active.get(&model.name).copied().unwrap_or_default();
            there < wanted && self.servers.len() >= model.group_size as usize
        });
        if let Some(model) = lacking {
            let members = self.soonest(model, model.group_size as usize).unwrap_or_default();
            let unstaged =
                members.into_iter().filter(|server| !server.staged.contains(&model.name));
            return unstaged.map(|server| (server, model.name.clone())).collect();
        }
        self.wanted_spares(view)
    }

    fn wanted_spares(&self, view: &FleetView<'a>) -> Vec<(&'a FleetServer, ModelName)> {
        let mut models: Vec<&PooledModel> = view.engine.models.iter().collect();
        models.sort_by_key(|model| std::cmp::Reverse(model.group_size));
        let mut spares: HashMap<&ModelName, usize> = HashMap::new();
        for model in self.servers.iter().flat_map(|server| &server.staged) {
            *spares.entry(model).or_default() += 1;
        }
        let mut wanted = Vec::new();
        for server in self.servers.iter().filter(|server| server.staged.is_empty()) {
            let count =
                |model: &&&PooledModel| spares.get(&model.name).copied().unwrap_or_default();
            let Some(model) = models.iter().min_by_key(count) else { break };
            *spares.entry(&model.name).or_default() += 1;
            wanted.push((*server, model.name.clone()));
        }
        wanted
    }
}
