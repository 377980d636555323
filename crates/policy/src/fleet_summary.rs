//! Log summary of a plan.

use std::collections::HashMap;

use comfreyturn_types::FleetServer;

use crate::{FleetPlanner, FleetView, fleet_planner::is_usable};

impl FleetPlanner {
    /// A summary of the last plan for logs: servers by state, and groups by model. `view` must be
    /// the input of that plan.
    pub fn summary(&self, view: &FleetView<'_>) -> String {
        let usable = view.servers.iter().filter(|server| is_usable(view, server));
        let (grouped, free): (Vec<&&FleetServer>, Vec<&&FleetServer>) =
            usable.partition(|server| self.last_plan.held.contains(&server.life));
        let staged = free.iter().filter(|server| !server.staged.is_empty()).count();
        let targets = self.targets(view);
        let models = view.engine.models.iter().map(|model| {
            let count = |counts: &HashMap<_, _>| counts.get(&model.name).copied().unwrap_or(0);
            let work = view.work.get(&model.name).copied().unwrap_or_default();
            let (active, wanted) = (count(&self.last_plan.active), count(&targets));
            format!(" {} has {active} of {wanted} groups for work {work:.1};", model.name)
        });
        let models: String = models.collect();
        let (grouped, free, lost) = (grouped.len(), free.len(), view.lost.len());
        let evacuated = view.servers.iter().filter(|server| view.is_evacuated(server)).count();
        let evacuated = match evacuated {
            0 => String::new(),
            count => format!(", {count} evacuated"),
        };
        let stale = match view.stale.len() {
            0 => String::new(),
            count => format!(", {count} of unknown place"),
        };
        let loading = self.loading(view);
        let pools = self.pools(view, &self.last_plan.held);
        let pools: String = pools.iter().map(|pool| pool.summary(&view.engine.models)).collect();
        format!(
            "{grouped} in groups, {free} free, {staged} of these staged, {loading} loading, {lost} lost{evacuated}{stale};\
             {models} free by domain, by staged model and unstaged:{pools}"
        )
    }
}
