//! Matching of free servers to new groups, and of weights to load in advance.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use comfreyturn_types::{FabricDomain, FleetServer, ModelName, PooledModel};

use crate::FleetView;

/// A free server, with the model whose weights it is loading.
#[derive(Clone, Debug)]
pub(crate) struct PoolServer<'a> {
    pub(crate) server: &'a FleetServer,
    pub(crate) loading: Option<ModelName>,
}

impl PoolServer<'_> {
    /// Whether the weights of the model are staged on its host or being loaded.
    fn has_weights(&self, model: &ModelName) -> bool {
        match &self.loading {
            Some(loading) => loading == model,
            None => holds_weights(self.server, model),
        }
    }

    fn has_no_weights(&self) -> bool {
        self.loading.is_none() && self.server.staged.is_empty()
    }
}

/// Whether a server joins a group of the model without a load: the weights are staged on its host,
/// or the model is that of its last group.
pub(crate) fn holds_weights(server: &FleetServer, model: &ModelName) -> bool {
    server.model.as_ref() == Some(model) || server.staged.contains(model)
}

/// The free servers of one fabric domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct FreePool<'a> {
    servers: Vec<PoolServer<'a>>,

    /// Number of servers of the domain that are in groups.
    grouped: usize,

    /// The same by the model of the group.
    grouped_by_model: HashMap<ModelName, usize>,
}

/// Sorts servers by fabric domain: free ones, and those in groups with the models of these. Servers
/// without a fabric domain share a pool of their own.
pub(crate) fn pool_servers<'a>(
    free: impl Iterator<Item = PoolServer<'a>>,
    grouped: impl Iterator<Item = (&'a FleetServer, Option<ModelName>)>,
) -> Vec<FreePool<'a>> {
    let mut domains: BTreeMap<Option<&FabricDomain>, FreePool<'a>> = BTreeMap::new();
    for server in free {
        let domain = domains.entry(server.server.fabric_domain.as_ref()).or_default();
        domain.servers.push(server);
    }
    for (server, model) in grouped {
        let pool = domains.entry(server.fabric_domain.as_ref()).or_default();
        pool.grouped += 1;
        if let Some(model) = model {
            *pool.grouped_by_model.entry(model).or_default() += 1;
        }
    }
    let mut pools: Vec<FreePool<'a>> = domains.into_values().collect();
    for pool in &mut pools {
        pool.servers.sort_by(|a, b| a.server.life.cmp(&b.server.life));
    }
    pools
}

/// Selects the members of a new group of a model: from the domain where they are ready soonest. Among
/// equals it is the one with the fewest servers in groups of the model, then in any group, so that
/// every domain keeps spares, and servers of other models beside a group that may need them.
pub(crate) fn choose_members<'a>(
    pools: &[FreePool<'a>],
    model: &PooledModel,
) -> Option<Vec<&'a FleetServer>> {
    let size = model.group_size as usize;
    let candidates = pools.iter().filter_map(|pool| Some((pool, pool.soonest(model, size)?)));
    let best = candidates.min_by_key(|(pool, members)| {
        let ready = members.iter().map(|server| join_time(server, model)).max();
        (ready, pool.grouped_with(&model.name), pool.grouped, std::cmp::Reverse(pool.servers.len()))
    });
    best.map(|(_, members)| members)
}

/// Join time of a server whose last group ran the same model.
pub(crate) const REJOIN_TIME: Duration = Duration::from_millis(200);

/// How long a server takes to join a group of the model.
fn join_time(server: &FleetServer, model: &PooledModel) -> Duration {
    if server.model.as_ref() == Some(&model.name) {
        REJOIN_TIME
    } else if server.staged.contains(&model.name) {
        model.warm_time
    } else {
        model.load_time
    }
}

/// Demand for groups of each model, against the groups that are active.
pub(crate) struct GroupShortage<'a> {
    pub(crate) view: &'a FleetView<'a>,
    pub(crate) targets: &'a HashMap<ModelName, u32>,
    pub(crate) active: &'a HashMap<ModelName, u32>,
}

/// Lower bound on the number of groups in [`GroupShortage::need`], so that the need of a model
/// without a group stays finite.
const MIN_GROUP_COUNT: f64 = 0.5;

impl<'a> GroupShortage<'a> {
    pub(crate) fn is_short(&self, model: &ModelName) -> bool {
        self.lacking(model) > 0
    }

    /// Number of groups that the model lacks.
    fn lacking(&self, model: &ModelName) -> u32 {
        let target = self.targets.get(model).copied().unwrap_or(0);
        target.saturating_sub(self.active.get(model).copied().unwrap_or(0))
    }

    /// The model that members of groups of `own` should be able to serve besides: the one in greatest
    /// need of those with larger groups.
    pub(crate) fn second_model(&self, own: &ModelName) -> Option<&'a PooledModel> {
        let models = &self.view.engine.models;
        let size = models.iter().find(|model| model.name == *own)?.group_size;
        let larger = models.iter().filter(|model| model.group_size > size);
        larger.max_by(|a, b| self.need(&a.name).total_cmp(&self.need(&b.name)))
    }

    /// Whether a group of `model` in this domain leaves room for the groups that models with larger
    /// groups lack.
    ///
    /// A large group needs many free servers of one domain, a small one finds room everywhere. So a
    /// small group goes where it costs no room for a large one, as long as there is no more of it
    /// than needed.
    pub(crate) fn leaves_room(
        &self,
        pool: &FreePool<'_>,
        pools: &[FreePool<'_>],
        model: &PooledModel,
    ) -> bool {
        let larger = self.view.engine.models.iter();
        let mut larger = larger.filter(|larger| larger.group_size > model.group_size);
        larger.all(|larger| {
            let room = |pool: &FreePool<'_>, taken: usize| {
                let usable = pool.usable(larger, self.view.before_traffic);
                usable.saturating_sub(taken) / larger.group_size as usize
            };
            let taken = pool.taken(model, larger, self.view.before_traffic);
            let cost = room(pool, 0) - room(pool, taken);
            let total: usize = pools.iter().map(|pool| room(pool, 0)).sum();
            cost == 0 || total - cost >= self.lacking(&larger.name) as usize
        })
    }

    /// Work per active group.
    pub(crate) fn need(&self, model: &ModelName) -> f64 {
        self.need_without(model, 0)
    }

    /// Work per active group if there were `fewer` groups less.
    pub(crate) fn need_without(&self, model: &ModelName, fewer: usize) -> f64 {
        let work = self.view.work.get(model).copied().unwrap_or_default();
        let groups = self.active.get(model).copied().unwrap_or_default() as usize;
        work / (groups.saturating_sub(fewer) as f64).max(MIN_GROUP_COUNT)
    }
}

/// Spares of each model that a domain keeps when the model has all its groups.
const MIN_SPARES: usize = 1;

/// Factor by which the need of another model must exceed that of a server's model before the server
/// loads the other model's weights.
const TAKEOVER_RATIO: f64 = 1.5;

/// Weights that a server should load.
pub(crate) struct LoadChoice<'a> {
    pub(crate) server: &'a FleetServer,
    pub(crate) model: ModelName,

    /// Need of the model, divided by the loads until a group can form; zero for a spare.
    pub(crate) score: f64,
}

impl<'a> FreePool<'a> {
    /// Whether the domain has enough free servers for a group, also if some of them still load.
    pub(crate) fn has_room(&self, model: &PooledModel, reserve_share: f64) -> bool {
        let size = self.servers.len() + self.grouped;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a fraction of the number of servers"
        )]
        let reserve = (size as f64 * reserve_share).ceil() as usize;
        self.servers.len() >= model.group_size as usize + reserve
    }

    /// Number of free servers that can become members of a group of the model; before the first
    /// request that is any, since loads are short then.
    fn usable(&self, model: &PooledModel, before_traffic: bool) -> usize {
        if before_traffic { self.servers.len() } else { self.ready(&model.name) }
    }

    /// Number of servers that a new group of `model` takes of those that `other` could use.
    fn taken(&self, model: &PooledModel, other: &PooledModel, before_traffic: bool) -> usize {
        let size = model.group_size as usize;
        if before_traffic {
            return size;
        }
        let is_own = |server: &&PoolServer<'_>| {
            server.has_weights(&model.name) && !server.has_weights(&other.name)
        };
        size.saturating_sub(self.servers.iter().filter(is_own).count())
    }

    /// Servers that load no weights.
    pub(crate) fn idle(&self) -> impl Iterator<Item = &'a FleetServer> {
        let idle = self.servers.iter().filter(|server| server.loading.is_none());
        idle.map(|server| server.server)
    }

    /// Number of servers of the domain that are in groups of the model.
    pub(crate) fn grouped_with(&self, model: &ModelName) -> usize {
        self.grouped_by_model.get(model).copied().unwrap_or_default()
    }

    fn soonest(&self, model: &PooledModel, size: usize) -> Option<Vec<&'a FleetServer>> {
        let mut servers: Vec<&FleetServer> = self.idle().collect();
        if size == 0 || servers.len() < size {
            return None;
        }
        servers.sort_by_key(|server| join_time(server, model));
        servers.truncate(size);
        Some(servers)
    }

    /// Number of servers that have the weights of a model or are loading them.
    fn ready(&self, model: &ModelName) -> usize {
        self.servers.iter().filter(|server| server.has_weights(model)).count()
    }

    /// Number of free servers per staged model, then of those without weights, for logs.
    pub(crate) fn summary(&self, models: &[PooledModel]) -> String {
        let counts = models.iter().map(|model| self.ready(&model.name).to_string());
        let without_weights = self.servers.iter().filter(|server| server.has_no_weights()).count();
        let domain = self.servers.first().and_then(|server| server.server.fabric_domain.as_ref());
        let domain = domain.map_or("none", |domain| domain.as_str());
        format!(" {domain} {}+{without_weights}", counts.collect::<Vec<_>>().join("/"))
    }

    /// The most useful load in this domain.
    ///
    /// The rate of loads is limited, so a model that is short of groups gets a load where the
    /// fewest loads complete a group. If no model can be helped, a server without weights becomes a
    /// spare.
    pub(crate) fn best_load(&self, shortage: &GroupShortage<'_>) -> Option<LoadChoice<'a>> {
        let models = shortage.view.engine.models.iter();
        let lacking = models.filter(|model| shortage.is_short(&model.name));
        let choices = lacking.filter_map(|model| self.completing_load(shortage, model));
        let best = choices.max_by(|a, b| a.score.total_cmp(&b.score));
        best.or_else(|| self.spare_load(shortage))
    }

    /// The next load towards a group of the model.
    fn completing_load(
        &self,
        shortage: &GroupShortage<'_>,
        model: &PooledModel,
    ) -> Option<LoadChoice<'a>> {
        let size = model.group_size as usize;
        let ready = self.ready(&model.name);
        let missing = size - ready % size;
        let mut candidates: Vec<&PoolServer<'_>> = self
            .servers
            .iter()
            .filter(|server| server.loading.is_none() && !server.has_weights(&model.name))
            .filter(|server| server.has_no_weights() || self.is_surplus(shortage, server, model))
            .collect();
        if candidates.len() < missing {
            return None;
        }
        candidates.sort_by_key(|server| !server.has_no_weights());
        let server = candidates.first()?.server;
        #[expect(clippy::cast_precision_loss, reason = "a group has few members")]
        let score = shortage.need(&model.name) / missing as f64;
        Some(LoadChoice { server, model: model.name.clone(), score })
    }

    /// Whether the weights of a server may be replaced by those of another model: either its own
    /// model has all its groups and another spare here, or the domain's servers with its weights
    /// don't divide into whole groups and the other model's need exceeds [`TAKEOVER_RATIO`] times
    /// its own.
    fn is_surplus(
        &self,
        shortage: &GroupShortage<'_>,
        server: &PoolServer<'_>,
        other: &PooledModel,
    ) -> bool {
        let models = &shortage.view.engine.models;
        server.server.staged.iter().all(|staged| {
            let Some(model) = models.iter().find(|model| model.name == *staged) else {
                return true;
            };
            let ready = self.ready(staged);
            let is_remainder = !ready.is_multiple_of(model.group_size as usize);
            let in_greater_need =
                shortage.need(&other.name) > shortage.need(staged) * TAKEOVER_RATIO;
            (!shortage.is_short(staged) && ready > MIN_SPARES) || (is_remainder && in_greater_need)
        })
    }

    /// Loads a spare for the model with the fewest spares in the domain. Among equals, the model
    /// with the largest groups goes first, since the loss of one member strands the most servers
    /// there.
    fn spare_load(&self, shortage: &GroupShortage<'_>) -> Option<LoadChoice<'a>> {
        let without_weights = self.servers.iter().find(|server| server.has_no_weights())?;
        let mut models: Vec<&PooledModel> = shortage.view.engine.models.iter().collect();
        models.sort_by_key(|model| std::cmp::Reverse(model.group_size));
        let grouped = |model: &PooledModel| self.grouped_with(&model.name);
        // Each server of a group is as likely to be lost as any other one. Without groups in the
        // domain, all models count the same.
        let least = usize::from(models.iter().all(|model| grouped(model) == 0));
        let losses_per_spare = |model: &PooledModel| {
            let spares = self.ready(&model.name) + 1;
            (grouped(model) + least) as f64 / spares as f64
        };
        let best = models.into_iter().rev();
        let model = best.max_by(|a, b| losses_per_spare(a).total_cmp(&losses_per_spare(b)))?;
        Some(LoadChoice { server: without_weights.server, model: model.name.clone(), score: 0.0 })
    }
}
