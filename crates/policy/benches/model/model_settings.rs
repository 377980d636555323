//! Settings of a run of the model.

use std::time::Duration;

use comfreyturn_policy::{
    AdmissionQueue, CapacityShareSettings, CustomerShare, GroupRouter, PriorityClass, RetryBudget,
};

use super::engine_model::EngineSettings;

/// A customer and its load.
#[derive(Clone, Debug)]
pub struct ModelCustomer {
    pub name: String,
    pub class: PriorityClass,

    /// Limits over all nodes.
    pub limit: CustomerShare,

    /// Requests a second from each of these times on.
    pub rates: Vec<(Duration, f64)>,

    /// Whether refused requests come back when they are told to.
    pub comes_back: bool,
}

/// Groups that are out for a time.
#[derive(Clone, Copy, Debug)]
pub struct ModelOutage {
    pub from: Duration,
    pub to: Duration,

    /// The first groups are out.
    pub groups: usize,

    /// How long after the start the groups disappear from the nodes' view.
    pub seen_after: Duration,
}

/// Settings of a run.
#[derive(Clone)]
pub struct ModelSettings {
    pub seed: u64,
    pub nodes: usize,
    pub groups: usize,

    /// Nodes that each customer's requests go to, and that its limit is split over.
    pub home_nodes: usize,

    /// Requests arrive until then; the run ends once all have ended.
    pub duration: Duration,

    /// Requests that arrive before this time are not counted.
    pub warmup: Duration,

    pub engine: EngineSettings,

    /// Groups that are slow, the last ones, and how slow.
    pub slow_groups: usize,
    pub slowness: f64,

    pub customers: Vec<ModelCustomer>,

    /// Prefixes over all customers, with frequencies falling as 1/rank.
    pub prefixes: usize,

    /// Time between load reports, and how late they reach the nodes.
    pub report_period: Duration,
    pub report_lag: Duration,

    /// Makes the router of each node from a seed.
    pub router: fn(u64) -> Box<dyn GroupRouter>,

    /// Makes the admission queue of each node from a seed; without one, everything runs.
    pub queue: Option<fn(u64) -> Box<dyn AdmissionQueue>>,

    /// How the groups' slots are split over the nodes; without, evenly.
    pub capacity: Option<CapacityShareSettings>,

    /// Makes the retry budget of each node.
    pub budget: fn() -> Box<dyn RetryBudget>,

    /// Attempts of a request at most.
    pub max_attempts: usize,

    /// While the budget allows no repeated attempt, try again after about this time, until the
    /// deadline; without, the request fails at once.
    pub retry_wait: Option<Duration>,

    /// A second attempt starts after this time without a first token, budget permitting.
    pub hedge_after: Option<Duration>,

    pub outage: Option<ModelOutage>,
}
