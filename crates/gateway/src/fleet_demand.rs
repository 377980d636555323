//! The demand for groups of each model.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_types::{EngineSpec, ModelName, PooledModel, ServiceName};

use crate::{FleetLoop, fleet_loop::FleetPlans};

/// The declared shares are used until traffic has lasted this long: at its start few requests are
/// in flight, whatever the demand is.
const DEMAND_WARMUP: Duration = Duration::from_secs(4);

/// Weight of a new sample in the moving average of work.
const WORK_WEIGHT: f64 = 0.05;

/// Assumed running time of a refused request, in seconds: converts a rate of refusals to work.
const REFUSED_RUN_TIME_S: f64 = 1.0;

impl FleetLoop {
    /// Updates the work of each model, in requests in flight; uses the declared shares until there
    /// has been traffic for some time.
    pub(crate) fn update_work(
        &self,
        now: Instant,
        plans: &mut FleetPlans,
        service: &ServiceName,
        engine: &EngineSpec,
    ) {
        let state = &self.gateway.state;
        let FleetPlans { work, was_measured, .. } = plans;
        if state.traffic_age(now).is_none_or(|age| age < DEMAND_WARMUP) {
            // A declared share is a share of all servers' time. Divided by the size of a group, it
            // is proportional to the requests in flight.
            let share = |model: &PooledModel| model.share / f64::from(model.group_size);
            let declared = engine.models.iter();
            *work = declared.map(|model| (model.name.clone(), share(model))).collect();
            return;
        }
        state.refresh_loads();
        let mut measured: HashMap<&ModelName, f64> = HashMap::new();
        let servers = state.servers.borrow();
        for group in servers.groups(service, engine) {
            let running = group.head().map_or(0, |head| state.loads.running(&head.life));
            *measured.entry(&group.model.name).or_default() += f64::from(running);
        }
        let mut report = state.others_report();
        report.merge(&state.own_report(now));
        for model in &engine.models {
            let rate = report.rates.get(&model.name).copied().unwrap_or_default();
            *measured.entry(&model.name).or_default() +=
                rate.refused * REFUSED_RUN_TIME_S + rate.waiting;
        }
        for model in &engine.models {
            let sample = measured.get(&model.name).copied().unwrap_or_default();
            match work.get_mut(&model.name).filter(|_| *was_measured) {
                Some(known) => *known += WORK_WEIGHT * (sample - *known),
                None => {
                    work.insert(model.name.clone(), sample);
                }
            }
        }
        *was_measured = true;
    }
}
