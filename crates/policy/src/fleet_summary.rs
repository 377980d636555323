//! What a plan came to, for logs.

use std::collections::HashMap;

use comfreyturn_types::FleetServer;

use crate::{FleetPlanner, FleetView, fleet_planner::is_usable};

impl FleetPlanner {
    /// What the last plan came to, for logs: servers by what they do, and groups by model. `view`
    /// is what was planned over.
    pub fn summary(&self, view: &FleetView<'_>) -> String {
        let usable = view.servers.iter().filter(|server| is_usable(view, server));
        let (bound, free): (Vec<&&FleetServer>, Vec<&&FleetServer>) =
            usable.partition(|server| self.last.held.contains(&server.life));
        let staged = free.iter().filter(|server| !server.staged.is_empty()).count();
        let targets = self.targets(view);
        let models = view.engine.models.iter().map(|model| {
            let count = |counts: &HashMap<_, _>| counts.get(&model.name).copied().unwrap_or(0);
            let work = view.work.get(&model.name).copied().unwrap_or_default();
            let (active, wanted) = (count(&self.last.active), count(&targets));
            format!(" {} has {active} of {wanted} groups for work {work:.1};", model.name)
        });
        let models: String = models.collect();
        let (bound, free, lost) = (bound.len(), free.len(), view.lost.len());
        let loading = self.loading(view);
        let pools = self.pools(view, &self.last.held);
        let pools: String = pools.iter().map(|pool| pool.summary(&view.engine.models)).collect();
        format!(
            "{bound} bound, {free} free, {staged} of these staged, {loading} load, {lost} lost;\
             {models} free by domain, weights and none:{pools}"
        )
    }
}
