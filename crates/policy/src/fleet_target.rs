//! Target number of groups of each model.

use std::collections::HashMap;

use comfreyturn_types::{EngineSpec, ModelName, PooledModel};

/// The number of groups that the work needs, so that each has at most `utilization` of its slots in
/// use; at least one per model.
///
/// `work` is in requests in flight. Servers beyond these groups are spares that replace lost
/// members.
pub fn demanded_groups(
    engine: &EngineSpec,
    work: &HashMap<ModelName, f64>,
    utilization: f64,
) -> HashMap<ModelName, u32> {
    let slots = f64::from(engine.slots.max(1)) * utilization;
    let groups = |model: &PooledModel| {
        let work = work.get(&model.name).copied().unwrap_or_default();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "requests in flight are few and not negative"
        )]
        let groups = (work / slots).ceil() as u32;
        (model.name.clone(), groups.max(1))
    };
    engine.models.iter().map(groups).collect()
}

/// Divides servers among models so that each group has about the same work.
///
/// `work` is in requests in flight, or in any other unit that is the same for all models.
/// `spare_share` is the fraction of the servers that stays out of groups.
pub fn target_groups(
    engine: &EngineSpec,
    work: &HashMap<ModelName, f64>,
    servers: usize,
    spare_share: f64,
) -> HashMap<ModelName, u32> {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a fraction of the number of servers"
    )]
    let spares = (servers as f64 * spare_share).ceil() as usize;
    let mut rest = servers.saturating_sub(spares);
    let mut targets: HashMap<ModelName, u32> = HashMap::new();
    loop {
        let fitting = engine.models.iter().filter(|model| model.group_size as usize <= rest);
        let next =
            fitting.max_by(|a, b| need(a, work, &targets).total_cmp(&need(b, work, &targets)));
        let Some(model) = next.filter(|model| model.group_size > 0) else { return targets };
        rest -= model.group_size as usize;
        *targets.entry(model.name.clone()).or_default() += 1;
    }
}

/// Work per group. A model without a group ranks before all that have one.
fn need(
    model: &PooledModel,
    work: &HashMap<ModelName, f64>,
    targets: &HashMap<ModelName, u32>,
) -> f64 {
    let work = work.get(&model.name).copied().unwrap_or_default();
    match targets.get(&model.name) {
        None | Some(0) => f64::MAX / 2.0 + work,
        Some(groups) => work / f64::from(*groups),
    }
}
