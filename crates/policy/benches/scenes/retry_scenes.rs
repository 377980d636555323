//! Groups that are out or slow.

use std::time::Duration;

use crate::{
    cluster::{CAPACITY, cluster, customer},
    model::model_settings::{ModelOutage, ModelSettings},
};

/// Half of the groups are out for ten seconds and refuse what reaches them; the nodes see it after
/// three.
pub fn outage(seed: u64) -> ModelSettings {
    let outage = ModelOutage {
        from: Duration::from_secs(120),
        to: Duration::from_secs(130),
        groups: 6,
        seen_after: Duration::from_secs(3),
    };
    let customers = vec![customer("all", 10.0 * CAPACITY, 0.4 * CAPACITY)];
    let settings = ModelSettings { outage: Some(outage), ..cluster(seed, customers) };
    ModelSettings { home_nodes: 8, duration: Duration::from_secs(180), ..settings }
}

/// One group that is four times slower than the others, and a steady rate.
pub fn straggler(seed: u64, load: f64) -> ModelSettings {
    let customers = vec![customer("all", 10.0 * CAPACITY, load * CAPACITY)];
    ModelSettings { home_nodes: 8, slow_groups: 1, slowness: 4.0, ..cluster(seed, customers) }
}
