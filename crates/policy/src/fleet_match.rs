//! Which free servers go together, and which weights they should load ahead.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use comfreyturn_types::{FabricDomain, FleetServer, ModelName, PooledModel};

use crate::FleetView;

/// A free server, with the model whose weights it loads.
#[derive(Clone, Debug)]
pub(crate) struct PoolServer<'a> {
    pub(crate) server: &'a FleetServer,
    pub(crate) loading: Option<ModelName>,
}

impl PoolServer<'_> {
    /// Whether the weights of the model are on its host, or will be.
    fn has(&self, model: &ModelName) -> bool {
        match &self.loading {
            Some(loading) => loading == model,
            None => self.server.staged.contains(model),
        }
    }

    fn is_blank(&self) -> bool {
        self.loading.is_none() && self.server.staged.is_empty()
    }
}

/// The free servers of one fabric domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct DomainPool<'a> {
    servers: Vec<PoolServer<'a>>,

    /// Servers of the domain that are in groups.
    bound: usize,
}

/// Sorts servers by fabric domain. Servers without one are alone.
pub(crate) fn pool_servers<'a>(
    free: impl Iterator<Item = PoolServer<'a>>,
    bound: impl Iterator<Item = &'a FleetServer>,
) -> Vec<DomainPool<'a>> {
    let mut domains: BTreeMap<Option<&FabricDomain>, DomainPool<'a>> = BTreeMap::new();
    for server in free {
        let domain = domains.entry(server.server.fabric_domain.as_ref()).or_default();
        domain.servers.push(server);
    }
    for server in bound {
        domains.entry(server.fabric_domain.as_ref()).or_default().bound += 1;
    }
    let mut pools: Vec<DomainPool<'a>> = domains.into_values().collect();
    for pool in &mut pools {
        pool.servers.sort_by(|a, b| a.server.life.cmp(&b.server.life));
    }
    pools
}

/// The members of a new group of a model: from the domain where they are ready soonest, and among
/// equals from the one with the fewest servers in groups, so that spares stay everywhere.
pub(crate) fn best_pool<'a>(
    pools: &[DomainPool<'a>],
    model: &PooledModel,
) -> Option<Vec<&'a FleetServer>> {
    let size = model.group_size as usize;
    let candidates = pools.iter().filter_map(|pool| Some((pool, pool.soonest(model, size)?)));
    let best = candidates.min_by_key(|(pool, members)| {
        let ready = members.iter().map(|server| join_time(server, model)).max();
        (ready, pool.bound, std::cmp::Reverse(pool.servers.len()))
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

/// How much models lack groups.
pub(crate) struct GroupLack<'a> {
    pub(crate) view: &'a FleetView<'a>,
    pub(crate) targets: &'a HashMap<ModelName, u32>,
    pub(crate) active: &'a HashMap<ModelName, u32>,
}

/// Groups that a model without any is taken to have, so that its need stays finite.
const FIRST_GROUP_PART: f64 = 0.5;

impl GroupLack<'_> {
    fn lacks(&self, model: &ModelName) -> bool {
        self.active.get(model).unwrap_or(&0) < self.targets.get(model).unwrap_or(&0)
    }

    /// Work for each group.
    pub(crate) fn need(&self, model: &ModelName) -> f64 {
        let work = self.view.work.get(model).copied().unwrap_or_default();
        let groups = f64::from(self.active.get(model).copied().unwrap_or_default());
        work / groups.max(FIRST_GROUP_PART)
    }
}

/// Spares of each model that a domain keeps though the model lacks no group.
const KEPT_SPARES: usize = 1;

/// How many times the need of another model must be greater for it to take a server over.
const GREATER_NEED: f64 = 1.5;

/// Weights that a server should load.
pub(crate) struct LoadChoice<'a> {
    pub(crate) server: &'a FleetServer,
    pub(crate) model: ModelName,

    /// Need of the model for each load until a group can form; zero for a spare.
    pub(crate) score: f64,
}

impl<'a> DomainPool<'a> {
    fn soonest(&self, model: &PooledModel, size: usize) -> Option<Vec<&'a FleetServer>> {
        let settled = self.servers.iter().filter(|server| server.loading.is_none());
        let mut servers: Vec<&FleetServer> = settled.map(|server| server.server).collect();
        if size == 0 || servers.len() < size {
            return None;
        }
        servers.sort_by_key(|server| join_time(server, model));
        servers.truncate(size);
        Some(servers)
    }

    /// Servers that have the weights of a model, or will.
    fn ready(&self, model: &ModelName) -> usize {
        self.servers.iter().filter(|server| server.has(model)).count()
    }

    /// Free servers by the weights that they have, for logs.
    pub(crate) fn summary(&self, models: &[PooledModel]) -> String {
        let counts = models.iter().map(|model| self.ready(&model.name).to_string());
        let blank = self.servers.iter().filter(|server| server.is_blank()).count();
        let domain = self.servers.first().and_then(|server| server.server.fabric_domain.as_ref());
        let domain = domain.map_or("none", |domain| domain.as_str());
        format!(" {domain} {}+{blank}", counts.collect::<Vec<_>>().join("/"))
    }

    /// The load that helps most here.
    ///
    /// Loads are rare: a model that lacks groups gets one where the fewest loads complete a
    /// group. Else a server without weights becomes a spare.
    pub(crate) fn best_load(&self, lack: &GroupLack<'_>) -> Option<LoadChoice<'a>> {
        let models = lack.view.engine.models.iter();
        let lacking = models.filter(|model| lack.lacks(&model.name));
        let choices = lacking.filter_map(|model| self.completing_load(lack, model));
        let best = choices.max_by(|a, b| a.score.total_cmp(&b.score));
        best.or_else(|| self.spare_load(lack))
    }

    /// The next load towards a group of the model.
    fn completing_load(&self, lack: &GroupLack<'_>, model: &PooledModel) -> Option<LoadChoice<'a>> {
        let size = model.group_size as usize;
        let ready = self.ready(&model.name);
        let missing = size - ready % size;
        let mut candidates: Vec<&PoolServer<'_>> = self
            .servers
            .iter()
            .filter(|server| server.loading.is_none() && !server.has(&model.name))
            .filter(|server| server.is_blank() || self.is_surplus(lack, server, model))
            .collect();
        if candidates.len() < missing {
            return None;
        }
        candidates.sort_by_key(|server| !server.is_blank());
        let server = candidates.first()?.server;
        #[expect(clippy::cast_precision_loss, reason = "a group has few members")]
        let score = lack.need(&model.name) / missing as f64;
        Some(LoadChoice { server, model: model.name.clone(), score })
    }

    /// Whether the weights of a server may give way to those of another model: its own model lacks
    /// no group and has another spare here, or the server is one too many for whole groups and the
    /// other model is in much greater need.
    fn is_surplus(
        &self,
        lack: &GroupLack<'_>,
        server: &PoolServer<'_>,
        other: &PooledModel,
    ) -> bool {
        let models = &lack.view.engine.models;
        server.server.staged.iter().all(|staged| {
            let Some(model) = models.iter().find(|model| model.name == *staged) else {
                return true;
            };
            let ready = self.ready(staged);
            let is_odd = !ready.is_multiple_of(model.group_size as usize);
            let yields = lack.need(&other.name) > lack.need(staged) * GREATER_NEED;
            (!lack.lacks(staged) && ready > KEPT_SPARES) || (is_odd && yields)
        })
    }

    /// A spare for the model that the domain has the fewest spares of, and of the largest one
    /// among equals, since the loss of one member strands the most servers there.
    fn spare_load(&self, lack: &GroupLack<'_>) -> Option<LoadChoice<'a>> {
        let blank = self.servers.iter().find(|server| server.is_blank())?;
        let mut models: Vec<&PooledModel> = lack.view.engine.models.iter().collect();
        models.sort_by_key(|model| std::cmp::Reverse(model.group_size));
        let spares = |model: &&&PooledModel| self.ready(&model.name);
        let model = models.iter().min_by_key(spares)?;
        Some(LoadChoice { server: blank.server, model: model.name.clone(), score: 0.0 })
    }
}
