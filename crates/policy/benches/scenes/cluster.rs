//! The cluster that all scenarios use.

use std::time::Duration;

use comfreyturn_policy::{
    CapacityShareSettings, CustomerShare, FairQueue, FairQueueSettings, LoadRouter,
    LoadRouterSettings, PriorityClass, ShareRetryBudget,
};

use crate::model::{
    engine_model::EngineSettings,
    model_settings::{ModelCustomer, ModelSettings},
};

/// Requests per second that 12 groups can serve with warm caches.
pub const CAPACITY: f64 = 30.0;

/// Ratio of a customer's token limit to its request limit.
const TOKENS_PER_REQUEST: f64 = 4_000.0;

/// A customer with a limit and a constant rate.
pub fn customer(name: &str, limit: f64, rate: f64) -> ModelCustomer {
    ModelCustomer {
        name: name.to_owned(),
        class: PriorityClass::Standard,
        limit: CustomerShare {
            requests_per_second: limit,
            tokens_per_second: limit * TOKENS_PER_REQUEST,
        },
        rates: vec![(Duration::ZERO, rate)],
        retries_after_refusal: true,
    }
}

/// 8 nodes that route to 12 groups, with the policies' default settings.
pub fn cluster(seed: u64, customers: Vec<ModelCustomer>) -> ModelSettings {
    ModelSettings {
        seed,
        nodes: 8,
        home_nodes: 3,
        groups: 12,
        duration: Duration::from_secs(300),
        warmup: Duration::from_secs(60),
        engine: EngineSettings::default(),
        slow_groups: 0,
        slowness: 1.0,
        customers,
        prefixes: 200,
        report_period: Duration::from_secs(1),
        report_lag: Duration::from_secs(2),
        router: |seed| Box::new(LoadRouter::new(LoadRouterSettings::default(), seed)),
        queue: Some(|seed| Box::new(FairQueue::new(FairQueueSettings::default(), seed))),
        capacity: Some(CapacityShareSettings::default()),
        budget: || Box::new(ShareRetryBudget::default()),
        max_attempts: 3,
        retry_wait: None,
        hedge_after: None,
        outage: None,
    }
}
