//! Scenarios with groups that are down or slow.

use std::time::Duration;

use crate::{
    cluster::{CAPACITY, cluster, customer},
    model::model_settings::{ModelOutage, ModelSettings},
};

/// Half of the groups are down for ten seconds and refuse all attempts. The nodes notice it after
/// three seconds.
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

/// One group is four times slower than the others, at a constant rate of requests.
pub fn straggler(seed: u64, load: f64) -> ModelSettings {
    let customers = vec![customer("all", 10.0 * CAPACITY, load * CAPACITY)];
    ModelSettings { home_nodes: 8, slow_groups: 1, slowness: 4.0, ..cluster(seed, customers) }
}
